//! Which requests succeeded lately, in fixed memory.
//!
//! A frequent request is in flight at a crash by sheer frequency, and has often succeeded again by
//! the time that the crash is reported. The cache then clears it at once, so that its copies do not
//! each wait for an empty server.

use std::time::Duration;

use crate::quarantine::Fingerprint;

/// Cells of the cache, a power of two; they take 24 KB. The most frequent requests are the ones
/// that matter here, and those keep their cells.
const CELLS: usize = 1024;

/// A direct-mapped cache from request to its last success. A collision drops the older one, whose
/// request then runs alone once more than needed.
#[derive(Clone, Debug)]
pub(super) struct SuccessCache {
    cells: Box<[(Fingerprint, Duration)]>,
}

impl Default for SuccessCache {
    fn default() -> Self {
        Self { cells: vec![(0, Duration::ZERO); CELLS].into_boxed_slice() }
    }
}

impl SuccessCache {
    /// Stores a success at `at`.
    pub(super) fn insert(&mut self, fingerprint: Fingerprint, at: Duration) {
        self.cells[cell_of(fingerprint)] = (fingerprint, at);
    }

    /// Returns the time of the last success of a request, if it is in the cache.
    pub(super) fn last(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let (stored, at) = self.cells[cell_of(fingerprint)];
        (stored == fingerprint && !at.is_zero()).then_some(at)
    }
}

fn cell_of(fingerprint: Fingerprint) -> usize {
    // The remainder is below CELLS, so it fits.
    (fingerprint % CELLS as u64) as usize
}
