//! Documents and short answers on a slow link.

use std::{collections::BTreeMap, time::Duration};

use expect_test::expect;
use sk_decide::transfer_queue::{TransferId, TransferPermit, TransferQueue};

/// Bytes that the link carries in a millisecond: 18 Mbit/s.
const LINK: u64 = 2_300;
const DOCUMENT: u64 = 280_000;
/// Bytes of one answer in transit, which a short answer waits behind.
const WINDOW: u64 = 64_000;
const GOAL_MS: u64 = 800;

/// A document being sent: bytes left, and whether its receiver takes any.
struct Document {
    id: TransferId,
    came: u64,
    left: u64,
    is_stalled: bool,
}

#[derive(Default)]
struct SimulationResult {
    in_time: usize,
    sent: usize,
    /// Longest time that a short answer waits behind documents.
    short_ms: u64,
}

/// Simulates documents that come at given milliseconds. The link divides its bytes evenly among
/// those that send.
fn simulate(arrivals: &[(u64, bool)], has_permits: bool, end: u64) -> SimulationResult {
    let mut queue = TransferQueue::default();
    let mut open: BTreeMap<usize, Document> = BTreeMap::new();
    let mut result = SimulationResult::default();
    for now in 0..end {
        let time = Duration::from_millis(now);
        for (index, (_, is_stalled)) in
            arrivals.iter().enumerate().filter(|(_, (came, _))| *came == now)
        {
            let id = queue.begin(time);
            let is_stalled = *is_stalled;
            open.insert(index, Document { id, came: now, left: DOCUMENT, is_stalled });
        }
        let mut sending = Vec::new();
        for (index, document) in &open {
            // A stalled receiver has taken its first window, and its document asks no more.
            let asks = !document.is_stalled || document.left > DOCUMENT - WINDOW;
            if asks
                && (!has_permits
                    || queue.request_permit(document.id, time) == TransferPermit::Granted)
            {
                sending.push(*index);
            }
        }
        let ahead: u64 = sending.iter().map(|index| open[index].left.min(WINDOW)).sum();
        result.short_ms = result.short_ms.max(ahead / LINK);
        for index in &sending {
            let document = open.get_mut(index).expect("it sends");
            document.left = document.left.saturating_sub(LINK / sending.len() as u64);
        }
        open.retain(|_, document| {
            let is_sent = document.left == 0;
            if is_sent {
                queue.end(document.id, time);
                result.sent += 1;
                result.in_time += usize::from(now - document.came <= GOAL_MS);
            }
            !is_sent
        });
    }
    result
}

