//! Histograms of request times, by service, outcome and stage.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, Registry};

/// Upper bounds of the buckets in seconds: from an answer out of a cache to the longest timeout of
/// a route, each about twice the previous one.
const BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.5, 3.0, 6.0];

/// Stage of a request whose time is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeStage {
    /// From the arrival at the entry daemon to the head of the answer.
    Whole,
    /// Delay in transit from another daemon beyond the fastest message, as its guard estimates it.
    Transit,
    /// In the guard's queue.
    Queue,
    /// From admission to the head of the server's answer.
    Server,
}

impl TimeStage {
    fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Transit => "transit",
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
            .expect("the fixed name and labels are valid");
        let registry = Registry::new();
        registry
            .register(Box::new(seconds.clone()))
            .expect("the registry holds no other metric of this name");
        Self { registry, seconds }
    }
}

impl RequestTimes {
    /// Adds the time of one request.
    pub fn observe(&self, service: &str, outcome: &str, stage: TimeStage, took: Duration) {
        let labels = [service, outcome, stage.as_str()];
        self.seconds.with_label_values(&labels).observe(took.as_secs_f64());
    }

    /// Returns the histograms for a scrape.
    pub fn gather(&self) -> Vec<prometheus::proto::MetricFamily> {
        self.registry.gather()
    }
}
