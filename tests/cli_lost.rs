//! Changes whose answer does not come, and daemons that are away.

mod common;

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use common::{TestDirectory, operate, render};

/// What a daemon of the test's own does with one request: an answer, or none for a lost one.
type Answer = Option<(u16, String)>;

/// Serves until the test ends; gives the address and the requests seen.
fn start_fake(
    mut answer: impl FnMut(&str) -> Answer + Send + 'static,
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
    operate(daemon, "token", &args)
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
    // The daemon's answer is lost after the change has taken effect. Without asking again the
    // operator would see a failure although the change is in force.
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
    assert_eq!(output.status.code(), Some(0), "{}", render(&output));
    assert!(render(&output).contains("accepted as version 1 (change c1)"), "{}", render(&output));
}

#[test]
fn lost_for_good() {
    // Neither the answer nor a later look tells what became of the change. The operator must see
    // that it is unknown, and by which id to ask, instead of a refusal.
    let (daemon, seen) = start_fake(|line| match line {
        "POST /v1/changes" => None,
        "GET /v1/changes/c1" => Some((404, NOT_FOUND.to_owned())),
        _ => Some((200, EMPTY.to_owned())),
    });
    let output = apply(&daemon, &declare("lost_for_good"));
    assert_eq!(output.status.code(), Some(3), "{}", render(&output));
    assert!(render(&output).contains("change c1 takes effect at most once"), "{}", render(&output));
    let seen = seen.lock().expect("log");
    assert_eq!(seen.iter().filter(|line| line.starts_with("POST")).count(), 1, "{seen:?}");
    assert_eq!(seen.iter().filter(|line| line.ends_with("/c1")).count(), 6, "{seen:?}");
}

#[test]
fn another_change() {
    // Another operator's change has the id already. Taking its record for our own would call a
    // change accepted that never was.
    let (daemon, _) = start_fake(|line| match line {
        "POST /v1/changes" => None,
        "GET /v1/changes/c1" => Some((200, record("bor"))),
        _ => Some((200, EMPTY.to_owned())),
    });
    let output = apply(&daemon, &declare("another_change"));
    assert_eq!(output.status.code(), Some(1), "{}", render(&output));
}

#[test]
fn answer_lacks() {
    // A daemon of another version answers without what is accepted. Going on would submit writes
    // on a base that nobody saw.
    let (daemon, seen) = start_fake(|_| Some((200, "{\"version\":3}".to_owned())));
    let output = apply(&daemon, &declare("answer_lacks"));
    assert_eq!(output.status.code(), Some(1), "{}", render(&output));
    let seen = seen.lock().expect("log");
    assert!(seen.iter().all(|line| line.starts_with("GET")), "{seen:?}");
}

#[test]
fn daemon_away() {
    // Nobody listens at the address, so nothing was sent and the command may simply be run again.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("address").to_string();
    drop(listener);
    let output = apply(&address, &declare("daemon_away"));
    assert_eq!(output.status.code(), Some(1), "{}", render(&output));
    assert!(render(&output).contains("nothing was done"), "{}", render(&output));
    let output = operate(&address, "token", &["team", "t", "--token-sha256", &"0".repeat(64)]);
    assert_eq!(output.status.code(), Some(1), "{}", render(&output));
}

#[test]
fn too_many_writes() {
    // A directory holds more than one change may write. The daemon would refuse it after the whole
    // of it was sent.
    let (daemon, seen) = start_fake(|_| Some((200, EMPTY.to_owned())));
    let directory = TestDirectory::new("too_many_writes");
    for index in 0..1001 {
        directory.write(&format!("t/s{index}.toml"), "kind = \"service\"\n");
    }
    let output = apply(&daemon, &directory);
    assert_eq!(output.status.code(), Some(1), "{}", render(&output));
    assert!(render(&output).contains("1001 writes are more than the 1000"), "{}", render(&output));
    let seen = seen.lock().expect("log");
    assert!(seen.iter().all(|line| line.starts_with("GET")), "{seen:?}");
}

#[test]
fn wait_without_token() {
    // The token for reading the report is missing. Finding that out only after the submit would
    // end in a usage error although the change is in force.
    let (daemon, seen) = start_fake(|_| Some((200, EMPTY.to_owned())));
    let directory = declare("wait_without_token");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_sapphirekeel"))
        .args(["--daemon", &daemon, "apply", directory.0.to_str().expect("path"), "--wait"])
        .args(["--revision", "r", "--author", "ana"])
        .env_remove("SAPPHIREKEEL_MANAGER_TOKEN")
        .output()
        .expect("command line runs");
    assert_eq!(output.status.code(), Some(2), "{}", render(&output));
    assert!(seen.lock().expect("log").is_empty());
}

fn wait(name: &str, report: &'static str, bound: &str) -> std::process::Output {
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
    operate(&daemon, "token", &[&args[..], &["--wait", "--wait-bound", bound]].concat())
}

const REPORT: &str = "{\"version\":1,\"change\":null,\"in_force\":1,\"total\":3,\
    \"convergence_ms\":null,\"departed\":[],\"proxies\":[\
    {\"proxy\":\"p1\",\"data_centre\":\"d\",\"version\":1,\"since\":1,\"source\":\"x\",\
    \"state\":\"in-force\"},\
    {\"proxy\":\"p2\",\"data_centre\":\"d\",\"version\":0,\"since\":0,\"source\":\"\",\
    \"state\":\"pending\"},\
    {\"proxy\":\"p3\",\"data_centre\":\"d\",\"version\":0,\"since\":0,\"source\":\"\",\
    \"state\":\"rejected\",\"reason\":\"bad hash\"}]}";

#[test]
fn missing_named() {
    // One proxy lags and another refused the version. The operator must learn which ones when the
    // bound has passed, and must not be told that the change is in force everywhere.
    let output = wait("missing_named", REPORT, "1");
    assert_eq!(output.status.code(), Some(3), "{}", render(&output));
    assert!(render(&output).contains("in force on 1 of 3"), "{}", render(&output));
    assert!(render(&output).contains("in time on p2 p3"), "{}", render(&output));
}

#[test]
fn report_away() {
    // The platform goes away after the change was accepted. A refusal would make the operator
    // submit again what is in force already.
    let output = wait("report_away", "", "1");
    assert_eq!(output.status.code(), Some(3), "{}", render(&output));
    assert!(render(&output).contains("accepted, but not seen in force"), "{}", render(&output));
}
