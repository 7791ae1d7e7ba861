//! Whose turn it is to look at the configuration source.

use std::time::Duration;

use sk_member::{FreshnessBook, FreshnessProof, LookOptions};

const OPTIONS: LookOptions = LookOptions {
    relays: 1,
    stale_after: Duration::from_millis(1_400),
    step: Duration::from_millis(100),
};

fn order() -> Vec<String> {
    (0..5).map(|place| format!("lj1-{place:02}")).collect()
}

fn book(place: usize) -> FreshnessBook {
    let order = order();
    let mut book = FreshnessBook::new(&order[place], OPTIONS);
    book.set_order(&order);
    book
}

fn seen_by(place: usize, seen_ms: u64) -> FreshnessProof {
    let looker = book(place).own();
    FreshnessProof { looker, seen_at: at(seen_ms), history: 0 }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// On a calm day one daemon of a data centre asks the source; the others must not, or the source's
/// load would grow with the fleet.
#[test]
fn calm_day() {
    assert_eq!(book(0).due_in(at(500)), Some(Duration::ZERO));
    for place in 1..5 {
        let mut book = book(place);
        for now in (0..20_000).step_by(400) {
            book.offer(seen_by(0, now), at(now + 300));
            assert!(book.due_in(at(now + 690)).expect("a place") > Duration::ZERO, "{place}");
        }
    }
}

/// The first daemon stops seeing the source, for whatever reason; it is still alive to its peers. The
/// others take their turns one after the other, so that a few are asked and the wait stays short.
#[test]
fn turns_in_order() {
    let dues: Vec<_> = (1..5)
        .map(|place| {
            let mut book = book(place);
            book.offer(seen_by(0, 1_000), at(1_200));
            book.due_in(at(2_000)).expect("a place")
        })
        .collect();
    assert_eq!(dues, [at(400), at(500), at(600), at(700)]);
}

/// The second daemon has taken over. Those behind it rest while its word comes, and it goes on until
/// the first one sees the source again.
#[test]
fn taken_over() {
    let (mut second, mut third) = (book(1), book(2));
    for book in [&mut second, &mut third] {
        book.offer(seen_by(0, 1_000), at(1_000));
        book.offer(seen_by(1, 2_500), at(2_600));
    }
    assert_eq!(second.due_in(at(2_600)), Some(Duration::ZERO));
    assert_eq!(third.due_in(at(2_600)), Some(at(1_400)));
    second.offer(seen_by(0, 2_700), at(2_800));
    assert_eq!(second.due_in(at(2_800)), Some(at(1_300)));
}

/// Word of a daemon later in the order must not hide that of an earlier one: the one that took over
/// would never hear that the first is back, and both would ask for good.
#[test]
fn earlier_word_kept() {
    let mut book = book(3);
    book.offer(seen_by(0, 2_000), at(2_100));
    book.offer(seen_by(1, 2_400), at(2_500));
    assert_eq!(book.held(), Some(seen_by(0, 2_000)));
    // Once it is stale, what is fresh counts.
    book.offer(seen_by(1, 3_300), at(3_450));
    assert_eq!(book.held(), Some(seen_by(1, 3_300)));
    assert!(!book.is_stale(at(3_500)));
    assert!(book.is_stale(at(4_700)));
}

/// A daemon was paused, and heartbeats of that time wait to be read. Their ages say nothing of how
/// long they waited, so it begins anew; it must not ask the source at once either, as a whole data
/// centre may have been paused together.
#[test]
fn after_pause() {
    let mut book = book(1);
    book.offer(seen_by(0, 1_000), at(1_000));
    book.restart(at(9_000));
    assert_eq!(book.held(), None);
    assert_eq!(book.due_in(at(9_000)), Some(at(1_400)));
}

/// A daemon that leaves has no place any more, and the next one's turn comes at once.
#[test]
fn relay_leaves() {
    let (mut first, mut second) = (book(0), book(1));
    let rest = order().split_off(1);
    first.set_order(&rest);
    second.set_order(&rest);
    assert_eq!(first.due_in(at(1_000)), None);
    assert_eq!(second.due_in(at(1_000)), Some(Duration::ZERO));
}
