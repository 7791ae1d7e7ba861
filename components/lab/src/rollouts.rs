//! Simulated roll-outs: drawn services and versions, decided by `sk_decide::rollout`.
//!
//! Requests arrive at random, are placed on the less busy of two servers and take a drawn time
//! there. The controller sees the guards' counts a second late, and its steps take effect half a
//! second after they are decided.

pub use crate::rollouts::drawn::{
    DrawnOrder, FaultCondition, FaultEffect, VersionFault, draw_order,
};
pub use crate::rollouts::outcome::{OrderOutcome, RolloutFigures};
pub use crate::rollouts::service::run_order;

mod drawn;
mod outcome;
mod service;
