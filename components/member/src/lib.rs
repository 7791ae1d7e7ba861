//! Membership of daemons and backend servers: announcements, liveness, draining.
//!
//! Pure state: what a daemon believes of the others, merged from records that travel between
//! daemons. No sockets and no clock.

mod board;
mod book;
mod choice;
mod digest;
mod freshness;
mod heartbeat;
mod marks;
mod monitor;
mod overlay;
mod record;
mod rumor;
mod suspicion;
mod table;
mod tombstone;
mod tree;
mod verdict;
mod watch;

pub use board::{MemberBoard, MemberView};
pub use choice::{choose_relays, rendezvous_weight};
pub use digest::{DIGEST_BUCKETS, MemberDigest, bucket_of};
pub use freshness::{FreshnessBook, FreshnessProof, HistoryMark, LookOptions, LookerMark};
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
