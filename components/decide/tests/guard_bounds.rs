//! Random sequences against the guard: bounds of slots and queue, and one end for each ticket.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sk_decide::WorkClass;
use sk_decide::admitting::{
    Admission, AdmissionGuard, FlowKey, GuardRequest, GuardSettings, Released, Ticket,
};

mod fixed_seed;

const SETTINGS: fn() -> GuardSettings =
    || GuardSettings { slots: 4, short_queue: 6, long_queue: 3, ..GuardSettings::default() };

#[derive(Clone, Debug)]
enum Step {
    Offer { is_long: bool, flow: u64, deadline_ms: u64, is_exclusive: bool },
    Finish(usize),
    Cancel(usize),
    Expire,
    Drain,
}

fn any_step() -> impl Strategy<Value = Step> {
    let offer = (any::<bool>(), 0..4_u64, 1..400_u64, prop::bool::weighted(0.1));
    prop_oneof![
        8 => offer.prop_map(|(is_long, flow, deadline_ms, is_exclusive)| {
            Step::Offer { is_long, flow, deadline_ms, is_exclusive }
        }),
        4 => (0..64_usize).prop_map(Step::Finish),
        2 => (0..64_usize).prop_map(Step::Cancel),
        2 => Just(Step::Expire),
        1 => Just(Step::Drain),
    ]
}

/// State of each ticket as an observer outside the guard sees it, separate from the guard's own
/// counts.
#[derive(Default)]
struct Observer {
    offered: HashMap<Ticket, GuardRequest>,
    queued: BTreeSet<Ticket>,
    running: BTreeSet<Ticket>,
    has_drained: bool,
}

impl Observer {
    fn start(&mut self, ticket: Ticket, now: Duration) {
        let request = &self.offered[&ticket];
        assert!(now <= request.deadline, "started after its deadline");
        assert!(
            !request.is_exclusive || self.running.is_empty(),
            "a trial began beside other requests"
        );
        assert!(self.running.insert(ticket), "started twice");
    }

    fn apply(&mut self, released: Released, now: Duration) {
        for ticket in released.start {
            assert!(self.queued.remove(&ticket), "started without being queued");
            self.start(ticket, now);
        }
        for (ticket, _) in released.refused {
            assert!(self.queued.remove(&ticket), "refused without being queued");
        }
    }

    fn nth(&self, index: usize, with_queued: bool) -> Option<Ticket> {
        let queued = self.queued.iter().filter(|_| with_queued);
        let tickets: Vec<_> = self.running.iter().chain(queued).copied().collect();
        (!tickets.is_empty()).then(|| tickets[index % tickets.len()])
    }
}

fn run_steps(steps: &[(Step, u64)], settings: GuardSettings) {
    let mut guard = AdmissionGuard::new(settings, Duration::ZERO);
    let mut rng = StdRng::seed_from_u64(7);
    let mut observer = Observer::default();
    let mut now = Duration::from_secs(1);
    for (step, wait_ms) in steps {
        now += Duration::from_millis(*wait_ms);
        match *step {
            Step::Offer { is_long, flow, deadline_ms, is_exclusive } => {
                let class = if is_long { WorkClass::Long } else { WorkClass::Short };
                let deadline = now + Duration::from_millis(deadline_ms);
                let flow = FlowKey { workspace: None, team: flow / 2, caller: flow };
                let request = GuardRequest {
                    class,
                    flow,
                    deadline,
                    is_exclusive,
                    goal: None,
                    rank: 0,
                    is_nested: false,
                    work: 0,
                    max_wait: None,
                };
                let admission = guard.offer(&request, now, &mut rng);
                let is_refused = matches!(admission, Admission::Refused(_));
                assert!(is_refused || !observer.has_drained, "admitted while draining");
                match admission {
                    Admission::Run(ticket) => {
                        observer.offered.insert(ticket, request);
                        observer.start(ticket, now);
                    }
                    Admission::Queued(ticket) => {
                        observer.offered.insert(ticket, request);
                        assert!(observer.queued.insert(ticket));
                    }
                    Admission::Refused(refusal) => {
                        assert!(
                            refusal.retry_after
                                <= settings.retry_after_min + settings.retry_after_window
                        );
                    }
                }
            }
            Step::Finish(index) => {
                if let Some(ticket) = observer.nth(index, false) {
                    observer.running.remove(&ticket);
                    observer.apply(guard.finish(ticket, now), now);
                    assert_eq!(guard.finish(ticket, now), Released::default(), "ended twice");
                }
            }
            Step::Cancel(index) => {
                if let Some(ticket) = observer.nth(index, true) {
                    observer.running.remove(&ticket);
                    observer.queued.remove(&ticket);
                    observer.apply(guard.cancel(ticket, now), now);
                }
            }
            Step::Expire => {
                observer.apply(guard.expire(now), now);
                assert!(
                    guard.next_expiry().is_none_or(|at| at > now),
                    "a timer would fire without end"
                );
            }
            Step::Drain => {
                observer.apply(guard.drain(), now);
                observer.has_drained = true;
                assert!(observer.queued.is_empty());
            }
        }
        let state = guard.state(now);
        assert_eq!(state.running.iter().sum::<u32>() as usize, observer.running.len());
        assert!(observer.running.len() <= settings.slots as usize);
        assert!(state.queued[0] <= settings.short_queue && state.queued[1] <= settings.long_queue);
        // One more than the two queues: the trial that waits for an empty server.
        let bound = settings.short_queue + settings.long_queue + 1;
        assert!(observer.queued.len() <= bound as usize);
        assert!(
            guard.next_expiry().is_some() || observer.queued.is_empty(),
            "nothing ends the wait"
        );
        let has_trial = observer.running.iter().any(|ticket| guard.is_trial(*ticket));
        assert!(!has_trial || observer.running.len() == 1, "a trial runs beside other requests");
        let waits = !observer.queued.is_empty();
        assert!(!waits || !observer.running.is_empty(), "requests wait on an idle server");
    }
}

proptest! {
    #![proptest_config(fixed_seed::config())]

    /// A guard that miscounts leaks slots until the server stands idle, or lets more run than the
    /// server has slots for. Callers notice refusals by an idle server, or slower and slower
    /// answers.
    #[test]
    fn tickets_end_once(steps in prop::collection::vec((any_step(), 0..60_u64), 1..120)) {
        run_steps(&steps, SETTINGS());
    }
}
