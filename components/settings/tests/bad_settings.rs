//! Settings that must stop the daemon before it binds anything.

use std::path::Path;

use expect_test::{Expect, expect};
use sk_settings::parse_settings;

const GOOD: &str = r#"
[instance]
name = "lj1-board-1"
data_centre = "lj1"
region = "slovenia"

[platform]
address = "127.0.0.1:7500"

[peers]
secret = "sixteen characters"
"#;

fn refusal(text: &str, expected: Expect) {
    let err = parse_settings(Path::new("daemon.toml"), text).expect_err("bad settings");
    expected.assert_eq(&err.to_string());
}

#[test]
fn good_settings() {
    let settings = parse_settings(Path::new("daemon.toml"), GOOD).expect("good settings");
    assert_eq!(settings.spread.fan_out, 6);
}

#[test]
fn unknown_key() {
    refusal(
        &format!("{GOOD}\n[spread]\nfanout = 3\n"),
        expect![
            "daemon.toml:14:1: unknown field `fanout`, expected one of `mode`, `fan_out`, `repair_interval_ms`, `relays`, `max_fetches`"
        ],
    );
}

#[test]
fn wrong_unit() {
    refusal(
        &format!("{GOOD}\n[member]\nheartbeat_ms = \"1s\"\n"),
        expect![[r#"daemon.toml:14:16: `heartbeat_ms`: invalid type: string "1s", expected u64"#]],
    );
}

#[test]
fn out_of_bounds() {
    refusal(
        &format!("{GOOD}\n[member]\nheartbeat_ms = 1\n"),
        expect!["daemon.toml:14:1: `member.heartbeat_ms` is 1; allowed: 50 to 10000"],
    );
}

#[test]
fn clashing_addresses() {
    let listen = "[listen]\nproxy = \"0.0.0.0:80\"\nguard = \"127.0.0.1:80\"\n";
    refusal(
        &format!("{GOOD}\n{listen}"),
        expect![
            "daemon.toml:14:1: `listen.proxy` and `listen.guard` are both 0.0.0.0:80; allowed: distinct addresses"
        ],
    );
}

#[test]
fn digits_in_upper_case() {
    let hash = "AB".repeat(32);
    refusal(
        &format!("{GOOD}\n[operators]\nmanager_sha256 = \"{hash}\"\n"),
        expect![
            "daemon.toml:14:1: `operators.manager_sha256` is malformed; allowed: 64 hexadecimal digits in lower case, or empty"
        ],
    );
}

#[test]
fn secret_not_shown() {
    let text = GOOD.replace("secret = \"sixteen characters\"", "secret = [\"sixteen characters\"]");
    refusal(
        &text,
        expect!["daemon.toml:11:10: `secret`: invalid type: sequence, expected a string"],
    );
}
