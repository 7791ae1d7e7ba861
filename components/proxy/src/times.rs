//! How long requests take, by service, outcome and stage.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, Registry};

/// Upper bounds of the buckets in seconds: from a cache's answer to a route's longest_match timeout, each
/// about twice the one before.
const BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.5, 3.0, 6.0];

/// A part of a request's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeStage {
    /// From the arrival at the daemon of entry to the head of the answer.
    Whole,
    /// In the guard's queue.
    Queue,
    /// From admission to the head of the server's answer.
    Server,
}

impl TimeStage {
    fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Queue => "queue",
            Self::Server => "server",
        }
    }
}

/// Histograms of one daemon.
#[derive(Debug)]
pub struct RequestTimes {
    registry: Registry,
    seconds: HistogramVec,
}

impl Default for RequestTimes {
    fn default() -> Self {
        let options = HistogramOpts::new(
            "sapphirekeel_request_seconds",
            "Time of requests by service, outcome and stage.",
        );
        let options = options.buckets(BUCKETS.to_vec());
        let seconds = HistogramVec::new(options, &["service", "outcome", "stage"])
            .expect("a fixed name with fixed labels is sound");
        let registry = Registry::new();
        registry.register(Box::new(seconds.clone())).expect("the first of its name");
        Self { registry, seconds }
    }
}

impl RequestTimes {
    /// Adds a time.
    pub fn observe(&self, service: &str, outcome: &str, stage: TimeStage, took: Duration) {
        let labels = [service, outcome, stage.as_str()];
        self.seconds.with_label_values(&labels).observe(took.as_secs_f64());
    }

    /// Returns the histograms for a scrape.
    pub fn gather(&self) -> Vec<prometheus::proto::MetricFamily> {
        self.registry.gather()
    }
}
