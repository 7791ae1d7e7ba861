//! How many lines a second are written.
//!
//! Made for an outage in which every request fails and says so: a thousand lines a second of a
//! daemon with a tenth of a core take the processor from the requests. Lines beyond the limits are
//! counted, and the count is written. Failures have a limit of their own, so that routine lines
//! never push them out.

use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// What a line tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineClass {
    /// That something went as usual.
    Routine,
    /// That something failed or was refused.
    Failure,
}

/// Lines written in a second at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineLimits {
    /// Routine lines. Default 50: each request of a calm daemon, a sample of a busy one's.
    pub routine: u32,
    /// Failures. Default 200: more say the same again, and 200 lines cost about 2 ms of a core.
    pub failures: u32,
}

impl Default for LineLimits {
    fn default() -> Self {
        Self { routine: 50, failures: 200 }
    }
}

/// Lines that were left out in a second that is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeftOut {
    /// Routine lines.
    pub routine: u32,
    /// Failures.
    pub failures: u32,
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineVerdict {
    /// Whether it is written.
    pub is_written: bool,
    /// What was left out before, to be told first.
    pub left_out: Option<LeftOut>,
}

/// Counts the lines of each second.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    limits: LineLimits,
    second: u64,
    routine: u32,
    failures: u32,
}

impl LineBudget {
    /// Makes one that has written nothing.
    pub fn new(limits: LineLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Decides on a line at `now`, a time on any clock that never goes back.
    pub fn take(&mut self, class: LineClass, now: Duration) -> LineVerdict {
        let second = now.as_secs() / SECOND.as_secs();
        let left_out = (second != self.second).then(|| self.begin(second)).flatten();
        let (count, limit) = match class {
            LineClass::Routine => (&mut self.routine, self.limits.routine),
            LineClass::Failure => (&mut self.failures, self.limits.failures),
        };
        *count = count.saturating_add(1);
        LineVerdict { is_written: *count <= limit, left_out }
    }

    fn begin(&mut self, second: u64) -> Option<LeftOut> {
        let left_out = LeftOut {
            routine: self.routine.saturating_sub(self.limits.routine),
            failures: self.failures.saturating_sub(self.limits.failures),
        };
        *self = Self { second, ..Self::new(self.limits) };
        (left_out != LeftOut::default()).then_some(left_out)
    }
}
