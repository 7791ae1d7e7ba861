//! A session of operators at the command line, with a platform and 2 daemons as processes. The
//! output is compared with a golden file.

mod common;

use std::{
    fmt::Write,
    fs,
    io::{self, Read},
    net::{Shutdown, TcpListener, TcpStream},
    path::Path,
    thread,
};

use common::{
    DaemonPlan, MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, is_utc, platform_address,
    read_in_force, render_output, run_cli, start_daemon, start_platform, wait_for,
};
use expect_test::expect_file;
use serde_json::Value;

const FIRST: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/declarations/first");
const SECOND: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/declarations/second");
const DAEMONS: [(&str, &str); 2] = [("lj1-board-1", "lj1"), ("lj2-board-1", "lj2")];
/// Digits of a present time in Unix milliseconds.
const UNIX_MS_DIGITS: usize = 13;

/// Relays connections to a daemon and calls `before_post` before the first submit is forwarded, as
/// if another operator had submitted shortly before.
fn start_racing_relay(daemon: String, before_post: impl FnOnce() + Send + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("address").to_string();
    thread::spawn(move || {
        let mut before_post = Some(before_post);
        for stream in listener.incoming() {
            let Ok(mut caller) = stream else { return };
            let mut upstream = TcpStream::connect(&daemon).expect("daemon");
            let (mut answers, mut back) =
                (upstream.try_clone().expect("clone"), caller.try_clone().expect("clone"));
            thread::spawn(move || {
                let _ = io::copy(&mut answers, &mut back);
                let _ = back.shutdown(Shutdown::Both);
            });
            let mut chunk = [0; 65_536];
            while let Ok(size @ 1..) = caller.read(&mut chunk) {
                if chunk.starts_with(b"POST ")
                    && let Some(before_post) = before_post.take()
                {
                    before_post();
                }
                let _ = io::Write::write_all(&mut upstream, &chunk[..size]);
            }
            let _ = upstream.shutdown(Shutdown::Both);
        }
    });
    address
}

/// Replaces times, durations and the source of a version, which differ from run to run.
fn normalise(text: &str) -> String {
    let lines = text.lines().filter(|line| !is_progress(line));
    let hide = |line: &str| hide_source(&hide_durations(&hide_times(&hide_utc(line))));
    lines.map(|line| hide(line) + "\n").collect()
}

/// Returns whether a line is a progress message that a fast fleet skips.
fn is_progress(line: &str) -> bool {
    matches!(line, "in force on 0 of 2" | "in force on 1 of 2")
}

/// Replaces times of exactly the form 2026-12-03T08:15:00.123Z.
fn hide_utc(line: &str) -> String {
    let words = line.split(' ').map(|word| if is_utc(word) { "<utc>" } else { word });
    words.collect::<Vec<_>>().join(" ")
}

/// Replaces times in Unix milliseconds.
fn hide_times(line: &str) -> String {
    let mut text = String::new();
    let mut rest = line;
    while let Some(start) = rest.find(|letter: char| letter.is_ascii_digit()) {
        let digits = rest[start..].bytes().take_while(u8::is_ascii_digit).count();
        let number = &rest[start..start + digits];
        text.push_str(&rest[..start]);
        text.push_str(if digits == UNIX_MS_DIGITS { "<time>" } else { number });
        rest = &rest[start + digits..];
    }
    text + rest
}

/// Replaces numbers before `ms`.
fn hide_durations(line: &str) -> String {
    let words: Vec<&str> = line.split(' ').collect();
    let is_duration =
        |index: usize| words.get(index + 1).is_some_and(|word| word.trim_end_matches(',') == "ms");
    let word = |(index, word): (usize, &&str)| match is_duration(index) {
        true => "<n>".to_owned(),
        false => (*word).to_owned(),
    };
    words.iter().enumerate().map(word).collect::<Vec<_>>().join(" ")
}

/// Replaces the source in a row of the report, as a table or as comma-separated values.
fn hide_source(line: &str) -> String {
    let is_row = DAEMONS.iter().any(|(name, _)| line.starts_with(name));
    let separator = if line.contains(',') { "," } else { " " };
    match line.strip_suffix("in force") {
        Some(row) if is_row => {
            let is_gap = |letter: char| letter == ',' || letter == ' ';
            let cells: Vec<&str> = row.split(is_gap).filter(|cell| !cell.is_empty()).collect();
            [&cells[..4], &["<source>", "in force"]].concat().join(separator)
        }
        _ => line.to_owned(),
    }
}

/// Renders the keys and types of a JSON answer, which scripts rely on.
fn render_shape(value: &Value, indent: usize, text: &mut String) {
    let margin = "  ".repeat(indent);
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let _ = writeln!(text, "{margin}{name}: {}", type_of(value));
                render_shape(value, indent + 1, text);
            }
        }
        Value::Array(values) => {
            values.iter().take(1).for_each(|value| render_shape(value, indent + 1, text));
        }
        _ => (),
    }
}

fn type_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(_) => "list",
        Value::Object(_) => "object",
    }
}

/// Commands run so far, as the text of the golden file.
struct CliSession {
    /// Address that the commands call.
    ops: String,
    text: String,
}

impl CliSession {
    /// Runs a command and records its normalised output.
    fn step(&mut self, token: &str, args: &[&str]) {
        let shown: Vec<&str> = args.iter().map(|arg| show_arg(arg)).collect();
        let output = run_cli(&self.ops, token, args);
        let printed = normalise(&render_output(&output));
        let _ = writeln!(self.text, "$ sapphirekeel {}\n{printed}", shown.join(" "));
    }

