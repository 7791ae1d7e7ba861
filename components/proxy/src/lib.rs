//! The request path: routing, forwarding and the guard of the local backend server.
//!
//! A caller's request may enter at any daemon. This entry daemon chooses a backend server and
//! sends the request to the guard, which is the daemon beside that server. Only the guard sends to
//! its server, so it knows what the server is running and can keep it from being overloaded. The
//! design note is `docs/design/requests.md`.

mod abandoned;
mod allowance;
mod answer;
mod attempt;
mod attempt_history;
mod attempt_record;
mod body;
mod call;
mod claim;
mod clock;
mod context;
mod counters;
mod division;
mod drain;
mod entry;
mod entry_answer;
mod exchange;
mod expiring_body;
mod failed_calls;
mod forward;
mod gate;
mod guard;
mod header_translation;
mod headers;
mod hints;
mod identity;
mod left_servers;
mod lingering;
mod local;
mod open_exchange;
mod open_requests;
mod outcome;
mod peers;
mod pipeline;
mod pool;
mod quarantine;
mod read_ahead;
mod receive;
mod request_log;
mod returning;
mod running_requests;
mod serve;
mod server_calls;
mod sockets;
mod table;
mod times;
mod tracked_body;
mod transfers;
mod unfinished;
mod upload;
mod workspaces;

pub use allowance::{AllowanceGate, AllowanceVerdict};
pub use body::{BodyError, CallerBody, ProxyBody};
pub use call::GuardToken;
pub use claim::{AttemptId, ClaimGate, ClaimKey, ClaimOutcome, ClaimVerdict};
pub use clock::time_since_start;
pub use context::{ConfigAge, ForwardContext, GuardContext, LocalServiceName};
pub use counters::{CounterSnapshot, ProxyCounters};
pub use drain::{DrainClock, DrainTimes};
pub use failed_calls::FailedCalls;
pub use forward::forward;
pub use header_translation::{
    AnswerVerdict, HeaderTranslation, NativeHeaders, ServerIdentity, ServerRequestInfo,
    ServerTerms, is_set, read_server_load, read_stated_rate,
};
pub use headers::{DEADLINE_HEADER, HOPS_HEADER, RETRIED_HEADER};
pub use identity::{IdentityError, request_server_identity};
pub use lingering::ListenerActivity;
pub use local::{LocalServer, LocalServerList, ServerLimits};
pub use open_requests::OpenRequests;
pub use outcome::{
    EARLIER_STATUS_HEADER, OUTCOME_HEADER, REASON_HEADER, RETRY_AFTER_MS_HEADER, RefusalKind,
    RequestOutcome,
};
pub use peers::PeerClient;
pub use quarantine::SharedQuarantine;
pub use returning::RefusedRequests;
pub use running_requests::{RunningRequests, UnfinishedRequest};
pub use serve::{ListenerHandle, serve_forward, serve_guard};
pub use server_calls::{CallProofs, CallerPeer, PARENT_HEADER, UnfinishedRecall};
pub use sk_decide::{
    admitting::{ServerLoad, StatedRate},
    quarantine::SuspectRecord,
};
pub use table::{
    RouteMatch, RouteTable, ServiceKey, SharedTable, TableEndpoint, TableOwner, TableService,
    TableTuning,
};
pub use times::{RequestTimes, TimeStage};
pub use unfinished::UnfinishedError;
pub use workspaces::{TableWorkspace, WorkspaceAllowance, WorkspaceTable};
