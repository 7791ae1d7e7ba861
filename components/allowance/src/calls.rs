//! What passes between the state of a daemon and the control thread that reaches other daemons.

use std::sync::Arc;

use sk_decide::allowance::{TokenGrant, TokenWant};

/// What a holder asks of the owner of one workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllowanceAsk {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Tokens wanted.
    pub want: TokenWant,
}

/// An ask on its way to the owner. Each one is answered by [`AllowanceDesk::deliver`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCall {
    /// Name of the daemon that owns the bucket.
    pub owner: Arc<str>,
    /// What is asked.
    pub ask: AllowanceAsk,
    /// Number of the call at this daemon.
    pub number: u64,
}

/// The state of this daemon as the control thread uses it.
pub trait AllowanceDesk: Send + Sync {
    /// Grants tokens of workspaces to another daemon, `None` for those without a limit here.
    fn grant(&self, holder: &str, asks: &[AllowanceAsk]) -> Vec<Option<TokenGrant>>;

    /// Delivers the owner's answer to a call, `None` if there was none.
    fn deliver(&self, call: &OwnerCall, grant: Option<TokenGrant>);
}
