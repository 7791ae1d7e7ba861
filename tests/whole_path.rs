//! The path from an operator's change to a caller's answer, with separate processes. The output of
//! the commands is compared with a golden file.

mod common;

use std::fmt::Write;

use common::{
    DaemonPlan, MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, call, is_utc,
    platform_address, read_in_force, render_output, run_cli, start_backend, start_daemon,
    start_platform, wait_for,
};
use expect_test::expect_file;

const DECLARATIONS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/declarations/first");
const DAEMONS: [(&str, &str, &str); 3] = [
    ("lj1-board-1", "lj1", "/ledvica/queue-board"),
    ("lj1-records-1", "lj1", "/ledvica/treatment-records"),
    ("lj2-board-1", "lj2", "/ledvica/queue-board"),
];

/// Replaces times and durations, which differ from run to run.
fn normalise(text: &str) -> String {
    let mut lines = Vec::new();
    for line in text.lines() {
        let word = |word: &str| match word {
            word if is_utc(word) => format!("{:<24}", "<time>"),
            word => word.to_owned(),
        };
        let line = line.split(' ').map(word).collect::<Vec<_>>().join(" ");
        let line = match line.split_once(" ms after acceptance") {
            Some((head, _)) => {
                let head = head.rsplit_once(' ').map_or(head, |(head, _)| head);
                format!("{head} <duration> after acceptance")
            }
            None => line,
        };
        lines.push(line);
    }
    lines.join("\n") + "\n"
}

/// Replaces the source of a version, which depends on the faster of two relays.
fn hide_source(text: &str) -> String {
    let mut text = text.replace("platform             in force", "<source>             in force");
    for (name, ..) in DAEMONS {
        text = text.replace(&format!("{name:<20} in force"), "<source>             in force");
    }
    text
}

#[test]
fn whole_path() {
    let directory = TestDirectory::new("whole_path");
    let platform = start_platform();
    let address = platform_address(&platform);
    let mut daemons: Vec<TestProcess> = Vec::new();
    let mut backends: Vec<TestProcess> = Vec::new();
    for (name, data_centre, service) in DAEMONS {
        let seeds: Vec<String> = daemons.iter().map(|daemon| daemon.address("control")).collect();
        let platform = address.as_str();
        let plan = DaemonPlan { name, data_centre, platform, seeds: &seeds, extra: "" };
        let daemon = start_daemon(&directory.0, &plan);
        backends.push(start_backend(&daemon.address("ops"), service, &format!("{name}-server")));
        daemons.push(daemon);
    }
    let ops = daemons[0].address("ops");
    wait_for("all daemons to join", || read_in_force(&ops).1 == 3);

    let mut session = String::new();
    let mut step = |token: &str, args: &[&str], shown: &str| {
        let output = run_cli(&ops, token, args);
        writeln!(session, "$ sapphirekeel {shown}\n{}", render_output(&output))
            .expect("string grows");
    };
    let hash = sk_ops::hash_token(TEAM_TOKEN);
    let team = ["team", "ledvica", "--token-sha256", &hash];
    step(MANAGER_TOKEN, &team, "team ledvica --token-sha256 HASH");
    step(TEAM_TOKEN, &["plan", DECLARATIONS], "plan DIR");
    let revision = ["--revision", "4f2a", "--author", "ana"];
    let apply = [&["apply", DECLARATIONS, "--wait"], &revision[..]].concat();
    step("wrong", &apply, "apply DIR --wait --revision 4f2a --author ana (wrong token)");
    let output = run_cli(&ops, TEAM_TOKEN, &apply);
    assert!(output.status.success(), "{}", render_output(&output));
    wait_for("3 of 3 in force", || read_in_force(&ops) == (3, 3));
    step(TEAM_TOKEN, &["plan", DECLARATIONS], "plan DIR");
    step(MANAGER_TOKEN, &["report"], "report");
    let withdraw = [&["withdraw", "/ledvica/queue-board"], &revision[..]].concat();
    step(TEAM_TOKEN, &withdraw, "withdraw /ledvica/queue-board --revision 4f2a --author ana");

    // The entry daemon is beside a queue board; the records' server is in the other data centre.
    let entry = daemons[2].address("proxy");
    wait_for("an answer", || {
        call(&entry, "GET", "/treatments/7", "").is_ok_and(|a| a.status == 200)
    });
    let answer = call(&entry, "GET", "/treatments/8", "").expect("an answer");
    assert!(answer.body.contains("lj1-records-1-server"), "{answer:?}");
    assert_eq!(call(&entry, "GET", "/nothing", "").expect("an answer").status, 404);

    for process in backends.into_iter().chain(daemons) {
        let ready = process.ready_line.clone();
        let (status, _) = process.terminate();
        assert!(status.success(), "{ready}: {status}");
    }
    assert!(platform.terminate().0.success());
    expect_file!["golden/whole_path.txt"].assert_eq(&hide_source(&normalise(&session)));
}
