//! A new configuration allows larger bodies, and callers send such bodies.

mod kit;

use std::{
    sync::{Arc, Mutex},
    thread,
};

use kit::*;

const MIB: usize = 1024 * 1024;
/// Time after the acknowledgement of a version from which requests are handled by it.
const CONFIG_APPLY: f64 = 2.5;

fn config(version: u64, limit: usize) -> Json {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"r-upload","host":"hulo84.example",
        "path_prefix":"/puka111/","kind":"upload","timeout":10000,"target_latency":5000,
        "priority":0,"service":"huvo11a","max_attempts":2,"public":false}}],
        "services":[{{"name":"huvo11a","health_check_path":"/health","connection_limit":540}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":{limit},"header_timeout":3000,
        "idle_timeout":15000}}}}"#
    );
    Json::parse(&text).expect("a configuration")
}

fn main() {
    let (folder, record) = (Folder::new("review-bodies"), Arc::new(Record::default()));
    let (store, store_address) = Store::start();
    store.put("config", "main", config(7, 12 * MIB));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let plan: WorkPlan = Arc::new(|_| Work::new(0.05));
    let bounds = r#"{"drain":2500,"grace":6,"config_apply":2500,"budget_slack":200}"#;
    let template = template();
    let mut machines = Vec::new();
    for index in 0..3 {
        let server = Server::start(&format!("i-{index}"), "huvo11a", 13, &runs, plan.clone());
        let name = format!("sidecar-{index}");
        let machine = Machine::new(
            &folder.0,
            &template,
            &MachinePlan {
                name: &name,
                zone: "at-east-a",
                service: "huvo11a",
                application: Some(server.address),
                store: store_address,
                bounds,
            },
        );
        server.report_regularly(machine.control);
        machines.push(machine);
    }
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(|machine| machine.await_ready(10.0)) {
        cannot_run("a daemon is not ready after 10 s");
    }
    record.add("all ready; version 7 allows bodies of 12 MiB");
    sleep(3.0);
    let has_trouble = has_trouble();
    let size = match has_trouble {
        true => {
            store.put("config", "main", config(8, 64 * MIB));
            record.add("the store acknowledged version 8, which allows bodies of 64 MiB");
            20 * MIB
        }
        false => 10 * MIB,
    };
    sleep(CONFIG_APPLY + 2.0);
    let body = vec![b'x'; size];
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    thread::scope(|scope| {
        for (index, machine) in machines.iter().enumerate() {
            let (sent, body, address) = (sent.clone(), &body, machine.outbound);
            scope.spawn(move || {
                for _ in 0..6 {
                    let answer = Caller::new(index, address).send(&Ask {
                        method: "POST",
                        host: "hulo84.example",
                        path: "/puka111/2f",
                        key: None,
                        deadline_ms: 10_000,
                        body,
                    });
                    lock(&sent).push(answer);
                    sleep(0.2);
                }
            });
        }
    });
    sleep(0.5);
    let (runs, sent) = (lock(&runs).clone(), lock(&sent).clone());
    let mut denied = 0;
    for it in &sent {
        let count = runs.iter().filter(|run| run.attempt == it.attempt).count();
        record.add_at(
            it.at,
            format!(
                "sent {} with {size} bytes to sidecar-{} -> {:?} {} {} at {:.3}; ran {count} times",
                it.attempt, it.daemon, it.status, it.reason, it.error, it.ended
            ),
        );
        let is_own = it.status.is_some_and(|status| (300..500).contains(&status)) && !it.is_signed;
        let is_excused = matches!(it.status, Some(408 | 421 | 429));
        denied += usize::from(is_own && !is_excused);
    }
    drop(machines);
    let bound = 5.0 + sent.len() as f64 / 500.0;
    let line = format!(
        "{denied} of {} proper requests were ended with a 4xx of the daemon's own, {bound:.2} are allowed",
        sent.len()
    );
    let is_broken = denied as f64 > bound;
    record
        .write(&format!("{}: {line}", if is_broken { "DENIED is broken" } else { "DENIED holds" }));
    drop(folder);
    std::process::exit(i32::from(is_broken));
}
