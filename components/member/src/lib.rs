//! Membership of daemons and backend servers: announcements, liveness and draining.
//!
//! Keeps what one daemon knows about the others, merged from records that daemons exchange by
//! gossip. The types are pure state without sockets or a clock, so that every rule can be tested
//! with simulated time and message loss.

mod assessment;
mod board;
mod choice;
mod digest;
mod freshness;
mod heartbeat;
mod marks;
mod monitor;
mod neighbours;
mod overlay;
mod record;
mod rumor;
mod suspicion;
mod suspicion_log;
mod table;
mod tombstone;
mod tree;

pub use board::{MemberBoard, MemberView};
pub use choice::{choose_relays, rendezvous_weight};
pub use digest::{DIGEST_BUCKETS, MemberDigest, bucket_of};
pub use freshness::{FreshnessBook, FreshnessProof, HistoryMark, LookOptions, PollerHash};
pub use heartbeat::{HeartbeatBook, HeartbeatVerdict, ServerHeartbeat};
pub use marks::{LocalMark, MemberMarks};
pub use monitor::{LivenessMonitor, MonitorEvent, MonitorOptions};
pub use overlay::{OverlayPlan, choose_links};
pub use record::{
    EndpointRecord, EndpointStatus, Incarnation, MemberRecord, MemberStatus, ServerId,
};
pub use rumor::{MemberRumor, RumorQueue};
pub use suspicion::MemberSuspicion;
pub use table::{MemberTable, MergeOutcome};
pub use tree::{PushTree, push_targets};
