//! A whole operator's day at the command line, over a platform and two daemons.

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
    DaemonPlan, MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, in_force, is_utc, operate,
    platform_address, render, start_daemon, start_platform, wait_for,
};
use expect_test::expect_file;
use serde_json::Value;

const FIRST: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/declarations/first");
const SECOND: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/declarations/second");
const DAEMONS: [(&str, &str); 2] = [("lj1-board-1", "lj1"), ("lj2-board-1", "lj2")];
const TIME_DIGITS: usize = 13;

/// Passes connections on to a daemon and calls `before_post` before the first submit goes through,
/// as if another operator had been a moment quicker.
fn start_relay(daemon: String, before_post: impl FnOnce() + Send + 'static) -> String {
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

/// Replaces times, durations and the daemon a version came from, which differ from run to run.
fn normalise(text: &str) -> String {
    let lines = text.lines().filter(|line| !is_progress(line));
    let hide = |line: &str| hide_source(&hide_durations(&hide_times(&hide_utc(line))));
    lines.map(|line| hide(line) + "\n").collect()
}

/// Tells whether a line is progress that a quick fleet skips.
fn is_progress(line: &str) -> bool {
    matches!(line, "in force on 0 of 2" | "in force on 1 of 2")
}

/// Replaces times like 2026-12-03T08:15:00.123Z, and only what has that form to the letter.
fn hide_utc(line: &str) -> String {
    let words = line.split(' ').map(|word| if is_utc(word) { "<utc>" } else { word });
    words.collect::<Vec<_>>().join(" ")
}

fn hide_times(line: &str) -> String {
    let mut text = String::new();
    let mut rest = line;
    while let Some(start) = rest.find(|letter: char| letter.is_ascii_digit()) {
        let digits = rest[start..].bytes().take_while(u8::is_ascii_digit).count();
        let number = &rest[start..start + digits];
        text.push_str(&rest[..start]);
        text.push_str(if digits == TIME_DIGITS { "<time>" } else { number });
        rest = &rest[start + digits..];
    }
    text + rest
}

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

/// Renders what a script can rely on of a JSON answer: its keys and types.
fn shape(value: &Value, indent: usize, text: &mut String) {
    let margin = "  ".repeat(indent);
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let _ = writeln!(text, "{margin}{name}: {}", type_of(value));
                shape(value, indent + 1, text);
            }
        }
        Value::Array(values) => {
            values.iter().take(1).for_each(|value| shape(value, indent + 1, text));
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

struct DaySession {
    ops: String,
    text: String,
}

impl DaySession {
    fn step(&mut self, token: &str, args: &[&str]) {
        let shown: Vec<&str> = args.iter().map(|arg| show_arg(arg)).collect();
        let output = operate(&self.ops, token, args);
        let printed = normalise(&render(&output));
        let _ = writeln!(self.text, "$ sapphirekeel {}\n{printed}", shown.join(" "));
    }

    fn step_json(&mut self, token: &str, args: &[&str]) {
        let output = operate(&self.ops, token, args);
        assert!(output.status.success(), "{}", render(&output));
        let value: Value = serde_json::from_slice(&output.stdout).expect("JSON");
        let _ = writeln!(self.text, "$ sapphirekeel {} (shape)", args.join(" "));
        shape(&value, 0, &mut self.text);
        self.text.push('\n');
    }
}

fn show_arg(arg: &str) -> &str {
    match arg {
        arg if arg.len() == 64 => "HASH",
        arg if arg.contains('/') && Path::new(arg).is_dir() => {
            Path::new(arg).file_name().and_then(|name| name.to_str()).unwrap_or(arg)
        }
        arg => arg,
    }
}

/// Copies the first declarations with another deadline, as a second operator's checkout.
fn write_other(directory: &TestDirectory) {
    for name in ["queue-board", "treatment-records", "routes/board", "routes/treatments"] {
        let file = format!("ledvica/{name}.toml");
        let text = fs::read_to_string(Path::new(FIRST).join(&file)).expect("example");
        directory.write(&format!("other/{file}"), &text.replace("2000", "1500"));
    }
}

#[test]
fn operator_day() {
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
    wait_for("both daemons to meet", || in_force(&ops).1 == 2);
    let mut day = DaySession { ops: ops.clone(), text: String::new() };
    let by = ["--revision", "4f2a", "--author", "ana"];
    let hash = sk_ops::hash_token(TEAM_TOKEN);

    day.step(MANAGER_TOKEN, &["team", "ledvica", "--token-sha256", &hash]);
    day.step(TEAM_TOKEN, &["plan", FIRST]);
    day.step(TEAM_TOKEN, &[&["apply", FIRST, "--wait"], &by[..]].concat());
    day.step(TEAM_TOKEN, &["plan", SECOND]);

    // Another operator's change comes in between this one's read and submit.
    write_other(&directory);
    let other = directory.0.join("other").to_str().expect("path").to_owned();
    let daemon = ops.clone();
    day.ops = start_relay(ops.clone(), move || {
        let args = ["apply", &other, "--revision", "99aa", "--author", "bor"];
        let output = operate(&daemon, TEAM_TOKEN, &args);
        assert!(output.status.success(), "{}", render(&output));
    });
    day.step(TEAM_TOKEN, &[&["apply", SECOND], &by[..]].concat());
    day.ops = ops.clone();

    day.step(TEAM_TOKEN, &["plan", SECOND]);
    day.step(TEAM_TOKEN, &["plan", SECOND, "--json"]);
    day.step(TEAM_TOKEN, &[&["apply", SECOND, "--json"], &by[..]].concat());
    day.step(TEAM_TOKEN, &[&["apply", SECOND], &by[..]].concat());
    day.step(TEAM_TOKEN, &[&["withdraw", "/ledvica/treatment-records"], &by[..]].concat());
    day.step(TEAM_TOKEN, &[&["withdraw", "/ledvica/routes/holdover"], &by[..]].concat());
    day.step(TEAM_TOKEN, &[&["withdraw", "/ledvica/routes/holdover"], &by[..]].concat());
    day.step(TEAM_TOKEN, &["get", "ledvica"]);
    wait_for("2 of 2 in force", || in_force(&ops) == (2, 2));
    day.step(MANAGER_TOKEN, &["report"]);
    day.step(MANAGER_TOKEN, &["report", "--csv"]);
    day.step(MANAGER_TOKEN, &["report", "--path", "/ledvica/routes/holdover"]);
    day.step(MANAGER_TOKEN, &["report", "--team", "ledvica", "--csv"]);
    day.step(MANAGER_TOKEN, &["report", "--since", "9000000000000"]);
    day.step(MANAGER_TOKEN, &["report", "--until", "1"]);
    day.step(MANAGER_TOKEN, &["report", "--since", "2200-01-01T00:00:00Z"]);
    day.step(TEAM_TOKEN, &["report"]);
    day.step_json(TEAM_TOKEN, &["get", "ledvica", "--json"]);
    day.step_json(MANAGER_TOKEN, &["report", "--json"]);
    day.step_json(MANAGER_TOKEN, &["report", "--change", "4", "--json"]);
    day.step_json(MANAGER_TOKEN, &["state", "--json"]);

    for daemon in daemons {
        assert!(daemon.terminate().0.success());
    }
    day.step(TEAM_TOKEN, &["plan", FIRST]);
    assert!(platform.terminate().0.success());
    let text = day.text.replace(&ops, "DAEMON");
    expect_file!["golden/cli_session.txt"].assert_eq(&text);
}
