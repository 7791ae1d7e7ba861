//! Membership of daemons and backend servers: announcements, liveness, draining.
//!
//! Pure state: what a daemon believes of the others, merged from records that travel between
//! daemons. No sockets and no clock.

mod board;
mod choice;
mod record;
mod table;

pub use board::{MemberBoard, MemberView};
pub use choice::{choose_relays, rendezvous_weight};
pub use record::{
    EndpointRecord, EndpointStatus, Incarnation, MemberRecord, MemberStatus, ServerId,
};
pub use table::{MemberTable, MergeOutcome};
