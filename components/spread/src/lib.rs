//! Passing configuration and membership between daemons.
//!
//! Control traffic runs over capnp-rpc on a thread of its own; the request path never waits for it.

mod auth;
mod codec;
mod counted;
mod driver;
mod held;
mod link;
mod server;
mod source;
mod update;

#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::unimplemented)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use counted::{ControlBytes, ControlMeter};
pub use driver::{SpreadHandle, SpreadOptions, start_spread};
pub use held::{HeldConfig, HeldStatus, OfferOutcome};
pub use source::{AckSink, ConfigSource, SourceError};
pub use update::{ConfigUpdate, TreeContent, TreeUpdate, UpdateFault, apply_update, make_update};
