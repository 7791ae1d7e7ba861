//! Limits on the number of lines that are written in a second.
//!
//! In an outage every request fails and logs a line; a thousand lines a second take the processor
//! from the requests of a daemon with a tenth of a core. Lines beyond the limits are omitted, and
//! their count is written. Failures have a limit of their own, so that routine lines never displace
//! them. Each call site has a few lines that no other call site can use up: a stop, a new
//! configuration or a lost dependency is logged once, and would otherwise be omitted in a second in
//! which requests have used up the limit.

use std::{collections::HashMap, time::Duration};

use log::Record;

const SECOND: Duration = Duration::from_secs(1);
/// Lines of one call site that are written in a second however many other call sites write.
const RESERVED_SITE_LINES: u32 = 10;

/// The place in the code that writes a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct CallSite {
    file: Option<&'static str>,
    line: Option<u32>,
}

impl CallSite {
    /// Creates a call site from a source file and a line in it, counted from 1.
    pub const fn new(file: &'static str, line: u32) -> Self {
        Self { file: Some(file), line: Some(line) }
    }

    /// Returns the call site of a record. Records without one share the default.
    pub fn of_record(record: &Record<'_>) -> Self {
        Self { file: record.file_static(), line: record.line() }
    }
}

/// What a line reports; each class has its own limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineClass {
    /// Normal operation.
    Routine,
    /// A failure or a refusal.
    Failure,
}

/// Largest numbers of lines written in a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineLimits {
    /// Routine lines. Default 50: every request of a lightly loaded daemon, a sample under load.
    pub routine: u32,
    /// Failures. Default 200: more lines only repeat, and 200 lines cost about 2 ms of a core.
    pub failures: u32,
}

impl Default for LineLimits {
    fn default() -> Self {
        Self { routine: 50, failures: 200 }
    }
}

/// Numbers of lines that were omitted in a past second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OmittedLines {
    /// Routine lines.
    pub routine: u32,
    /// Failures.
    pub failures: u32,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineVerdict {
    /// Whether the line is within the limits and is to be written.
    pub is_written: bool,
    /// Lines omitted in the previous second, to be reported before this line.
    pub omitted: Option<OmittedLines>,
}

/// Counts the lines of the current second and admits them up to the limits.
#[derive(Clone, Debug, Default)]
pub struct LineBudget {
    limits: LineLimits,
    second: u64,
    routine: u32,
    failures: u32,
    sites: HashMap<CallSite, u32>,
    omitted: OmittedLines,
}

impl LineBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: LineLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Decides whether a line at `now` is written and counts it. `now` is the time since any fixed
    /// moment, on a clock that never goes back.
    pub fn admit(&mut self, class: LineClass, site: CallSite, now: Duration) -> LineVerdict {
        let second = now.as_secs() / SECOND.as_secs();
        let omitted = (second != self.second).then(|| self.start_second(second)).flatten();
        let (count, limit, omitted_count) = match class {
            LineClass::Routine => {
                (&mut self.routine, self.limits.routine, &mut self.omitted.routine)
            }
            LineClass::Failure => {
                (&mut self.failures, self.limits.failures, &mut self.omitted.failures)
            }
        };
        let site_count = self.sites.entry(site).or_default();
        *count = count.saturating_add(1);
        *site_count = site_count.saturating_add(1);
        let is_written = *count <= limit || *site_count <= RESERVED_SITE_LINES;
        if !is_written {
            *omitted_count = omitted_count.saturating_add(1);
        }
        LineVerdict { is_written, omitted }
    }

    /// Resets the counts for a new second and returns the omitted lines, `None` where none were.
    fn start_second(&mut self, second: u64) -> Option<OmittedLines> {
        let omitted = std::mem::take(&mut self.omitted);
        self.second = second;
        (self.routine, self.failures) = (0, 0);
        self.sites.clear();
        (omitted != OmittedLines::default()).then_some(omitted)
    }
}
