//! A new configuration adds a tenant whose name has two words, and moves a route.

mod kit;

use std::{
    sync::{Arc, Mutex},
    thread,
};

use kit::*;

/// Bound of the sheet, in seconds.
const CONFIG_APPLY: f64 = 2.5;
const KEY: &str = "rcpihhacruddedev3nax";
const NEW_KEY: &str = "7u27gxprymh2rrytapjs";

fn config(version: u64, service: &str, new_tenant: Option<&str>) -> Json {
    let new_tenant = new_tenant.map(|name| {
        format!(
            r#",{{"name":"{name}","api_keys":["{NEW_KEY}"],"priority":1,"rate_per_s":575,"burst":575}}"#
        )
    });
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"r-read","host":"hulo84.example",
        "path_prefix":"/leny950/","kind":"safe","timeout":1500,"target_latency":500,"priority":0,
        "service":"{service}","max_attempts":2,"public":false}}],
        "services":[{{"name":"huvo11a","health_check_path":"/health","connection_limit":540}},
        {{"name":"lovo22d","health_check_path":"/health","connection_limit":540}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":3000,
        "idle_timeout":15000}},
        "tenants":[{{"name":"alfa","api_keys":["{KEY}"],"priority":1,"rate_per_s":575,
        "burst":575}}{}]}}"#,
        new_tenant.unwrap_or_default()
    );
    Json::parse(&text).expect("a configuration")
}

fn main() {
    let (folder, record) = (Folder::new("review-tenant"), Record::default());
    let (store, store_address) = Store::start();
    store.put("config", "main", config(7, "huvo11a", None));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let plan: WorkPlan = Arc::new(|_| Work::new(0.05));
    let bounds = r#"{"drain":2500,"grace":6,"config_apply":2500,"budget_slack":200,
        "strict_revocation":false,"revoke":5000}"#;
    let template = template();
    let mut machines = Vec::new();
    for index in 0..4 {
        let service = if index < 2 { "huvo11a" } else { "lovo22d" };
        let id = format!("{service}-{index}");
        let server = Server::start(&id, service, 13, &runs, plan.clone());
        let name = format!("sidecar-{index}");
        let machine = Machine::new(
            &folder.0,
            &template,
            &MachinePlan {
                name: &name,
                zone: "at-east-a",
                service,
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
    record.add("all ready; version 7 leads the route to huvo11a");
    sleep(4.0);
    let new_tenant = has_trouble().then_some("Pekarna Kranjc");
    store.put("config", "main", config(8, "lovo22d", new_tenant));
    let acknowledged_at = now();
    record.add(format!(
        "the store acknowledged version 8, which leads the route to lovo22d; new tenant: {new_tenant:?}"
    ));
    sleep_until(acknowledged_at + CONFIG_APPLY + 2.0);
    let sent: Mutex<Vec<Sent>> = Mutex::default();
    thread::scope(|scope| {
        for (index, machine) in machines.iter().enumerate() {
            let (sent, address) = (&sent, machine.outbound);
            scope.spawn(move || {
                let mut caller = Caller::new(index, address);
                for number in 0..20 {
                    let is_new = has_trouble() && number % 2 == 1;
                    let answer = caller.send(&Ask {
                        method: "GET",
                        host: "hulo84.example",
                        path: if is_new { "/leny950/new" } else { "/leny950/2f" },
                        key: Some(if is_new { NEW_KEY } else { KEY }),
                        deadline_ms: 1500,
                        body: b"",
                    });
                    lock(sent).push(answer);
                    sleep(0.05);
                }
            });
        }
    });
    sleep(0.5);
    let runs = lock(&runs).clone();
    let (mut old, mut denied) = (0, 0);
    for it in lock(&sent).iter() {
        let run = runs.iter().find(|run| run.attempt == it.attempt);
        let server = run.map_or("no server", |run| run.server.as_str());
        record.add_at(
            it.at,
            format!(
                "sent {} to sidecar-{} -> {:?} {} {}; ran at {server}",
                it.attempt, it.daemon, it.status, it.reason, it.error
            ),
        );
        old += usize::from(server.starts_with("huvo11a"));
        denied += usize::from(matches!(it.status, Some(401 | 404)));
    }
    drop(machines);
    let total = lock(&sent).len();
    let line = format!(
        "of {total} requests sent {:.1} s and more after the acknowledgement of version 8, {old} ran \
         at the service of version 7, and {denied} were answered 401 or 404",
        CONFIG_APPLY + 2.0
    );
    let is_broken = old + denied > 0;
    record
        .write(&format!("{}: {line}", if is_broken { "CONFIG is broken" } else { "CONFIG holds" }));
    drop(folder);
    std::process::exit(i32::from(is_broken));
}
