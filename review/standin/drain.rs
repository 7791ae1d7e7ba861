//! A server deregisters, its daemon is killed and started again, and a status report that the
//! server had sent before arrives late.

use std::{
    collections::BTreeSet,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    deployment::{Deployment, HOST, Plan, Route},
    fleet::{Attempts, CONTROL, OUTBOUND, Record, Run, ServerPlan, ask, count_by},
    util::{Caller, Json, now, sleep_ms, sleep_until},
};

/// Bounds of the sheet, in seconds.
const DRAIN: f64 = 2.0;
const STABLE: f64 = 3.0;
/// How late the status report arrives, in seconds.
const LATE: f64 = 3.5;
/// How long the server serves on after its deregistration was acknowledged.
const SERVES_ON: f64 = 8.0;

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let plan = Plan {
        machines: 6,
        late: 0,
        zones: ["dvorana-a", "dvorana-b", "dvorana-c"],
        services: ["obdelava", "vrsta"],
        routes: vec![Route {
            prefix: "/treat/",
            kind: "unsafe",
            service: "obdelava",
            timeout_ms: 2500.0,
            goal_ms: 800.0,
        }],
        tenant: None,
        has_links: false,
        bounds: Json::map([("budget_slack", Json::Number(58.0))]),
        server: ServerPlan {
            slots: 12,
            work_ms: Arc::new(|_| 290),
            calls: Arc::new(|_| Vec::new()),
            keeping: 0,
            failing: 0.0,
        },
    };
    let deployment = Deployment::start(folder, record, &plan)?;
    let machines = &deployment.machines;
    // Three requesters on each machine, which keep their connections.
    let (attempts, is_over) = (Attempts::default(), Arc::new(AtomicBool::new(false)));
    let requesters: Vec<_> = (0..18)
        .map(|number| {
            let machine = machines[number % 6].clone();
            let (attempts, is_over, record) = (attempts.clone(), is_over.clone(), record.clone());
            thread::spawn(move || {
                let mut caller = Caller::new(machine.at(OUTBOUND));
                for count in 0_u32.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{number:04x}{count:08x}");
                    let path = format!("/treat/{id}");
                    let request = ("POST", HOST, path.as_str());
                    let from = (machine.name.as_str(), id.as_str());
                    let status = ask(&mut caller, from, request, (None, 5000), &attempts, &record);
                    sleep_ms(if status == 200 { 150 } else { 400 });
                }
            })
        })
        .collect();
    sleep_ms(5000);
    let (leaver, home) = (deployment.servers[0].clone(), machines[0].clone());
    // The report is sent before the server leaves, and is on its way for some seconds.
    let link_address = format!("127.{}.0.2:18407", deployment.net).parse().expect("an address");
    let link =
        open_late_link(link_address, home.at(CONTROL), record).map_err(|err| err.to_string())?;
    let report = leaver.next_report("ready");
    record.line(&format!("report server={} sequence={} state=ready sent", leaver.id, report.0));
    let reporting = {
        let leaver = leaver.clone();
        thread::spawn(move || leaver.send_report(link, &report))
    };
    sleep_ms(100);
    if leaver.deregister(home.at(CONTROL)) != 200 {
        return Err("the deregistration wasn't acknowledged".to_owned());
    }
    let acked_at = now();
    let mut in_touch_at = 0.0;
    if has_trouble {
        sleep_ms(200);
        record.line(&format!("SIGKILL daemon of {}", home.name));
        home.kill();
        sleep_ms(500);
        home.start();
        record.line(&format!("start daemon of {}", home.name));
        in_touch_at = now() + STABLE + 0.1;
    }
    sleep_until(acked_at + SERVES_ON);
    record.line(&format!("exit server={}", leaver.id));
    leaver.exit();
    sleep_ms(2500);
    is_over.store(true, Ordering::SeqCst);
    requesters.into_iter().for_each(|requester| drop(requester.join()));
    let _ = reporting.join();
    // DRAIN: no request reaches the server later than `drain` after the acknowledgement, taken from
    // the requester and sent on by machines in touch. Only the daemon of `home` was disturbed.
    let attempts = attempts.lock().unwrap();
    let served = attempts.iter().filter(|attempt| attempt.status == 200).count();
    if served < 200 {
        return Err(format!("only {served} requests were served"));
    }
    let runs = deployment.runs.lock().unwrap();
    let is_late =
        |run: &&Run| run.server == leaver.id && run.at > (acked_at + DRAIN).max(in_touch_at);
    let late: BTreeSet<&str> =
        runs.iter().filter(is_late).map(|run| run.attempt.as_str()).collect();
    let lost = runs.iter().filter(is_late).filter(|run| run.end == "exit").count();
    let from = attempts.iter().filter(|attempt| late.contains(attempt.id.as_str()));
    let from = count_by(from.map(|attempt| (attempt.machine.clone(), attempt.status)));
    let text = format!(
        "{} requests reached {} later than {DRAIN} s after its leaving was acknowledged, from \
         machines in touch; {lost} of them were running when it exited; by machine and status: \
         {from:?}",
        late.len(),
        leaver.id
    );
    Ok(Verdict { is_broken: !late.is_empty(), text })
}

/// Opens a link to a daemon that holds what one connection sends for [`LATE`] seconds.
fn open_late_link(at: SocketAddr, to: SocketAddr, record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(at)?;
    let record = record.clone();
    thread::spawn(move || -> io::Result<()> {
        let (mut from, _) = listener.accept()?;
        let begin = now();
        from.set_read_timeout(Some(Duration::from_millis(200)))?;
        let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
        while let Ok(size) = from.read(&mut part) {
            if size == 0 {
                break;
            }
            bytes.extend_from_slice(&part[..size]);
        }
        sleep_until(begin + LATE);
        let mut stream = TcpStream::connect(to)?;
        stream.write_all(&bytes)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let size = stream.read(&mut part)?;
        let answer = String::from_utf8_lossy(&part[..size]).lines().next().unwrap_or("").to_owned();
        record.line(&format!("report arrived {LATE} s late, answer: {answer}"));
        Ok(())
    });
    Ok(at)
}
