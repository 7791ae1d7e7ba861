//! Results of a run: how the callers' requests ended, and what they cost the fleet.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;

/// Results of one route's requests.
#[derive(Clone, Debug)]
pub struct RouteFigures {
    /// Requests, each counted once however often its caller retries.
    pub requests: u64,
    /// Requests answered within the goal, counted from the caller's first attempt.
    pub within_goal: u64,
    /// Requests answered after the goal and before the deadline.
    pub late: u64,
    /// Requests whose last attempt was refused, or not placed before the deadline.
    pub refused: u64,
    /// Requests answered only after their deadline.
    pub failed: u64,
    /// Times from the first attempt to the answer, in microseconds.
    pub latencies: Histogram<u64>,
}

impl Default for RouteFigures {
    fn default() -> Self {
        // Two significant digits suffice for a comparison, and bounds up to an hour are always
        // valid.
        let latencies =
            Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("valid histogram bounds");
        Self { requests: 0, within_goal: 0, late: 0, refused: 0, failed: 0, latencies }
    }
}

/// Results of one run of a scenario.
#[derive(Clone, Debug, Default)]
pub struct RunFigures {
    /// Results by name of the route.
    pub routes: BTreeMap<String, RouteFigures>,
    /// Bytes of requests and answers sent between data centres.
    pub cross_centre_bytes: u64,
    /// Requests offered to a guard, including attempts that only look for a free slot.
    pub messages: u64,
    /// Requests that servers started.
    pub runs: u64,
    /// When requests reached each server that stated a limit, by the server's index.
    pub limited_arrivals: BTreeMap<usize, Vec<Duration>>,
}

impl RunFigures {
    /// Returns the share of all requests that were answered within the goal, 0 to 1.
    pub fn goal_share(&self) -> f64 {
        self.share(|route| route.within_goal)
    }

    /// Returns the share of all requests that were answered before their deadline, 0 to 1.
    pub fn answered_share(&self) -> f64 {
        self.share(|route| route.within_goal + route.late)
    }

    fn share(&self, count: impl Fn(&RouteFigures) -> u64) -> f64 {
        let requests: u64 = self.routes.values().map(|route| route.requests).sum();
        let counted: u64 = self.routes.values().map(count).sum();
        counted as f64 / requests.max(1) as f64
    }
}

impl RouteFigures {
    /// Records an answer that arrives `took` after the first attempt.
    pub(crate) fn record_answer(&mut self, took: Duration, goal: Duration) {
        match took <= goal {
            true => self.within_goal += 1,
            false => self.late += 1,
        }
        // Times beyond the histogram's bounds count as its greatest value.
        self.latencies.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
    }
}

impl fmt::Display for RunFigures {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, route) in &self.routes {
            let percent = |count: u64| 100.0 * count as f64 / route.requests.max(1) as f64;
            let quantile_ms =
                |quantile: f64| route.latencies.value_at_quantile(quantile) as f64 / 1000.0;
            writeln!(
                out,
                "{name}: asked {}, in goal {:.1} %, late {:.1} %, refused {:.1} %, failed {:.1} %, \
                 p50 {:.0} ms, p99 {:.0} ms",
                route.requests,
                percent(route.within_goal),
                percent(route.late),
                percent(route.refused),
                percent(route.failed),
                quantile_ms(0.5),
                quantile_ms(0.99),
            )?;
        }
        writeln!(
            out,
            "between data centres {:.1} MB, messages {}, runs {}",
            self.cross_centre_bytes as f64 / 1e6,
            self.messages,
            self.runs
        )
    }
}
