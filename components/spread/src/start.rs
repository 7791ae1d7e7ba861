//! Readiness at start: a daemon serves only once it holds at least the highest version that the
//! platform or its peers know. Otherwise a restarted process could put an older version in force
//! than its predecessor. It asks the relays first, and reads the platform only if they cannot
//! confirm a version, if it is a relay itself, or if there is no address of another daemon.

use std::{rc::Rc, time::Duration};

use futures::future::join_all;
use rand::seq::SliceRandom;
use sk_model::ProxyId;
use tokio::{sync::watch, time::Instant};

use crate::{
    backoff::{RetryPause, jittered, random_up_to},
    fetch::{FetchOutcome, FetchReply},
    join::JoinStage,
    node::SpreadNode,
    tasks::{ConfirmOutcome, VersionOrigin},
};

/// Time for which the relays must have stayed the same before a starting daemon treats itself as a
/// relay and reads the platform. When a whole fleet restarts, each daemon is a relay in its own
/// first snapshot of the members.
const RELAY_STABLE_TIME: Duration = Duration::from_millis(600);
/// Upper bound of the first pause between rounds of asking.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between rounds of asking while the platform answers.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Mean pause between reads of the platform while the relays answer but are not ready themselves.
/// Perhaps only their connection to the platform is cut, so this daemon has to read; but after an
/// outage in which everything restarted, hundreds of daemons are in this state, and each one that
/// reads holds nothing yet and reads the whole configuration.
const FALLBACK_READ_PAUSE: Duration = Duration::from_secs(10);
/// Upper bound of [`FALLBACK_READ_PAUSE`] in start windows, for fleets with a short window.
const FALLBACK_READ_WINDOWS: u32 = 5;
/// Longest pause between rounds while the platform is unreachable and no reachable peer knows a
/// version.
const OUTAGE_PAUSE: Duration = Duration::from_secs(5);
/// Number of members asked for their version before the platform is read.
const PRELOAD_TRIES: usize = 8;
/// Number of members asked at once while the platform is unreachable.
const MEMBER_CHUNK: usize = 16;
/// Number of times that a busy member is asked.
const MAX_MEMBER_TRIES: usize = 5;

/// Time for which a daemon that reaches no other waits for the roster.
const ROSTER_TIME: Duration = Duration::from_secs(2);

/// Best answer of the data centre's relays to a starting daemon, from worst to best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RelayAnswer {
    /// No relay could be asked.
    NoAnswer,
    /// None of the relays asked is ready itself.
    NotReady,
    /// A ready relay could not read the platform.
    SourceUnreachable,
    /// A relay read the platform, and the version it holds is held here.
    Confirmed,
}

/// Asks the relays, and finally the platform itself, until this daemon is ready.
pub(crate) async fn become_ready(
    node: &Rc<SpreadNode>,
    mut stage: watch::Receiver<JoinStage>,
    mut is_roster_tried: watch::Receiver<bool>,
) {
    // When a whole fleet restarts, these random times spread the daemons over the window: the
    // first ones read the platform and the later ones get the version from them. A daemon whose
    // peers are all unreachable starts later by that time. At least half of the window passes
    // first, because a daemon that reads earlier only does so before it knows the others.
    let window = node.options.start_window;
    let window_end = Instant::now() + window / 2 + random_up_to(window);
    let fallback_pause = FALLBACK_READ_PAUSE.min(window * FALLBACK_READ_WINDOWS);
    let mut next_fallback_read = window_end + random_up_to(fallback_pause);
    let mut pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE);
    // Nobody can be asked before the first round of joining is over.
    let first_round = stage.wait_for(|stage| *stage != JoinStage::Pending);
    let _ = tokio::time::timeout_at(window_end, first_round).await;
    // A daemon that reaches no other must know from the roster whether there are any before it
    // serves; one that has joined others learns it from them.
    if node.other_members().is_empty() {
        let tried = is_roster_tried.wait_for(|is_tried| *is_tried);
        let _ = tokio::time::timeout(ROSTER_TIME, tried).await;
    }
    while !node.config.is_ready() {
        let stage = *stage.borrow();
        let answer = match stage {
            // A relay that is gone answers nothing and must not delay the rest of the start.
            JoinStage::Joined => tokio::time::timeout(window, ask_relays(node))
                .await
                .unwrap_or(RelayAnswer::NoAnswer),
            _ => RelayAnswer::NoAnswer,
        };
        let may_read = match answer {
            RelayAnswer::Confirmed => return node.set_ready("a relay"),
            RelayAnswer::SourceUnreachable => true,
            _ if stage == JoinStage::NoAddresses || is_stable_relay(node) => true,
            RelayAnswer::NoAnswer => Instant::now() >= window_end,
            RelayAnswer::NotReady => Instant::now() >= next_fallback_read,
        };
        if may_read {
            next_fallback_read = Instant::now() + jittered(fallback_pause);
            if read_platform(node).await {
                return;
            }
            pause.raise_cap(OUTAGE_PAUSE);
        }
        let mut ready = node.config.ready();
        let is_ready = ready.wait_for(|is_ready| *is_ready);
        let _ = tokio::time::timeout(pause.next(), is_ready).await;
    }
}

