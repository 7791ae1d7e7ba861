//! Distributes configuration versions and membership records between daemons.
//!
//! Control traffic runs over capnp-rpc on its own thread, so that requests never wait for it.
//! `docs/design/spreading.md` describes how versions and records travel and why.

mod ack_batch;
mod acks;
mod allowances;
mod auth;
mod backoff;
mod codec;
mod config_holder;
mod connect;
mod counted;
mod driver;
mod fetch;
mod forward;
mod gate;
mod hash_prefix;
mod join;
mod kept_bases;
mod link_table;
mod links;
mod neighbours;
mod node;
mod notices;
mod options;
mod pool;
mod relay_view;
mod relays;
mod repair;
mod roster;
mod rumors;
mod server;
mod session;
mod source;
mod start;
mod state;
mod tasks;
mod update;
mod watch;

#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::unimplemented)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use allowances::AllowancePort;
pub use config_holder::{ConfigHolder, ConfigStatus, OfferOutcome, SnapshotCheck};
pub use counted::{ControlBytes, ControlMeter};
pub use driver::{SpreadHandle, SpreadParts, StateReader, start_spread};
pub use forward::{ForwardMethod, ForwardPlan, plan_forward};
pub use options::{ForwardMode, SpreadOptions};
pub use sk_member::HistoryPosition;
pub use source::{
    AckSink, ConfigSource, ContactMap, ContactStore, NoticeExchange, RosterMap, RosterStore,
    SourceError, WatchResult,
};
pub use state::{CallKind, KindBytes, SpreadState};
pub use tasks::VersionOrigin;
pub use update::{
    ConfigUpdate, TreeContent, TreeHashes, TreeUpdate, UpdateFault, apply_update, make_tree_update,
    make_update, tree_hashes,
};
