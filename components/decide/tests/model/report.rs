//! Outcomes that callers saw.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use sk_decide::WorkClass;

use super::Load;

/// The calls of one caller: answered within the deadline, refused within it, and the rest.
#[derive(Clone, Debug, Default, Display)]
#[display("sent {sent} good {good} refused {refused} late {late} p99 {:.1?}", self.p99())]
pub struct Tally {
    pub sent: u32,
    pub good: u32,
    pub refused: u32,
    pub late: u32,
    answered: Vec<Duration>,
}

impl Tally {
    pub fn p95(&self) -> Duration {
        self.percentile(95)
    }

    pub fn p99(&self) -> Duration {
        self.percentile(99)
    }

    fn percentile(&self, percent: usize) -> Duration {
        let mut answered = self.answered.clone();
        answered.sort_unstable();
        answered.get(answered.len() * percent / 100).copied().unwrap_or_default()
    }

    pub fn good_share(&self) -> f64 {
        f64::from(self.good) / f64::from(self.sent.max(1))
    }

    pub fn p99_times(&self, other: &Self) -> f64 {
        self.p99().as_secs_f64() / other.p99().as_secs_f64()
    }
}

#[derive(Clone, Debug, Default, Display)]
#[display("{}sends {sends}", self.lines())]
pub struct Report {
    pub tallies: BTreeMap<(bool, u64), Tally>,
    /// Calls that each server started.
    pub started: [u32; 5],
    /// Attempts to reach a server.
    pub sends: u32,
    /// Refusals of calls that had been queued, and so had lost time for going elsewhere.
    pub queued_refusals: u32,
    /// Most by which an admitted call missed its deadline beyond its own service time.
    pub worst_overrun: Duration,
}

impl Report {
    pub fn count(&mut self, load: &Load, is_answered: bool, took: Duration) {
        let key = (load.class == WorkClass::Long, load.flow);
        let tally = self.tallies.entry(key).or_default();
        tally.sent += 1;
        match (is_answered, took <= load.deadline) {
            (true, true) => tally.good += 1,
            (false, true) => tally.refused += 1,
            _ => tally.late += 1,
        }
        tally.answered.extend(is_answered.then_some(took));
    }

    pub fn short(&self, flow: u64) -> Tally {
        self.tallies.get(&(false, flow)).cloned().unwrap_or_default()
    }

    pub fn good(&self) -> f64 {
        self.tallies.values().map(|tally| f64::from(tally.good)).sum()
    }

    fn lines(&self) -> String {
        let line = |((is_long, flow), tally): (&(bool, u64), &Tally)| {
            format!("{} {flow}: {tally}\n", if *is_long { "long" } else { "short" })
        };
        self.tallies.iter().map(line).collect()
    }
}

#[derive(Clone, Debug, Display)]
#[display("guarded\n{guarded}\nnaive\n{naive}\n")]
pub struct Comparison {
    pub guarded: Report,
    pub naive: Report,
}
