//! Rate limits of workspaces over all daemons together: the state of one daemon, as the owner of
//! some workspaces' buckets and as a holder of tokens of all others.
//!
//! The decisions are in `sk_decide::allowance`; calls to owners go through a bounded queue to the
//! control thread. The design note is `docs/design/allowances.md`.

mod book;
mod calls;
mod entry;
mod log_pace;

pub use book::{AllowanceBook, AllowanceVerdict, WorkspaceCounts, WorkspaceRow};
pub use calls::{AllowanceAsk, AllowanceDesk, OwnerCall};
pub use sk_decide::allowance::{AllowanceRate, MemberPresence, TokenGrant, TokenWant};
