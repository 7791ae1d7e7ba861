//! Changes of the settings file while a daemon runs.

mod common;

use std::fs;

use common::{
    DaemonPlan, TestDirectory, call, platform_address, start_daemon, start_platform, wait_for,
};

/// The settings are reloaded on SIGHUP, and also if the file changes without a signal. Without a
/// handler SIGHUP would end the process and all requests in flight. An invalid file changes
/// nothing.
#[test]
fn settings_reloaded() {
    let directory = TestDirectory::new("read_again");
    let platform = start_platform();
    let address = platform_address(&platform);
    let plan =
        DaemonPlan { name: "d1", data_centre: "lj1", platform: &address, seeds: &[], extra: "" };
    let mut daemon = start_daemon(&directory.0, &plan);
    let file = directory.0.join("d1.toml");
    let text = fs::read_to_string(&file).expect("settings");
    let has_logged =
        |daemon: &common::TestProcess, message: &str| daemon.printed().contains(message);

    daemon.signal("-HUP");
    wait_for("the settings to be read", || {
        has_logged(&daemon, "settings read again, service None")
    });
    assert!(daemon.exit_status().is_none());

    let changed = text.replacen("region", "service = \"board\"\nregion", 1);
    fs::write(&file, changed).expect("settings can be written");
    wait_for("the change to be seen", || has_logged(&daemon, "service Some"));

    fs::write(&file, "[instance]\nname = 3\n").expect("settings can be written");
    wait_for("the fault to be logged", || {
        has_logged(&daemon, "new settings are invalid, the old ones stay in effect")
    });
    let answer = call(&daemon.address("proxy"), "GET", "/", "").expect("it still answers");
    assert!([404, 503].contains(&answer.status), "{answer:?}");
    let (status, printed) = daemon.terminate();
    assert!(status.success());
    assert!(printed.contains("daemon: stopped."), "{printed}");
}
