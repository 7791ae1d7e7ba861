//! How much long work at once the instance's link can carry away.

/// Long requests that always run at once: one on each turn of the link and one at the server, so that
/// the link has something to send when one of them ends.
const MIN_RUNNING: f64 = 3.0;
/// What each answer that did not wait for the link adds, in requests. A link that has become free is
/// used fully again after some dozens.
const GROWTH_PER_ANSWER: f64 = 0.25;

/// Long requests that may run at once.
///
/// Made for a server that is quicker than its link. It would take in documents on all its slots, and
/// each would then wait its turn on the link for as long as all the others take: a dozen documents of
/// 90 KB on 7.5 Mbit/s are late by more than a second, while their slots are missed by short work.
/// Fewer at once are sent just as fast, and those beyond are refused while there is time to come back.
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
    /// Returns how many may run at once.
    pub(super) fn max_running(&self) -> u32 {
        // Never below three, and cut off at the largest number.
        self.max_running as u32
    }

    /// Returns how many large answers wait for the link.
    pub(super) fn waiting_answers(&self) -> usize {
        self.waiting_answers
    }

    /// Records how many large answers wait while so many long requests run.
    pub(super) fn set_waiting_answers(&mut self, answers: usize, running: u32) {
        if answers > self.waiting_answers {
            self.max_running = (self.max_running.min(f64::from(running)) - 1.0).max(MIN_RUNNING);
        }
        self.waiting_answers = answers;
    }

    /// Records that a long request ended.
    pub(super) fn record_end(&mut self) {
        if self.waiting_answers == 0 {
            self.max_running = (self.max_running + GROWTH_PER_ANSWER).min(f64::from(u32::MAX));
        }
    }
}
