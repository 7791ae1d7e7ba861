//! Who holds which configuration, kept in the platform.

mod book;
mod fleet;

pub use book::{ReportBook, ReportError, read_acks};
pub use fleet::{FleetReport, KnownProxy, ProxyReport, ProxyState, make_report};
