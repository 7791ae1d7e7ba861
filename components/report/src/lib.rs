//! Reports on which daemon has which version of the configuration, stored in the platform.
//!
//! Every proxy acknowledges the version that it has put in force. The acknowledgements are stored
//! in the platform, so that a report is available even after the daemons that gathered them are
//! gone.

mod ack_buffer;
mod change;
mod fleet;

pub use ack_buffer::{AckBuffer, ReportError, read_acks, read_in_force_times};
pub use change::{ChangeReport, DelaySummary, InForceTimes, make_change_report};
pub use fleet::{FleetReport, KnownProxy, ProxyReport, ProxyState, make_fleet_report};
