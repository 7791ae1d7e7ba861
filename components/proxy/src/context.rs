//! Shared state that the daemon gives to the request path.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwapOption;
use http::Response;
use sk_decide::transit_time::TransitClocks;
use sk_model::ServiceName;
use sk_rollout::SharedRollouts;

use crate::{
    allowance::AllowanceGate,
    body::ProxyBody,
    call::GuardToken,
    claim::ClaimGate,
    counters::ProxyCounters,
    drain::DrainClock,
    failed_calls::FailedCalls,
    header_translation::HeaderTranslation,
    local::LocalServerList,
    open_requests::OpenRequests,
    outcome::RefusalKind,
    peers::PeerClient,
    quarantine::SharedQuarantine,
    returning::RefusedRequests,
    running_requests::RunningRequests,
    server_calls::{CallProofs, UnfinishedRecall},
    table::SharedTable,
};

/// Shared state of the entry side.
pub struct ForwardContext {
    /// The current routing table.
    pub table: SharedTable,
    /// Connections to other daemons' guards.
    pub peers: PeerClient,
    /// The guard of this daemon.
    pub guard_context: Arc<GuardContext>,
    /// Counters of requests, as entry daemon and as guard.
    pub counters: Arc<ProxyCounters>,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Requests that were refused here and may come again.
    pub refused: RefusedRequests,
    /// Translation of the headers that callers use.
    pub headers: Arc<dyn HeaderTranslation>,
    /// Service beside this daemon, as its settings name it; servers receive it as the origin of a
    /// request.
    pub local_service: LocalServiceName,
    /// How old this daemon's knowledge of the newest configuration is.
    pub config_age: ConfigAge,
    /// Age of that knowledge from which requests that need a key are refused, so that a key that was
    /// taken away does not serve on at a daemon that is cut off. `None` serves by the last
    /// configuration known.
    pub max_key_age: Option<Duration>,
    /// What an earlier process of this daemon has sent to the local server; `None` if nobody can be
    /// asked.
    pub recall: Option<Arc<dyn UnfinishedRecall>>,
    /// Limits of workspaces; `None` serves any number of requests.
    pub allowances: Option<Arc<dyn AllowanceGate>>,
}

/// Returns the time since this daemon was last known to hold the newest configuration; `None` if
/// that is unknown.
pub type ConfigAge = Arc<dyn Fn() -> Option<Duration> + Send + Sync>;

/// The service beside a daemon, which changes with the daemon's settings.
pub type LocalServiceName = Arc<ArcSwapOption<ServiceName>>;

/// Shared state of the guard side.
pub struct GuardContext {
    /// Backend servers beside this daemon.
    pub servers: Arc<LocalServerList>,
    /// Token that the daemons of the fleet send.
    pub token: GuardToken,
    /// Requests that crash servers.
    pub quarantine: Arc<SharedQuarantine>,
    /// Where keyed requests are claimed. If there is none, they are refused as not run, because
    /// nothing could distinguish a second copy from the first.
    pub claims: Option<Arc<dyn ClaimGate>>,
    /// Counters of requests, as entry daemon and as guard.
    pub counters: Arc<ProxyCounters>,
    /// Translation of the headers that the server uses.
    pub headers: Arc<dyn HeaderTranslation>,
    /// Failed calls of the server, for the log lines of the requests for which it made them.
    pub failed_calls: FailedCalls,
    /// Requests that servers may be working on.
    pub running: RunningRequests,
    /// Proofs that native servers copy into their calls.
    pub proofs: CallProofs,
    /// Clocks of the sending daemons, by which transit delays are estimated.
    pub transit_clocks: Mutex<TransitClocks>,
    /// Requests whose answers have not ended.
    pub open_requests: Arc<OpenRequests>,
    /// Orders that move traffic to other versions of a service.
    pub rollouts: Arc<SharedRollouts>,
    /// Time by which this daemon must have answered, once it stops.
    pub drain_clock: Arc<DrainClock>,
}

/// Counts a refusal that this daemon made as the entry daemon, and returns it.
pub(crate) fn count_own_refusal(
    context: &ForwardContext,
    response: Response<ProxyBody>,
) -> Response<ProxyBody> {
    if let Some(kind) = RefusalKind::read(response.headers()) {
        context.counters.count_refusal(kind);
    }
    response
}
