//! How long a request goes on looking for a server that has room.

use std::time::Duration;

use sk_decide::{placing::PlacementOrder, seeking::SlotSearch};

const GOAL: Option<Duration> = Some(Duration::from_millis(600));

/// Counts the looks of a request that finds every server full, where each refusal takes `took`.
fn attempts(took: Duration, goal: Option<Duration>) -> u64 {
    let mut search = SlotSearch::default();
    let mut attempts = 0;
    while search.wants_slot(PlacementOrder::Soonest, false) {
        search.note_busy(attempts, took, goal);
        attempts += 1;
    }
    attempts
}

/// All servers are full for a moment on a fleet that has processor time to spare. Looking round costs
/// next to nothing and finds the first free slot.
#[test]
fn quick_refusals() {
    assert_eq!(attempts(Duration::from_millis(4), GOAL), 4);
}

/// A fleet of small instances is asked for more than it can do. Every daemon takes a tenth of a second
/// to say that it has no room, since it is busy saying so to others. Each look that is saved is
/// processor time for an answer; callers would notice by everything being late, also after the load
/// has gone.
#[test]
fn slow_refusals() {
    assert_eq!(attempts(Duration::from_millis(40), GOAL), 2);
    assert_eq!(attempts(Duration::from_millis(120), GOAL), 1);
}

/// A request without a goal cannot tell what is long, and keeps the bound on the number.
#[test]
fn no_goal() {
    assert_eq!(attempts(Duration::from_millis(120), None), 4);
}

/// Refusals of the second pass, where the request would have queued, count as well: the request is
/// told to come back, and asks nobody else.
#[test]
fn refused_while_queueing() {
    let mut search = SlotSearch::default();
    search.note_busy(1, Duration::from_millis(30), GOAL);
    assert!(!search.is_long(GOAL));
    search.note_refused(Duration::from_millis(50));
    assert!(search.is_long(GOAL));
}
