//! Limit on long work at a server by what the instance's link carries.

use std::time::Duration;

use crate::admitting::LinkBacklog;
use crate::transfer_queue::MAX_SENDING;

/// Long requests that may always run: one for each of the two answers that the link carries at a
/// time and one at the server, so that the link has something to send when one of them ends.
const MIN_RUNNING: f64 = 3.0;
/// Growth of the limit, in requests, with each answer that did not wait for the link. A link that
/// has become free is used fully again after some dozens of answers.
const GROWTH_PER_ANSWER: f64 = 0.25;

/// Requests more than the link needs on average to have an answer to send at any time, since work
/// varies.
const LINK_RESERVE: f64 = 1.0;

/// Limit on the long requests that run at once.
///
/// A server can be quicker than its link. It would take in documents on all its slots, and each
/// would then wait for the link for as long as all the others take: a dozen documents of 90 KB on
/// 7.5 Mbit/s are late by more than a second, while short work lacks the slots that they take.
/// Fewer at once are sent just as fast, and those beyond the limit are refused while there is time
/// to come back.
///
/// Answers that are kept in memory occupy no slot while they wait for the link, and a request may
/// start as soon as the link is expected to be free when its answer is made: with two answers on the
/// link and as many more at the server as the link carries in the time of the work. Later ones wait
/// in the queue, where the most urgent goes first, and not on the link.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkLimit {
    max_running: f64,
    waiting_answers: usize,
    backlog: LinkBacklog,
    /// Whether a long request has ended.
    has_ended: bool,
}

impl Default for LinkLimit {
    fn default() -> Self {
        let backlog = LinkBacklog::default();
        Self { max_running: f64::from(u32::MAX), waiting_answers: 0, backlog, has_ended: false }
    }
}

impl LinkLimit {
    /// Returns how many long requests may run at once by the answers that wait in their slots.
    pub(super) fn max_running(&self) -> u32 {
        // The value is never below three, and the cast stops at the largest number.
        self.max_running as u32
    }

    /// Returns how many long requests, which take `work` each, may run so that the link is free when
    /// their answers are made: at least one while the link has no more to carry than it should, or
    /// the server would only start when the link is idle already.
    pub(super) fn max_in_step(&self, work: Duration) -> u32 {
        match self.max_open(work).checked_sub(self.backlog.pending) {
            Some(left) => left.max(1),
            None => 0,
        }
    }

    /// Returns how long a request waits for the link before it starts, if `running` others run and
    /// `ahead` are to start before it.
    pub(super) fn start_wait(&self, work: Duration, running: u32, ahead: u32) -> Duration {
        let open = self.backlog.pending.saturating_add(running).saturating_add(ahead);
        let excess = open.saturating_add(1).saturating_sub(self.max_open(work));
        self.backlog.transfer_time * excess / MAX_SENDING as u32
    }

    /// Returns the time from the end of `work` to the end of its answer on the link, if `running`
    /// others are at the server when it starts; `None` for as many as may be.
    pub(super) fn answer_time(&self, work: Duration, running: Option<u32>) -> Duration {
        self.link_time(work, running, self.backlog.transfer_time)
    }

    /// Returns the time from the end of `work` by which the answer has very likely left the link.
    pub(super) fn high_answer_time(&self, work: Duration, running: u32) -> Duration {
        self.link_time(work, Some(running), self.backlog.high_transfer_time)
    }

    /// Returns the time from the end of `work` to the end of its answer, which takes `own` once it is
    /// its turn.
    fn link_time(&self, work: Duration, running: Option<u32>, own: Duration) -> Duration {
        let open = match running {
            Some(running) => running + 1 + self.backlog.pending,
            None => self.max_open(work),
        };
        let before = self.backlog.transfer_time * (open - 1) / MAX_SENDING as u32;
        (before + own / MAX_SENDING as u32).saturating_sub(work).max(own)
    }

    /// Returns the number of answers that the link has to carry.
    pub(super) fn pending(&self) -> u32 {
        self.backlog.pending
    }

    /// Returns the time that the link takes for one answer.
    pub(super) fn transfer_time(&self) -> Duration {
        self.backlog.transfer_time
    }

    /// Sets what the link has to carry.
    pub(super) fn set_backlog(&mut self, backlog: LinkBacklog) {
        self.backlog = backlog;
    }

    /// Returns how many long requests may be at the server or on the link.
    fn max_open(&self, work: Duration) -> u32 {
        let transfer_time = self.backlog.transfer_time.as_secs_f64();
        // Nothing is known of the link before it has carried an answer, and nothing of the answers
        // before work has ended. Those of some servers are all short, and none ever counts here.
        if transfer_time <= 0.0 && self.backlog.pending == 0 && self.has_ended {
            return u32::MAX;
        }
        let at_server = match transfer_time > 0.0 {
            true => work.as_secs_f64() / transfer_time,
            false => 0.0,
        };
        // The cast stops at the largest number.
        (MAX_SENDING as f64 * (1.0 + at_server) + LINK_RESERVE).ceil() as u32
    }

    /// Returns how many large answers wait for the link.
    pub(super) fn waiting_answers(&self) -> usize {
        self.waiting_answers
    }

    /// Records how many large answers wait for the link while `running` long requests run. If more
    /// wait than before, one request fewer than now may run.
    pub(super) fn set_waiting_answers(&mut self, answers: usize, running: u32) {
        if answers > self.waiting_answers {
            self.max_running = (self.max_running.min(f64::from(running)) - 1.0).max(MIN_RUNNING);
        }
        self.waiting_answers = answers;
    }

    /// Records that a long request ended, and raises the limit if no answer waits.
    pub(super) fn record_end(&mut self) {
        self.has_ended = true;
        if self.waiting_answers == 0 {
            self.max_running = (self.max_running + GROWTH_PER_ANSWER).min(f64::from(u32::MAX));
        }
    }
}
