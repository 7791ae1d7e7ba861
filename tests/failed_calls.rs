//! A request that failed since a call of its server's failed, in the lines of one daemon.

mod common;

use std::time::Duration;

use common::{TestDirectory, TestProcess, wait_for};
use hyper::Method;
use serde_json::{Value, json};
use sk_adapter_standin::{
    AnswerMode, CallerRequest, ObjectServer, WordServer, send_call, send_heartbeat,
};

const HOST: &str = "board.example";

fn start(directory: &TestDirectory, name: &str, service: &str, store: &str) -> TestProcess {
    let listen = ["proxy", "guard", "control", "ops"].map(|key| format!("{key} = \"127.0.0.1:0\""));
    let secret = directory.0.display();
    directory.write(
        &format!("{name}.toml"),
        &format!(
            "[instance]\nname = \"{name}\"\ndata_centre = \"a\"\nregion = \"r\"\n\
             service = \"{service}\"\n[listen]\n{}\n[platform]\naddress = \"{store}\"\n\
             form = \"objects\"\n[peers]\nsecret = \"fleet in {secret}\"\n",
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

async fn ask(entry: &str, path: &str, attempt: &str) -> u16 {
    let call = CallerRequest {
        method: Method::POST,
        host: HOST,
        path,
        attempt,
        deadline: Duration::from_secs(2),
    };
    send_call(entry.parse().expect("an address"), &call).await.expect("an answer").status
}

/// A confirmation needs a document, and no server of that service is left. Its server answers 500,
/// which says nothing. The caller's complaint is about the confirmation, and whoever looks into it has
/// the output of the daemon that took it.
#[tokio::test(flavor = "multi_thread")]
async fn told_at_entry() {
    let directory = TestDirectory::new("failed_calls");
    let store = ObjectServer::start().await.expect("a store");
    store.put("config", "main", configuration());
    let address = store.address().to_string();
    let entry = start(&directory, "d1", "docs", &address);
    let beside = start(&directory, "d2", "board", &address);
    let server = WordServer::start("s1").await.expect("a server");
    let beat = json!({
        "service": "board", "address": server.address().to_string(), "zone": "a", "version": "v1",
        "slots": 4, "state": "ready", "warm_up_left": 0, "sequence": 1, "born": 1,
    });
    let ops = beside.address("ops").parse().expect("an address");
    assert_eq!(send_heartbeat(ops, "s1", &beat).await.expect("an answer"), 200);
    let proxy = entry.address("proxy");
    let begin = std::time::Instant::now();
    while ask(&proxy, "/board/up", "up").await != 200 {
        assert!(begin.elapsed() < common::WAIT_BOUND, "the server is not used");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    server.set_mode(AnswerMode::Fails);
    // The server's call, by its own daemon, before it gives up.
    assert_eq!(ask(&beside.address("proxy"), "/docs/plan", "a1.c1").await, 503);
    assert_eq!(ask(&proxy, "/board/confirm", "a1").await, 500);
    let told = line_of(&entry, "a1");
    let tries = told["tries"].as_str().unwrap_or_default();
    assert!(
        tries.contains("its call to /operator/services/docs: answered 503 no-endpoint"),
        "{told}"
    );

    // A server that gives a call up answers before the end of the call is seen.
    server.set_work(Duration::from_millis(600));
    let (own, call) = (proxy.clone(), beside.address("proxy"));
    let request = tokio::spawn(async move { ask(&own, "/board/confirm", "a2").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let call = tokio::spawn(async move { ask(&call, "/board/call", "a2.c1").await });
    assert_eq!(request.await.expect("it ends"), 500);
    let told = line_of(&entry, "a2");
    let tries = told["tries"].as_str().unwrap_or_default();
    assert!(tries.contains("its call to /operator/services/board: open after"), "{told}");
    assert_eq!(call.await.expect("it ends"), 500);
}

fn line_of(daemon: &TestProcess, attempt: &str) -> Value {
    let mut told = Value::Null;
    wait_for("the line", || {
        let printed = daemon.printed();
        let mut lines = printed.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        told = lines.rfind(|line| line["attempt"] == attempt).unwrap_or_default();
        told != Value::Null
    });
    told
}
