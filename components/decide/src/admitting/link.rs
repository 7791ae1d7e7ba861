//! How much long work at once the instance's link can carry away.

/// Long requests that always run at once: one on each turn of the link and one at the server, so that
/// the link has something to send when one of them ends.
const LEAST: f64 = 3.0;
/// What each answer that did not wait for the link adds, in requests. A link that has become free is
/// used fully again after some dozens.
const GAIN: f64 = 0.25;

/// Long requests that may run at once.
///
/// Made for a server that is quicker than its link. It would take in documents on all its slots, and
/// each would then wait its turn on the link for as long as all the others take: a dozen documents of
/// 90 KB on 7.5 Mbit/s are late by more than a second, while their slots are missed by short work.
/// Fewer at once are sent just as fast, and those beyond are refused while there is time to come back.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkRoom {
    most: f64,
    held_back: usize,
}

impl Default for LinkRoom {
    fn default() -> Self {
        Self { most: f64::from(u32::MAX), held_back: 0 }
    }
}

impl LinkRoom {
    /// Gives how many may run at once.
    pub(super) fn most(&self) -> u32 {
        // Never below three, and cut off at the largest number.
        self.most as u32
    }

    /// Gives how many large answers wait for the link.
    pub(super) fn held_back(&self) -> usize {
        self.held_back
    }

    /// Takes note of how many large answers wait while so many long requests run.
    pub(super) fn set_held_back(&mut self, answers: usize, running: u32) {
        if answers > self.held_back {
            self.most = (self.most.min(f64::from(running)) - 1.0).max(LEAST);
        }
        self.held_back = answers;
    }

    /// Takes note that a long request ended.
    pub(super) fn note_end(&mut self) {
        if self.held_back == 0 {
            self.most = (self.most + GAIN).min(f64::from(u32::MAX));
        }
    }
}
