//! All daemons are killed at once, while servers run requests for which they make calls.

mod kit;

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, OnceLock},
    thread,
};

use kit::*;

/// Time after which a server makes the call for a request, and the rest of its work, in seconds.
const BEFORE_CALL: f64 = 1.5;
const KEY: &str = "rcpihhacruddedev3nax";
const MACHINES: usize = 4;

fn config() -> Json {
    let text = format!(
        r#"{{"version":7,"routes":[{{"name":"r-issue","host":"hulo84.example",
        "path_prefix":"/leny950/","kind":"unsafe","timeout":4000,"target_latency":3000,"priority":0,
        "service":"huvo11a","max_attempts":2,"public":false}},
        {{"name":"r-check","host":"hulo84.example","path_prefix":"/cufi502/","kind":"safe",
        "timeout":2000,"target_latency":500,"priority":0,"service":"huvo11a","max_attempts":2,
        "public":false}}],
        "services":[{{"name":"huvo11a","health_check_path":"/health","connection_limit":540}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":3000,
        "idle_timeout":15000}},
        "tenants":[{{"name":"alfa","api_keys":["{KEY}"],"priority":1,"rate_per_s":575,
        "burst":575}}]}}"#
    );
    Json::parse(&text).expect("a configuration")
}

/// A call of a server and its answer.
#[derive(Clone, Debug)]
struct Call {
    id: String,
    at: f64,
    status: Option<u16>,
    reason: String,
}

/// A server that goes on with a request when its connection closes, and makes one call for each.
struct CallingServer {
    id: String,
    /// Where its machine takes requests.
    outbound: OnceLock<SocketAddr>,
    calls: Mutex<Vec<Call>>,
}

impl CallingServer {
    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve_connection(Wire::new(stream)));
            }
        });
    }

    fn serve_connection(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.read_head() {
            let Ok(_) = wire.read_body(&head) else { return };
            let attempt = head.get("x-attempt-id").unwrap_or_default().to_owned();
            let path = head.word(1).to_owned();
            let lines = match path.as_str() {
                "/health" => format!("X-Instance-Id: {}\r\nX-Server-Load: 0,0,13\r\n", self.id),
                _ => format!("X-Attempt-Id: {attempt}\r\nX-Server-Signature: proof\r\n"),
            };
            let is_done = !path.starts_with("/leny950/") || self.run_with_call(&attempt);
            let status = if is_done { "200 OK" } else { "500 Internal Server Error" };
            if wire.write_answer(status, &lines, b"done").is_err() {
                return;
            }
        }
    }

    /// Works, makes a call without a key, as calls of servers are, and returns whether it succeeded.
    fn run_with_call(&self, parent: &str) -> bool {
        sleep(BEFORE_CALL);
        let Some(outbound) = self.outbound.get() else { return false };
        let mut call =
            Call { id: format!("{parent}.1"), at: now(), status: None, reason: String::new() };
        if let Ok(mut wire) = Wire::open(*outbound, 2.0) {
            let text = format!(
                "GET /cufi502/2f HTTP/1.1\r\nHost: hulo84.example\r\nX-Attempt-Id: {}\r\n\
                 X-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n",
                call.id
            );
            let _ = std::io::Write::write_all(&mut wire.stream, text.as_bytes());
            if let Ok(Some(head)) = wire.read_head() {
                call.status = Some(head.status());
                call.reason = head.get("x-sapphirekeel-reason").unwrap_or_default().to_owned();
            }
        }
        let is_done = call.status == Some(200);
        lock(&self.calls).push(call);
        is_done
    }
}

