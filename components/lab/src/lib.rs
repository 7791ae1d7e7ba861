//! The daemons' decisions on a fleet that is only computed.
//!
//! An engineer asks what a setting would do to a fleet before it is changed there. A scenario describes
//! the fleet, its callers and its faults; the decisions are those of the daemons, the same code with the
//! same settings; time is virtual, and one seed gives one course. `docs/LAB.md` tells what is left out.

mod compare;
mod figures;
mod fleet;
mod scenario;
mod world;

pub use compare::{PairedMean, compare_policies};
pub use figures::{RouteFigures, RunFigures};
pub use fleet::LabPolicy;
pub use scenario::{
    FaultKind, FaultPlan, LoadPlan, RoutePlan, Scenario, ScenarioError, ServerPlan, parse_scenario,
};
pub use world::run_scenario;
