//! Tokens of workspaces' limits over the links between daemons: guards against a limit that each
//! daemon applies by itself, and against requests that wait for an owner that has terminated.

mod common;

use std::{collections::HashMap, sync::Arc, time::Instant};

use common::{TestDaemon, TestFleet};
use sk_allowance::{AllowanceRate, AllowanceVerdict, MemberPresence};

const BURST: f64 = 12.0;

/// Sets a limit and the members at all daemons.
fn set_limit(daemons: &[TestDaemon]) {
    let rate = AllowanceRate { rate_per_s: 0.1, burst: BURST };
    for daemon in daemons {
        let members = daemons.iter().map(|other| (other.name.as_str(), MemberPresence::Alive));
        daemon.allowances.set_members(members);
        daemon.allowances.set_rates(HashMap::from([(Arc::from("tracker"), rate)]));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_limit_over_all_daemons() {
    let fleet = TestFleet::new();
    let daemons = tokio::task::block_in_place(|| fleet.start_all(&["lj1", "mb1"], 3));
    set_limit(&daemons);
    let mut granted = 0;
    for round in 0..4 {
        for daemon in &daemons {
            let verdict = daemon.allowances.take("tracker").await;
            granted += u32::from(verdict == AllowanceVerdict::Granted);
            let counts = daemon.allowances.counts()["tracker"].2;
            // The first asks may have to open a connection.
            assert!(round == 0 || counts.fallback <= 1, "{}: {counts:?}", daemon.name);
        }
    }
    // A new owner starts without the burst.
    assert!((1..=3).contains(&granted), "{granted} requests of a workspace granted");
}

#[tokio::test(flavor = "multi_thread")]
async fn terminated_owner() {
    let fleet = TestFleet::new();
    let mut daemons = tokio::task::block_in_place(|| fleet.start_all(&["lj1"], 3));
    set_limit(&daemons);
    let owner = daemons[0].allowances.counts()["tracker"].1.clone().expect("an owner");
    let index = daemons.iter().position(|daemon| *daemon.name == *owner).expect("a daemon");
    let dropped = daemons.remove(index);
    tokio::task::block_in_place(|| drop(dropped));
    for daemon in &daemons {
        let began = Instant::now();
        daemon.allowances.take("tracker").await;
        println!("answered after {:?}", began.elapsed());
        assert_eq!(daemon.allowances.counts()["tracker"].2.fallback, 1);
    }
}
