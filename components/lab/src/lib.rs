//! Simulates a fleet in virtual time with the daemons' own decision code.
//!
//! Shows what a changed setting would do to a fleet, so that nobody has to try it on a real one
//! first. A scenario describes the fleet, its callers and its faults; placement and admission run
//! the daemons' code with the daemons' settings, and the same seed always produces the same run.
//! `docs/LAB.md` lists what the simulation leaves out.

mod compare;
mod figures;
mod fleet;
mod link;
mod nested;
mod rollouts;
mod scenario;
mod simulation;

pub use compare::{PairedMean, compare_policies};
pub use figures::{RouteFigures, RunFigures};
pub use fleet::DaemonPolicy;
pub use rollouts::{
    DrawnBurst, DrawnOrder, DrawnWork, FaultCondition, FaultEffect, GrayServer, OrderOutcome,
    RolloutFigures, VersionFault, compare_rollouts, draw_order, run_order,
};
pub use scenario::{
    FaultKind, FaultPlan, LoadPlan, NestedPlan, RoutePlan, Scenario, ScenarioError, ServerPlan,
    parse_scenario,
};
pub use simulation::run_scenario;
