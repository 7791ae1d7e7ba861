//! Who holds which configuration, kept in the platform.

mod book;
mod change;
mod fleet;

pub use book::{ReportBook, ReportError, read_acks, read_times};
pub use change::{ChangeReport, DelaySummary, InForceTimes, make_change_report};
pub use fleet::{FleetReport, KnownProxy, ProxyReport, ProxyState, make_report};
