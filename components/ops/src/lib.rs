//! The operators' HTTP interface, and the announcements of the local backend server.
//!
//! The interface checks tokens, sizes and fields before a call reaches the daemon, so that a
//! malformed or unauthorised call has no effect.

mod access;
mod announcement;
mod error;
mod port;
mod server;
mod wire;

pub use access::{hash_token, is_token};
pub use announcement::{MAX_SERVICES, check_announcement, check_heartbeat};
pub use error::OpsError;
pub use port::{OperatorPort, SharedPort};
pub use server::{OpsHandle, start_ops};
pub use wire::{
    ControlView, HeartbeatAnswer, HeartbeatBody, LeaveBody, PeerView, ReadyView, RequestView,
    RolloutReport, ServerAnnouncement, ServerState, ServerView, SettingsView, StateDump,
    TeamRecord, TeamView, WorkReport, WorkspaceView,
};
