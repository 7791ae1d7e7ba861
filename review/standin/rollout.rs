//! A roll-out to a bad version: while one of the new machines is cut off from the other machines, or
//! to a version of which one answer in ten is a failure.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use crate::{
    Verdict,
    deployment::{Deployment, HOST, Plan, Route, start_machines},
    fleet::{Attempts, OUTBOUND, Record, ServerPlan, ask, count_by},
    util::{Caller, Json, now, sleep_ms, sleep_until},
};

const SERVICE: &str = "datasheet";
const DURATION: f64 = 20.0;
/// Bounds of the sheet.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
/// Machines with servers of the old and of the new version.
const OLD: usize = 6;
/// The machine that is cut off, the first of the new ones, and for how long.
const CUT: usize = OLD;
const CUT_TIME: f64 = 12.0;

/// Plays the roll-out with a machine that is cut off while it starts.
pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    play_order(folder, record, (0.3, has_trouble))
}

/// Plays the roll-out to a version that fails seldom, and cuts nothing off.
pub fn play_weak(folder: &Path, record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    // Without the disruption the version is good, and there is nothing to judge.
    play_order(folder, record, (if has_trouble { 0.1 } else { 0.0 }, false))
}

fn play_order(
    folder: &Path,
    record: &Record,
    (failing, has_cut): (f64, bool),
) -> Result<Verdict, String> {
    // A part of the answers of the new version are failures.
    let server = ServerPlan {
        slots: 13,
        work_ms: Arc::new(|_| 100),
        calls: Arc::new(|_| Vec::new()),
        keeping: 0,
        failing: 0.0,
    };
    let bad = ServerPlan { failing, ..server.clone() };
    let plan = Plan {
        machines: 2 * OLD,
        late: OLD,
        zones: ["at-east-a", "at-east-b", "at-east-c"],
        services: [SERVICE, SERVICE],
        routes: vec![Route {
            prefix: "/sheet/",
            kind: "safe",
            service: SERVICE,
            timeout_ms: 1500.0,
            goal_ms: 500.0,
        }],
        tenant: None,
        has_links: true,
        bounds: Json::map([
            ("budget_slack", Json::Number(174.0)),
            ("exposure_share", Json::Number(EXPOSURE_SHARE)),
            ("exposure_slack", Json::Number(EXPOSURE_SLACK)),
            ("rollback", Json::Number(5000.0)),
        ]),
        server,
    };
    let deployment = Deployment::start(folder, record, &plan)?;
    let machines = &deployment.machines;
    // Requesters on the old machines, 20 requests a second on each.
    let (attempts, is_over) = (Attempts::default(), Arc::new(AtomicBool::new(false)));
    let requesters: Vec<_> = (0..OLD * 4)
        .map(|number| {
            let machine = machines[number % OLD].clone();
            let (attempts, is_over, record) = (attempts.clone(), is_over.clone(), record.clone());
            thread::spawn(move || {
                let mut caller = Caller::new(machine.at(OUTBOUND));
                let mut next = now() + number as f64 * 0.01;
                for count in 0_u32.. {
                    sleep_until(next);
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    next = (next + 0.2).max(now());
                    let id = format!("{number:04x}{count:08x}");
                    let path = format!("/sheet/{id}");
                    let request = ("GET", HOST, path.as_str());
                    let from = (machine.name.as_str(), id.as_str());
                    ask(&mut caller, from, request, (None, 1500), &attempts, &record);
                }
            })
        })
        .collect();
    sleep_ms(3000);
    if has_cut {
        record.line(&format!("cut off machine {CUT}, which starts"));
        deployment.cut.set(&[CUT]);
    }
    let cut_at = now();
    let new = start_machines(&machines[OLD..], OLD, "v2", &bad, &deployment.runs, record)?;
    sleep_ms(1000);
    let order = Json::map([
        ("service", Json::text(SERVICE)),
        ("target_version", Json::text("v2")),
        ("duration", Json::Number(DURATION)),
    ]);
    record.line("order rollouts/datasheet: v2");
    deployment.store.put("rollouts", SERVICE, order);
    let ordered_at = now();
    // The platform: at `done` the old servers stop immediately, at `rolled_back` the new servers
    // drain some seconds later.
    let mut states: Vec<(f64, String)> = Vec::new();
    let mut has_ended = false;
    while now() < ordered_at + DURATION + 1.0 {
        sleep_ms(20);
        if has_cut && now() > cut_at + CUT_TIME {
            deployment.cut.set(&[]);
        }
        let status = deployment.store.status("rollouts", SERVICE);
        let state = status.get("state").as_text().unwrap_or("").to_owned();
        if states.last().map(|(_, state)| state) != Some(&state) {
            record.line(&format!("status of the order: {}", status.write()));
            states.push((now() - ordered_at, state.clone()));
        }
        if state == "done" && !has_ended {
            has_ended = true;
            record.line("the old servers stop");
            deployment.servers.iter().for_each(|server| server.exit());
        }
        if state == "rolled_back" && !has_ended {
            has_ended = true;
            sleep_ms(3000);
            for server in &new {
                let machine = machines
                    .iter()
                    .find(|machine| server.address == machine.at(crate::fleet::APPLICATION));
                if let Some(machine) = machine {
                    server.deregister(machine.at(crate::fleet::CONTROL));
                }
            }
        }
    }
    is_over.store(true, Ordering::SeqCst);
    requesters.into_iter().for_each(|requester| drop(requester.join()));
    let versions: BTreeMap<&str, &str> = deployment
        .servers
        .iter()
        .chain(&new)
        .map(|server| (server.id.as_str(), server.version.as_str()))
        .collect();
    let runs = deployment.runs.lock().unwrap();
    let window = ordered_at..ordered_at + DURATION;
    let in_order: Vec<_> = runs.iter().filter(|run| window.contains(&run.at)).collect();
    let to_new = in_order.iter().filter(|run| versions.get(run.server.as_str()) == Some(&"v2"));
    let (all, to_new) = (in_order.len(), to_new.count());
    let lost = runs.iter().filter(|run| run.end == "exit").count();
    let bound = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    let attempts = attempts.lock().unwrap();
    let statuses = count_by(
        attempts.iter().filter(|it| window.contains(&it.sent)).map(|attempt| attempt.status),
    );
    if all < 500 {
        return Err(format!("only {all} requests ran"));
    }
    let text = format!(
        "the version, which fails {failing} of its requests, got {to_new} of {all} requests, bound {bound:.0}; {lost} requests were \
         running on old servers when these stopped; states of the order, in seconds from it: \
         {states:.1?}; answers by status: {statuses:?}"
    );
    Ok(Verdict { is_broken: failing > 0.0 && to_new as f64 > bound, text })
}
