//! Limits of workspaces on the request path: guards against requests over the limit that run, tokens
//! that are lost with requests that did not run, and repeats that are not counted.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use common::{FleetPlan, TestFleet, http1, send};
use http::{StatusCode, header};
use sk_model::WorkspaceSetting;
use sk_proxy::{AllowanceGate, AllowanceVerdict, RefusalKind, RequestOutcome};

/// A gate with a number of tokens that counts its calls.
#[derive(Default)]
struct CountingGate {
    tokens: AtomicU32,
    taken: AtomicU32,
    returned: AtomicU32,
    charged: AtomicU32,
}

#[async_trait]
impl AllowanceGate for CountingGate {
    async fn take(&self, workspace: &str) -> AllowanceVerdict {
        assert_eq!(workspace, "tracker");
        self.taken.fetch_add(1, Ordering::SeqCst);
        let token = self
            .tokens
            .try_update(Ordering::SeqCst, Ordering::SeqCst, |tokens| tokens.checked_sub(1));
        match token {
            Ok(_) => AllowanceVerdict::Granted,
            Err(_) => AllowanceVerdict::Refused { retry_after: Duration::from_micros(1_234_500) },
        }
    }

    fn give_back(&self, _: &str) {
        self.returned.fetch_add(1, Ordering::SeqCst);
    }

    fn charge(&self, _: &str) {
        self.charged.fetch_add(1, Ordering::SeqCst);
    }
}

const KEY: &str = "key of the tracker";
const AUTHORIZATION: [(&str, &str); 1] = [("authorization", "Bearer key of the tracker")];

/// Starts an entry daemon and servers with one workspace, limited or not.
async fn start(servers: usize, rate: Option<u64>, tokens: u32) -> (TestFleet, Arc<CountingGate>) {
    let gate = Arc::new(CountingGate { tokens: tokens.into(), ..CountingGate::default() });
    let mut workspace = WorkspaceSetting::new("tracker");
    workspace.add_key(KEY);
    workspace.rate_per_thousand_s = rate;
    let plan = FleetPlan {
        allowances: Some(gate.clone()),
        workspaces: vec![workspace],
        ..FleetPlan::new(servers)
    };
    (TestFleet::start(plan).await, gate)
}

fn count(counter: &AtomicU32) -> u32 {
    counter.load(Ordering::SeqCst)
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_over_the_limit() {
    let (fleet, gate) = start(2, Some(1_000), 2).await;
    let client = http1();
    for _ in 0..2 {
        let answer = send(&client, fleet.entry(), "GET", "/query", &AUTHORIZATION, "").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    let answer = send(&client, fleet.entry(), "GET", "/query", &AUTHORIZATION, "").await;
    assert_eq!(answer.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(answer.reason(), Some(RefusalKind::AllowanceExceeded));
    assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
    assert_eq!(answer.headers[header::RETRY_AFTER], "1.235", "rounded up to a millisecond");
    assert_eq!(fleet.served(), 2);
    assert_eq!((count(&gate.taken), count(&gate.returned), count(&gate.charged)), (3, 0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn no_limit_asks_nobody() {
    let (fleet, gate) = start(1, None, 0).await;
    let answer = send(&http1(), fleet.entry(), "GET", "/query", &AUTHORIZATION, "").await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(count(&gate.taken), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn returned_if_not_run() {
    let (mut fleet, gate) = start(1, Some(1_000), 5).await;
    fleet.backends[0].kill().await;
    let answer = send(&http1(), fleet.entry(), "GET", "/query", &AUTHORIZATION, "").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun), "{answer:?}");
    assert_eq!((count(&gate.taken), count(&gate.returned), count(&gate.charged)), (1, 1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_are_charged() {
    let (fleet, gate) = start(4, Some(1_000), 5).await;
    let path = "/query?fault=drop&tag=query";
    let answer = send(&http1(), fleet.entry(), "GET", path, &AUTHORIZATION, "").await;
    assert_eq!(answer.outcome(), Some(RequestOutcome::Unknown));
    let repeats = u32::try_from(fleet.runs("query")).expect("few runs") - 1;
    assert!(repeats > 0, "the query is repeated");
    assert_eq!((count(&gate.taken), count(&gate.returned)), (1, 0));
    assert_eq!(count(&gate.charged), repeats);
}
