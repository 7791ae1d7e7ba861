//! Uploads to a server whose link carries fewer of them than it could run.

use std::{collections::VecDeque, time::Duration};

use rand::{SeedableRng, rngs::SmallRng};
use sk_decide::{
    WorkClass,
    admitting::{
        Admission, AdmissionGuard, FlowKey, GuardRequest, GuardSettings, LinkBacklog, QueueOrder,
        RefusalReason, Ticket,
    },
    transfer_queue::{TransferId, TransferPermit, TransferQueue},
};

/// Bytes that the link carries in a millisecond: 7 Mbit/s.
const LINK: u64 = 875;
const UPLOAD: u64 = 60_000;
/// Bytes of an upload that arrive before it is decided on or has a permit.
const WINDOW: u64 = 16_384;
const WORK_MS: u64 = 250;
const GOAL_MS: u64 = 1_000;
const END_MS: u64 = 20_000;
/// Pause between uploads: a fifth more of them than the link carries, half of what the server runs.
const PAUSE_MS: u64 = 57;

fn guard() -> AdmissionGuard {
    let settings =
        GuardSettings { order: QueueOrder::Urgent, slots: 9, ..GuardSettings::default() };
    AdmissionGuard::new(settings, Duration::ZERO)
}

fn request(came_ms: u64) -> GuardRequest {
    let came = Duration::from_millis(came_ms);
    GuardRequest {
        class: WorkClass::Short,
        flow: FlowKey { workspace: None, team: 1, caller: 1 },
        deadline: came + Duration::from_millis(2_500),
        is_exclusive: false,
        goal: Some(came + Duration::from_millis(GOAL_MS)),
        rank: 0,
        is_nested: false,
        work: 1,
        max_wait: None,
    }
}

#[derive(Debug, Default)]
struct SimulationResult {
    in_time: u64,
    /// Refused at once, with time to go to another server.
    refused: u64,
    late: u64,
    /// Longest time that a short call waits behind uploads.
    short_ms: u64,
}

impl SimulationResult {
    fn record_end(&mut self, came: u64, end: u64) {
        match end <= came + GOAL_MS {
            true => self.in_time += 1,
            false => self.late += 1,
        }
    }

    fn record_link(&mut self, bytes: u64) {
        self.short_ms = self.short_ms.max(bytes / LINK);
    }
}

/// Simulates the uploads with all of each sent at once.
fn simulate_whole() -> SimulationResult {
    let mut result = SimulationResult::default();
    let (mut behind, mut free_at) = (0, 0.0_f64);
    for came in (PAUSE_MS..END_MS).step_by(PAUSE_MS as usize) {
        free_at = free_at.max(came as f64) + UPLOAD as f64 / LINK as f64;
        behind = behind.max(((free_at - came as f64) * LINK as f64) as u64);
        result.record_end(came, free_at as u64 + WORK_MS);
    }
    result.record_link(behind);
    result
}

struct ComingUpload {
    id: TransferId,
    came: u64,
    /// Bytes that have yet to be sent, and those that wait on the link.
    unsent: u64,
    on_link: u64,
}

