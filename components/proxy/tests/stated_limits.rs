//! Servers that state how many requests a second they take from all daemons together.

mod common;

use std::time::{Duration, Instant};

use common::{FleetPlan, TestAnswer, TestFleet, get, http1};
use http::StatusCode;

/// Span over which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Time that the daemons have to act on a limit that was named.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Pause between two counts.
const COUNT_PAUSE: Duration = Duration::from_millis(20);

/// Returns the requests that a server may get in [`SPAN`].
fn allowed(per_second: f64) -> u64 {
    (1.5 * per_second * SPAN.as_secs_f64()) as u64 + 5
}

/// Counts the requests that reach a server for a time, and returns the most of any [`SPAN`].
async fn count_peak(fleet: &TestFleet, server: usize, time: Duration) -> u64 {
    let begin = Instant::now();
    let mut counts = Vec::new();
    while begin.elapsed() < time {
        counts.push((begin.elapsed(), fleet.backends[server].counts().begun));
        tokio::time::sleep(COUNT_PAUSE).await;
    }
    let in_span = |(at, count): &(Duration, u64)| {
        let within = counts.iter().take_while(|(later, _)| *later <= *at + SPAN);
        within.last().map_or(0, |(_, last)| last - count)
    };
    counts.iter().map(in_span).max().unwrap_or_default()
}

/// Callers at every entry of a fleet, each with a request every `pause` until they are stopped.
struct Callers(Vec<tokio::task::JoinHandle<Vec<(Duration, TestAnswer)>>>);

impl Callers {
    fn start(fleet: &TestFleet, pause: Duration, time: Duration) -> Self {
        let call = |entry| async move {
            let (client, begin, mut sent) = (http1(), Instant::now(), Vec::new());
            while begin.elapsed() < time {
                let client = client.clone();
                sent.push(tokio::spawn(async move {
                    let sent_at = Instant::now();
                    let answer = get(&client, entry, "/query").await;
                    (sent_at.elapsed(), answer)
                }));
                tokio::time::sleep(pause).await;
            }
            let mut answers = Vec::new();
            for answer in sent {
                answers.push(answer.await.expect("a caller ends"));
            }
            answers
        };
        Self(fleet.daemons.iter().map(|daemon| tokio::spawn(call(daemon.entry))).collect())
    }

    async fn join(self) -> Vec<(Duration, TestAnswer)> {
        let mut answers = Vec::new();
        for caller in self.0 {
            answers.extend(caller.await.expect("a caller ends"));
        }
        answers
    }
}

/// Guards against a server getting what it took before it named a limit, or the limit from each
/// daemon. What its limit leaves no room for is served by the others.
#[tokio::test(flavor = "multi_thread")]
async fn limit_across_daemons() {
    let fleet = TestFleet::start(FleetPlan::new(3)).await;
    let limit = 5.0;
    fleet.backends[0].set_answer_headers(&[("x-sapphirekeel-server-limit", "5")]);
    let time = SETTLE_TIME + SPAN + Duration::from_secs(1);
    let callers = Callers::start(&fleet, Duration::from_millis(40), time);
    tokio::time::sleep(SETTLE_TIME).await;
    let peak = count_peak(&fleet, 0, time - SETTLE_TIME).await;
    assert!(peak <= allowed(limit), "{peak} requests in {SPAN:?}, allowed {}", allowed(limit));
    assert!(peak >= 15, "the server is still used: {peak}");
    for (took, answer) in callers.join().await {
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert!(took < Duration::from_secs(1), "{took:?}");
    }
}
