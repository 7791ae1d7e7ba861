//! Limit on long work at a server by what the instance's link carries.

/// Long requests that may always run: one for each of the two answers that the link carries at a
/// time and one at the server, so that the link has something to send when one of them ends.
const MIN_RUNNING: f64 = 3.0;
/// Growth of the limit, in requests, with each answer that did not wait for the link. A link that
/// has become free is used fully again after some dozens of answers.
const GROWTH_PER_ANSWER: f64 = 0.25;

/// Limit on the long requests that run at once.
///
/// A server can be quicker than its link. It would take in documents on all its slots, and each
/// would then wait for the link for as long as all the others take: a dozen documents of 90 KB on
/// 7.5 Mbit/s are late by more than a second, while short work lacks the slots that they take.
/// Fewer at once are sent just as fast, and those beyond the limit are refused while there is time
/// to come back.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkLimit {
    max_running: f64,
    waiting_answers: usize,
}

impl Default for LinkLimit {
    fn default() -> Self {
        Self { max_running: f64::from(u32::MAX), waiting_answers: 0 }
    }
}

impl LinkLimit {
    /// Returns how many long requests may run at once.
    pub(super) fn max_running(&self) -> u32 {
        // The value is never below three, and the cast stops at the largest number.
        self.max_running as u32
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
        if self.waiting_answers == 0 {
            self.max_running = (self.max_running + GROWTH_PER_ANSWER).min(f64::from(u32::MAX));
        }
    }
}
