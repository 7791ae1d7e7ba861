//! Admission of documents to a server that is quicker than its instance's link.

use std::{collections::HashMap, time::Duration};

use expect_test::expect;
use rand::{SeedableRng, rngs::StdRng};
use sk_decide::WorkClass;
use sk_decide::admitting::{
    Admission, AdmissionGuard, FlowKey, GuardRequest, GuardSettings, QueueOrder, Released, Ticket,
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
        flow: FlowKey { team: 1, caller: 1 },
        deadline: at(now + 4_000),
        is_exclusive: false,
        goal: Some(at(now + GOAL_MS)),
        rank: 2,
        work: 1,
        max_wait: None,
    }
}

/// Simulates documents that come evenly, `per_second`, for ten seconds.
fn simulate(per_second: u64, informs_guard: bool) -> SimulationResult {
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
        let mut sending = Vec::new();
        for (ticket, document) in &mut open {
            if now >= document.ready_at {
                let id = *document.transfer.get_or_insert_with(|| queue.begin());
                if queue.request_permit(id, time) == TransferPermit::Granted {
                    sending.push(*ticket);
                }
            }
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
            document.transfer.into_iter().for_each(|id| queue.end(id));
            match now - document.came <= GOAL_MS {
                true => result.in_time += 1,
                false => result.late += 1,
            }
            begin(&mut guard.finish(ticket, time), now, &came, &mut open, &mut result);
        }
        if informs_guard {
            let mut released = guard.set_waiting_answers(queue.waiting_count(), time);
            begin(&mut released, now, &came, &mut open, &mut result);
        }
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
        open.insert(ticket, Document { came, ready_at, transfer: None, left: LINK_MS });
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
    let (naive, informed) = (simulate(12, false), simulate(12, true));
    assert!(informed.in_time > 2 * naive.in_time);
    expect![[r#"
        by slots: of 121: 7 in time, 74 late, 40 refused
        by the link: of 121: 72 in time, 2 late, 47 refused
    "#]]
    .assert_eq(&format!("by slots: {}\nby the link: {}\n", summary(&naive), summary(&informed)));
}

/// The link is not full. Nothing is refused and nothing late, whatever the guard knows.
#[test]
fn free_link() {
    let result = simulate(4, true);
    assert_eq!((result.late, result.refused), (0, 0));
}
