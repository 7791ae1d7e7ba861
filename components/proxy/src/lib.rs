//! The request path: routing, forwarding and the guard of the local backend server.

mod body;
mod forward;
mod guard;
mod local;
mod outcome;
mod serve;
mod table;

pub use body::ProxyBody;
pub use forward::{ForwardContext, forward};
pub use guard::{GuardContext, guard};
pub use local::{LocalServer, LocalServers};
pub use outcome::{OUTCOME_HEADER, RequestOutcome, SERVICE_HEADER};
pub use serve::{ServeHandle, serve_forward, serve_guard};
pub use table::{RouteMatch, RouteTable, ServiceKey, SharedTable, TableEndpoint, TableService};
