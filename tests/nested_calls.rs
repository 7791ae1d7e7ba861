//! Nested calls of servers: the order in which they run, and the log line of a request that failed
//! because one of them failed.

mod common;

use std::time::Duration;

use common::{TestDirectory, TestProcess, wait_for};
use hyper::Method;
use serde_json::{Value, json};
use sk_adapter_standin::{
    AnswerMode, BackendServer, CallerRequest, StoreServer, send_heartbeat, send_request,
};

const HOST: &str = "board.example";

/// Starts a daemon beside a server of a service, with the object store as its platform.
fn start(directory: &TestDirectory, name: &str, service: &str, store: &str) -> TestProcess {
    let listen = ["proxy", "guard", "control", "ops"].map(|key| format!("{key} = \"127.0.0.1:0\""));
    let secret = directory.0.display();
    directory.write(
        &format!("{name}.toml"),
        &format!(
            "[instance]\nname = \"{name}\"\ndata_centre = \"a\"\nregion = \"r\"\n\
             service = \"{service}\"\n[listen]\n{}\n[platform]\naddress = \"{store}\"\n\
             form = \"objects\"\n[peers]\nsecret = \"fleet in {secret}\"\n\
             [placing]\norder = \"soonest\"\n",
            listen.join("\n")
        ),
    );
    let file = directory.0.join(format!("{name}.toml"));
    TestProcess::start(env!("CARGO_BIN_EXE_sapphirekeeld"), &[file.to_str().expect("path")])
}

fn configuration() -> Value {
    let route = |service: &str| {
        json!({
            "name": service, "host": HOST, "path_prefix": format!("/{service}/"), "kind": "unsafe",
            "timeout": 2000, "target_latency": 600, "priority": 1, "max_attempts": 2,
            "service": service,
        })
    };
    let service = |name: &str| json!({ "name": name, "connection_limit": 110 });
    let limits = json!({
        "max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout": 3000,
        "idle_timeout": 15000,
    });
    json!({
        "version": 1, "routes": [route("board"), route("docs")],
        "services": [service("board"), service("docs")], "limits": limits,
    })
}

/// Sends a request and returns the status of the answer.
async fn send(entry: &str, path: &str, attempt: &str) -> u16 {
    let call = CallerRequest {
        method: Method::POST,
        host: HOST,
        path,
        attempt,
        deadline: Duration::from_secs(2),
        authorization: None,
    };
    send_request(entry.parse().expect("an address"), &call).await.expect("an answer").status
}

