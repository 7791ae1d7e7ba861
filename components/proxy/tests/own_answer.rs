//! Every caller gets the answer to its own request.

mod common;

use std::time::Duration;

use common::{FleetPlan, TestClient, TestFleet, get, http1, http2, wait_for};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use sk_proxy::RequestOutcome;

const CALLERS: u64 = 16;
const ROUNDS: u32 = 40;

/// Sends a tagged request and checks that the answer is the one to it: the body's path repeats the
/// tag.
async fn call_tagged(client: &TestClient, fleet: &TestFleet, tag: &str, random: &mut StdRng) {
    let work = random.random_range(0..8);
    let size = if random.random_bool(0.3) { "&size=70000" } else { "" };
    let path = format!("/tagged/{tag}?tag={tag}&work_ms={work}{size}");
    let call = get(client, fleet.entry(), &path);
    let patience = Duration::from_millis(random.random_range(1..12));
    let is_patient = random.random_bool(0.5);
    let answer = match is_patient {
        true => call.await,
        false => match tokio::time::timeout(patience, call).await {
            Ok(answer) => answer,
            Err(_) => return,
        },
    };
    match answer.outcome() {
        Some(RequestOutcome::Ran) if size.is_empty() => {
            assert_eq!(answer.json()["tag"], tag, "the answer to another request");
        }
        Some(RequestOutcome::Ran) => {
            assert_eq!(answer.body.expect("a whole body").len(), 70_000);
        }
        Some(RequestOutcome::NotRun) => assert_eq!(fleet.runs(tag), 0),
        outcome => panic!("{outcome:?} for {tag}"),
    }
}

/// Guards against a caller receiving another caller's answer. Many callers share connections, and
/// half of them leave at random moments: in the queue, while their request runs, in the middle of
/// an answer. A connection with bytes of a departed caller's answer left in it would deliver them
/// to the next caller, who would see another's reservation.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_callers() {
    let fleet = TestFleet::start(FleetPlan::new(3)).await;
    for client in [http1(), http2()] {
        let caller = |seed| {
            let (client, fleet) = (client.clone(), &fleet);
            async move {
                let mut random = StdRng::seed_from_u64(seed);
                for round in 0..ROUNDS {
                    let tag = format!("{seed}-{round}");
                    call_tagged(&client, fleet, &tag, &mut random).await;
                }
            }
        };
        futures::future::join_all((0..CALLERS).map(caller)).await;
    }
    wait_for("all slots to be free", || {
        let mut states =
            fleet.daemons.iter().flat_map(|daemon| daemon.servers.guard_states().into_values());
        states.all(|state| state.running == [0, 0] && state.queued == [0, 0])
    })
    .await;
    wait_for("no request in flight", || fleet.daemons[0].counters.snapshot().in_flight == 0).await;
}
