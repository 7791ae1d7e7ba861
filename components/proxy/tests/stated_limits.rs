//! Servers that state how many requests a second they take from all daemons together.

mod common;

use std::time::{Duration, Instant};

use common::{FleetPlan, TestAnswer, TestFleet, get, http1};
use http::StatusCode;
use sk_member::EndpointStatus;
use sk_proxy::{RefusalKind, RequestOutcome};

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
    fn start(fleet: &TestFleet, path: &'static str, pause: Duration, time: Duration) -> Self {
        let call = |entry| async move {
            let (client, begin, mut sent) = (http1(), Instant::now(), Vec::new());
            while begin.elapsed() < time {
                let client = client.clone();
                sent.push(tokio::spawn(async move {
                    let sent_at = Instant::now();
                    let answer = get(&client, entry, path).await;
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

/// Sends requests until a server has answered one.
async fn reach(fleet: &TestFleet, server: &str) {
    let client = http1();
    for _ in 0..1000 {
        let answer = get(&client, fleet.entry(), "/query").await;
        if answer.status == StatusCode::OK && answer.json()["server"] == server {
            return;
        }
    }
    panic!("{server} gets no request");
}

/// Guards against a server getting what it took before it named a limit, or the limit from each
/// daemon. What its limit leaves no room for is served by the others.
#[tokio::test(flavor = "multi_thread")]
async fn limit_across_daemons() {
    let fleet = TestFleet::start(FleetPlan::new(3)).await;
    let limit = 5.0;
    fleet.backends[0].set_answer_headers(&[("x-sapphirekeel-server-limit", "5")]);
    let time = SETTLE_TIME + SPAN + Duration::from_secs(1);
    let callers = Callers::start(&fleet, "/query", Duration::from_millis(40), time);
    tokio::time::sleep(SETTLE_TIME).await;
    let peak = count_peak(&fleet, 0, time - SETTLE_TIME).await;
    assert!(peak <= allowed(limit), "{peak} requests in {SPAN:?}, allowed {}", allowed(limit));
    assert!(peak >= 15, "the server is still used: {peak}");
    for (took, answer) in callers.join().await {
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert!(took < Duration::from_secs(1), "{took:?}");
    }
}

/// Guards against callers that wait for a server whose limit has no room for them, when no other is
/// left: they learn at once that nothing ran and when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_at_once() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let limit = 5.0;
    fleet.backends[0].set_answer_headers(&[("x-sapphirekeel-server-limit", "5")]);
    let time = SETTLE_TIME + SPAN;
    let callers = Callers::start(&fleet, "/query", Duration::from_millis(50), time);
    tokio::time::sleep(SETTLE_TIME).await;
    let peak = count_peak(&fleet, 0, time - SETTLE_TIME).await;
    assert!(peak <= allowed(limit), "{peak} requests in {SPAN:?}, allowed {}", allowed(limit));
    let answers = callers.join().await;
    let rejected: Vec<_> =
        answers.iter().filter(|(_, answer)| answer.status != StatusCode::OK).collect();
    assert!(rejected.len() > 50, "{} of {}", rejected.len(), answers.len());
    for (took, answer) in rejected {
        assert_eq!(answer.reason(), Some(RefusalKind::RateLimited), "{answer:?}");
        assert_eq!(answer.outcome(), Some(RequestOutcome::NotRun));
        assert!(answer.headers.contains_key("retry-after"));
        assert!(*took < Duration::from_millis(500), "{took:?}");
    }
}

/// Guards against the calls of servers that come on top of a limit: each request here makes a call
/// to the same service.
#[tokio::test(flavor = "multi_thread")]
async fn servers_calls() {
    let fleet = TestFleet::start(FleetPlan::new(2)).await;
    let limit = 4.0;
    fleet.backends[0].set_answer_headers(&[("x-sapphirekeel-server-limit", "4")]);
    let time = SETTLE_TIME + SPAN;
    let callers = Callers::start(&fleet, "/query?nest=1", Duration::from_millis(60), time);
    tokio::time::sleep(SETTLE_TIME).await;
    let peak = count_peak(&fleet, 0, time - SETTLE_TIME).await;
    assert!(peak <= allowed(limit), "{peak} requests in {SPAN:?}, allowed {}", allowed(limit));
    let answers = callers.join().await;
    let served = answers.iter().filter(|(_, answer)| answer.status == StatusCode::OK).count();
    assert!(served > 50, "{served} of {} are served by the other server", answers.len());
}

/// Guards against repeats that come on top of a limit: each request here loses its answer and is
/// sent again, to the same server where no other has room.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_counted() {
    let fleet = TestFleet::start(FleetPlan::new(2)).await;
    let limit = 4.0;
    let headers = [("x-sapphirekeel-server-limit", "4")];
    fleet.backends.iter().for_each(|server| server.set_answer_headers(&headers));
    for server in ["server-1", "server-2"] {
        reach(&fleet, server).await;
    }
    let time = SETTLE_TIME + SPAN;
    let callers = Callers::start(&fleet, "/query?fault=drop", Duration::from_millis(60), time);
    // Lost answers look like a crash, after which a server is not listed until it announces itself.
    let announce = async {
        loop {
            for (server, backend) in (1..).zip(&fleet.backends) {
                let name = format!("server-{server}");
                fleet.announce(server, &name, backend.address(), EndpointStatus::Ready);
            }
            fleet.rebuild();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let peaks = async { tokio::join!(count_peak(&fleet, 0, time), count_peak(&fleet, 1, time)) };
    let (first, second) = tokio::select! {
        peaks = peaks => peaks,
        () = announce => unreachable!("it announces until the count ends"),
    };
    for peak in [first, second] {
        assert!(peak <= allowed(limit), "{peak} requests in {SPAN:?}, allowed {}", allowed(limit));
    }
    callers.join().await;
}

/// Guards against a server that stays limited after its limit has changed or ended.
#[tokio::test(flavor = "multi_thread")]
async fn limit_ends() {
    let fleet = TestFleet::start(FleetPlan::new(1)).await;
    let (client, entry) = (http1(), fleet.entry());
    let served = async |requests: u32| {
        let mut served = 0;
        for _ in 0..requests {
            served += u32::from(get(&client, entry, "/query").await.status == StatusCode::OK);
        }
        served
    };
    let name =
        |text| fleet.backends[0].set_answer_headers(&[("x-sapphirekeel-server-limit", text)]);
    for text in ["1", "soon", "-4"] {
        name(text);
        assert!(served(30).await <= 3, "a statement that cannot be read leaves the last one");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    name("1000000000000");
    assert!(served(50).await >= 48);
    name("1");
    assert!(served(30).await <= 3);
    fleet.backends[0].set_answer_headers(&[]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(served(50).await >= 48);
}
