//! How many lines a second are written.
//!
//! Made for an outage in which every request fails and says so: a thousand lines a second of a
//! daemon with a tenth of a core take the processor from the requests. Lines beyond the limits are
//! counted, and the count is written. Failures have a limit of their own, so that routine lines
//! never push them out. Each call site has a few lines that no other can use up: a stop, a new
//! configuration or a lost dependency says so once, and would otherwise be left out of a second in
//! which requests have used up the limit.

use std::{collections::HashMap, time::Duration};

use log::Record;

const SECOND: Duration = Duration::from_secs(1);
/// Lines of one call site in a second that are written whatever other call sites write.
const SITE_LINES: u32 = 10;

/// The place in the code that writes a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct CallSite {
    file: Option<&'static str>,
    line: Option<u32>,
}

impl CallSite {
    /// Makes one of a source file and a line in it, from 1.
    pub const fn new(file: &'static str, line: u32) -> Self {
        Self { file: Some(file), line: Some(line) }
    }

    /// Gives that of a record. Records that do not tell theirs share one.
    pub fn of(record: &Record<'_>) -> Self {
        Self { file: record.file_static(), line: record.line() }
    }
}

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
#[derive(Clone, Debug, Default)]
pub struct LineBudget {
    limits: LineLimits,
    second: u64,
    routine: u32,
    failures: u32,
    sites: HashMap<CallSite, u32>,
    left_out: LeftOut,
}

impl LineBudget {
    /// Makes one that has written nothing.
    pub fn new(limits: LineLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Decides on a line at `now`, a time on any clock that never goes back.
    pub fn take(&mut self, class: LineClass, site: CallSite, now: Duration) -> LineVerdict {
        let second = now.as_secs() / SECOND.as_secs();
        let left_out = (second != self.second).then(|| self.begin(second)).flatten();
        let (count, limit, left) = match class {
            LineClass::Routine => {
                (&mut self.routine, self.limits.routine, &mut self.left_out.routine)
            }
            LineClass::Failure => {
                (&mut self.failures, self.limits.failures, &mut self.left_out.failures)
            }
        };
        let of_site = self.sites.entry(site).or_default();
        *count = count.saturating_add(1);
        *of_site = of_site.saturating_add(1);
        let is_written = *count <= limit || *of_site <= SITE_LINES;
        if !is_written {
            *left = left.saturating_add(1);
        }
        LineVerdict { is_written, left_out }
    }

    fn begin(&mut self, second: u64) -> Option<LeftOut> {
        let left_out = std::mem::take(&mut self.left_out);
        self.second = second;
        (self.routine, self.failures) = (0, 0);
        self.sites.clear();
        (left_out != LeftOut::default()).then_some(left_out)
    }
}
