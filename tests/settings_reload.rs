//! Settings that change while a daemon runs.

mod common;

use std::fs;

use common::{
    DaemonPlan, TestDirectory, call, platform_address, start_daemon, start_platform, wait_for,
};

/// SIGHUP says that the settings have changed. Without a handler it ends the process, and with it
/// every request in flight; and a changed file may come without any signal.
#[test]
fn read_again() {
    let directory = TestDirectory::new("read_again");
    let platform = start_platform();
    let address = platform_address(&platform);
    let plan =
        DaemonPlan { name: "d1", data_centre: "lj1", platform: &address, seeds: &[], extra: "" };
    let mut daemon = start_daemon(&directory.0, &plan);
    let file = directory.0.join("d1.toml");
    let text = fs::read_to_string(&file).expect("settings");
    let has_said = |daemon: &common::TestProcess, words: &str| daemon.printed().contains(words);

    daemon.signal("-HUP");
    wait_for("the settings to be read", || has_said(&daemon, "settings read again, service None"));
    assert!(daemon.ended().is_none());

    let changed = text.replacen("region", "service = \"board\"\nregion", 1);
    fs::write(&file, changed).expect("settings can be written");
    wait_for("the change to be seen", || has_said(&daemon, "service Some"));

    fs::write(&file, "[instance]\nname = 3\n").expect("settings can be written");
    wait_for("the fault to be told", || has_said(&daemon, "new settings are invalid, the old ones stay in effect"));
    let answer = call(&daemon.address("proxy"), "GET", "/", "").expect("it still answers");
    assert!([404, 503].contains(&answer.status), "{answer:?}");
    let (status, printed) = daemon.terminate();
    assert!(status.success());
    assert!(printed.contains("daemon: stopped."), "{printed}");
}
