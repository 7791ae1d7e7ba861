//! Distribution of the records of daemons and backend servers.

mod common;

use std::time::Duration;

use common::{TestDaemon, TestFleet, wait_for};
use sk_member::{EndpointRecord, EndpointStatus, MemberStatus};

const MAX_RECORD_DELAY: Duration = Duration::from_secs(3);

fn set_server(daemon: &TestDaemon, server: &str, status: EndpointStatus) {
    let endpoint = EndpointRecord {
        service: "/ledvica/board".to_owned(),
        server: server.to_owned(),
        slots: 12,
        status,
        version: String::new(),
    };
    daemon.members.update(|table| table.set_endpoints(vec![endpoint]), |is_changed| *is_changed);
}

fn all_see(daemons: &[TestDaemon], name: &str, status: EndpointStatus) -> bool {
    daemons.iter().all(|daemon| {
        let members = daemon.members.snapshot();
        members.get(name).is_some_and(|record| record.endpoints.iter().any(|e| e.status == status))
    })
}

#[test]
fn servers_known_everywhere() {
    let fleet = TestFleet::new();
    let daemons = fleet.start_all(&["lj1", "lj2", "mb1"], 7);
    for daemon in daemons.iter().step_by(4) {
        for status in [EndpointStatus::Ready, EndpointStatus::Draining] {
            set_server(daemon, &format!("{}-server", daemon.name), status);
            let took = wait_for("the record", || all_see(&daemons, &daemon.name, status));
            println!("{status} known everywhere after {took:?}");
            assert!(took < MAX_RECORD_DELAY, "took {took:?}");
        }
    }
}

/// Guards against requests sent to a daemon that was stopped or has crashed, which would be
/// refused or lost: both must be known everywhere within seconds.
#[test]
fn leave_and_crash() {
    let fleet = TestFleet::new();
    let mut daemons = fleet.start_all(&["lj1", "lj2", "mb1"], 5);
    let leaving = daemons.remove(7);
    leaving.leave();
    let knows = |daemon: &TestDaemon, name: &str, status| {
        daemon.members.snapshot().get(name).is_some_and(|record| record.status == status)
    };
    let took = wait_for("the leave", || {
        daemons.iter().all(|daemon| knows(daemon, &leaving.name, MemberStatus::Leaving))
    });
    println!("leave known after {took:?}");
    assert!(took < MAX_RECORD_DELAY, "took {took:?}");
    let crashed = daemons.remove(2);
    let name = crashed.name.clone();
    drop(crashed);
    let took = wait_for("the crash", || {
        daemons.iter().all(|daemon| knows(daemon, &name, MemberStatus::Gone))
    });
    println!("crash known after {took:?}");
    assert!(took < MAX_RECORD_DELAY, "took {took:?}");
}
