//! Asks the local backend server for its identity, so that a daemon that has just started knows
//! the server before its next announcement.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};

use crate::header_translation::{HeaderTranslation, ServerIdentity};

/// Time for an answer. The server is on the same instance; a server whose slots are taken answers
/// only after the work of others.
const IDENTITY_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a server gave no answer.
#[derive(Debug, Error)]
pub enum IdentityError {
    /// The server does not accept connections.
    #[error("server does not accept connections: {0}")]
    Refused(#[from] std::io::Error),
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// No answer arrived in time.
    #[error("no answer in time")]
    Timeout,
    /// The health path in the service's setting does not form a valid request.
    #[error("malformed health path: {0}")]
    Path(#[from] http::Error),
}

/// Asks the server at an address for its identity; `None` if it reports none or accepts no work.
///
/// # Errors
///
/// Returns an [`IdentityError`] if there is no answer.
pub async fn request_server_identity(
    headers: &dyn HeaderTranslation,
    address: SocketAddr,
    path: &str,
) -> Result<Option<ServerIdentity>, IdentityError> {
    let answered = timeout(IDENTITY_TIMEOUT, ask(headers, address, path)).await;
    answered.unwrap_or(Err(IdentityError::Timeout))
}

/// Sends the health request on a connection of its own and reads the identity from the answer.
async fn ask(
    headers: &dyn HeaderTranslation,
    address: SocketAddr,
    path: &str,
) -> Result<Option<ServerIdentity>, IdentityError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let request =
        Request::get(path).header(header::HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await;
    // The connection is not needed any longer, whatever the answer is.
    connection.abort();
    let answer = answer?;
    Ok(headers.read_identity(answer.status(), answer.headers()))
}