/// Twelve documents become ready within a tenth of a second on a link that carries eight in a
/// second. Sent all at once, every one arrives after the goal, and a short answer that another
/// request waits for is late by a third of a second.
#[test]
fn burst_of_documents() {
    let arrivals: Vec<_> = (0..12).map(|index| (index * 8, false)).collect();
    let (naive, permits) = (simulate(&arrivals, false, 4_000), simulate(&arrivals, true, 4_000));
    let summary = |result: &SimulationResult| {
        let SimulationResult { in_time, sent, short_ms } = result;
        format!("{in_time} of {sent} in time, short answers up to {short_ms} ms late")
    };
    expect![[r#"
        all at once: 0 of 12 in time, short answers up to 333 ms late
        in turns: 6 of 12 in time, short answers up to 55 ms late
    "#]]
    .assert_eq(&format!("all at once: {}\nin turns: {}\n", summary(&naive), summary(&permits)));
}

/// Two receivers take nothing any more: one lost its power, one is a caller that stopped reading.
/// The answers to all others must not wait for the deadlines of these.
#[test]
fn stalled_receivers() {
    let arrivals = [(0, true), (0, true), (10, false), (20, false), (30, false)];
    let permits = simulate(&arrivals, true, 2_000);
    assert_eq!((permits.sent, permits.in_time), (3, 3));
}

/// Callers that stopped reading hold their answers until the deadline. Counted as bytes that the
/// link has yet to carry, they would keep the guard from admitting documents for others.
#[test]
fn stalled_not_pending() {
    let at = Duration::from_millis;
    let mut queue = TransferQueue::default();
    for _ in 0..4 {
        let stalled = queue.begin_kept(at(0));
        assert_eq!(queue.request_permit(stalled, at(0)), TransferPermit::Granted);
        queue.request_permit(stalled, at(1));
        // The permits of those that take nothing are withdrawn when another one asks.
        let other = queue.begin_kept(at(300));
        queue.request_permit(other, at(300));
        queue.end(other, at(300));
    }
    let moving = queue.begin_kept(at(600));
    assert_eq!(queue.request_permit(moving, at(600)), TransferPermit::Granted);
    assert_eq!(queue.moving_backlog(at(700)).pending, 1);
    assert_eq!(queue.backlog(at(700)).pending, 5);
}

/// A receiver on a busy instance takes its next bytes late. Its answer is still on the link, and the
/// guard must not start another one in its place.
#[test]
fn late_receiver_pending() {
    let at = Duration::from_millis;
    let mut queue = TransferQueue::default();
    let late = queue.begin_kept(at(0));
    for now in (0..4_000).step_by(400) {
        queue.request_permit(late, at(now));
        // The permit is withdrawn.
        let other = queue.begin_kept(at(now + 300));
        queue.request_permit(other, at(now + 300));
        queue.end(other, at(now + 300));
        assert_eq!(queue.moving_backlog(at(now + 399)).pending, 1);
    }
}

/// A document lost its permit because its reader was busy for a moment. It waited behind all others
/// for its next one, and its caller left with a part of it.
#[test]
fn begun_first() {
    let at = Duration::from_millis;
    let granted = TransferPermit::Granted;
    let mut queue = TransferQueue::default();
    let [late, first, second, third] = [0; 4].map(|now| queue.begin_kept(at(now)));
    assert_eq!(queue.request_permit(late, at(0)), granted);
    assert_eq!(queue.request_permit(first, at(240)), granted);
    for id in [second, third] {
        assert_ne!(queue.request_permit(id, at(240)), granted);
    }
    // The reader is back after the second has got the permit.
    assert_eq!(queue.request_permit(second, at(260)), granted);
    assert_ne!(queue.request_permit(late, at(300)), granted);
    queue.end(first, at(310));
    assert_ne!(queue.request_permit(third, at(310)), granted);
    assert_eq!(queue.request_permit(late, at(310)), granted);
}

/// A reader far away takes its answer in seconds, and the link is free for others most of them.
/// Counted whole, they would keep the guard from admitting documents.
#[test]
fn time_with_permit() {
    let at = Duration::from_millis;
    let mut queue = TransferQueue::default();
    let far = queue.begin_kept(at(0));
    for now in (0..4_000).step_by(1_000) {
        queue.request_permit(far, at(now));
        queue.request_permit(far, at(now + 20));
        // The permit is withdrawn.
        let other = queue.begin_kept(at(now + 300));
        queue.request_permit(other, at(now + 300));
        queue.end(other, at(now + 300));
    }
    queue.record_completed(far, at(4_000));
    queue.end(far, at(4_000));
    assert_eq!(queue.backlog(at(4_000)).transfer_time, at(4 * 270));
}

/// A link on which nothing ends for a while is slow, not idle. The time of its answers must not be
/// taken to fall meanwhile, or the guard admits more and more of them.
#[test]
fn time_while_waiting() {
    let at = Duration::from_millis;
    let mut queue = TransferQueue::default();
    let carried = queue.begin_kept(at(0));
    queue.request_permit(carried, at(0));
    queue.record_completed(carried, at(400));
    queue.end(carried, at(400));
    let open: Vec<_> = (0..3).map(|_| queue.begin_kept(at(400))).collect();
    for now in (400..4_000).step_by(100) {
        for id in &open {
            queue.request_permit(*id, at(now));
        }
    }
    assert_eq!(queue.moving_backlog(at(4_000)).transfer_time, at(400));
    for id in open {
        queue.end(id, at(4_000));
    }
    assert!(queue.moving_backlog(at(4_000)).transfer_time < at(100));
}
