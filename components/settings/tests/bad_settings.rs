//! Settings that must stop the daemon before it binds anything.

use std::path::Path;

use expect_test::{Expect, expect};
use sk_settings::parse_settings;

const VALID: &str = r#"
[instance]
name = "lj1-board-1"
data_centre = "lj1"
region = "slovenia"

[platform]
address = "127.0.0.1:7500"

[peers]
secret = "sixteen characters"
"#;

fn assert_refusal(text: &str, expected: Expect) {
    let err = parse_settings(Path::new("daemon.toml"), text).expect_err("invalid settings");
    expected.assert_eq(&err.to_string());
}

#[test]
fn valid_settings() {
    let settings = parse_settings(Path::new("daemon.toml"), VALID).expect("valid settings");
    assert_eq!(settings.spread.fan_out, 6);
}

#[test]
fn unknown_key() {
    assert_refusal(
        &format!("{VALID}\n[spread]\nfanout = 3\n"),
        expect![
            "daemon.toml:14:1: unknown field `fanout`, expected one of `mode`, `fan_out`, `repair_interval_ms`, `relays`, `max_fetches`, `start_window_ms`"
        ],
    );
}

#[test]
fn wrong_unit() {
    assert_refusal(
        &format!("{VALID}\n[member]\nheartbeat_ms = \"1s\"\n"),
        expect![[r#"daemon.toml:14:16: `heartbeat_ms`: invalid type: string "1s", expected u64"#]],
    );
}

#[test]
fn out_of_bounds() {
    assert_refusal(
        &format!("{VALID}\n[member]\nheartbeat_ms = 1\n"),
        expect!["daemon.toml:14:1: `member.heartbeat_ms` is 1; allowed: 50 to 10000"],
    );
}

#[test]
fn clashing_addresses() {
    let listen = "[listen]\nproxy = \"0.0.0.0:80\"\nguard = \"127.0.0.1:80\"\n";
    assert_refusal(
        &format!("{VALID}\n{listen}"),
        expect![
            "daemon.toml:14:1: `listen.proxy` and `listen.guard` are both 0.0.0.0:80; allowed: distinct addresses"
        ],
    );
}

#[test]
fn upper_case_hash() {
    let hash = "AB".repeat(32);
    assert_refusal(
        &format!("{VALID}\n[operators]\nmanager_sha256 = \"{hash}\"\n"),
        expect![
            "daemon.toml:14:1: `operators.manager_sha256` is malformed; allowed: 64 hexadecimal digits in lower case, or empty"
        ],
    );
}

#[test]
fn secret_not_shown() {
    for secret in ["[\"sixteen characters\"]", "1234567890123456"] {
        let text = VALID.replace("\"sixteen characters\"", secret);
        assert_refusal(
            &text,
            expect!["daemon.toml:11:10: `secret`: invalid type, expected a string"],
        );
    }
}

/// Errors name the key and the allowed values, so that a mistake is corrected without reading the
/// code.
#[test]
fn errors_name_key_and_bounds() {
    let mut messages = String::new();
    for (section, line) in [
        ("logs", "routine_lines = 0"),
        ("logs", "failure_lines = 100001"),
        ("guard", "crash_limit = 1"),
        ("guard", "leave_ms = 60001"),
        ("placing", "retry_deposit = 1001"),
        ("placing", "retry_ratio = 1.5"),
        ("guard", "grace_s = 0"),
        ("guard", "announce_interval_ms = 0"),
        ("placing", "free_moves = 17"),
        ("placing", "order = \"best\""),
        ("report", "flush_ms = 1"),
        ("spread", "start_window_ms = 1"),
        ("metrics", "listen = \"nowhere\""),
    ] {
        let text = format!("{VALID}\n[{section}]\n{line}\n");
        let err = parse_settings(Path::new("daemon.toml"), &text).expect_err("invalid settings");
        messages.push_str(&format!("{err}\n"));
    }
    expect![[r#"
        daemon.toml:14:1: `logs.routine_lines` is 0; allowed: 1 to 100000
        daemon.toml:14:1: `logs.failure_lines` is 100001; allowed: 1 to 100000
        daemon.toml:14:1: `guard.crash_limit` is 1; allowed: 0, or 2 to 4
        daemon.toml:14:1: `guard.leave_ms` is 60001; allowed: 0 to 60000
        daemon.toml:14:1: `placing.retry_deposit` is 1001; allowed: 0 to 1000
        daemon.toml:14:1: `placing.retry_ratio` is 1.5; allowed: a part of the requests, 0 to 1
        daemon.toml:14:1: `guard.grace_s` is 0; allowed: 0.1 to 86400
        daemon.toml:14:1: `guard.announce_interval_ms` is 0; allowed: 1 to 60000
        daemon.toml:14:1: `placing.free_moves` is 17; allowed: 0 to 16
        daemon.toml:14:9: `order`: unknown variant `best`, expected `draw` or `soonest`
        daemon.toml:14:1: `report.flush_ms` is 1; allowed: 50 to 600000
        daemon.toml:14:1: `spread.start_window_ms` is 1; allowed: 20 to 60000
        daemon.toml:14:10: `listen`: invalid socket address syntax
    "#]]
    .assert_eq(&messages);
}

/// Guards against metrics at an address that callers use: one of the two listeners would not start.
#[test]
fn metrics_clash() {
    let text = format!(
        "{VALID}\n[listen]\nproxy = \"127.0.0.1:80\"\n[metrics]\nlisten = \"127.0.0.1:80\"\n"
    );
    let err = parse_settings(Path::new("daemon.toml"), &text).expect_err("invalid settings");
    assert!(err.to_string().contains("`listen.proxy` and `metrics.listen`"), "{err}");
}

/// Guards against an experiment that disables a mechanism which does not exist: its measurements
/// would be those of the complete daemon.
#[test]
fn unknown_mechanism() {
    assert_refusal(
        &format!("{VALID}\n[experiment]\noff = [\"work-kind\"]\n"),
        expect![
            "daemon.toml:14:8: `off`: unknown variant `work-kind`, expected one of `work-kinds`, `failures`, `transit`, `wait-hints`, `outliers`, `failed-again`, `link-room`, `made-room`, `nested-first`, `slot-odds`, `near-first`, `returns`"
        ],
    );
}

/// A mechanism cannot be disabled outside of the experiment section.
#[test]
fn misplaced_mechanism() {
    assert_refusal(
        &format!("{VALID}\n[placing]\noff = [\"work-kinds\"]\n"),
        expect![
            "daemon.toml:14:1: unknown field `off`, expected one of `order`, `warm_up_ms`, `retry_deposit`, `retry_ratio`, `retry_burst`, `retry_margin`, `retry_floor`, `retry_shared`, `free_moves`"
        ],
    );
}

#[test]
fn experiment_bounds() {
    assert_refusal(
        &format!("{VALID}\n[experiment]\ncold_hold = 1001\n"),
        expect!["daemon.toml:14:1: `experiment.cold_hold` is 1001; allowed: 0 to 1000"],
    );
}

/// A limit that another system computes may have a fraction. The daemon would not start.
#[test]
fn fraction_dropped() {
    for (burst, expected) in [("33.82", 33), ("0.5", 0), ("1e3", 1000), ("33", 33)] {
        let text = format!("{VALID}\n[placing]\nretry_burst = {burst}\n");
        let settings = parse_settings(Path::new("daemon.toml"), &text).expect("valid settings");
        assert_eq!(settings.placing.retry_burst, expected, "{burst}");
    }
    for (burst, expected) in [
        (
            "-0.5",
            expect![
                "daemon.toml:14:15: `retry_burst`: invalid value: floating point `-0.5`, expected a number of at least 0"
            ],
        ),
        (
            "1e30",
            expect![
                "daemon.toml:14:1: `placing.retry_burst` is 18446744073709551615; allowed: 0 to 10000"
            ],
        ),
    ] {
        assert_refusal(&format!("{VALID}\n[placing]\nretry_burst = {burst}\n"), expected);
    }
}
