//! One tenant sends many times its usual while one machine is stopped and started.

mod kit;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use kit::*;

const MACHINES: usize = 6;
/// Figures of a tenant as `fleetbench wire` prints them.
const RATE: f64 = 575.0;
const BURST: f64 = 575.0;
/// Bounds of the sheet.
const WINDOW: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Requests a second beyond the usual, and the usual ones: six times the usual in all.
const FLOOD: f64 = 1_500.0;
const USUAL: f64 = 300.0;
const TENANT: &str = "alfa";
const KEY: &str = "rcpihhacruddedev3nax";

/// The machine whose daemon owns the bucket of a tenant: the design note names rendezvous hashing.
fn weight(workspace: &str, daemon: &str) -> u64 {
    let bytes = workspace.bytes().chain([0]).chain(daemon.bytes());
    let mut hash = bytes.fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

fn config(version: u64) -> Json {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"r-read","host":"hulo84.example",
        "path_prefix":"/leny950/","kind":"safe","timeout":1500,"target_latency":500,"priority":0,
        "service":"huvo11a","max_attempts":2,"public":false}}],
        "services":[{{"name":"huvo11a","health_check_path":"/health","connection_limit":540}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":3000,
        "idle_timeout":15000}},
        "tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"],"priority":1,"rate_per_s":{RATE},
        "burst":{BURST}}}]}}"#
    );
    Json::parse(&text).expect("a configuration")
}

fn main() {
    let (folder, record) = (Folder::new("review-quota"), Arc::new(Record::default()));
    let (store, store_address) = Store::start();
    store.put("config", "main", config(7));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let plan: WorkPlan = Arc::new(|_| Work::new(0.004));
    let bounds = r#"{"drain":2500,"grace":6,"config_apply":2500,"budget_slack":200,
        "strict_revocation":false,"revoke":5000,"quota_window":5,"quota_overage":0.1,"quota_slack":20}"#;
    let template = template();
    let mut machines = Vec::new();
    for index in 0..MACHINES {
        let server = Server::start(&format!("i-{index}"), "huvo11a", 13, &runs, plan.clone());
        let name = format!("sidecar-{index}");
        let zone = if index % 2 == 0 { "at-east-a" } else { "at-east-b" };
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
        server.report_regularly(machine.control);
        machines.push(machine);
    }
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(|machine| machine.await_ready(10.0)) {
        cannot_run("a daemon is not ready after 10 s");
    }
    let owner = (0..MACHINES).max_by_key(|it| weight(TENANT, &machines[*it].name)).unwrap_or(0);
    record.add(format!("all ready; {} owns the bucket of the tenant", machines[owner].name));
    sleep(3.0);

    // The usual requests, at all machines but the one that is restarted.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let flood = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    let threads = 14;
    for index in (0..MACHINES).filter(|index| *index != owner) {
        for number in 0..threads {
            let (sent, is_over, flood) = (sent.clone(), is_over.clone(), flood.clone());
            let address = machines[index].outbound;
            callers.push(thread::spawn(move || {
                let mut caller = Caller::new(index, address);
                let count = ((MACHINES - 1) * threads) as f64;
                let mut due = now() + number as f64 * 0.01;
                while !is_over.load(Ordering::Relaxed) {
                    let rate = if flood.load(Ordering::Relaxed) { USUAL + FLOOD } else { USUAL };
                    sleep_until(due);
                    due = (due + count / rate).max(now());
                    let answer = caller.send(&Ask {
                        method: "GET",
                        host: "hulo84.example",
                        path: "/leny950/2f",
                        key: Some(KEY),
                        deadline_ms: 1500,
                        body: b"",
                    });
                    lock(&sent).push(answer);
                    // Starts with the flood at once, not after the usual pause.
                    while !flood.load(Ordering::Relaxed) && now() < due - 0.02 {
                        sleep(0.01);
                    }
                    if flood.load(Ordering::Relaxed) {
                        due = due.min(now() + count / (USUAL + FLOOD));
                    }
                }
            }));
        }
    }
    let has_trouble = has_trouble();
    let restart = |machines: &mut Vec<Machine>, record: &Record| {
        machines[owner].signal(SIGTERM);
        record.add(format!("SIGTERM to {}", machines[owner].name));
    };
    sleep(2.0);
    if has_trouble {
        restart(&mut machines, &record);
        machines[owner].await_end(8.0);
        machines[owner].start();
        record.add(format!("{} started again", machines[owner].name));
    } else {
        sleep(6.0);
    }
    machines[owner].await_ready(10.0);
    // The tenant sends its usual requests for a while: the bucket is full again.
    sleep(8.0);
    record.add("the tenant begins to send many times its usual");
    flood.store(true, Ordering::Relaxed);
    sleep(0.3);
    if has_trouble {
        restart(&mut machines, &record);
    }
    sleep(6.2);
    flood.store(false, Ordering::Relaxed);
    record.add("the tenant sends its usual again");
    if has_trouble {
        machines[owner].await_end(4.0);
    }
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));

    let sent = lock(&sent).clone();
    let mut by_attempt: std::collections::HashMap<String, f64> = std::collections::HashMap::new();
    for run in lock(&runs).iter() {
        by_attempt.entry(run.attempt.clone()).or_insert(run.began);
    }
    // A request counts in a window in which it was both sent and began to run.
    let mut counted: Vec<(f64, f64)> =
        sent.iter().filter_map(|it| Some((it.at, *by_attempt.get(&it.attempt)?))).collect();
    counted.sort_by(|one, other| one.0.total_cmp(&other.0));
    let (mut worst, mut worst_at) = (0, 0.0);
    for (index, (from, _)) in counted.iter().enumerate() {
        let within = counted[index..].iter().take_while(|(at, _)| *at <= from + WINDOW);
        let count = within.filter(|(_, began)| *began <= from + WINDOW).count();
        if count > worst {
            (worst, worst_at) = (count, *from);
        }
    }
    let bound = (RATE * WINDOW + BURST) * (1.0 + OVERAGE) + SLACK;
    for it in &sent {
        let began = by_attempt.get(&it.attempt);
        let ran = began.map_or("did not run".to_owned(), |began| format!("ran from {began:.3}"));
        let status = it.status.map_or(it.error.clone(), |status| status.to_string());
        record.add_at(it.at, format!("{} at {}: {status}, {ran}", it.attempt, it.daemon));
    }
    let line = format!(
        "in the worst window of {WINDOW} s, from {worst_at:.3}, {worst} requests of the tenant ran; \
         allowed are {bound}"
    );
    record.add(line.clone());
    drop(machines);
    let is_broken = worst as f64 > bound;
    record.write(&format!("{}: {line}", if is_broken { "QUOTA is broken" } else { "QUOTA holds" }));
    drop(folder);
    std::process::exit(i32::from(is_broken));
}
