//! The store comes back from a copy of before a server left, and that server's daemon is killed. With
//! the second argument `lying`, in place of the copy, the store is away while the daemon starts, and
//! the server's health answer is good.

mod kit;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use kit::*;

const DRAIN: f64 = 2.0;
/// A machine that was killed counts again as one in touch after this time.
const STABLE_WINDOW: f64 = 3.0;

fn config() -> Json {
    let text = r#"{"version":7,"routes":[{"name":"r-read","host":"hulo84.example",
        "path_prefix":"/leny950/","kind":"unsafe","timeout":4000,"target_latency":800,"priority":0,
        "service":"huvo11a","max_attempts":2,"public":false}],
        "services":[{"name":"huvo11a","health_check_path":"/health","connection_limit":110}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":3000,
        "idle_timeout":15000}}"#;
    Json::parse(text).expect("a configuration")
}

fn main() {
    let (folder, record) = (Folder::new("review-copy"), Record::default());
    let (store, store_address) = Store::start();
    store.put("config", "main", config());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let plan: WorkPlan = Arc::new(|_| Work::new(0.1));
    let bounds = r#"{"drain":2000,"grace":6,"config_apply":2000,"budget_slack":58}"#;
    let template = template();
    let (mut machines, mut servers) = (Vec::new(), Vec::new());
    for index in 0..4 {
        let server = Server::start(&format!("i-{index}"), "huvo11a", 12, &runs, plan.clone());
        let name = format!("sidecar-{index}");
        let zone = if index % 2 == 0 { "dvorana-a" } else { "dvorana-b" };
        let machine = Machine::new(
            &folder.0,
            &template,
            &MachinePlan {
                name: &name,
                zone,
                service: "huvo11a",
                application: Some(server.address),
                store: store_address,
                bounds,
            },
        );
        if index != LEAVING {
            server.report_regularly(machine.control);
        }
        machines.push(machine);
        servers.push(server);
    }
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(|machine| machine.await_ready(10.0)) {
        cannot_run("a daemon is not ready after 10 s");
    }
    record.add("all ready");
    for _ in 0..4 {
        servers[LEAVING].report(machines[LEAVING].control);
        sleep(1.0);
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..12)
        .map(|number| {
            let (sent, is_over) = (sent.clone(), is_over.clone());
            let daemon = number % machines.len();
            let address = machines[daemon].outbound;
            thread::spawn(move || {
                let mut caller = Caller::new(daemon, address);
                while !is_over.load(Ordering::Relaxed) {
                    let answer = caller.send(&Ask {
                        method: "POST",
                        host: "hulo84.example",
                        path: "/leny950/2f",
                        key: None,
                        deadline_ms: 4000,
                        body: b"confirmation",
                    });
                    lock(&sent).push(answer);
                    sleep(0.1);
                }
            })
        })
        .collect();
    sleep(1.0);
    let copy = store.copy();
    // The last report of the server before it leaves is late.
    let late = servers[LEAVING].take_report();
    servers[LEAVING].leave();
    let target = format!("/v1/servers/{}/leave", servers[LEAVING].id);
    let is_acknowledged =
        post_json(machines[LEAVING].control, &target, "").is_some_and(|it| it / 100 == 2);
    let acknowledged_at = now();
    record.add(format!("i-{LEAVING} deregisters; acknowledged: {is_acknowledged}"));
    if !is_acknowledged {
        cannot_run("the leave is not acknowledged");
    }
    sleep(1.0);
    let is_lying = std::env::args().nth(2).is_some_and(|it| it == "lying");
    if has_trouble() && is_lying {
        servers[LEAVING].is_lying.store(true, Ordering::Relaxed);
        store.is_away.store(true, Ordering::Relaxed);
        record.add("the store is away");
    }
    if has_trouble() && !is_lying {
        store.restore(copy);
        record.add("the store came back from a copy of before");
        sleep(1.0);
    }
    machines[LEAVING].signal(SIGKILL);
    machines[LEAVING].await_end(1.0);
    sleep(0.5);
    machines[LEAVING].start();
    let started_at = now();
    record.add(format!("sidecar-{LEAVING} was killed and started again"));
    machines[LEAVING].await_ready(5.0);
    sleep(0.5);
    let target = format!("/v1/servers/{}/heartbeat", servers[LEAVING].id);
    let status = post_json(machines[LEAVING].control, &target, &late);
    record.add(format!("the late report of i-{LEAVING} arrives: {status:?}"));
    sleep_until(acknowledged_at + 10.0);
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let id = format!("i-{LEAVING}");
    let late_runs: Vec<Run> = lock(&runs)
        .iter()
        .filter(|run| run.server == id && run.began > acknowledged_at + DRAIN)
        .cloned()
        .collect();
    let sent = lock(&sent).clone();
    let mut late = 0;
    for run in &late_runs {
        let from = sent.iter().find(|it| it.attempt == run.attempt);
        let daemon = from.map_or(usize::MAX, |it| it.daemon);
        // The killed machine itself counts only once it is in touch again.
        late += usize::from(daemon != LEAVING || run.began > started_at + STABLE_WINDOW);
        record.add_at(
            run.began,
            format!(
                "{id} begins to run {}, sent to sidecar-{daemon}, {:.3} s after the acknowledgement",
                run.attempt,
                run.began - acknowledged_at
            ),
        );
    }
    for it in &sent {
        record.add_at(
            it.at,
            format!("sent {} to {} -> {:?} {}", it.attempt, it.daemon, it.status, it.reason),
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

/// The machine whose server leaves.
const LEAVING: usize = 1;