fn main() {
    let (folder, record) = (Folder::new("review-calls"), Record::default());
    let (store, store_address) = Store::start();
    store.put("config", "main", config());
    let bounds = r#"{"drain":2500,"grace":6,"config_apply":2500,"budget_slack":200,
        "strict_revocation":false,"revoke":5000}"#;
    let template = template();
    let (mut machines, mut servers) = (Vec::new(), Vec::new());
    for index in 0..MACHINES {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let id = format!("i-{index}");
        let server = Arc::new(CallingServer {
            id: id.clone(),
            outbound: OnceLock::new(),
            calls: Mutex::default(),
        });
        server.serve(listener);
        let name = format!("sidecar-{index}");
        let zone = if index % 2 == 0 { "at-east-a" } else { "at-east-b" };
        let machine = Machine::new(
            &folder.0,
            &template,
            &MachinePlan {
                name: &name,
                zone,
                service: "huvo11a",
                application: Some(address),
                store: store_address,
                bounds,
            },
        );
        let _ = server.outbound.set(machine.outbound);
        let control = machine.control;
        thread::spawn(move || {
            for sequence in 1.. {
                let body = format!(
                    "{{\"service\":\"huvo11a\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":13,\"state\":\"ready\",\"warm_up_left\":0,\
                     \"sequence\":{sequence}}}"
                );
                post_json(control, &format!("/v1/servers/{id}/heartbeat"), &body);
                sleep(1.5);
            }
        });
        machines.push(machine);
        servers.push(server);
    }
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(|machine| machine.await_ready(10.0)) {
        cannot_run("a daemon is not ready after 10 s");
    }
    record.add("all ready");
    sleep(5.0);
    let addresses: Vec<SocketAddr> = machines.iter().map(|machine| machine.outbound).collect();
    let send_all = move || {
        let sent: Mutex<Vec<Sent>> = Mutex::default();
        thread::scope(|scope| {
            for number in 0..32 {
                let (sent, daemon) = (&sent, number % MACHINES);
                let address = addresses[daemon];
                scope.spawn(move || {
                    let answer = Caller::new(daemon, address).send(&Ask {
                        method: "POST",
                        host: "hulo84.example",
                        path: "/leny950/2f",
                        key: Some(KEY),
                        deadline_ms: 4000,
                        body: b"certificate",
                    });
                    lock(sent).push(answer);
                });
            }
        });
        sent.into_inner().unwrap_or_else(|err| err.into_inner())
    };
    // As usual first.
    let before = send_all();
    let count = before.iter().filter(|it| it.status == Some(200)).count();
    record.add(format!("{count} of {} requests were answered 200", before.len()));
    let sender = thread::spawn(send_all);
    sleep(0.4);
    if has_trouble() {
        machines.iter().for_each(|machine| machine.signal(SIGKILL));
        machines.iter_mut().for_each(|machine| machine.await_end(1.0));
        record.add("all daemons were killed at the same moment");
        sleep(0.2);
        machines.iter_mut().for_each(Machine::start);
        record.add("all daemons were started again");
        if !machines.iter().all(|machine| machine.await_ready(5.0)) {
            cannot_run("a daemon is not ready 5 s after its start");
        }
        record.add("all ready again");
    }
    let sent = sender.join().unwrap_or_default();
    sleep(2.0);
    for it in before.iter().chain(&sent) {
        record.add_at(
            it.at,
            format!(
                "sent {} to sidecar-{} -> {:?} {} {}",
                it.attempt, it.daemon, it.status, it.reason, it.error
            ),
        );
    }
    let mut denied = 0;
    for server in &servers {
        for call in lock(&server.calls).iter() {
            record.add_at(
                call.at,
                format!("call {} of {} -> {:?} {}", call.id, server.id, call.status, call.reason),
            );
            denied += usize::from(matches!(call.status, Some(401 | 403 | 404)));
        }
    }
    drop(machines);
    let line = format!("{denied} calls of servers were answered 401, 403 or 404; 10 are allowed");
    let is_broken = denied > 10;
    record
        .write(&format!("{}: {line}", if is_broken { "DENIED is broken" } else { "DENIED holds" }));
    drop(folder);
    std::process::exit(i32::from(is_broken));
}
