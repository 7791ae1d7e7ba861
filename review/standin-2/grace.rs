//! A machine is stopped by SIGTERM while it waits for the answers of long requests.

mod kit;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use kit::*;

/// Bounds of the sheet, in seconds.
const GRACE: f64 = 10.0;
/// Time that a server works on a request, well within the route's timeout and the time budget.
const WORK: f64 = 4.5;
const TIMEOUT: f64 = 6.0;
/// The platform sends no new work to a machine after two questions, a second apart, without a 200.
const ROUTED_AFTER: f64 = 2.0;

fn config() -> Json {
    let text = r#"{"version":7,"routes":[{"name":"r-report","host":"hulo84.example",
        "path_prefix":"/leny950/","kind":"safe","timeout":6000,"target_latency":5000,"priority":0,
        "service":"huvo11a","max_attempts":2,"public":false}],
        "services":[{"name":"huvo11a","health_check_path":"/health","connection_limit":630}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":3000,
        "idle_timeout":15000}}"#;
    Json::parse(text).expect("a configuration")
}

fn main() {
    let (folder, record) = (Folder::new("review-grace"), Arc::new(Record::default()));
    let (store, store_address) = Store::start();
    store.put("config", "main", config());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let plan: WorkPlan = Arc::new(|_| Work::new(WORK));
    let bounds = r#"{"drain":3000,"grace":10,"config_apply":3000,"budget_slack":230,
        "loss_slack":200,"stable_window":4000}"#;
    let template = template();
    let mut machines = Vec::new();
    for index in 0..4 {
        let server = Server::start(&format!("i-{index}"), "huvo11a", 9, &runs, plan.clone());
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
    }
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(|machine| machine.await_ready(10.0)) {
        cannot_run("a daemon is not ready after 10 s");
    }
    record.add("all ready");
    sleep(3.0);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let address = machines[0].outbound;
    // Five requests a second, each by a caller of its own, at the machine that is stopped.
    let (all, over) = (sent.clone(), is_over.clone());
    let sender = thread::spawn(move || {
        let mut callers = Vec::new();
        while !over.load(Ordering::Relaxed) {
            let all = all.clone();
            callers.push(thread::spawn(move || {
                let answer = Caller::new(0, address).send(&Ask {
                    method: "GET",
                    host: "hulo84.example",
                    path: "/leny950/2f",
                    key: None,
                    deadline_ms: 6000,
                    body: b"",
                });
                lock(&all).push(answer);
            }));
            sleep(0.2);
        }
        callers.into_iter().for_each(|caller| drop(caller.join()));
    });
    sleep(6.0);
    let stopped_at = now();
    match has_trouble() {
        true => {
            machines[0].signal(SIGTERM);
            record.add("SIGTERM to sidecar-0");
        }
        false => record.add("no SIGTERM"),
    }
    sleep_until(stopped_at + ROUTED_AFTER);
    is_over.store(true, Ordering::Relaxed);
    record.add("no new requests are sent to sidecar-0");
    while !machines[0].has_ended() && now() < stopped_at + GRACE {
        sleep(0.02);
    }
    if has_trouble() {
        record.add(format!("sidecar-0 has ended: {}", machines[0].has_ended()));
    }
    let _ = sender.join();
    sleep(1.0);

    let runs = lock(&runs).clone();
    let mut lost = 0;
    for it in lock(&sent).iter() {
        let run = runs.iter().find(|run| run.attempt == it.attempt);
        let text = match run {
            Some(run) => format!(
                "at work at {} from {:.3} to {:.3}",
                run.server,
                run.began,
                run.ended.unwrap_or(f64::NAN)
            ),
            None => "did not run".to_owned(),
        };
        record.add_at(
            it.at,
            format!(
                "sent {} -> {:?} {} {} at {:.3}; {text}",
                it.attempt, it.status, it.reason, it.error, it.ended
            ),
        );
        // The rule's excuses: the time budget, the route's timeout, and a server that is still at
        // work in the last sixth of the grace.
        let Some(run) = run else { continue };
        let work_end = run.began + WORK;
        let is_around = it.at >= stopped_at - TIMEOUT && it.ended >= stopped_at;
        let is_in_time = it.ended - it.at < TIMEOUT - 0.1;
        let is_early = work_end < stopped_at + GRACE * 5.0 / 6.0;
        if it.status != Some(200) && is_around && is_in_time && is_early && it.ended < work_end {
            lost += 1;
        }
    }
    let total = lock(&sent).len();
    drop(machines);
    let line = format!(
        "of {total} requests, {lost} were ended with an answer of the daemon's own, or with none, \
         while their server was at work and would have answered within the grace"
    );
    record.write(&format!("{}: {line}", if lost > 0 { "LOST is broken" } else { "LOST holds" }));
    drop(folder);
    std::process::exit(i32::from(lost > 0));
}
