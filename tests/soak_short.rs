//! A short run of the soak with real daemons, and its end when it is interrupted.

mod common;

use std::{
    fs,
    process::{Command, Stdio},
};

use common::{TestDirectory, wait_for};

/// Daemons of a run.
const DAEMONS: usize = 4;

fn soak(directory: &TestDirectory, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sk-soak"));
    let folder = directory.0.to_str().expect("path");
    command.args(["run", "--folder", folder]).args(args);
    command
}

/// Counts the processes whose settings lie in a folder.
fn processes_of(directory: &TestDirectory) -> usize {
    let folder = directory.0.to_str().expect("path").as_bytes();
    let entries = fs::read_dir("/proc").expect("processes are listed").flatten();
    let lines = entries.filter_map(|entry| fs::read(entry.path().join("cmdline")).ok());
    let is_daemon = |line: &Vec<u8>| {
        line.windows(folder.len()).any(|part| part == folder) && line.ends_with(b".toml\0")
    };
    lines.filter(is_daemon).count()
}

/// Faults of all kinds follow and overlap each other for half a minute, and callers keep calling.
/// Nothing of what callers and backend servers see may break a promise.
#[test]
fn faults_mixed() {
    let directory = TestDirectory::new("soak_mixed");
    let args = ["--seed", "3", "--minutes", "0.4", "--daemons", "4", "--callers", "10"];
    let output = soak(&directory, &args).output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
    assert_eq!(processes_of(&directory), 0);
}

/// Daemons are stopped and started in turn while servers drain and versions change, and nothing
/// else happens. A caller must not notice. In this seed a second stop of a daemon falls into the first
/// one: the soak itself once killed the new process then, and took it for a cut by the daemon.
#[test]
fn planned_work() {
    let directory = TestDirectory::new("soak_planned");
    let faults = "daemon-term,daemon-reload,server-drain,config-storm";
    let args = ["--seed", "900", "--minutes", "0.6", "--faults", faults];
    let output = soak(&directory, &args).output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
}

/// The same with other schedules, in which a server's process ended with a request that it ran on a
/// connection that had been idle, and the process in its place turned the request away: the caller was
/// told that it had not run.
#[test]
fn planned_resend() {
    let directory = TestDirectory::new("soak_resend");
    let faults = "daemon-term,server-drain,daemon-reload,config-storm";
    let size = ["--minutes", "0.5", "--daemons", "5", "--callers", "16", "--faults", faults];
    for seed in ["4005", "4007"] {
        let output = soak(&directory, &["--seed", seed]).args(size).output().expect("it runs");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
    }
}

/// Somebody interrupts a run. Daemons that went on running would disturb whatever is measured next
/// on the machine.
#[test]
fn none_left() {
    let directory = TestDirectory::new("soak_left");
    let mut run = soak(&directory, &["--seed", "5", "--minutes", "5", "--daemons", "4"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    wait_for("all daemons to run", || processes_of(&directory) == DAEMONS);
    let pid = run.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs").success());
    assert!(!run.wait().expect("it ends").success());
    wait_for("all daemons to end", || processes_of(&directory) == 0);
}
