//! Decisions under load, without I/O or clock.
//!
//! Each module holds one decision of the request path. Time is passed in as `now`, a [`Duration`]
//! since a start that the caller chooses once per process, and randomness as a
//! [`rand::Rng`], so that a test can run any load in no time and twice in the same way.
//!
//! [`Duration`]: std::time::Duration

pub mod admitting;
pub mod backoff;
pub mod deadline;
pub mod fetch_gate;
pub mod idling;
pub mod pacing;
pub mod placing;
pub mod quarantine;
pub mod retrying;
pub mod seeking;
pub mod transferring;
pub mod trip;

pub use sk_model::WorkClass;

/// Hash of what a request's service time depends on: its route's figures, not its path.
pub type WorkKey = u64;

/// Number of work classes, for tables with one cell a class.
pub(crate) const CLASS_COUNT: usize = 2;

/// Returns the cell of a class in such a table.
pub(crate) fn class_index(class: WorkClass) -> usize {
    match class {
        WorkClass::Short => 0,
        WorkClass::Long => 1,
    }
}
