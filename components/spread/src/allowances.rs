//! Asks the owners of workspaces' limits for tokens, and answers the asks of other daemons.
//!
//! A request waits for the answer, so calls to an owner are made at once. Asks that are queued at
//! the same time go to their owner in one call.

use std::{collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use capnp::Error;
use sk_allowance::{AllowanceAsk, AllowanceDesk, OwnerCall, TokenGrant, TokenWant};
use tokio::sync::mpsc;

use crate::{
    codec,
    node::SpreadNode,
    peer_capnp::{allowance_ask, allowance_grant, peer},
    state::CallKind,
};

/// Time until a call counts as unanswered. Requests do not wait for it; a late answer ends the use
/// of the daemon's own part, and a new connection takes several round trips.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Most asks in one call. A daemon has one ask under way for each workspace.
const MAX_ASKS: usize = 256;

/// Connects the limits of workspaces with the control thread.
pub struct AllowancePort {
    /// The daemon's state.
    pub desk: Arc<dyn AllowanceDesk>,
    /// Calls to owners, each of which is answered at `desk`.
    pub calls: mpsc::Receiver<OwnerCall>,
}

impl AllowancePort {
    /// Takes the queue of calls, and leaves a closed one.
    pub(crate) fn take_calls(&mut self) -> mpsc::Receiver<OwnerCall> {
        std::mem::replace(&mut self.calls, mpsc::channel(1).1)
    }
}

/// Sends the asks of this daemon to the owners.
pub(crate) async fn send_asks(node: &Rc<SpreadNode>, calls: Option<mpsc::Receiver<OwnerCall>>) {
    let Some((desk, mut calls)) = node.allowances.clone().zip(calls) else { return };
    let mut queued = Vec::new();
    while calls.recv_many(&mut queued, MAX_ASKS).await > 0 {
        let mut by_owner: BTreeMap<Arc<str>, Vec<OwnerCall>> = BTreeMap::new();
        for call in queued.drain(..) {
            by_owner.entry(call.owner.clone()).or_default().push(call);
        }
        for (owner, calls) in by_owner {
            tokio::task::spawn_local(ask_owner(node.clone(), desk.clone(), owner, calls));
        }
    }
}

/// Makes one call and delivers its grants; without an answer, that is delivered.
async fn ask_owner(
    node: Rc<SpreadNode>,
    desk: Arc<dyn AllowanceDesk>,
    owner: Arc<str>,
    calls: Vec<OwnerCall>,
) {
    let answer = tokio::time::timeout(ASK_TIMEOUT, call_owner(&node, &owner, &calls)).await;
    let grants = match answer {
        Ok(Ok(grants)) => grants,
        Ok(Err(err)) => {
            log::debug!("spread: asks to {owner} failed: {err}.");
            Vec::new()
        }
        // The connection is left open: a busy owner must not lose the heartbeats of this link.
        Err(_) => {
            log::debug!("spread: {owner} did not answer asks in time.");
            Vec::new()
        }
    };
    let grants = grants.into_iter().chain(std::iter::repeat(None));
    calls.iter().zip(grants).for_each(|(call, grant)| desk.deliver(call, grant));
}

async fn call_owner(
    node: &Rc<SpreadNode>,
    owner: &str,
    calls: &[OwnerCall],
) -> Result<Vec<Option<TokenGrant>>, Error> {
    let session = node.session(owner).await?;
    session.record_used();
    let client: peer::Client = session.client.clone();
    let mut request = client.allowances_request();
    let mut asks = request.get().init_asks(calls.len() as u32);
    for (index, call) in calls.iter().enumerate() {
        write_ask(&call.ask, asks.reborrow().get(index as u32));
    }
    node.stats.sent(CallKind::Allowance, request.get().into_reader().total_size()?);
    let response = request.send().promise.await?;
    Ok(response.get()?.get_grants()?.iter().map(read_grant).collect())
}

/// Answers the asks of a peer.
///
/// # Errors
///
/// Fails for more than [`MAX_ASKS`] asks, for malformed ones, and at a daemon without limits.
pub(crate) fn answer_asks(
    node: &SpreadNode,
    holder: &str,
    params: peer::allowances_params::Reader<'_>,
    mut results: peer::AllowancesResults,
) -> Result<(), Error> {
    let missing = || Error::unimplemented("no limits are granted here".to_owned());
    let desk = node.allowances.as_ref().ok_or_else(missing)?;
    node.stats.received(CallKind::Allowance, params.total_size()?);
    let asks = params.get_asks()?;
    if asks.len() as usize > MAX_ASKS {
        return Err(Error::failed("too many asks".to_owned()));
    }
    let asks = asks.iter().map(read_ask).collect::<Result<Vec<_>, Error>>()?;
    let grants = desk.grant(holder, &asks);
    let mut list = results.get().init_grants(grants.len() as u32);
    for (index, grant) in grants.iter().enumerate() {
        write_grant(*grant, list.reborrow().get(index as u32));
    }
    Ok(())
}

fn write_ask(ask: &AllowanceAsk, mut builder: allowance_ask::Builder<'_>) {
    builder.set_workspace(&*ask.workspace);
    builder.set_needed(ask.want.needed);
    builder.set_ahead(ask.want.ahead);
    builder.set_spent(ask.want.spent);
}

fn read_ask(ask: allowance_ask::Reader<'_>) -> Result<AllowanceAsk, Error> {
    let workspace = Arc::from(codec::read_text(ask.get_workspace()?)?);
    let want =
        TokenWant { needed: ask.get_needed(), ahead: ask.get_ahead(), spent: ask.get_spent() };
    Ok(AllowanceAsk { workspace, want })
}

fn write_grant(grant: Option<TokenGrant>, mut builder: allowance_grant::Builder<'_>) {
    let Some(grant) = grant else { return };
    builder.set_is_limited(true);
    builder.set_tokens(grant.tokens);
    // Rounded up, so that the caller does not come back before there is a token.
    let millis = grant.retry_after.as_micros().div_ceil(1000);
    builder.set_retry_millis(u32::try_from(millis).unwrap_or(u32::MAX));
}

fn read_grant(grant: allowance_grant::Reader<'_>) -> Option<TokenGrant> {
    let retry_after = Duration::from_millis(grant.get_retry_millis().into());
    grant.get_is_limited().then(|| TokenGrant { tokens: grant.get_tokens(), retry_after })
}
