//! Load and measurement on one machine, against real daemons on loopback.
//!
//! Bounded in count and time. Baselines run beside, in the same call of the program.

mod baseline;
mod claims;
mod client;
mod config;
mod fleet;
mod load;
mod members;
mod process;
mod spread;

pub use baseline::{BaselineKind, measure_baseline};
pub use claims::measure_claims;
pub use fleet::{FleetPlan, TestFleet};
pub use load::{LoadPlan, measure_connections, measure_load};
pub use members::{MemberFigures, measure_members};
pub use process::{ChildProcess, ProcessSignal, ProcessUse};
pub use spread::{SpreadPlan, measure_spread};
