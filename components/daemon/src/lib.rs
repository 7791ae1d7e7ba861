//! Connects the parts of one daemon and runs them.

mod allowances;
mod claims;
mod contacts;
mod daemon;
mod departures;
mod dump;
mod error;
mod identify;
mod metrics;
mod notices;
mod options;
mod platform;
mod port;
mod reachability;
mod rollouts;
mod scrape;
mod source;
mod tasks;
mod team_records;
mod unfinished;

pub use daemon::{DaemonAddresses, DaemonHandle, start_daemon};
pub use error::DaemonError;
pub use options::{server_limits, stop_schedule, table_tuning};