/// Reads the platform, or asks the members if it is unreachable, and returns whether this daemon
/// is ready afterwards.
async fn read_platform(node: &Rc<SpreadNode>) -> bool {
    preload_version(node).await;
    match node.confirm_newest().await {
        ConfirmOutcome::UpToDate => true,
        // The previous process cannot have held a version that fails validation; the members know
        // which one it held.
        ConfirmOutcome::Rejected | ConfirmOutcome::Unreachable if ask_members(node).await => {
            node.set_ready("the members");
            true
        }
        ConfirmOutcome::Rejected | ConfirmOutcome::Unreachable => false,
    }
}

/// Fetches the version of a peer before the platform is read. A read then costs one call for the
/// head, whereas a daemon that holds nothing reads every subtree.
async fn preload_version(node: &Rc<SpreadNode>) {
    let mut others = node.other_members();
    others.shuffle(&mut rand::rng());
    for other in others.iter().take(PRELOAD_TRIES) {
        if node.config.newest_id().0 > 0 {
            return;
        }
        if let Err(err) = node.fetch(&other.proxy, false, &VersionOrigin::Found).await {
            log::debug!("spread: cannot fetch the version of {}: {err}.", other.proxy);
        }
    }
}

/// Returns whether this daemon is a relay and the relays have stayed the same for long enough.
fn is_stable_relay(node: &SpreadNode) -> bool {
    let relays = node.relays.borrow();
    let stable_time = RELAY_STABLE_TIME.min(node.options.start_window / 2);
    relays.rank.is_some() && relays.unchanged_since.elapsed() >= stable_time
}

/// Asks the data centre's relays to read the platform, one after the other, until one has.
async fn ask_relays(node: &Rc<SpreadNode>) -> RelayAnswer {
    let relays = node.relays.borrow().relays.clone();
    let mut answer = RelayAnswer::NoAnswer;
    for relay in relays.iter().filter(|relay| relay.proxy != node.own_name) {
        let reply = match node.fetch(&relay.proxy, true, &VersionOrigin::Found).await {
            Ok(reply) => reply,
            Err(err) => {
                log::debug!("spread: cannot fetch from relay {}: {err}.", relay.proxy);
                continue;
            }
        };
        answer = answer.max(match reply.outcome {
            FetchOutcome::UpToDate if reply.is_fresh => return RelayAnswer::Confirmed,
            _ if reply.is_source_unreachable => RelayAnswer::SourceUnreachable,
            FetchOutcome::Busy(busy_pause) => {
                tokio::time::sleep(busy_pause).await;
                RelayAnswer::NotReady
            }
            _ => RelayAnswer::NotReady,
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
        node.other_members().iter().map(|record| record.proxy.clone()).collect();
    others.shuffle(&mut rand::rng());
    let mut is_any_ready = false;
    for chunk in others.chunks(MEMBER_CHUNK) {
        let replies = join_all(chunk.iter().map(|proxy| ask_member(node, proxy))).await;
        is_any_ready |= replies.iter().flatten().any(|reply| reply.is_ready);
        if !is_any_ready || replies.iter().flatten().any(|reply| is_unresolved(reply.outcome)) {
            return false;
        }
    }
    is_any_ready
}

/// Returns whether the member may hold a version that was not obtained.
fn is_unresolved(outcome: FetchOutcome) -> bool {
    !matches!(outcome, FetchOutcome::UpToDate | FetchOutcome::Rejected)
}

/// Fetches the version that a member holds; `None` if it cannot be reached.
async fn ask_member(node: &Rc<SpreadNode>, proxy: &str) -> Option<FetchReply> {
    let mut last = None;
    for _ in 0..MAX_MEMBER_TRIES {
        let reply = node.fetch(proxy, false, &VersionOrigin::Found).await.ok()?;
        last = Some(reply);
        match reply.outcome {
            FetchOutcome::Busy(busy_pause) => {
                tokio::time::sleep(busy_pause + random_up_to(busy_pause)).await
            }
            _ => return last,
        }
    }
    last
}
