//! Exchange of unfinished requests between daemons, on the connections to their guards: a daemon asks
//! another one which requests it has sent to it or keeps for it, or has it keep some.

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use sk_model::ProxyId;
use thiserror::Error;

use crate::{
    answer::{DaemonAnswer, daemon_answer},
    body::{BodyError, ProxyBody, error_chain, whole_body},
    context::GuardContext,
    outcome::{RefusalKind, RequestOutcome},
    peers::{PeerClient, PeerError},
    running_requests::UnfinishedRequest,
};

/// Header with the name of the daemon whose requests are meant.
const UNFINISHED_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-unfinished");
/// Largest message: the list of all requests that a daemon knows, with long ids.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum UnfinishedError {
    /// The other daemon cannot be reached.
    #[error("the daemon does not answer: {0}")]
    Unreachable(String),
    /// The other daemon does not understand the question, as one of the release before.
    #[error("the daemon answers {0}")]
    Refused(StatusCode),
    /// The message is malformed or too long.
    #[error("malformed message: {0}")]
    Malformed(String),
}

impl From<PeerError> for UnfinishedError {
    fn from(err: PeerError) -> Self {
        Self::Unreachable(err.to_string())
    }
}

impl PeerClient {
    /// Asks the daemon with a guard which requests it has sent to the daemon `own`, or keeps for it.
    ///
    /// # Errors
    ///
    /// Returns an [`UnfinishedError`] without a complete answer.
    pub async fn ask_unfinished(
        &self,
        guard: std::net::SocketAddr,
        own: &ProxyId,
    ) -> Result<Vec<UnfinishedRequest>, UnfinishedError> {
        self.exchange_unfinished(guard, own, Method::GET, &[]).await
    }

    /// Has the daemon with a guard keep requests of the daemon `own`.
    ///
    /// # Errors
    ///
    /// Returns an [`UnfinishedError`] if they may not be kept.
    pub async fn deposit_unfinished(
        &self,
        guard: std::net::SocketAddr,
        own: &ProxyId,
        requests: &[UnfinishedRequest],
    ) -> Result<(), UnfinishedError> {
        self.exchange_unfinished(guard, own, Method::PUT, requests).await.map(drop)
    }

    async fn exchange_unfinished(
        &self,
        guard: std::net::SocketAddr,
        own: &ProxyId,
        method: Method,
        requests: &[UnfinishedRequest],
    ) -> Result<Vec<UnfinishedRequest>, UnfinishedError> {
        let malformed = |err: &dyn std::fmt::Display| UnfinishedError::Malformed(err.to_string());
        let body = serde_json::to_vec(requests).map_err(|err| malformed(&err))?;
        let mut request = Request::new(whole_body(body.into()));
        *request.method_mut() = method;
        let name = HeaderValue::from_str(own).map_err(|err| malformed(&err))?;
        request.headers_mut().insert(UNFINISHED_HEADER, name);
        let guard = guard.to_string().parse().map_err(|err| malformed(&err))?;
        let response = self.send_plain(request, &guard).await?;
        match response.status() {
            StatusCode::OK => read_list(response.into_body()).await,
            status => Err(UnfinishedError::Refused(status)),
        }
    }
}

/// Returns the daemon that a message of this exchange is about; `None` for any other request.
pub(crate) fn read_subject(headers: &HeaderMap) -> Option<&str> {
    headers.get(UNFINISHED_HEADER)?.to_str().ok()
}

/// Answers a message of another daemon.
pub(crate) async fn answer_unfinished<B>(
    context: &GuardContext,
    request: Request<B>,
) -> Response<ProxyBody>
where
    B: Body<Data = bytes::Bytes, Error: Into<BodyError>> + Send,
{
    let daemon = read_subject(request.headers()).unwrap_or_default().to_owned();
    let list = match *request.method() {
        Method::PUT => match read_list(request.into_body()).await {
            Ok(requests) => {
                context.running.keep(&daemon, &requests);
                Vec::new()
            }
            Err(err) => return *refuse_message(&err),
        },
        _ => context.running.unfinished_at(&daemon),
    };
    match serde_json::to_vec(&list) {
        Ok(body) => Response::new(whole_body(body.into())),
        Err(err) => *refuse_message(&UnfinishedError::Malformed(err.to_string())),
    }
}

fn refuse_message(err: &UnfinishedError) -> DaemonAnswer {
    log::info!("guard: a message about unfinished requests is not understood: {err}.");
    let (status, kind) = (StatusCode::BAD_REQUEST, RefusalKind::Malformed);
    Box::new(daemon_answer(status, RequestOutcome::NotRun, kind))
}

/// Reads a list of requests.
async fn read_list<B>(body: B) -> Result<Vec<UnfinishedRequest>, UnfinishedError>
where
    B: Body<Data = bytes::Bytes, Error: Into<BodyError>>,
{
    let whole = Limited::new(body.map_err(Into::into), MAX_MESSAGE_BYTES).collect().await;
    let whole = whole.map_err(|err| UnfinishedError::Malformed(error_chain(&*err)))?;
    serde_json::from_slice(&whole.to_bytes())
        .map_err(|err| UnfinishedError::Malformed(err.to_string()))
}
