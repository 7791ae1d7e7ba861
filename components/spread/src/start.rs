//! Becoming ready: holding at least the highest version that the platform or the peers know.

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

/// Time for which the relays must have stayed the same before a starting daemon takes itself for
/// one and reads the platform. In a herd restart each daemon is a relay by its own first view.
const RELAY_SETTLED: Duration = Duration::from_millis(600);
/// First and longest pause between rounds of asking.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Mean pause between reads by a daemon whose relays are there but not ready themselves. Only
/// their way to the platform may be cut, so it has to read; but after an outage in which everything
/// restarted, hundreds wait like this, and each that reads holds nothing yet and reads all.
const LATE_PAUSE: Duration = Duration::from_secs(10);
/// The same in windows, for a fleet whose window is short.
const LATE_WINDOWS: u32 = 5;
/// Longest pause between rounds while the platform is away and nobody reachable knows a version.
const OUTAGE_PAUSE: Duration = Duration::from_secs(5);
/// Members asked for what they hold before the platform is read.
const WARM_TRIES: usize = 8;
/// Members asked at once while the platform is away.
const ASK_CHUNK: usize = 16;
/// Times that a busy member is asked again.
const ASK_TRIES: usize = 5;

/// What the data centre's relays said to a starting daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RelayAnswer {
    /// None could be asked.
    Silent,
    /// None of those asked is ready itself.
    Waiting,
    /// A ready one could not read the platform.
    Away,
    /// One read the platform, and what it holds is held here.
    Confirmed,
}

/// Asks relays, and in the end the platform itself, until this daemon holds what it must.
pub(crate) async fn settle_start(node: &Rc<SpreadNode>, mut stage: watch::Receiver<JoinStage>) {
    // In a herd restart the times are spread over the window, so that the first ones read the
    // platform and all later ones get it from them; a daemon whose peers are all away is late by
    // it. At least half of it passes first: whoever reads earlier reads because it has not met the
    // others yet.
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
            // A relay that is gone answers nothing, and must not hold up the rest of the start.
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

/// Reads the platform, or asks the members where that is away, and tells whether this daemon is
/// ready by it.
async fn read_platform(node: &Rc<SpreadNode>) -> bool {
    warm_up(node).await;
    match node.confirm().await {
        ConfirmOutcome::Held => true,
        // A process before this one cannot have held a version that fails validation; what it
        // held, the members know.
        ConfirmOutcome::Refused | ConfirmOutcome::Away if ask_members(node).await => {
            node.set_ready("as the members know");
            true
        }
        ConfirmOutcome::Refused | ConfirmOutcome::Away => false,
    }
}

/// Takes from a peer what it holds, before the platform is read: a read then costs one call for the
/// head, where a daemon that holds nothing reads every subtree.
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

/// Asks the data centre's relays to look at the platform, until one has.
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

/// Asks all reachable members for what they hold, and tells whether any of them knows.
///
/// Made for a platform that is away while a daemon restarts. All are asked, as only one of them
/// may have got the last version. Where all restart at once nobody knows anything; the
/// first few answers show it, and the fleet does not ask each other by the square of its size.
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

/// Tells whether it stayed open what the member holds.
fn is_open(outcome: FetchOutcome) -> bool {
    !matches!(outcome, FetchOutcome::Held | FetchOutcome::Refused)
}

/// Fetches what a member holds; none where it cannot be reached.
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
