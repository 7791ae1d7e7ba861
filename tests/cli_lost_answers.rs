//! Commands whose answer is lost, and daemons that cannot be reached.

mod common;

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use common::{TestDirectory, render_output, run_cli};

/// Answer of a fake daemon to one request, or `None` to close the connection without one.
type FakeAnswer = Option<(u16, String)>;

/// Starts a fake daemon and returns its address and the request lines that it receives.
fn start_fake(
    mut answer: impl FnMut(&str) -> FakeAnswer + Send + 'static,
) -> (String, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("address").to_string();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let log = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let Some(line) = read_request(&stream) else { continue };
            log.lock().expect("log").push(line.clone());
            if let Some((status, body)) = answer(&line) {
                let _ = write!(
                    &stream,
                    "HTTP/1.1 {status} X\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
            }
        }
    });
    (address, seen)
}

/// Reads a request and returns its method and path.
fn read_request(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let (mut first, mut length) = (String::new(), 0);
    reader.read_line(&mut first).ok()?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        match line.to_ascii_lowercase().split_once(':') {
            Some(("content-length", value)) => length = value.trim().parse().ok()?,
            Some(_) => (),
            None => break,
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(first.trim_end_matches(" HTTP/1.1\r\n").to_owned())
}

fn declare(name: &str) -> TestDirectory {
    let directory = TestDirectory::new(name);
    directory.write("t/s.toml", "kind = \"service\"\n");
    directory
}

fn apply(daemon: &str, directory: &TestDirectory) -> std::process::Output {
    let directory = directory.0.to_str().expect("path");
    let args = ["apply", directory, "--revision", "r", "--author", "ana", "--change-id", "c1"];
    run_cli(daemon, "token", &args)
}

fn record(author: &str) -> String {
    format!(
        "{{\"version\":1,\"change_id\":\"c1\",\"team\":\"t\",\"author\":\"{author}\",\
         \"revision\":\"r\",\"accepted_at\":1,\"written\":[\"/t/s\"],\"withdrawn\":[]}}"
    )
}

const EMPTY: &str = "{\"version\":0,\"teams\":{}}";
const NOT_FOUND: &str = "{\"refusal\":\"not-found\",\"what\":\"change c1\"}";

#[test]
fn lost_but_accepted() {
    // The daemon's answer is lost after the change has taken effect. Without a lookup the operator
    // would see a failure although the change is in force.
    let mut lookups = 0;
    let (daemon, _) = start_fake(move |line| match line {
        "POST /v1/changes" => None,
        "GET /v1/changes/c1" => {
            lookups += 1;
            match lookups {
                1 => Some((404, NOT_FOUND.to_owned())),
                _ => Some((200, record("ana"))),
            }
        }
        _ => Some((200, EMPTY.to_owned())),
    });
    let output = apply(&daemon, &declare("lost_accepted"));
    assert_eq!(output.status.code(), Some(0), "{}", render_output(&output));
    assert!(
        render_output(&output).contains("accepted as version 1 (change c1)"),
        "{}",
        render_output(&output)
    );
}

#[test]
fn outcome_unknown() {
    // Neither the answer nor a lookup gives the outcome of the change. The operator must see that
    // it is unknown, with the id for further lookups, instead of a refusal.
    let (daemon, seen) = start_fake(|line| match line {
        "POST /v1/changes" => None,
        "GET /v1/changes/c1" => Some((404, NOT_FOUND.to_owned())),
        _ => Some((200, EMPTY.to_owned())),
    });
    let output = apply(&daemon, &declare("lost_for_good"));
    assert_eq!(output.status.code(), Some(3), "{}", render_output(&output));
    assert!(
        render_output(&output).contains("change c1 takes effect at most once"),
        "{}",
        render_output(&output)
    );
    let seen = seen.lock().expect("log");
    assert_eq!(seen.iter().filter(|line| line.starts_with("POST")).count(), 1, "{seen:?}");
    assert_eq!(seen.iter().filter(|line| line.ends_with("/c1")).count(), 6, "{seen:?}");
}

#[test]
fn another_change() {
    // Another operator's change already has the id. Its record must not be mistaken for that of
    // this change, which was never accepted.
    let (daemon, _) = start_fake(|line| match line {
        "POST /v1/changes" => None,
        "GET /v1/changes/c1" => Some((200, record("bor"))),
        _ => Some((200, EMPTY.to_owned())),
    });
    let output = apply(&daemon, &declare("another_change"));
    assert_eq!(output.status.code(), Some(1), "{}", render_output(&output));
}

#[test]
fn incomplete_answer() {
    // A daemon of another version answers without the accepted settings. The command must not
    // submit writes on a base that it has not read.
    let (daemon, seen) = start_fake(|_| Some((200, "{\"version\":3}".to_owned())));
    let output = apply(&daemon, &declare("answer_lacks"));
    assert_eq!(output.status.code(), Some(1), "{}", render_output(&output));
    let seen = seen.lock().expect("log");
    assert!(seen.iter().all(|line| line.starts_with("GET")), "{seen:?}");
}

#[test]
fn daemon_unreachable() {
    // No process listens at the address, so nothing was sent and the command may be run again.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("address").to_string();
    drop(listener);
    let output = apply(&address, &declare("daemon_away"));
    assert_eq!(output.status.code(), Some(1), "{}", render_output(&output));
    assert!(render_output(&output).contains("nothing was done"), "{}", render_output(&output));
    let output = run_cli(&address, "token", &["team", "t", "--token-sha256", &"0".repeat(64)]);
    assert_eq!(output.status.code(), Some(1), "{}", render_output(&output));
}

#[test]
fn too_many_writes() {
    // A directory has more settings than one change may write. Without a check beforehand, the
    // daemon would refuse the change only after all of it was sent.
    let (daemon, seen) = start_fake(|_| Some((200, EMPTY.to_owned())));
    let directory = TestDirectory::new("too_many_writes");
    for index in 0..1001 {
        directory.write(&format!("t/s{index}.toml"), "kind = \"service\"\n");
    }
    let output = apply(&daemon, &directory);
    assert_eq!(output.status.code(), Some(1), "{}", render_output(&output));
    assert!(
        render_output(&output).contains("1001 writes are more than the 1000"),
        "{}",
        render_output(&output)
    );
    let seen = seen.lock().expect("log");
    assert!(seen.iter().all(|line| line.starts_with("GET")), "{seen:?}");
}

#[test]
fn wait_without_token() {
    // The token for the report is missing. If this was noticed only after the submit, the command
    // would end in a usage error although the change is in force.
    let (daemon, seen) = start_fake(|_| Some((200, EMPTY.to_owned())));
    let directory = declare("wait_without_token");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_sapphirekeel"))
        .args(["--daemon", &daemon, "apply", directory.0.to_str().expect("path"), "--wait"])
        .args(["--revision", "r", "--author", "ana"])
        .env_remove("SAPPHIREKEEL_MANAGER_TOKEN")
        .output()
        .expect("command line runs");
    assert_eq!(output.status.code(), Some(2), "{}", render_output(&output));
    assert!(seen.lock().expect("log").is_empty());
}

/// Applies a change with `--wait` at a fake daemon that gives a report, or refuses if it is empty.
fn apply_and_wait(name: &str, report: &'static str, bound: &str) -> std::process::Output {
    let (daemon, _) = start_fake(move |line| match line {
        "POST /v1/changes" => Some((200, record("ana"))),
        "GET /v1/report" => match report {
            "" => Some((503, "{\"refusal\":\"not-accepted\",\"retry_at\":1}".to_owned())),
            report => Some((200, report.to_owned())),
        },
        _ => Some((200, EMPTY.to_owned())),
    });
    let directory = declare(name);
    let args = ["apply", directory.0.to_str().expect("path"), "--revision", "r", "--author", "ana"];
    run_cli(&daemon, "token", &[&args[..], &["--wait", "--wait-bound", bound]].concat())
}

const REPORT: &str = "{\"version\":1,\"change\":null,\"in_force\":1,\"total\":4,\
    \"convergence_ms\":null,\"departed\":[],\"proxies\":[\
    {\"proxy\":\"p1\",\"data_centre\":\"d\",\"version\":1,\"since\":1,\"source\":\"x\",\
    \"state\":\"in-force\"},\
    {\"proxy\":\"p2\",\"data_centre\":\"d\",\"version\":0,\"since\":0,\"source\":\"\",\
    \"state\":\"pending\"},\
    {\"proxy\":\"p3\",\"data_centre\":\"d\",\"version\":0,\"since\":0,\"source\":\"\",\
    \"state\":\"rejected\",\"reason\":\"bad hash\"},\
    {\"proxy\":\"p4\",\"data_centre\":\"d\",\"version\":1,\"since\":1,\"source\":\"x\",\
    \"state\":\"unreachable\",\"unreachable_since\":5}]}";

#[test]
fn missing_named() {
    // One proxy lags, another rejected the version, and a third had it in force but is unreachable,
    // so that its present version is not known. After the timeout the command must name these
    // proxies and must not report the change as in force everywhere.
    let output = apply_and_wait("missing_named", REPORT, "1");
    assert_eq!(output.status.code(), Some(3), "{}", render_output(&output));
    assert!(render_output(&output).contains("in force on 1 of 4"), "{}", render_output(&output));
    assert!(render_output(&output).contains("in time on p2 p3 p4"), "{}", render_output(&output));
}

#[test]
fn report_unavailable() {
    // The platform becomes unavailable after the change was accepted. On a refusal the operator
    // would submit again what is already in force.
    let output = apply_and_wait("report_away", "", "1");
    assert_eq!(output.status.code(), Some(3), "{}", render_output(&output));
    assert!(
        render_output(&output).contains("accepted, but not seen in force"),
        "{}",
        render_output(&output)
    );
}
