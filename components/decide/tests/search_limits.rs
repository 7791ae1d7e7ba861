//! How long a request goes on asking for a free slot.

use std::time::Duration;

use sk_decide::{placing::PlacementOrder, slot_search::SlotSearch};

const GOAL: Option<Duration> = Some(Duration::from_millis(600));

/// Returns the attempts of a request that finds every server full, where each refusal takes `took`.
fn attempts(took: Duration, goal: Option<Duration>) -> u64 {
    let mut search = SlotSearch::default();
    let mut attempts = 0;
    while search.needs_free_slot(PlacementOrder::Soonest, false) {
        search.exclude_busy(attempts, took, goal);
        attempts += 1;
    }
    attempts
}

/// All servers are full for a moment on a fleet that has processor time to spare. Asking several of
/// them costs next to nothing and finds the first free slot.
#[test]
fn quick_refusals() {
    assert_eq!(attempts(Duration::from_millis(4), GOAL), 4);
}

/// A fleet of small instances is asked for more than it can do. Every daemon takes a tenth of a
/// second to refuse, since it is busy refusing others. Each attempt that is saved is processor time
/// for an answer; without the limit everything is late, also after the load has gone.
#[test]
fn slow_refusals() {
    assert_eq!(attempts(Duration::from_millis(40), GOAL), 2);
    assert_eq!(attempts(Duration::from_millis(120), GOAL), 1);
}

/// Without a goal no time counts as too long, and only the number of attempts is limited.
#[test]
fn no_goal() {
    assert_eq!(attempts(Duration::from_millis(120), None), 4);
}

/// Refusals in the second phase, where the request would have queued, count as well: the request is
/// sent back to its caller, and asks no other endpoint.
#[test]
fn refused_while_queueing() {
    let mut search = SlotSearch::default();
    search.exclude_busy(1, Duration::from_millis(30), GOAL);
    assert!(!search.has_refused_too_long(GOAL));
    search.add_refusal_time(Duration::from_millis(50));
    assert!(search.has_refused_too_long(GOAL));
}

/// Documents may not queue in other data centres. Each of those that is full is asked once, and a
/// request does not ask more of them than one that looks for a free slot.
#[test]
fn full_elsewhere() {
    let looks = |took: Duration| {
        let mut search = SlotSearch::default();
        let mut looks = 1;
        while search.exclude_full(looks, took, GOAL) {
            looks += 1;
        }
        assert_eq!(search.excluded().len() as u64, looks, "none is asked again");
        looks
    };
    assert_eq!(looks(Duration::from_millis(4)), 4);
    assert_eq!(looks(Duration::from_millis(40)), 2);
}
