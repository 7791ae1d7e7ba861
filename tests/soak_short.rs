//! Short runs of the soak with real daemons, and the end of an interrupted run.

mod common;

use std::{
    collections::BTreeSet,
    fs,
    process::{Command, Stdio},
};

use common::{TestDirectory, wait_for};

/// Number of daemons of a run.
const DAEMONS: usize = 4;

/// Builds the command of a run that keeps its files in a directory.
fn soak_command(directory: &TestDirectory, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sk-soak"));
    let folder = directory.0.to_str().expect("path");
    command.args(["run", "--folder", folder]).args(args);
    command
}

/// Counts the daemons whose settings files are in a directory.
fn count_daemons(directory: &TestDirectory) -> usize {
    let folder = directory.0.to_str().expect("path").as_bytes();
    let entries = fs::read_dir("/proc").expect("processes are listed").flatten();
    let lines = entries.filter_map(|entry| fs::read(entry.path().join("cmdline")).ok());
    let is_daemon = |line: &Vec<u8>| {
        line.windows(folder.len()).any(|part| part == folder) && line.ends_with(b".toml\0")
    };
    lines.filter(is_daemon).count()
}

/// Faults of all kinds overlap for half a minute under load. No observation of callers and backend
/// servers may violate a guarantee.
#[test]
fn faults_mixed() {
    let directory = TestDirectory::new("soak_mixed");
    let args = ["--seed", "3", "--minutes", "0.4", "--daemons", "4", "--callers", "10"];
    let output = soak_command(&directory, &args).output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
    assert_eq!(count_daemons(&directory), 0);
}

/// Daemons restart one after the other while servers drain and versions change, without faults. No
/// caller may get an error. With this seed a second stop of a daemon begins during the first one,
/// in which case the soak could kill the new process and report that as a fault of the daemon.
#[test]
fn planned_work() {
    let directory = TestDirectory::new("soak_planned");
    let faults = "daemon-term,daemon-reload,server-drain,config-storm";
    let args = ["--seed", "900", "--minutes", "0.6", "--faults", faults];
    let output = soak_command(&directory, &args).output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
}

/// The same with schedules in which a server's process ends while it runs a request from a
/// connection that was idle, and its replacement refuses the request. The caller must not be
/// answered that the request did not run.
#[test]
fn planned_resend() {
    let directory = TestDirectory::new("soak_resend");
    let faults = "daemon-term,server-drain,daemon-reload,config-storm";
    let size = ["--minutes", "0.5", "--daemons", "5", "--callers", "16", "--faults", faults];
    for seed in ["4005", "4007"] {
        let output =
            soak_command(&directory, &["--seed", seed]).args(size).output().expect("it runs");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
    }
}

/// Servers deregister and their daemons, some or all, are killed or stopped before a heartbeat of the
/// server arrives late. No request may reach a server that has left.
#[test]
fn late_heartbeats() {
    let directory = TestDirectory::new("soak_late");
    let faults = "server-deregister,server-drain,daemon-kill,daemon-term,herd-kill,fleet-kill,\
                  store-away,store-loses-answers";
    let args = ["--seed", "8000", "--minutes", "0.5", "--faults", faults];
    let output = soak_command(&directory, &args).output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
}

/// Guards against a server that reports to a stopped daemon's port, which has been given out again
/// to another server. No two processes of a run may listen at the same address.
#[test]
fn separate_addresses() {
    let directory = TestDirectory::new("soak_addresses");
    let folder = directory.0.to_str().expect("path");
    let size = ["--minutes", "0.1", "--daemons", "4", "--faults", "daemon-reload"];
    let output = Command::new(env!("CARGO_BIN_EXE_sk-soak"))
        .args(["replay", "1", "--folder", folder])
        .args(size)
        .env("RUST_LOG", "sk_soak=debug")
        .output()
        .expect("it runs");
    let log = String::from_utf8_lossy(&output.stderr);
    let mut entries = fs::read_dir(&directory.0).expect("the folder of the run is kept");
    let run = entries.next().expect("a folder").expect("it is read").path();
    let server_addresses = log.lines().filter_map(|line| line.split_once(" listens at "));
    let server_hosts = server_addresses.filter_map(|(_, address)| address.split_once(':'));
    let mut hosts: Vec<String> = server_hosts.map(|(host, _)| host.to_owned()).collect();
    for daemon in 0..DAEMONS {
        let settings = fs::read_to_string(run.join(format!("d{daemon}.toml")));
        let settings = settings.expect("settings are kept");
        let settings: toml::Table = settings.parse().expect("settings are TOML");
        let listen = settings["listen"].as_table().expect("a table");
        let address = |name: &str| listen[name].as_str().expect("an address").to_owned();
        let names = ["proxy", "guard", "control", "ops"];
        let own: BTreeSet<String> = names.map(address).into();
        assert_eq!(own.len(), 1, "one host with any port: {own:?}");
        hosts.extend(own.iter().map(|address| address.replace(":0", "")));
    }
    assert_eq!(hosts.len(), 2 * DAEMONS, "{log}");
    assert_eq!(hosts.iter().collect::<BTreeSet<_>>().len(), hosts.len(), "{hosts:?}");
}

/// Guards against daemons that keep running after an interrupted run, where they would disturb
/// later measurements on the machine.
#[test]
fn interrupted_run() {
    let directory = TestDirectory::new("soak_left");
    let mut run = soak_command(&directory, &["--seed", "5", "--minutes", "5", "--daemons", "4"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    wait_for("all daemons to run", || count_daemons(&directory) == DAEMONS);
    let pid = run.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs").success());
    assert!(!run.wait().expect("it ends").success());
    wait_for("all daemons to end", || count_daemons(&directory) == 0);
}
