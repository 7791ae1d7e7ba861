//! News on their way to the neighbours.

mod support;

use std::sync::Arc;

use sk_member::{MemberRumor, MemberStatus, RumorQueue};
use support::record;

fn queue() -> RumorQueue {
    let mut queue = RumorQueue::new();
    for link in ["b", "c"] {
        queue.add_link(link.to_owned());
        assert!(queue.take_repair(&link.to_owned()), "a new link starts with a comparison");
    }
    queue
}

fn news(proxy: &str, sequence: u64) -> MemberRumor {
    MemberRumor::Record(Arc::new(record(proxy, 1, sequence, MemberStatus::Alive)))
}

#[test]
fn sent_once() {
    let (b, c) = ("b".to_owned(), "c".to_owned());
    let mut queue = queue();
    queue.push(&news("x", 1), Some(&b));
    queue.push(&news("y", 1), None);
    queue.push(&news("x", 2), Some(&b));
    assert_eq!(queue.take(&b, 10), [news("y", 1)]);
    assert_eq!(queue.take(&c, 1), [news("x", 2)], "the newest, in the oldest's place");
    assert_eq!(queue.take(&c, 10), [news("y", 1)]);
    assert_eq!(queue.pending(&c), 0);
}

#[test]
fn known_dropped() {
    let (b, c) = ("b".to_owned(), "c".to_owned());
    let mut queue = queue();
    queue.push(&news("x", 1), None);
    queue.push(&news("x", 2), Some(&c));
    assert_eq!(queue.pending(&c), 0, "the sender of newer news needs no older ones");
    assert_eq!(queue.take(&b, 10), [news("x", 2)]);
}

// A link stalls while the fleet restarts. Its news would grow without end; it gets a comparison of
// digests in their place.
#[test]
fn queue_bounded() {
    let b = "b".to_owned();
    let mut queue = queue();
    for index in 0..10_000 {
        queue.push(&news(&format!("proxy-{index}"), 1), None);
        assert!(queue.pending(&b) <= 2_048);
    }
    assert!(queue.take_repair(&b));
    assert!(!queue.take_repair(&b), "asked for once");
    queue.mark_failed(&b);
    assert!(queue.take_repair(&b));
}
