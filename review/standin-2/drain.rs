//! A server leaves, and the answers to requests that it still runs are lost.

mod kit;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
};

use kit::*;

/// Bound of the sheet: a server gets no request later than this after its leave is acknowledged.
const DRAIN: f64 = 2.0;
const WORK: f64 = 3.0;
/// The first server of three loses the answers of one in this many requests: a third of the servers,
/// and a third of the requests that they run.
const LOST_ONE_IN: usize = 3;

fn config() -> Json {
    let text = r#"{"version":7,"routes":[{"name":"r-read","host":"hulo84.example",
        "path_prefix":"/leny950/","kind":"safe","timeout":6000,"target_latency":5000,"priority":0,
        "service":"huvo11a","max_attempts":2,"public":false}],
        "services":[{"name":"huvo11a","health_check_path":"/health","connection_limit":110}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":3000,
        "idle_timeout":15000}}"#;
    Json::parse(text).expect("a configuration")
}

/// Sends `count` requests at once to the machines in turn.
fn send_all(addresses: &[std::net::SocketAddr], count: usize, path: &str) -> Vec<Sent> {
    let sent: Mutex<Vec<Sent>> = Mutex::default();
    thread::scope(|scope| {
        for number in 0..count {
            let sent = &sent;
            scope.spawn(move || {
                let daemon = number % addresses.len();
                let answer = Caller::new(daemon, addresses[daemon]).send(&Ask {
                    method: "GET",
                    host: "hulo84.example",
                    path,
                    key: None,
                    deadline_ms: 6000,
                    body: b"",
                });
                lock(sent).push(answer);
            });
        }
    });
    sent.into_inner().unwrap_or_else(|err| err.into_inner())
}

fn main() {
    let (folder, record) = (Folder::new("review-drain"), Record::default());
    let (store, store_address) = Store::start();
    store.put("config", "main", config());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    // The first server loses answers, if the script runs with its disruption.
    let is_losing = Arc::new(AtomicBool::new(false));
    let bounds = r#"{"drain":2000,"grace":6,"config_apply":2000,"budget_slack":58}"#;
    let template = template();
    let (mut machines, mut servers) = (Vec::new(), Vec::new());
    for index in 0..3 {
        let (losing, count) = (is_losing.clone(), AtomicUsize::new(0));
        let plan: WorkPlan = Arc::new(move |head| {
            let is_long = head.word(1).ends_with("/long");
            let work = Work::new(if is_long { WORK } else { 0.3 });
            let is_losing = index == 0 && losing.load(Ordering::Relaxed);
            let number = if is_losing { count.fetch_add(1, Ordering::Relaxed) } else { 0 };
            Work { is_answer_lost: is_losing && number % LOST_ONE_IN == 0, ..work }
        });
        let server = Server::start(&format!("i-{index}"), "huvo11a", 12, &runs, plan);
        let name = format!("sidecar-{index}");
        let machine = Machine::new(
            &folder.0,
            &template,
            &MachinePlan {
                name: &name,
                zone: "dvorana-a",
                service: "huvo11a",
                application: Some(server.address),
                store: store_address,
                bounds,
            },
        );
        server.report_regularly(machine.control);
        machines.push(machine);
        servers.push(server);
    }
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(|machine| machine.await_ready(10.0)) {
        cannot_run("a daemon is not ready after 10 s");
    }
    record.add("all ready");
    sleep(5.0);
    let addresses: Vec<_> = machines.iter().map(|machine| machine.outbound).collect();
    // Requests as usual, after which the daemons keep connections to their servers.
    send_all(&addresses, 30, "/leny950/short");
    sleep(0.4);
    is_losing.store(has_trouble(), Ordering::Relaxed);
    let long = thread::spawn(move || send_all(&addresses, 27, "/leny950/long"));
    sleep(0.3);
    servers[0].leave();
    let is_acknowledged = servers[0].report(machines[0].control);
    let acknowledged_at = now();
    record.add(format!("i-0 says that it is draining; acknowledged: {is_acknowledged}"));
    if !is_acknowledged {
        cannot_run("the leave is not acknowledged");
    }
    let sent = long.join().unwrap_or_default();
    sleep(1.0);
    let mut late = 0;
    for run in lock(&runs).iter().filter(|run| run.path.ends_with("/long")) {
        let after = run.began - acknowledged_at;
        let is_late = run.server == "i-0" && after > DRAIN;
        late += usize::from(is_late);
        let mark = if is_late {
            format!(", {after:.3} s after the acknowledgement")
        } else {
            String::new()
        };
        record.add_at(run.began, format!("{} begins to run {}{mark}", run.server, run.attempt));
    }
    for it in &sent {
        record.add_at(
            it.at,
            format!(
                "sent {} to sidecar-{} -> {:?} {} at {:.3}",
                it.attempt, it.daemon, it.status, it.reason, it.ended
            ),
        );
    }
    drop(machines);
    let line = format!(
        "{late} requests reached a server later than {DRAIN} s after its leave was acknowledged"
    );
    record.write(&format!("{}: {line}", if late > 0 { "DRAIN is broken" } else { "DRAIN holds" }));
    drop(folder);
    std::process::exit(i32::from(late > 0));
}
