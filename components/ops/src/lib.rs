//! The operators' HTTP interface, and the announcements of the local backend server.

mod access;
mod announcement;
mod error;
mod port;
mod server;
mod wire;

pub use access::{hash_token, is_token};
pub use announcement::{MAX_SERVICES, check_announcement};
pub use error::OpsError;
pub use port::{OperatorPort, SharedPort};
pub use server::{OpsHandle, start_ops};
pub use wire::{
    HeldView, PeerView, ServerAnnouncement, ServerView, StateDump, TeamRecord, TeamView,
};
