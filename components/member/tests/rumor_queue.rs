//! The queues of rumors to the neighbours.

mod support;

use std::sync::Arc;

use sk_member::{MemberRumor, MemberStatus, RumorQueue};
use support::record;

fn queue() -> RumorQueue {
    let mut queue = RumorQueue::new();
    for link in ["b", "c"] {
        queue.add_link(link.to_owned());
        assert!(queue.take_digest_request(&link.to_owned()), "a new link starts with a comparison");
    }
    queue
}

fn record_rumor(proxy: &str, sequence: u64) -> MemberRumor {
    MemberRumor::Record(Arc::new(record(proxy, 1, sequence, MemberStatus::Alive)))
}

// A rumor is not sent back to the link it came from, and a newer one about the same daemon replaces
// one that waits.
#[test]
fn sent_once() {
    let (b, c) = ("b".to_owned(), "c".to_owned());
    let mut queue = queue();
    queue.push(&record_rumor("x", 1), Some(&b));
    queue.push(&record_rumor("y", 1), None);
    queue.push(&record_rumor("x", 2), Some(&b));
    assert_eq!(queue.take(&b, 10), [record_rumor("y", 1)]);
    assert_eq!(
        queue.take(&c, 1),
        [record_rumor("x", 2)],
        "the newest rumor at the position of the oldest"
    );
    assert_eq!(queue.take(&c, 10), [record_rumor("y", 1)]);
    assert_eq!(queue.pending(&c), 0);
}

#[test]
fn known_rumor_removed() {
    let (b, c) = ("b".to_owned(), "c".to_owned());
    let mut queue = queue();
    queue.push(&record_rumor("x", 1), None);
    queue.push(&record_rumor("x", 2), Some(&c));
    assert_eq!(queue.pending(&c), 0, "the sender of a newer rumor needs no older one");
    assert_eq!(queue.take(&b, 10), [record_rumor("x", 2)]);
}

// A link stalls while the fleet restarts. Its queue would grow without bound; a comparison of
// digests replaces the queued records.
#[test]
fn queue_bounded() {
    let b = "b".to_owned();
    let mut queue = queue();
    for index in 0..10_000 {
        queue.push(&record_rumor(&format!("proxy-{index}"), 1), None);
        assert!(queue.pending(&b) <= 2_048);
    }
    assert!(queue.take_digest_request(&b));
    assert!(!queue.take_digest_request(&b), "requested once");
    queue.request_digest(&b);
    assert!(queue.take_digest_request(&b));
}
