//! Becoming ready: holding at least the highest version that the platform or the peers know.

use std::{rc::Rc, time::Duration};

use futures::future::join_all;
use rand::seq::SliceRandom;
use sk_model::ProxyId;
use tokio::{sync::watch, time::Instant};

use crate::{
    backoff::{RetryPause, drawn},
    fetch::{FetchOutcome, FetchReply},
    join::JoinStage,
    node::{ConfirmOutcome, SpreadNode},
    pass::VersionOrigin,
};

/// Longest time that a starting daemon leaves the platform to others. In a herd restart the times
/// are spread over it, so that the first ones read the platform and all later ones get it
/// from them; a daemon whose peers are all away is late by at most this time.
const START_WINDOW: Duration = Duration::from_secs(3);
/// Time for which the relays must have stayed the same before a starting daemon takes itself for
/// one and reads the platform. In a herd restart each daemon is a relay by its own first view.
const RELAY_SETTLED: Duration = Duration::from_millis(250);
/// First and longest pause between rounds of asking.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// The same while the platform is away and nobody reachable knows a version.
const OUTAGE_PAUSE: Duration = Duration::from_secs(5);
/// Members asked for what they hold before the platform is read.
const WARM_TRIES: usize = 8;
/// Members asked at once while the platform is away.
const ASK_CHUNK: usize = 16;
/// Times that a busy member is asked again.
const ASK_TRIES: usize = 5;

/// Asks relays, and in the end the platform itself, until this daemon holds what it must.
pub(crate) async fn settle_start(node: &Rc<SpreadNode>, mut stage: watch::Receiver<JoinStage>) {
    let window_end = Instant::now() + drawn(START_WINDOW);
    let mut pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE);
    // Nobody can be asked before the first round of joining is over.
    let trying = stage.wait_for(|stage| *stage != JoinStage::Trying);
    let _ = tokio::time::timeout_at(window_end, trying).await;
    while !node.held.is_ready() {
        let stage = *stage.borrow();
        if stage == JoinStage::Met && ask_relays(node).await {
            return node.set_ready("as a relay confirmed");
        }
        let is_due = Instant::now() >= window_end || is_settled_relay(node);
        if stage == JoinStage::Alone || is_due {
            warm_up(node).await;
            match node.confirm().await {
                ConfirmOutcome::Held => return,
                // A process before this one cannot have held a version that fails validation;
                // what it held, the peers know.
                ConfirmOutcome::Refused | ConfirmOutcome::Away if ask_members(node).await => {
                    return node.set_ready("as the members know");
                }
                ConfirmOutcome::Refused | ConfirmOutcome::Away => {
                    pause.raise_cap(OUTAGE_PAUSE);
                }
            }
        }
        let mut ready = node.held.ready();
        let is_ready = ready.wait_for(|is_ready| *is_ready);
        let _ = tokio::time::timeout(pause.next(rand::random()), is_ready).await;
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
    relays.rank.is_some() && relays.since.elapsed() >= RELAY_SETTLED
}

/// Asks the data centre's relays to look at the platform, and tells whether one did and what it
/// holds is held here.
async fn ask_relays(node: &Rc<SpreadNode>) -> bool {
    let relays = node.relays.borrow().relays.clone();
    for relay in relays.iter().filter(|relay| relay.proxy != node.own_name) {
        match node.fetch(&relay.proxy, true, &VersionOrigin::Found).await {
            Ok(reply) if reply.is_fresh && reply.outcome == FetchOutcome::Held => return true,
            Ok(reply) => {
                if let FetchOutcome::Busy(busy) = reply.outcome {
                    tokio::time::sleep(busy).await;
                }
            }
            Err(err) => log::debug!("spread: {} cannot be asked: {err}.", relay.proxy),
        }
    }
    false
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
