//! Rate limits of workspaces on the request path: asked once for each caller's request, before it is
//! placed, and told what became of it.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use http::{HeaderValue, Response, StatusCode, header};

use crate::{
    answer::refuse_with_delay,
    attempt_history::AttemptHistory,
    body::ProxyBody,
    context::ForwardContext,
    outcome::{RefusalKind, RequestOutcome},
    workspaces::TableWorkspace,
};

/// The limits of workspaces over all daemons.
#[async_trait]
pub trait AllowanceGate: Send + Sync {
    /// Takes a token for a request of a workspace.
    async fn take(&self, workspace: &str) -> AllowanceVerdict;

    /// Returns the token of a request that did not run after all.
    fn give_back(&self, workspace: &str);

    /// Takes a token for a repeat that reached another server.
    fn charge(&self, workspace: &str);
}

/// Answer of an [`AllowanceGate`] to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceVerdict {
    /// It may run.
    Granted,
    /// The workspace has used its allowance.
    Refused {
        /// Time after which the request may come back.
        retry_after: Duration,
    },
}

/// A token taken for a request.
pub(crate) struct TakenToken {
    gate: Arc<dyn AllowanceGate>,
    workspace: Arc<TableWorkspace>,
}

/// Takes a token for a request; `None` where its workspace has no limit.
///
/// # Errors
///
/// Returns the refusal of a request over the allowance.
pub(crate) async fn take_token(
    context: &ForwardContext,
    workspace: Option<&Arc<TableWorkspace>>,
) -> Result<Option<TakenToken>, Box<Response<ProxyBody>>> {
    let limited = workspace.filter(|workspace| workspace.allowance.is_some());
    let Some((gate, workspace)) = context.allowances.as_ref().zip(limited) else {
        return Ok(None);
    };
    match gate.take(&workspace.name).await {
        AllowanceVerdict::Granted => {
            Ok(Some(TakenToken { gate: gate.clone(), workspace: workspace.clone() }))
        }
        AllowanceVerdict::Refused { retry_after } => Err(Box::new(refuse_over(retry_after))),
    }
}

/// Returns the refusal of a request over the allowance.
///
/// `Retry-After` is in fractions of a second, rounded up to a millisecond: a caller that comes back
/// at the nearest whole second comes before there is a token, or wastes it.
fn refuse_over(retry_after: Duration) -> Response<ProxyBody> {
    let millis = u64::try_from(retry_after.as_micros().div_ceil(1000)).unwrap_or(u64::MAX);
    let retry_after = Duration::from_millis(millis);
    let mut response = refuse_with_delay(RefusalKind::AllowanceExceeded, retry_after);
    *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
    let seconds = format!("{}.{:03}", millis / 1000, millis % 1000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

impl TakenToken {
    /// Settles the token with the end of its request: it is returned if nothing ran, and each
    /// arrival at a server after the first takes one more.
    pub(crate) fn settle(&self, history: &AttemptHistory, response: &Response<ProxyBody>) {
        let arrivals = history.arrivals();
        (1..arrivals).for_each(|_| self.gate.charge(&self.workspace.name));
        let outcome = RequestOutcome::read(response.headers());
        if arrivals == 0 && outcome == Some(RequestOutcome::NotRun) {
            self.gate.give_back(&self.workspace.name);
        }
    }
}
