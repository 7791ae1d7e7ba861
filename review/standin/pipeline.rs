//! A machine is stopped with SIGTERM while its requesters send further safe requests before the
//! first one has been answered.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    deployment::{Deployment, HOST, Plan, Route},
    fleet::{OUTBOUND, Record, ServerPlan},
    util::{Caller, Json, now, sleep_ms},
};

/// Requests that a requester sends at once on its connection.
const DEPTH: usize = 3;
const GRACE: f64 = 6.0;
const BUDGET_MS: u64 = 4000;

/// A pipelined request.
#[derive(Clone, Debug)]
struct Asked {
    machine: usize,
    /// Status of its answer; zero if the connection ended without one.
    status: u16,
    ended: f64,
}

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let plan = Plan {
        machines: 6,
        late: 0,
        zones: ["at-east-a", "at-east-b", "at-east-c"],
        services: ["certdesk", "datasheet"],
        routes: vec![Route {
            prefix: "/sheet/",
            kind: "safe",
            service: "datasheet",
            timeout_ms: 2000.0,
            goal_ms: 600.0,
        }],
        tenant: None,
        has_links: false,
        bounds: Json::map([("budget_slack", Json::Number(58.0))]),
        server: ServerPlan {
            slots: 12,
            work_ms: Arc::new(|_| 230),
            calls: Arc::new(|_| Vec::new()),
            keeping: 0,
            failing: 0.0,
        },
    };
    let deployment = Deployment::start(folder, record, &plan)?;
    let asked = Arc::<Mutex<BTreeMap<String, Asked>>>::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let requesters: Vec<_> = (0..24_usize)
        .map(|number| {
            let machine = number % 6;
            let address = deployment.machines[machine].at(OUTBOUND);
            let (asked, is_over, record) = (asked.clone(), is_over.clone(), record.clone());
            thread::spawn(move || {
                sleep_ms(number as u64 * 13);
                let mut caller = Caller::new(address);
                let mut count = 0_u32;
                while !is_over.load(Ordering::SeqCst) {
                    let mut ids = Vec::new();
                    while ids.len() < DEPTH {
                        count += 1;
                        let id = format!("{number:04x}{count:08x}");
                        let (path, budget) = (format!("/sheet/{id}"), BUDGET_MS.to_string());
                        let headers =
                            [("Host", HOST), ("X-Attempt-Id", &id), ("X-Deadline-Ms", &budget)];
                        if caller.write("GET", &path, &headers, b"").is_err() {
                            break;
                        }
                        record.line(&format!("request machine={machine} attempt={id} GET {path}"));
                        asked
                            .lock()
                            .unwrap()
                            .insert(id.clone(), Asked { machine, status: 0, ended: 0.0 });
                        ids.push(id);
                    }
                    for id in &ids {
                        let answer = caller.read(Duration::from_millis(BUDGET_MS + 300));
                        let status = answer.as_ref().map_or(0, |answer| answer.status());
                        record.line(&format!(
                            "answer machine={machine} attempt={id} status={status}"
                        ));
                        if let Some(item) = asked.lock().unwrap().get_mut(id) {
                            (item.status, item.ended) = (status, now());
                        }
                        if answer.is_err() {
                            caller.close();
                        }
                    }
                    sleep_ms(60);
                }
            })
        })
        .collect();
    sleep_ms(4000);
    let stopped_at = now();
    if has_trouble {
        record.line("SIGTERM daemon of machine=0");
        deployment.machines[0].signal("TERM");
    }
    // Its requesters get no new work after two missed readiness checks; they end before that.
    sleep_ms(500);
    is_over.store(true, Ordering::SeqCst);
    requesters.into_iter().for_each(|requester| drop(requester.join()));
    sleep_ms(1000);
    let asked = asked.lock().unwrap();
    let served = asked.values().filter(|item| item.status == 200).count();
    if served < 300 {
        return Err(format!("only {served} requests were served"));
    }
    // LOST: read whole, passed on to a server, and the connection ended without a complete answer.
    let runs = deployment.runs.lock().unwrap();
    let passed_on: BTreeSet<&str> = runs.iter().map(|run| run.attempt.as_str()).collect();
    let is_planned = |item: &Asked| {
        item.machine == 0 && (stopped_at..stopped_at + GRACE + 1.0).contains(&item.ended)
    };
    let lost: Vec<&str> = asked
        .iter()
        .filter(|(id, item)| {
            item.status == 0 && is_planned(item) && passed_on.contains(id.as_str())
        })
        .map(|(id, _)| id.as_str())
        .collect();
    let done =
        runs.iter().filter(|run| run.end == "answered" && lost.contains(&run.attempt.as_str()));
    let text = format!(
        "{served} requests were served; {} were passed on to a server and their connection ended \
         without an answer after the SIGTERM ({} of them had been answered by the server): {lost:?}",
        lost.len(),
        done.count()
    );
    Ok(Verdict { is_broken: !lost.is_empty(), text })
}