    /// Runs a command that must succeed and records the shape of its JSON.
    fn step_json(&mut self, token: &str, args: &[&str]) {
        let output = run_cli(&self.ops, token, args);
        assert!(output.status.success(), "{}", render_output(&output));
        let value: Value = serde_json::from_slice(&output.stdout).expect("JSON");
        let _ = writeln!(self.text, "$ sapphirekeel {} (shape)", args.join(" "));
        render_shape(&value, 0, &mut self.text);
        self.text.push('\n');
    }
}

/// Replaces hashes and directories by names that do not differ from run to run.
fn show_arg(arg: &str) -> &str {
    match arg {
        arg if arg.len() == 64 => "HASH",
        arg if arg.contains('/') && Path::new(arg).is_dir() => {
            Path::new(arg).file_name().and_then(|name| name.to_str()).unwrap_or(arg)
        }
        arg => arg,
    }
}

/// Copies the first declarations with another deadline, as the checkout of a second operator.
fn write_other(directory: &TestDirectory) {
    for name in ["queue-board", "treatment-records", "routes/board", "routes/treatments"] {
        let file = format!("ledvica/{name}.toml");
        let text = fs::read_to_string(Path::new(FIRST).join(&file)).expect("example");
        directory.write(&format!("other/{file}"), &text.replace("2000", "1500"));
    }
}

#[test]
fn operator_session() {
    let directory = TestDirectory::new("operator_day");
    let platform = start_platform();
    let address = platform_address(&platform);
    let mut daemons: Vec<TestProcess> = Vec::new();
    for (name, data_centre) in DAEMONS {
        let seeds: Vec<String> = daemons.iter().map(|daemon| daemon.address("control")).collect();
        let plan = DaemonPlan { name, data_centre, platform: &address, seeds: &seeds, extra: "" };
        daemons.push(start_daemon(&directory.0, &plan));
    }
    let ops = daemons[0].address("ops");
    wait_for("both daemons to join", || read_in_force(&ops).1 == 2);
    let mut session = CliSession { ops: ops.clone(), text: String::new() };
    let by = ["--revision", "4f2a", "--author", "ana"];
    let hash = sk_ops::hash_token(TEAM_TOKEN);

    session.step(MANAGER_TOKEN, &["team", "ledvica", "--token-sha256", &hash]);
    session.step(TEAM_TOKEN, &["plan", FIRST]);
    session.step(TEAM_TOKEN, &[&["apply", FIRST, "--wait"], &by[..]].concat());
    session.step(TEAM_TOKEN, &["plan", SECOND]);

    // Another operator's change is accepted between this operator's read and submit.
    write_other(&directory);
    let other = directory.0.join("other").to_str().expect("path").to_owned();
    let daemon = ops.clone();
    session.ops = start_racing_relay(ops.clone(), move || {
        let args = ["apply", &other, "--revision", "99aa", "--author", "bor"];
        let output = run_cli(&daemon, TEAM_TOKEN, &args);
        assert!(output.status.success(), "{}", render_output(&output));
    });
    session.step(TEAM_TOKEN, &[&["apply", SECOND], &by[..]].concat());
    session.ops = ops.clone();

    session.step(TEAM_TOKEN, &["plan", SECOND]);
    session.step(TEAM_TOKEN, &["plan", SECOND, "--json"]);
    session.step(TEAM_TOKEN, &[&["apply", SECOND, "--json"], &by[..]].concat());
    session.step(TEAM_TOKEN, &[&["apply", SECOND], &by[..]].concat());
    session.step(TEAM_TOKEN, &[&["withdraw", "/ledvica/treatment-records"], &by[..]].concat());
    session.step(TEAM_TOKEN, &[&["withdraw", "/ledvica/routes/holdover"], &by[..]].concat());
    session.step(TEAM_TOKEN, &[&["withdraw", "/ledvica/routes/holdover"], &by[..]].concat());
    session.step(TEAM_TOKEN, &["get", "ledvica"]);
    wait_for("2 of 2 in force", || read_in_force(&ops) == (2, 2));
    session.step(MANAGER_TOKEN, &["report"]);
    session.step(MANAGER_TOKEN, &["report", "--csv"]);
    session.step(MANAGER_TOKEN, &["report", "--path", "/ledvica/routes/holdover"]);
    session.step(MANAGER_TOKEN, &["report", "--team", "ledvica", "--csv"]);
    session.step(MANAGER_TOKEN, &["report", "--since", "9000000000000"]);
    session.step(MANAGER_TOKEN, &["report", "--until", "1"]);
    session.step(MANAGER_TOKEN, &["report", "--since", "2200-01-01T00:00:00Z"]);
    session.step(TEAM_TOKEN, &["report"]);
    session.step_json(TEAM_TOKEN, &["get", "ledvica", "--json"]);
    session.step_json(MANAGER_TOKEN, &["report", "--json"]);
    session.step_json(MANAGER_TOKEN, &["report", "--change", "4", "--json"]);
    session.step_json(MANAGER_TOKEN, &["state", "--json"]);

    for daemon in daemons {
        assert!(daemon.terminate().0.success());
    }
    session.step(TEAM_TOKEN, &["plan", FIRST]);
    assert!(platform.terminate().0.success());
    let text = session.text.replace(&ops, "DAEMON");
    expect_file!["golden/cli_session.txt"].assert_eq(&text);
}
