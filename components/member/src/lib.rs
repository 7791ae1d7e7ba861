//! Membership of daemons and backend servers: announcements, liveness and draining.
//!
//! A daemon that does not know of a drain or a crash sends new work to a server that refuses it or
//! no longer exists; one that wrongly counts another as gone takes a running server out of use.
//!
//! Keeps what one daemon knows about the others, merged from records that daemons exchange by
//! gossip. The types are pure state without sockets or a clock, so that every rule can be tested
//! with simulated time and message loss.

mod assessment;
mod choice;
mod digest;
mod fleet;
mod freshness;
mod heartbeat;
mod marks;
mod monitor;
mod neighbours;
mod overlay;
mod record;
mod rumor;
mod shared_members;
mod suspicion;
mod suspicion_log;
mod table;
mod tombstone;
mod tree;

pub use choice::{choose_relays, rendezvous_weight};
pub use digest::{DIGEST_BUCKETS, MemberDigest, bucket_of};
pub use fleet::{FleetKnowledge, FleetRoster, RosterUpkeep};
pub use freshness::{FreshnessProof, FreshnessTracker, HistoryPosition, PollOptions, PollerHash};
pub use heartbeat::{HeartbeatFilter, HeartbeatStatus, ServerBoot, ServerHeartbeat};
pub use marks::{LocalReachability, ReachabilityMarks};
pub use monitor::{LivenessMonitor, MonitorEvent, MonitorOptions};
pub use overlay::{OverlayPlan, choose_links};
pub use record::{
    EndpointRecord, EndpointStatus, Incarnation, MemberRecord, MemberStatus, ServerId,
    ServerVersion,
};
pub use rumor::{MemberRumor, RumorQueue};
pub use shared_members::{MemberSnapshot, SharedMembers};
pub use suspicion::MemberSuspicion;
pub use table::{MemberTable, MergeOutcome};
pub use tree::{PushTree, push_targets};
