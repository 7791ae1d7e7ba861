//! The order in which daemons poll the configuration source.

use std::time::Duration;

use sk_member::{FreshnessProof, FreshnessTracker, PollOptions};

const OPTIONS: PollOptions = PollOptions {
    relays: 1,
    stale_after: Duration::from_millis(1_400),
    takeover_step: Duration::from_millis(100),
};

fn order() -> Vec<String> {
    (0..5).map(|position| format!("lj1-{position:02}")).collect()
}

fn tracker(position: usize) -> FreshnessTracker {
    let order = order();
    let mut tracker = FreshnessTracker::new(&order[position], OPTIONS);
    tracker.set_poll_order(&order);
    tracker
}

fn polled_by(position: usize, polled_ms: u64) -> FreshnessProof {
    let poller = tracker(position).own();
    FreshnessProof { poller, polled_at: at(polled_ms), history: 0 }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Without faults one daemon of a data centre polls the source. If the others polled too, the load
/// on the source would grow with the fleet.
#[test]
fn only_relay_polls() {
    assert_eq!(tracker(0).poll_due_in(at(500)), Some(Duration::ZERO));
    for position in 1..5 {
        let mut tracker = tracker(position);
        for now in (0..20_000).step_by(400) {
            tracker.add_proof(polled_by(0, now), at(now + 300));
            assert!(
                tracker.poll_due_in(at(now + 690)).expect("a position") > Duration::ZERO,
                "{position}"
            );
        }
    }
}

/// The first daemon cannot read the source any more, while its peers still hear it. The others
/// take over one after another, so that few of them poll and the delay stays short.
#[test]
fn takeover_in_order() {
    let dues: Vec<_> = (1..5)
        .map(|position| {
            let mut tracker = tracker(position);
            tracker.add_proof(polled_by(0, 1_000), at(1_200));
            tracker.poll_due_in(at(2_000)).expect("a position")
        })
        .collect();
    assert_eq!(dues, [at(400), at(500), at(600), at(700)]);
}

/// The second daemon has taken over. Later ones wait while its proofs arrive, and it polls until
/// the first one reads the source again.
#[test]
fn later_daemons_wait() {
    let (mut second, mut third) = (tracker(1), tracker(2));
    for tracker in [&mut second, &mut third] {
        tracker.add_proof(polled_by(0, 1_000), at(1_000));
        tracker.add_proof(polled_by(1, 2_500), at(2_600));
    }
    assert_eq!(second.poll_due_in(at(2_600)), Some(Duration::ZERO));
    assert_eq!(third.poll_due_in(at(2_600)), Some(at(1_400)));
    second.add_proof(polled_by(0, 2_700), at(2_800));
    assert_eq!(second.poll_due_in(at(2_800)), Some(at(1_300)));
}

/// A proof of a daemon later in the order must not replace that of an earlier one: the daemon that
/// took over would never learn that the first one polls again, and both would poll for good.
#[test]
fn earlier_poller_preferred() {
    let mut tracker = tracker(3);
    tracker.add_proof(polled_by(0, 2_000), at(2_100));
    tracker.add_proof(polled_by(1, 2_400), at(2_500));
    assert_eq!(tracker.proof(), Some(polled_by(0, 2_000)));
    // Once the kept proof is stale, any fresh one replaces it.
    tracker.add_proof(polled_by(1, 3_300), at(3_450));
    assert_eq!(tracker.proof(), Some(polled_by(1, 3_300)));
    assert!(!tracker.is_stale(at(3_500)));
    assert!(tracker.is_stale(at(4_700)));
}

/// A daemon was paused, and heartbeats from that time wait to be read. Their ages do not include
/// the time they waited, so the daemon starts over. It must not poll at once either, because a
/// whole data centre may have been paused together.
#[test]
fn after_pause() {
    let mut tracker = tracker(1);
    tracker.add_proof(polled_by(0, 1_000), at(1_000));
    tracker.reset(at(9_000));
    assert_eq!(tracker.proof(), None);
    assert_eq!(tracker.poll_due_in(at(9_000)), Some(at(1_400)));
}

/// A daemon that leaves is not in the order any more, and the next one polls at once.
#[test]
fn relay_leaves() {
    let (mut first, mut second) = (tracker(0), tracker(1));
    let rest = order().split_off(1);
    first.set_poll_order(&rest);
    second.set_poll_order(&rest);
    assert_eq!(first.poll_due_in(at(1_000)), None);
    assert_eq!(second.poll_due_in(at(1_000)), Some(Duration::ZERO));
}
