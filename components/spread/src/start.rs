//! Readiness at start: a daemon serves only once it holds at least the highest version that the
//! platform or its peers know. Otherwise a restarted process could put an older version in force
//! than its predecessor. It asks the relays first and reads the platform only if they cannot
//! answer.

use std::{rc::Rc, time::Duration};

use futures::future::join_all;
use rand::seq::SliceRandom;
use sk_model::ProxyId;
use tokio::{sync::watch, time::Instant};

use crate::{
    backoff::{RetryPause, drawn, jittered},
    fetch::{FetchOutcome, FetchReply},
    join::JoinStage,
    node::SpreadNode,
    orders::{ConfirmOutcome, VersionOrigin},
};

/// Time for which the relays must have stayed the same before a starting daemon treats itself as a
/// relay and reads the platform. When a whole fleet restarts, each daemon is a relay in its own
/// first view.
const RELAY_SETTLED: Duration = Duration::from_millis(600);
/// First and longest pause between rounds of asking.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Mean pause between reads of the platform while the relays answer but are not ready themselves.
/// Only their connection to the platform may be cut, so this daemon has to read; but after an
/// outage in which everything restarted, hundreds of daemons are in this state, and each one that
/// reads holds nothing yet and reads the whole configuration.
const LATE_PAUSE: Duration = Duration::from_secs(10);
/// Upper bound of that pause as a multiple of the start window, for fleets with a short window.
const LATE_WINDOWS: u32 = 5;
/// Longest pause between rounds while the platform is unreachable and no reachable peer knows a
/// version.
const OUTAGE_PAUSE: Duration = Duration::from_secs(5);
/// Number of members asked for their version before the platform is read.
const WARM_TRIES: usize = 8;
/// Number of members asked at once while the platform is unreachable.
const ASK_CHUNK: usize = 16;
/// Number of times that a busy member is asked.
const ASK_TRIES: usize = 5;

/// Best answer of the data centre's relays to a starting daemon, from worst to best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RelayAnswer {
    /// No relay could be asked.
    Silent,
    /// None of the relays asked is ready itself.
    Waiting,
    /// A ready relay could not read the platform.
    Away,
    /// A relay read the platform, and the version it holds is held here.
    Confirmed,
}

/// Asks the relays, and finally the platform itself, until this daemon is ready.
pub(crate) async fn settle_start(node: &Rc<SpreadNode>, mut stage: watch::Receiver<JoinStage>) {
    // When a whole fleet restarts, these random times spread the daemons over the window: the
    // first ones read the platform and the later ones get the version from them. A daemon whose
    // peers are all unreachable starts later by that time. At least half of the window passes
    // first, because a daemon that reads earlier only does so before it has met the others.
    let window = node.options.start_window;
    let window_end = Instant::now() + window / 2 + drawn(window);
    let late_pause = LATE_PAUSE.min(window * LATE_WINDOWS);
    let mut late = window_end + drawn(late_pause);
    let mut pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE);
    // Nobody can be asked before the first round of joining is over.
    let trying = stage.wait_for(|stage| *stage != JoinStage::Trying);
    let _ = tokio::time::timeout_at(window_end, trying).await;
    while !node.held.is_ready() {
        let stage = *stage.borrow();
        let answer = match stage {
            // A relay that is gone answers nothing and must not delay the rest of the start.
            JoinStage::Met => {
                tokio::time::timeout(window, ask_relays(node)).await.unwrap_or(RelayAnswer::Silent)
            }
            _ => RelayAnswer::Silent,
        };
        let may_read = match answer {
            RelayAnswer::Confirmed => return node.set_ready("as a relay confirmed"),
            RelayAnswer::Away => true,
            _ if stage == JoinStage::Alone || is_settled_relay(node) => true,
            RelayAnswer::Silent => Instant::now() >= window_end,
            RelayAnswer::Waiting => Instant::now() >= late,
        };
        if may_read {
            late = Instant::now() + jittered(late_pause);
            if read_platform(node).await {
                return;
            }
            pause.raise_cap(OUTAGE_PAUSE);
        }
        let mut ready = node.held.ready();
        let is_ready = ready.wait_for(|is_ready| *is_ready);
        let _ = tokio::time::timeout(pause.next(), is_ready).await;
    }
}

