//! Examples that users copy must be valid and complete, and explain each key.

mod common;

use std::{collections::BTreeSet, fs, path::Path, process::Command};

use common::render_output;
use sk_settings::{DaemonSettings, SpreadMode, read_settings};
use toml::{Table, Value};

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");
const DEPLOYMENTS: [&str; 2] = ["ledvica", "restlwerk"];

fn settings_file(deployment: &str) -> String {
    format!("{EXAMPLES}/settings/{deployment}.toml")
}

fn read_deployment(deployment: &str) -> DaemonSettings {
    read_settings(Path::new(&settings_file(deployment))).expect("good settings")
}

/// Returns the dotted keys of all values in a table.
fn dotted_keys(table: &Table) -> BTreeSet<String> {
    let mut keys = BTreeSet::new();
    for (key, value) in table {
        match value {
            Value::Table(inner) => {
                keys.extend(dotted_keys(inner).iter().map(|inner| format!("{key}.{inner}")));
            }
            _ => {
                keys.insert(key.clone());
            }
        }
    }
    keys
}

fn files_under(directory: &Path) -> Vec<std::path::PathBuf> {
    let entries = fs::read_dir(directory).expect("directory can be read");
    let paths = entries.map(|entry| entry.expect("entry").path());
    paths
        .flat_map(|path| match path.is_dir() {
            true => files_under(&path),
            false => vec![path],
        })
        .collect()
}

#[test]
fn examples_parse() {
    for file in files_under(Path::new(EXAMPLES)) {
        let text = fs::read_to_string(&file).expect("example can be read");
        assert!(text.parse::<Table>().is_ok(), "{}", file.display());
    }
}

#[test]
fn all_keys_shown() {
    for deployment in DEPLOYMENTS {
        let settings = read_deployment(deployment);
        // An absent optional key would be missing from the struct's keys; this is the only one.
        assert!(settings.metrics.address.is_some());
        let expected = Table::try_from(&settings).expect("settings encode");
        let text = fs::read_to_string(settings_file(deployment)).expect("example can be read");
        let shown: Table = text.parse().expect("toml");
        assert_eq!(dotted_keys(&expected), dotted_keys(&shown), "{deployment}");
    }
}

#[test]
fn all_keys_explained() {
    let files =
        DEPLOYMENTS.map(settings_file).into_iter().chain([format!("{EXAMPLES}/operator.toml")]);
    for file in files {
        let text = fs::read_to_string(&file).expect("example can be read");
        let mut comment = String::new();
        for line in text.lines() {
            match line.split_once(" = ") {
                _ if line.starts_with('#') => comment.push_str(line),
                Some((key, _)) => {
                    let markers = ["Default", "Required", "No default"];
                    assert!(markers.iter().any(|marker| comment.contains(marker)), "{file}: {key}");
                    comment.clear();
                }
                None => comment.clear(),
            }
        }
    }
}

#[test]
fn deployments_differ() {
    let [ledvica, restlwerk] = DEPLOYMENTS.map(read_deployment);
    assert_eq!(ledvica.spread.mode, SpreadMode::Push);
    // A single change costs fewer bytes in push mode than in announce mode.
    assert_eq!(restlwerk.spread.mode, SpreadMode::Push);
    // All but a thousandth of a day's control bytes are sent while nothing changes, so restlwerk
    // saves bytes by slower heartbeats, a lower fan-out and rarer repairs.
    assert!(ledvica.member.heartbeat_ms < restlwerk.member.heartbeat_ms);
    assert!(ledvica.spread.fan_out > restlwerk.spread.fan_out);
    assert!(ledvica.spread.repair_interval_ms < restlwerk.spread.repair_interval_ms);
}

#[test]
fn declarations_check() {
    let output = Command::new(env!("CARGO_BIN_EXE_sapphirekeel"))
        .args(["check", "examples/declarations/first", "examples/declarations/second"])
        .args(["examples/settings/ledvica.toml", "examples/settings/restlwerk.toml"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("command line runs");
    assert!(output.status.success(), "{}", render_output(&output));
}
