//! Calls that simulated servers make for the requests that they run.
//!
//! A request does its own work first, then its calls. It keeps its slot until they have ended, and
//! fails with the first of them that fails.

use rand::RngExt;
use sk_decide::admitting::Ticket;

use crate::{
    fleet::{CallIndex, ServerIndex},
    simulation::FleetSimulation,
};

/// Calls made for one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NestedCalls {
    /// Calls that are still to be made.
    left: u32,
    /// Calls that have not ended.
    open: u32,
    /// Whether one of them failed.
    pub(crate) failed: bool,
}

/// A running request that a call is made for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ParentCall {
    pub(crate) call: CallIndex,
    /// Where it runs.
    pub(crate) server: ServerIndex,
    /// The slot that it occupies.
    pub(crate) ticket: Ticket,
}

impl FleetSimulation<'_> {
    /// Begins the calls of a request whose own work is done, or ends it if it makes none.
    pub(crate) fn begin_nested(&mut self, parent: ParentCall) {
        let plan = self.scenario.routes[self.calls[parent.call].route].calls.as_ref();
        let times = match plan {
            Some(plan) if self.rng.random_bool(plan.share) => plan.times,
            _ => 0,
        };
        self.calls[parent.call].nested = NestedCalls { left: times, open: 0, failed: false };
        self.continue_nested(parent);
    }

    /// Makes the next calls of a request, or ends it after the last one.
    fn continue_nested(&mut self, parent: ParentCall) {
        let plan = self.scenario.routes[self.calls[parent.call].route].calls.as_ref();
        let nested = &mut self.calls[parent.call].nested;
        let count = match plan {
            Some(plan) if plan.together => nested.left,
            Some(_) if nested.open == 0 => nested.left.min(1),
            _ => 0,
        };
        (nested.left, nested.open) = (nested.left - count, nested.open + count);
        if nested.open == 0 {
            return self.finish_work(&parent);
        }
        let name = plan.map(|plan| plan.route.as_str()).unwrap_or_default();
        let route = self.scenario.routes.iter().position(|route| route.name == name);
        for _ in 0..count {
            self.add_call(route.unwrap_or_default(), parent.server, self.now, Some(parent));
        }
    }

    /// Goes on with the request that a call was made for, if there is one, when the call has ended.
    pub(crate) fn end_nested(&mut self, call: CallIndex, is_served: bool) {
        let Some(parent) = self.calls[call].parent else { return };
        let nested = &mut self.calls[parent.call].nested;
        nested.open -= 1;
        match nested.failed {
            // It has ended already.
            true => {}
            false if is_served => self.continue_nested(parent),
            false => {
                nested.failed = true;
                self.finish_work(&parent);
            }
        }
    }
}
