//! Asking the local backend server who it is.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};

use crate::words::{RequestWords, ServerIdentity};

/// Time for an answer. The server is on the same instance; one that waits for a slot answers after the
/// work of others.
const IDENTITY_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a server could not be asked.
#[derive(Debug, Error)]
pub enum IdentityError {
    /// It does not accept.
    #[error("server does not accept: {0}")]
    Refused(#[from] std::io::Error),
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// There is no answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The path of the service's setting makes no request.
    #[error("malformed path: {0}")]
    Path(#[from] http::Error),
}

/// Asks the server at an address who it is; none where it does not say or takes no work.
///
/// # Errors
///
/// Returns a [`IdentityError`] if there is no answer.
pub async fn ask_identity(
    words: &dyn RequestWords,
    address: SocketAddr,
    path: &str,
) -> Result<Option<ServerIdentity>, IdentityError> {
    let asked = timeout(IDENTITY_TIMEOUT, ask(words, address, path)).await;
    asked.unwrap_or(Err(IdentityError::Timeout))
}

async fn ask(
    words: &dyn RequestWords,
    address: SocketAddr,
    path: &str,
) -> Result<Option<ServerIdentity>, IdentityError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let request =
        Request::get(path).header(header::HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await;
    // The connection is of no further use, whatever the answer is.
    connection.abort();
    let answer = answer?;
    Ok(words.read_identity(answer.status(), answer.headers()))
}