/// Simulates the uploads with each decided on by its first bytes and then received when it has a
/// permit.
fn simulate_permits() -> SimulationResult {
    let (mut guard, mut queue) = (guard(), TransferQueue::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut result = SimulationResult::default();
    let mut coming: Vec<ComingUpload> = Vec::new();
    let mut running: VecDeque<(u64, u64, Ticket)> = VecDeque::new();
    let mut refused_bytes = 0;
    for ms in 1..END_MS {
        let now = Duration::from_millis(ms);
        if ms % PAUSE_MS == 0 {
            let backlog = queue.backlog(now);
            if guard.consider_upload(&request(ms), &backlog, now, &mut rng).is_ok() {
                let (id, unsent) = (queue.begin(now), UPLOAD - WINDOW);
                coming.push(ComingUpload { id, came: ms, unsent, on_link: WINDOW });
            } else {
                result.refused += 1;
                refused_bytes += WINDOW;
            }
        }
        let on_link =
            |coming: &[ComingUpload]| coming.iter().map(|upload| upload.on_link).sum::<u64>();
        result.record_link(refused_bytes + on_link(&coming));
        let mut carries = LINK.saturating_sub(refused_bytes);
        refused_bytes = refused_bytes.saturating_sub(LINK);
        for upload in &mut coming {
            let carried = upload.on_link.min(carries);
            (upload.on_link, carries) = (upload.on_link - carried, carries - carried);
            if queue.request_permit(upload.id, now) == TransferPermit::Granted {
                let more = (WINDOW - upload.on_link).min(upload.unsent);
                (upload.on_link, upload.unsent) = (upload.on_link + more, upload.unsent - more);
            }
        }
        coming.retain(|upload| {
            let is_coming = upload.on_link + upload.unsent > 0;
            if !is_coming {
                queue.record_completed(upload.id, now);
                queue.end(upload.id, now);
                match guard.offer(&request(upload.came), now, &mut rng) {
                    Admission::Run(ticket) => {
                        running.push_back((ms + WORK_MS, upload.came, ticket))
                    }
                    _ => result.late += 1,
                }
            }
            is_coming
        });
        while let Some((end, came, ticket)) = running.pop_front_if(|(end, ..)| *end <= ms) {
            let released = guard.finish(ticket, now);
            assert!(released.start.is_empty(), "no upload waits for a slot");
            result.record_end(came, end);
        }
    }
    result
}

/// Guards against uploads that fill a link, come late to a server with free slots and delay short
/// calls.
#[test]
fn full_link() {
    let (whole, permits) = (simulate_whole(), simulate_permits());
    assert!(whole.late > whole.in_time, "the naive policy must show the harm: {whole:?}");
    assert!(permits.late * 20 < permits.in_time, "{permits:?}");
    // The link carries 14 a second; what is refused costs it a window each.
    assert!(permits.in_time > 200, "{permits:?}");
    assert!(permits.short_ms < 250 && whole.short_ms > 2_000, "{permits:?} {whole:?}");
}

fn consider(request: &GuardRequest, link: &LinkBacklog) -> Result<(), RefusalReason> {
    let considered = guard().consider_upload(
        request,
        link,
        Duration::from_millis(1),
        &mut SmallRng::seed_from_u64(1),
    );
    considered.map_err(|refusal| refusal.reason)
}

/// Guards against uploads that ask for a free slot and wait for the link instead.
#[test]
fn busy_link_refused() {
    let attempt = GuardRequest { max_wait: Some(Duration::ZERO), ..request(1) };
    let transfer_time = Duration::from_millis(70);
    let link =
        LinkBacklog { wait: Duration::ZERO, transfer_time, pending: 1, ..LinkBacklog::default() };
    assert_eq!(consider(&attempt, &link), Ok(()));
    let waits = LinkBacklog { wait: transfer_time, ..link };
    assert_eq!(consider(&attempt, &waits), Err(RefusalReason::Busy));
    assert_eq!(consider(&request(1), &waits), Ok(()));
    let takes_all_slots = LinkBacklog { pending: 9, ..link };
    assert_eq!(consider(&attempt, &takes_all_slots), Err(RefusalReason::Busy));
}

/// Guards against receiving uploads that cannot be here in time.
#[test]
fn too_late() {
    let transfer_time = Duration::from_millis(70);
    let past_goal = LinkBacklog {
        wait: Duration::from_millis(950),
        transfer_time,
        pending: 20,
        ..LinkBacklog::default()
    };
    assert_eq!(consider(&request(1), &past_goal), Err(RefusalReason::GoalMissed));
    let past_deadline = LinkBacklog {
        wait: Duration::from_millis(2_450),
        transfer_time,
        pending: 60,
        ..LinkBacklog::default()
    };
    let refused = consider(&request(1), &past_deadline);
    assert_eq!(refused, Err(RefusalReason::DeadlineTooNear));
}
