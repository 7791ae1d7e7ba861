//! Machines are cut off from the others, and their daemons are killed and start again, while a
//! tenant sends many times its usual.

use std::{
    collections::HashMap,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
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
/// Allowance of the tenant.
const RATE: f64 = 100.0;
const BURST: f64 = 100.0;
/// Bounds of the sheet.
const WINDOW: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// The tenant's usual demand over all machines, in requests a second, and how many times that it
/// sends while it is hot.
const USUAL: f64 = 62.0;
const HOT: f64 = 6.7;
const HOT_TIME: f64 = 6.4;
/// Machines that are cut off, 0.25 of all, and for how long.
const CUT: [usize; 3] = [0, 1, 2];
const CUT_TIME: f64 = 12.0;

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let plan = Plan {
        machines: 12,
        late: 0,
        zones: ["at-east-a", "at-east-b", "at-east-c"],
        services: ["datasheet", "datasheet"],
        routes: vec![Route {
            prefix: "/sheet/",
            kind: "safe",
            service: "datasheet",
            timeout_ms: 1500.0,
            goal_ms: 500.0,
        }],
        tenant: Some((KEY, RATE, BURST)),
        has_links: true,
        bounds: Json::map([
            ("budget_slack", Json::Number(200.0)),
            ("strict_revocation", Json::Bool(false)),
            ("revoke", Json::Number(5000.0)),
        ]),
        server: ServerPlan {
            slots: 13,
            work_ms: Arc::new(|_| 60),
            calls: Arc::new(|_| Vec::new()),
            keeping: 0,
            failing: 0.0,
        },
    };
    let deployment = Deployment::start(folder, record, &plan)?;
    let machines = &deployment.machines;
    // Four requesters on each machine share the tenant's demand evenly.
    let requester_count = machines.len() * 4;
    let (attempts, is_over) = (Attempts::default(), Arc::new(AtomicBool::new(false)));
    let demand = Arc::new(AtomicU64::new(USUAL as u64));
    let requesters: Vec<_> = (0..requester_count)
        .map(|number| {
            let machine = machines[number % machines.len()].clone();
            let (attempts, is_over, record) = (attempts.clone(), is_over.clone(), record.clone());
            let demand = demand.clone();
            thread::spawn(move || {
                let mut caller = Caller::new(machine.at(OUTBOUND));
                let mut next = now() + number as f64 * 0.01;
                for count in 0_u32.. {
                    sleep_until(next);
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let per_s = demand.load(Ordering::SeqCst) as f64 / requester_count as f64;
                    next = (next + 1.0 / per_s).max(now());
                    let id = format!("{number:04x}{count:08x}");
                    let path = format!("/sheet/{id}");
                    let request = ("GET", HOST, path.as_str());
                    let from = (machine.name.as_str(), id.as_str());
                    ask(&mut caller, from, request, (Some(KEY), 1500), &attempts, &record);
                }
            })
        })
        .collect();
    sleep_ms(8000);
    let begin = now();
    if has_trouble {
        record.line(&format!("cut off machines {CUT:?}"));
        deployment.cut.set(&CUT);
        sleep_ms(1000);
        record.line(&format!("SIGKILL daemons of machines {CUT:?}"));
        CUT.iter().for_each(|index| machines[*index].kill());
        sleep_ms(500);
        record.line(&format!("start daemons of machines {CUT:?}"));
        CUT.iter().for_each(|index| machines[*index].start());
    }
    sleep_until(begin + 4.0);
    record.line("the tenant is hot");
    demand.store((USUAL * HOT) as u64, Ordering::SeqCst);
    sleep_until(begin + 4.0 + HOT_TIME);
    record.line("the tenant sends its usual");
    demand.store(USUAL as u64, Ordering::SeqCst);
    sleep_until(begin + CUT_TIME);
    if has_trouble {
        record.line("the cut has healed");
        deployment.cut.set(&[]);
    }
    sleep_ms(3000);
    is_over.store(true, Ordering::SeqCst);
    requesters.into_iter().for_each(|requester| drop(requester.join()));
    // QUOTA: requests of the tenant that are both sent and run in a window.
    let (runs, attempts) = (deployment.runs.lock().unwrap(), attempts.lock().unwrap());
    let sent: HashMap<&str, (f64, &str)> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), (attempt.sent, attempt.machine.as_str())))
        .collect();
    let mut ran: HashMap<&str, f64> = HashMap::new();
    for run in runs.iter() {
        let first = ran.entry(run.attempt.as_str()).or_insert(run.at);
        *first = first.min(run.at);
    }
    if ran.len() < 500 {
        return Err(format!("only {} requests ran", ran.len()));
    }
    let times: Vec<(f64, f64, &str)> = ran
        .iter()
        .filter_map(|(id, at)| sent.get(id).map(|(sent, machine)| (*sent, *at, *machine)))
        .collect();
    let in_window =
        |end: f64| times.iter().filter(move |(sent, at, _)| *sent >= end - WINDOW && *at <= end);
    let ends = times.iter().map(|(_, at, _)| *at);
    let (most, end) = ends
        .map(|end| (in_window(end).count(), end))
        .max_by_key(|(count, _)| *count)
        .unwrap_or_default();
    let bound = (RATE * WINDOW + BURST) * (1.0 + OVERAGE) + SLACK;
    let cut_names: Vec<&str> = CUT.iter().map(|index| machines[*index].name.as_str()).collect();
    let from_cut = in_window(end).filter(|(.., machine)| cut_names.contains(machine)).count();
    let statuses = count_by(attempts.iter().map(|attempt| attempt.status));
    let text = format!(
        "{most} requests of the tenant were sent and ran in the {WINDOW} s before {end:.3}, bound \
         {bound:.0}; {from_cut} of them began at the machines {CUT:?}; answers by status: {statuses:?}"
    );
    Ok(Verdict { is_broken: most as f64 > bound, text })
}