/// Reads the platform, or asks the members if it is unreachable, and returns whether this daemon
/// is ready afterwards.
async fn read_platform(node: &Rc<SpreadNode>) -> bool {
    warm_up(node).await;
    match node.confirm().await {
        ConfirmOutcome::Held => true,
        // The previous process cannot have held a version that fails validation; the members know
        // which one it held.
        ConfirmOutcome::Refused | ConfirmOutcome::Away if ask_members(node).await => {
            node.set_ready("as the members know");
            true
        }
        ConfirmOutcome::Refused | ConfirmOutcome::Away => false,
    }
}

/// Fetches the version of a peer before the platform is read. A read then costs one call for the
/// head, whereas a daemon that holds nothing reads every subtree.
async fn warm_up(node: &Rc<SpreadNode>) {
    let mut others = node.others();
    others.shuffle(&mut rand::rng());
    for other in others.iter().take(WARM_TRIES) {
        if node.held.newest_mark().0 > 0 {
            return;
        }
        if let Err(err) = node.fetch(&other.proxy, false, &VersionOrigin::Found).await {
            log::debug!("spread: {} cannot be asked: {err}.", other.proxy);
        }
    }
}

fn is_settled_relay(node: &SpreadNode) -> bool {
    let relays = node.relays.borrow();
    let settled = RELAY_SETTLED.min(node.options.start_window / 2);
    relays.rank.is_some() && relays.since.elapsed() >= settled
}

/// Asks the data centre's relays to read the platform, one after the other, until one has.
async fn ask_relays(node: &Rc<SpreadNode>) -> RelayAnswer {
    let relays = node.relays.borrow().relays.clone();
    let mut answer = RelayAnswer::Silent;
    for relay in relays.iter().filter(|relay| relay.proxy != node.own_name) {
        let reply = match node.fetch(&relay.proxy, true, &VersionOrigin::Found).await {
            Ok(reply) => reply,
            Err(err) => {
                log::debug!("spread: {} cannot be asked: {err}.", relay.proxy);
                continue;
            }
        };
        answer = answer.max(match reply.outcome {
            FetchOutcome::Held if reply.is_fresh => return RelayAnswer::Confirmed,
            _ if reply.is_away => RelayAnswer::Away,
            FetchOutcome::Busy(busy) => {
                tokio::time::sleep(busy).await;
                RelayAnswer::Waiting
            }
            _ => RelayAnswer::Waiting,
        });
    }
    answer
}

/// Asks all reachable members for their version, and returns whether any of them is ready and
/// nothing newer is left to fetch.
///
/// Used while the platform is unreachable during a restart. All members are asked, as only one of
/// them may have received the last version. If all daemons restart at once, nobody knows a
/// version; the first chunk of answers shows it, and the fleet does not make a number of calls
/// that grows with the square of its size.
async fn ask_members(node: &Rc<SpreadNode>) -> bool {
    let mut others: Vec<ProxyId> =
        node.others().iter().map(|record| record.proxy.clone()).collect();
    others.shuffle(&mut rand::rng());
    let mut is_known = false;
    for chunk in others.chunks(ASK_CHUNK) {
        let replies = join_all(chunk.iter().map(|proxy| ask_member(node, proxy))).await;
        is_known |= replies.iter().flatten().any(|reply| reply.is_ready);
        if !is_known || replies.iter().flatten().any(|reply| is_open(reply.outcome)) {
            return false;
        }
    }
    is_known
}

/// Returns whether the member may hold a version that was not obtained.
fn is_open(outcome: FetchOutcome) -> bool {
    !matches!(outcome, FetchOutcome::Held | FetchOutcome::Refused)
}

/// Fetches the version that a member holds; `None` if it cannot be reached.
async fn ask_member(node: &Rc<SpreadNode>, proxy: &str) -> Option<FetchReply> {
    let mut last = None;
    for _ in 0..ASK_TRIES {
        let reply = node.fetch(proxy, false, &VersionOrigin::Found).await.ok()?;
        last = Some(reply);
        match reply.outcome {
            FetchOutcome::Busy(busy) => tokio::time::sleep(busy + drawn(busy)).await,
            _ => return last,
        }
    }
    last
}
