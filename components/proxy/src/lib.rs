//! The request path: routing, forwarding and the guard of the local backend server.
//!
//! A caller's request enters any daemon, which chooses a backend server and sends through the
//! daemon beside it. That one alone sends to the server and so knows what it is running. The
//! design note is `docs/design/requests.md`.

mod answer;
mod attempt;
mod attempt_log;
mod body;
mod call;
mod claim;
mod clock;
mod context;
mod counters;
mod departure;
mod drain;
mod entry;
mod exchange;
mod failed_calls;
mod fetch;
mod forward;
mod gate;
mod greeting;
mod guard;
mod headers;
mod hints;
mod local;
mod outcome;
mod passed;
mod peers;
mod pool;
mod quarantine;
mod serve;
mod served;
mod sockets;
mod story;
mod table;
mod times;
mod transfers;
mod tries;
mod upload;
mod watched;
mod words;

pub use body::{BodyError, ProxyBody};
pub use call::GuardToken;
pub use claim::{AttemptId, ClaimGate, ClaimKey, ClaimOutcome, ClaimVerdict};
pub use clock::process_now;
pub use context::{ForwardContext, GuardContext, OwnService};
pub use counters::{CounterView, ProxyCounters};
pub use drain::DrainClock;
pub use failed_calls::FailedCalls;
pub use forward::forward;
pub use greeting::{GreetingError, ask_identity};
pub use headers::{DEADLINE_HEADER, HOPS_HEADER, RETRIED_HEADER};
pub use local::{LocalServer, LocalServers, ServerLimits};
pub use outcome::{
    EARLIER_STATUS_HEADER, OUTCOME_HEADER, REASON_HEADER, RETRY_AFTER_MS_HEADER, RefusalKind,
    RequestOutcome,
};
pub use peers::PeerClient;
pub use quarantine::QuarantineBoard;
pub use serve::{ServeHandle, serve_forward, serve_guard};
pub use sk_decide::quarantine::SuspectRecord;
pub use table::{
    RouteMatch, RouteTable, ServiceKey, SharedTable, TableEndpoint, TablePlace, TableService,
    TableTuning,
};
pub use times::{RequestTimes, TimeStage};
pub use words::{AnswerVerdict, OwnWords, RequestNote, RequestWords, ServerIdentity};
