//! Decisions of a proxy under load: admission, queueing, refusal, placement, retries and
//! quarantine, free of I/O and of a clock.
//!
//! Each module makes one decision on the path of a request. Time comes in as `now`, a [`Duration`]
//! since a start that the caller chooses once per process, and randomness as a [`rand::Rng`], so
//! that a test runs any load without waiting and repeats it exactly.
//!
//! [`Duration`]: std::time::Duration

pub mod admitting;
pub mod allowance;
pub mod backoff;
pub mod deadline;
pub mod fetch_gate;
pub mod idle_limit;
pub mod pacing;
pub mod placing;
pub mod quarantine;
pub mod retrying;
pub mod rollout;
pub mod slot_search;
pub mod stopping;
pub mod transfer_queue;
pub mod transit_time;

pub use sk_model::WorkClass;

/// Factor on the work expected of a request, within which an answer counts as safely in time.
/// Log-normal service times whose standard deviation is 0.8 of their mean stay below it in five of
/// six cases.
pub(crate) const GOAL_SAFETY_FACTOR: f64 = 1.6;

/// Hash of a kind of work: of the route settings that a request's service time depends on, not of
/// its path.
pub type WorkKey = u64;

/// Number of work classes: the length of tables with one entry per class.
pub(crate) const CLASS_COUNT: usize = 2;

/// Returns the index of a class in a table of [`CLASS_COUNT`] entries.
pub(crate) fn class_index(class: WorkClass) -> usize {
    match class {
        WorkClass::Short => 0,
        WorkClass::Long => 1,
    }
}
