//! Measures real daemons on one machine, over loopback: control traffic, convergence, claims and
//! load.
//!
//! Baselines run in the same call of the program, so that both are measured on the same machine at
//! the same load. Every run is limited in count and time, so that no measurement hangs or fills the
//! machine.

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
pub use process::{ChildProcess, ProcessSignal, ProcessUsage};
pub use spread::{SpreadPlan, measure_spread};
