//! Some requesters leave before their time budget, while servers work on and make their calls.

use std::{
    collections::BTreeSet,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use crate::{
    Verdict,
    deployment::{Deployment, HOST, Plan, Route},
    fleet::{Attempts, OUTBOUND, Record, ServerPlan, ask, count_by},
    util::{Caller, Json, now, sleep_ms, sleep_until},
};

const KEY: &str = "rcpihhacruddedev3nax";
const REQUESTERS: usize = 18;
/// Requesters that leave: 0.28 of all.
const LEAVING: usize = 5;
/// When they leave: half the objective.
const LEAVE_AFTER_MS: u64 = 200;
/// In which seconds of the traffic they do so.
const LEAVING_TIME: std::ops::Range<f64> = 3.0..8.0;
const BUDGET_MS: u64 = 1500;

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let plan = Plan {
        machines: 6,
        late: 0,
        zones: ["quito-a", "quito-b", "cumbaya"],
        services: ["cobros", "cartera"],
        routes: vec![
            Route {
                prefix: "/fee/",
                kind: "unsafe",
                service: "cobros",
                timeout_ms: 1200.0,
                goal_ms: 400.0,
            },
            Route {
                prefix: "/balance/",
                kind: "safe",
                service: "cartera",
                timeout_ms: 600.0,
                goal_ms: 250.0,
            },
        ],
        tenant: Some((KEY, 575.0, 575.0)),
        has_links: false,
        bounds: Json::map([
            ("budget_slack", Json::Number(184.0)),
            ("strict_revocation", Json::Bool(false)),
            ("revoke", Json::Number(5000.0)),
        ]),
        server: ServerPlan {
            slots: 6,
            work_ms: Arc::new(|path| if path.starts_with("/fee/") { 350 } else { 20 }),
            calls: Arc::new(|path| match path.starts_with("/fee/") {
                true => vec![(300, HOST.to_owned(), "/balance/owner".to_owned())],
                false => Vec::new(),
            }),
            // Most servers drop a request when its connection closes; one of six doesn't.
            keeping: 1,
            failing: 0.0,
        },
    };
    let deployment = Deployment::start(folder, record, &plan)?;
    let (attempts, is_over) = (Attempts::default(), Arc::new(AtomicBool::new(false)));
    let begin = now();
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|number| {
            let machine = deployment.machines[number % 6].clone();
            let (attempts, is_over, record) = (attempts.clone(), is_over.clone(), record.clone());
            thread::spawn(move || {
                let leaves = has_trouble && number < LEAVING;
                let mut caller = Caller::new(machine.at(OUTBOUND));
                for count in 0_u32.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{number:04x}{count:08x}");
                    let path = format!("/fee/{id}");
                    if leaves && LEAVING_TIME.contains(&(now() - begin)) {
                        let (bearer, budget) = (format!("Bearer {KEY}"), BUDGET_MS.to_string());
                        let headers = [
                            ("Host", HOST),
                            ("X-Attempt-Id", &id),
                            ("X-Deadline-Ms", &budget),
                            ("Authorization", &bearer),
                        ];
                        let is_sent = caller.write("POST", &path, &headers, b"a payment").is_ok();
                        sleep_ms(LEAVE_AFTER_MS);
                        caller.close();
                        record.line(&format!(
                            "request machine={} attempt={id} POST {path} sent={is_sent}, then left",
                            machine.name
                        ));
                        sleep_ms(300);
                        continue;
                    }
                    let request = ("POST", HOST, path.as_str());
                    let from = (machine.name.as_str(), id.as_str());
                    let terms = (Some(KEY), BUDGET_MS);
                    let status = ask(&mut caller, from, request, terms, &attempts, &record);
                    sleep_ms(if status == 200 { 150 } else { 400 });
                }
            })
        })
        .collect();
    sleep_until(begin + 14.0);
    is_over.store(true, Ordering::SeqCst);
    requesters.into_iter().for_each(|requester| drop(requester.join()));
    sleep_ms(1000);
    // DENIED: more than 5 + one in 500 of all requests, calls too, end with a 3xx or 4xx of the
    // daemons' own (other than 408, 421, 429) though every configuration allows them.
    let calls: Vec<_> =
        deployment.servers.iter().flat_map(|server| server.calls.lock().unwrap().clone()).collect();
    if calls.len() < 100 {
        return Err(format!("only {} calls were made", calls.len()));
    }
    let is_denied =
        |status: u16| (300..500).contains(&status) && ![408, 421, 429].contains(&status);
    let attempts = attempts.lock().unwrap();
    let denied_calls: Vec<_> = calls.iter().filter(|call| is_denied(call.status)).collect();
    let denied = attempts.iter().filter(|attempt| is_denied(attempt.status) && !attempt.is_signed);
    let denied = denied_calls.len() + denied.count();
    let all = calls.len() + attempts.len();
    let bound = 5 + all / 500;
    let failed: BTreeSet<&str> =
        denied_calls.iter().filter_map(|call| call.attempt.split('.').next()).collect();
    let statuses = count_by(calls.iter().map(|call| match call.status {
        200 => (200, String::new()),
        status => (status, call.reason.clone()),
    }));
    let text = format!(
        "{denied} of {all} requests and calls were denied, bound {bound}; {} payments that servers \
         were working on failed by it; calls by status: {statuses:?}",
        failed.len()
    );
    Ok(Verdict { is_broken: denied > bound, text })
}
