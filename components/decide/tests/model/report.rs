//! What callers saw.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use sk_decide::WorkClass;

#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub sent: u32,
    /// Answered within the deadline.
    pub good: u32,
    /// Told before the deadline that there will be no answer.
    pub refused: u32,
    /// Answered, or given up, after the deadline.
    pub late: u32,
    answered: Vec<Duration>,
}

impl Tally {
    pub fn p99(&self) -> Duration {
        let mut answered = self.answered.clone();
        answered.sort_unstable();
        answered.get(answered.len() * 99 / 100).copied().unwrap_or_default()
    }

    pub fn good_share(&self) -> f64 {
        f64::from(self.good) / f64::from(self.sent.max(1))
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { sent, good, refused, late, .. } = self;
        let p99 = self.p99().as_secs_f64() * 1e3;
        write!(out, "sent {sent} good {good} refused {refused} late {late} p99 {p99:.1} ms")
    }
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub tallies: BTreeMap<(bool, u64), Tally>,
    /// Attempts that reached for a server.
    pub sends: u32,
    /// Most by which an admitted call missed its deadline beyond its own service time.
    pub worst_overrun: Duration,
}

impl Report {
    pub fn count(
        &mut self,
        class: WorkClass,
        flow: u64,
        is_answered: bool,
        took: Duration,
        deadline: Duration,
    ) {
        let tally = self.tallies.entry((class == WorkClass::Long, flow)).or_default();
        tally.sent += 1;
        match (is_answered, took <= deadline) {
            (true, true) => tally.good += 1,
            (false, true) => tally.refused += 1,
            _ => tally.late += 1,
        }
        if is_answered {
            tally.answered.push(took);
        }
    }

    pub fn of(&self, class: WorkClass, flow: u64) -> Tally {
        self.tallies.get(&(class == WorkClass::Long, flow)).cloned().unwrap_or_default()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((is_long, flow), tally) in &self.tallies {
            let class = if *is_long { "long" } else { "short" };
            writeln!(out, "{class} flow {flow}: {tally}")?;
        }
        writeln!(out, "sends {}", self.sends)
    }
}
