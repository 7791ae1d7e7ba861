//! Roll-outs at one daemon: the orders known, how far each has come, and what the guards counted.
//!
//! An order asks for the traffic of a service to be moved to the servers of another version. The
//! relays decide on each step (`sk_decide::rollout`) and every daemon applies the steps that it
//! knows. Records merge to the same result in any order, so that daemons can exchange them over any
//! path. The design note is `docs/design/rollouts.md`.

mod control;
mod counts;
mod error;
mod old_servers;
mod orders;
mod records;
mod shared;
mod state;
mod versions;
mod view;
mod wire;

pub use control::OrderControl;
pub use counts::{CountedRequest, GuardVerdict, OrderCounter};
pub use error::OrderError;
pub use orders::{OrderBook, OrderId, OrderRead, OrderSource, OrderState, RolloutOrder};
pub use records::{
    CompactEvidence, EvidenceRecord, GroupCounts, RelayBeat, StageRecord, StoredStage,
};
pub use shared::{OrderReport, SharedRollouts, WorkCounts};
pub use view::{ActiveOrder, RolloutView, ServiceView, VersionGroup};