/// A confirmation needs a document, but no server of the document service is left, so the server
/// answers 500. The line of the daemon that accepted the confirmation must name the failed call, as
/// an engineer has only the request's id and this daemon's output.
#[tokio::test(flavor = "multi_thread")]
async fn nested_call_logged() {
    let directory = TestDirectory::new("failed_calls");
    let store = StoreServer::start().await.expect("a store");
    store.put("config", "main", configuration());
    let address = store.address().to_string();
    let entry = start(&directory, "d1", "docs", &address);
    let server_daemon = start(&directory, "d2", "board", &address);
    let server = BackendServer::start("board-server").await.expect("a server");
    announce(&server_daemon, "board", &server, 4).await;
    let proxy = entry.address("proxy");
    wait_served(&proxy, "/board/up").await;

    server.set_mode(AnswerMode::Fails);
    server.set_work_time(Duration::from_millis(600));
    // The nested call of the server, through its own daemon, ends before the server answers.
    let own = proxy.clone();
    let request = tokio::spawn(async move { send(&own, "/board/confirm", "a1").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(send(&server_daemon.address("proxy"), "/docs/plan", "a1.c1").await, 503);
    assert_eq!(request.await.expect("it ends"), 500);
    let line = line_of(&entry, "a1");
    let tries = line["tries"].as_str().unwrap_or_default();
    assert!(
        tries.contains("its call to /operator/services/docs: answered 503 no-endpoint"),
        "{line}"
    );

    // A server that abandons its nested call answers before the daemon sees the end of that call.
    let (own, call) = (proxy.clone(), server_daemon.address("proxy"));
    let request = tokio::spawn(async move { send(&own, "/board/confirm", "a2").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let call = tokio::spawn(async move { send(&call, "/board/call", "a2.c1").await });
    assert_eq!(request.await.expect("it ends"), 500);
    let line = line_of(&entry, "a2");
    let tries = line["tries"].as_str().unwrap_or_default();
    assert!(tries.contains("its call to /operator/services/board: open after"), "{line}");
    assert_eq!(call.await.expect("it ends"), 500);
}

/// Announces a server to the daemon beside it.
async fn announce(daemon: &TestProcess, service: &str, server: &BackendServer, slots: u32) {
    let beat = json!({
        "service": service, "address": server.address().to_string(), "zone": "a", "version": "v1",
        "slots": slots, "state": "ready", "warm_up_left": 0, "sequence": 1, "born": 1,
    });
    let ops = daemon.address("ops").parse().expect("an address");
    let name = format!("{service}-server");
    assert_eq!(send_heartbeat(ops, &name, &beat).await.expect("an answer"), 200);
}

/// Waits until requests are served.
async fn wait_served(proxy: &str, path: &str) {
    let begin = std::time::Instant::now();
    while send(proxy, path, "up").await != 200 {
        assert!(begin.elapsed() < common::WAIT_BOUND, "the server is not used");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a server whose requests wait for their calls behind requests of callers, so that its
/// slots stay occupied. A call is known by the running request that its id names, and callers cannot
/// get ahead by such an id.
#[tokio::test(flavor = "multi_thread")]
async fn running_call_first() {
    let directory = TestDirectory::new("nested_first");
    let store = StoreServer::start().await.expect("a store");
    store.put("config", "main", configuration());
    let address = store.address().to_string();
    let documents = start(&directory, "d1", "docs", &address);
    let board = start(&directory, "d2", "board", &address);
    let document_server = BackendServer::start("docs-server").await.expect("a server");
    let board_server = BackendServer::start("board-server").await.expect("a server");
    announce(&documents, "docs", &document_server, 1).await;
    announce(&board, "board", &board_server, 4).await;
    let proxy = board.address("proxy");
    wait_served(&proxy, "/board/up").await;
    wait_served(&proxy, "/docs/up").await;
    document_server.set_work_time(Duration::from_millis(150));
    board_server.set_work_time(Duration::from_millis(1500));
    let ended: std::sync::Arc<std::sync::Mutex<Vec<String>>> = Default::default();
    let begin = |path: &'static str, attempt: &'static str| {
        let (proxy, ended) = (proxy.clone(), ended.clone());
        tokio::spawn(async move {
            let status = send(&proxy, path, attempt).await;
            ended.lock().expect("no panic").push(attempt.to_owned());
            status
        })
    };
    let parent = begin("/board/confirm", "a1");
    let mut all = Vec::new();
    for attempt in ["first", "b7.c1", "third", "a1.c1"] {
        tokio::time::sleep(Duration::from_millis(25)).await;
        all.push(begin("/docs/plan", attempt));
    }
    for request in all {
        assert_eq!(request.await.expect("it ends"), 200);
    }
    assert_eq!(parent.await.expect("it ends"), 200);
    assert_eq!(*ended.lock().expect("no panic"), ["first", "a1.c1", "b7.c1", "third", "a1"]);
}

/// Waits for the log line about an attempt and returns it.
fn line_of(daemon: &TestProcess, attempt: &str) -> Value {
    let mut found = Value::Null;
    wait_for("the line", || {
        let printed = daemon.printed();
        let mut lines = printed.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        found = lines.rfind(|line| line["attempt"] == attempt).unwrap_or_default();
        found != Value::Null
    });
    found
}
