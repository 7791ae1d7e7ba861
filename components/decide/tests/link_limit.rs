//! Admission of documents to a server that is quicker than its instance's link.

use std::{collections::HashMap, time::Duration};

use expect_test::expect;
use rand::{SeedableRng, rngs::StdRng};
use sk_decide::WorkClass;
use sk_decide::admitting::{
    Admission, AdmissionGuard, FlowKey, GuardRequest, GuardSettings, LinkBacklog, QueueOrder,
    RefusalReason, Released, Ticket,
};
use sk_decide::transfer_queue::{TransferId, TransferPermit, TransferQueue};

const GOAL_MS: u64 = 800;
const WORK_MS: u64 = 180;
/// Milliseconds of the whole link that a document takes: 90 KB at 5 Mbit/s.
const LINK_MS: f64 = 140.0;

/// An admitted document: at the server, then on the link.
struct Document {
    came: u64,
    ready_at: u64,
    transfer: Option<TransferId>,
    left: f64,
    /// Whether its slot is free again.
    is_kept: bool,
}

/// What the guard learns of the link.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkNews {
    Nothing,
    /// How many answers wait for the link in their slots.
    WaitingAnswers,
    /// What the link has to carry; answers are in memory and occupy no slot.
    KeptAnswers,
}

#[derive(Default)]
struct SimulationResult {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

fn offer_of(now: u64) -> GuardRequest {
    let at = Duration::from_millis;
    GuardRequest {
        class: WorkClass::Long,
        flow: FlowKey { workspace: None, team: 1, caller: 1 },
        deadline: at(now + 4_000),
        is_exclusive: false,
        goal: Some(at(now + GOAL_MS)),
        rank: 2,
        is_nested: false,
        work: 1,
        max_wait: None,
    }
}

/// Simulates documents that come evenly, `per_second`, for ten seconds.
fn simulate(per_second: u64, news: LinkNews) -> SimulationResult {
    let settings =
        GuardSettings { order: QueueOrder::Urgent, long_queue: 48, ..GuardSettings::default() };
    let mut guard = AdmissionGuard::new(settings, Duration::ZERO);
    let mut queue = TransferQueue::default();
    let mut rng = StdRng::seed_from_u64(1);
    let mut came = HashMap::<Ticket, u64>::new();
    let mut open = HashMap::<Ticket, Document>::new();
    let mut result = SimulationResult::default();
    for now in 0..14_000_u64 {
        let time = Duration::from_millis(now + 1);
        let mut released = guard.expire(time);
        if now < 10_000 && now % (1_000 / per_second) == 0 {
            result.asked += 1;
            match guard.offer(&offer_of(now + 1), time, &mut rng) {
                Admission::Refused(_) => result.refused += 1,
                Admission::Queued(ticket) => drop(came.insert(ticket, now)),
                Admission::Run(ticket) => {
                    came.insert(ticket, now);
                    released.start.push(ticket);
                }
            }
        }
        begin(&mut released, now, &came, &mut open, &mut result);
        let (mut sending, mut made) = (Vec::new(), Vec::new());
        for (ticket, document) in &mut open {
            if now >= document.ready_at {
                if news == LinkNews::KeptAnswers && !document.is_kept {
                    document.is_kept = true;
                    made.push(*ticket);
                }
                let id = *document.transfer.get_or_insert_with(|| match document.is_kept {
                    true => queue.begin_kept(time),
                    false => queue.begin(time),
                });
                if queue.request_permit(id, time) == TransferPermit::Granted {
                    sending.push(*ticket);
                }
            }
        }
        for ticket in made {
            begin(&mut guard.finish(ticket, time), now, &came, &mut open, &mut result);
        }
        let mut ended = Vec::new();
        for ticket in &sending {
            let document = open.get_mut(ticket).expect("it is open");
            document.left -= 1.0 / sending.len() as f64;
            if document.left <= 0.0 {
                ended.push(*ticket);
            }
        }
        for ticket in ended {
            let document = open.remove(&ticket).expect("it is open");
            if let Some(id) = document.transfer {
                queue.record_completed(id, time);
                queue.end(id, time);
            }
            match now - document.came <= GOAL_MS {
                true => result.in_time += 1,
                false => result.late += 1,
            }
            begin(&mut guard.finish(ticket, time), now, &came, &mut open, &mut result);
        }
        let mut released = match news {
            LinkNews::Nothing => Released::default(),
            LinkNews::WaitingAnswers => guard.set_waiting_answers(queue.waiting_count(), time),
            LinkNews::KeptAnswers => guard.set_answer_backlog(queue.backlog(time), time),
        };
        begin(&mut released, now, &came, &mut open, &mut result);
    }
    result
}

fn begin(
    released: &mut Released,
    now: u64,
    came: &HashMap<Ticket, u64>,
    open: &mut HashMap<Ticket, Document>,
    result: &mut SimulationResult,
) {
    for ticket in released.start.drain(..) {
        let (came, ready_at) = (came[&ticket], now + WORK_MS);
        let document = Document { came, ready_at, transfer: None, left: LINK_MS, is_kept: false };
        open.insert(ticket, document);
    }
    result.refused += released.refused.drain(..).count() as u32;
}

/// Twelve documents a second come to a server that could do sixty, on a link that carries seven. A
/// guard that sees only free slots admits them, and nearly all are late. A guard that knows how
/// many answers wait for the link admits as many as it carries in time, and refuses the others
/// while they can come back.
#[test]
fn link_below_server() {
    let summary = |result: &SimulationResult| {
        let SimulationResult { asked, in_time, late, refused } = result;
        format!("of {asked}: {in_time} in time, {late} late, {refused} refused")
    };
    let naive = simulate(12, LinkNews::Nothing);
    let informed = simulate(12, LinkNews::WaitingAnswers);
    assert!(informed.in_time > 2 * naive.in_time);
    expect![[r#"
        by slots: of 121: 7 in time, 74 late, 40 refused
        by the link: of 121: 72 in time, 0 late, 49 refused
    "#]]
    .assert_eq(&format!("by slots: {}\nby the link: {}\n", summary(&naive), summary(&informed)));
}

/// Answers that are kept in memory occupy no slot. The guard starts as many documents as the link
/// can carry when they are made; those that wait, wait in its queue and not on the link.
#[test]
fn kept_answers() {
    let (by_slots, kept) =
        (simulate(12, LinkNews::WaitingAnswers), simulate(12, LinkNews::KeptAnswers));
    let summary = |result: &SimulationResult| {
        let SimulationResult { asked, in_time, late, refused } = result;
        format!("of {asked}: {in_time} in time, {late} late, {refused} refused")
    };
    expect!["of 121: 72 in time, 1 late, 48 refused"].assert_eq(&summary(&kept));
    assert!(kept.late * 20 <= kept.in_time, "hardly any is late");
    assert!(kept.in_time + 5 >= by_slots.in_time, "as many are in time");
}

/// The link is not full. Nothing is refused and nothing late, whatever the guard knows.
#[test]
fn free_link() {
    for news in [LinkNews::WaitingAnswers, LinkNews::KeptAnswers] {
        let result = simulate(4, news);
        assert_eq!((result.late, result.refused), (0, 0));
    }
}

/// A guard whose link has `pending` answers to carry, which take 300 ms each.
fn guard_with(pending: u32) -> AdmissionGuard {
    let settings = GuardSettings { order: QueueOrder::Urgent, ..GuardSettings::default() };
    let mut guard = AdmissionGuard::new(settings, Duration::ZERO);
    tell(&mut guard, backlog(pending));
    guard
}

/// Tells a guard at which nothing waits what its link has to carry.
fn tell(guard: &mut AdmissionGuard, backlog: LinkBacklog) {
    assert_eq!(guard.set_answer_backlog(backlog, Duration::from_millis(1)), Released::default());
}

fn backlog(pending: u32) -> LinkBacklog {
    let transfer_time = Duration::from_millis(300);
    LinkBacklog { transfer_time, high_transfer_time: transfer_time, pending, ..Default::default() }
}

/// Offers a document whose goal has passed and whose deadline ends after some milliseconds.
fn offer_late(guard: &mut AdmissionGuard, deadline_ms: u64) -> Admission {
    let deadline = Duration::from_millis(deadline_ms);
    let request = GuardRequest { goal: None, deadline, ..offer_of(1) };
    guard.offer(&request, Duration::from_millis(1), &mut StdRng::seed_from_u64(1))
}

/// Documents that missed their goals were started at any backlog, as long as their work alone would
/// end before their deadlines. Their answers were still on the link at the deadline, or at the end
/// of a daemon that stopped, and were cut.
#[test]
fn deadline_on_link() {
    let refused = offer_late(&mut guard_with(2), 400);
    let Admission::Refused(refusal) = refused else { panic!("{refused:?}") };
    assert_eq!(refusal.reason, RefusalReason::DeadlineTooNear);
    assert!(matches!(offer_late(&mut guard_with(2), 500), Admission::Run(_)));
}

/// The last answer went to a very slow reader. Refused for its time, no document would start any
/// more, and no other time would ever be known.
#[test]
fn idle_link() {
    let mut guard = guard_with(0);
    let slow = Duration::from_secs(20);
    tell(&mut guard, LinkBacklog { transfer_time: slow, high_transfer_time: slow, ..backlog(0) });
    assert!(matches!(offer_late(&mut guard, 4_000), Admission::Run(_)));
}

/// A full link got one more document whenever the server had nothing else to do.
#[test]
fn full_link() {
    let mut guard = guard_with(8);
    let Admission::Queued(ticket) = offer_late(&mut guard, 10_000) else { panic!("it waits") };
    let released = guard.set_answer_backlog(backlog(2), Duration::from_millis(600));
    assert_eq!((released.start, released.refused), (vec![ticket], Vec::new()));
}

/// A document in the queue whose answer can no longer be carried in time is refused at once, and
/// not started when a slot is free.
#[test]
fn late_in_queue() {
    let mut guard = guard_with(8);
    let Admission::Queued(ticket) = offer_late(&mut guard, 6_000) else { panic!("it waits") };
    let released = guard.set_answer_backlog(backlog(40), Duration::from_millis(600));
    let late = vec![(ticket, RefusalReason::DeadlineTooNear)];
    assert_eq!((released.start, released.refused), (Vec::new(), late));
}

/// A daemon that has just started knows nothing of its link. It started documents on all slots
/// before the first answer was made, and again before it had left.
#[test]
fn first_answers() {
    let unknown = |pending| LinkBacklog { pending, ..LinkBacklog::default() };
    let mut guard = guard_with(0);
    tell(&mut guard, unknown(0));
    let first = offer_late(&mut guard, 10_000);
    let Admission::Run(first) = first else { panic!("{first:?}") };
    for _ in 0..2 {
        assert!(matches!(offer_late(&mut guard, 10_000), Admission::Run(_)));
    }
    assert!(matches!(offer_late(&mut guard, 10_000), Admission::Queued(_)));
    let at = Duration::from_millis;
    let started = |released: Released| released.start.len();
    // Its answer is on the link before it counts as ended.
    assert_eq!(started(guard.set_answer_backlog(unknown(1), at(200))), 0);
    assert_eq!(started(guard.finish(first, at(200))), 0);
    assert_eq!(started(guard.set_answer_backlog(backlog(0), at(500))), 1);
}

/// Work whose answers are short is not limited by the link.
#[test]
fn short_answers() {
    let mut guard = guard_with(0);
    tell(&mut guard, LinkBacklog::default());
    let first = offer_late(&mut guard, 10_000);
    let Admission::Run(first) = first else { panic!("{first:?}") };
    assert_eq!(guard.finish(first, Duration::from_millis(1)), Released::default());
    for _ in 0..5 {
        assert!(matches!(offer_late(&mut guard, 10_000), Admission::Run(_)));
    }
}
