//! Division of a service's requests between the servers of two versions while an order is running.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use sk_decide::placing::EndpointId;
use sk_rollout::{ActiveOrder, OrderId};

use crate::clock::stable_hash;

/// How the requests of a service are divided.
#[derive(Clone, Debug)]
pub(crate) struct ServiceDivision {
    order: OrderId,
    /// Part of the requests that the target version may get, 0 to 1.
    share: f64,
    /// Servers of the target version that get none at this share.
    spared: Vec<EndpointId>,
    /// All servers of the target version.
    target: Vec<EndpointId>,
    /// The other servers.
    base: Vec<EndpointId>,
    /// Number of requests so far, from a random start.
    counter: Arc<AtomicU64>,
}

/// Endpoints of a divided service, with the ids of their servers.
#[derive(Debug, Default)]
pub(crate) struct DividedEndpoints<'a> {
    pub(crate) target: Vec<(EndpointId, &'a str)>,
    pub(crate) base: Vec<EndpointId>,
}

/// Endpoints that one request may be sent to.
pub(crate) struct DividedSearch<'a> {
    division: &'a ServiceDivision,
    may_try_target: bool,
}

impl ServiceDivision {
    /// Divides the endpoints of a service by an order. The counter of the same order is kept, so
    /// that no table change gives the target version more than its share.
    pub(crate) fn build(
        previous: Option<&Self>,
        order: &ActiveOrder,
        endpoints: DividedEndpoints<'_>,
    ) -> Self {
        let DividedEndpoints { mut target, base } = endpoints;
        // The same servers at every entry, so that few servers get the share and work under load.
        target.sort_by_key(|(_, server)| stable_hash(&[order.id.as_bytes(), server.as_bytes()]));
        let target: Vec<EndpointId> = target.into_iter().map(|(id, _)| id).collect();
        let used = used_servers(order, target.len(), base.len());
        let previous = previous.filter(|previous| previous.order == order.id);
        Self {
            order: order.id.clone(),
            share: order.share,
            spared: target[used..].to_vec(),
            target,
            base,
            counter: previous.map_or_else(
                || Arc::new(AtomicU64::new(rand::random())),
                |previous| previous.counter.clone(),
            ),
        }
    }

    /// Returns whether all requests go to the target version.
    fn is_moved(&self) -> bool {
        self.share >= 1.0
    }

    /// Draws where the next request goes.
    ///
    /// Multiples of the golden ratio are evenly spread over any interval, so that the target version
    /// gets its share of every few dozen requests and no daemon sends it more.
    pub(crate) fn begin_search(&self) -> DividedSearch<'_> {
        const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
        let may_try_target = match self.share {
            share if share <= 0.0 => false,
            share if share >= 1.0 => true,
            share => {
                let count = self.counter.fetch_add(1, Ordering::Relaxed);
                (count.wrapping_mul(GOLDEN_RATIO) as f64) < share * u64::MAX as f64
            }
        };
        DividedSearch { division: self, may_try_target }
    }
}

impl DividedSearch<'_> {
    /// Chooses an endpoint by `choose`, which is given the endpoints to leave out. A request for the
    /// target version that finds no room there goes to the base, also when it is tried again, so
    /// that each request reaches the target version once at most. Once everything has been moved,
    /// the base gets nothing.
    pub(crate) fn choose<T>(
        &mut self,
        mut choose: impl FnMut(&[EndpointId]) -> Option<T>,
    ) -> Option<T> {
        let division = self.division;
        if division.is_moved() {
            return choose(&division.base);
        }
        if std::mem::take(&mut self.may_try_target) {
            let others = [&division.base[..], &division.spared[..]].concat();
            if let Some(chosen) = choose(&others) {
                return Some(chosen);
            }
        }
        choose(&division.target)
    }
}

/// Returns how many servers of the target version get its share: as many as the stage says, or as
/// many as carry it at the load of the base servers.
fn used_servers(order: &ActiveOrder, target: usize, base: usize) -> usize {
    let carrying = order.share * base as f64 / (1.0 - order.share).max(f64::EPSILON);
    let used = match order.servers {
        _ if order.share >= 1.0 => target,
        0 => carrying.ceil() as usize,
        servers => servers as usize,
    };
    used.max(1).min(target)
}
