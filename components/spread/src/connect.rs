//! Opens, authenticates and runs connections to peers; each is used for calls in both directions.
//! Time, size and number of unauthenticated connections are bounded, so that foreign processes
//! cannot exhaust file descriptors or memory.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use capnp::{Error, ErrorKind, message::ReaderOptions};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use tokio::{net::TcpStream, time::Instant};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{
    auth::{ProofSide, make_nonce, make_proof, verify_proof},
    codec,
    counted::{ByteAllowance, CountedStream},
    gate::GateServer,
    node::SpreadNode,
    peer_capnp::{gate, peer},
    server::PeerServer,
    session::{PeerSession, SharedConnectionState},
};

/// Time until a peer that does not accept a connection counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a connection may take to authenticate. Authentication takes two round trips; a
/// process that connects and sends nothing would otherwise occupy a file descriptor for ever.
const AUTH_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of unauthenticated connections at once. A fleet restart brings a seed hundreds
/// within a second, each for a few milliseconds; refused daemons come back after a jittered pause.
const MAX_UNAUTHENTICATED: usize = 128;
/// Time that an orderly close may take before the connection is dropped.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time of one call, even while its peer keeps sending. Other traffic of the peer must not
/// keep a call alive whose answer will never arrive.
const MAX_CALL_TIME: Duration = Duration::from_secs(10);
/// Largest message from a peer in words of 8 bytes: 8 MB, the whole configuration of a fleet with
/// several subtrees at the platform's limit of one megabyte. A larger message ends its connection.
const MAX_MESSAGE_WORDS: usize = 1 << 20;
/// Deepest nesting of a message; the schema needs 5.
const MAX_NESTING: i32 = 16;

/// Closes a connection that is not authenticated when its opening ends, including when a caller
/// with a shorter time limit than [`AUTH_TIMEOUT`] drops the attempt.
///
/// A connection left open would never be used or closed by this side, and file descriptors would
/// run out. The peer may also have stored it as the newest connection to this daemon, and every
/// call over it would be refused, so that its heartbeats are missing although it runs.
struct OpeningGuard(Option<SharedConnectionState>);

impl OpeningGuard {
    /// Keeps the connection open, once it is authenticated.
    fn keep(mut self) {
        self.0 = None;
    }
}

impl Drop for OpeningGuard {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            connection.close();
        }
    }
}

/// Connects to a peer, authenticates both sides and returns the session.
///
/// # Errors
///
/// Fails if the peer cannot be reached, does not know the secret or does not authenticate in time.
pub(crate) async fn open_session(
    node: &Rc<SpreadNode>,
    address: SocketAddr,
) -> Result<Rc<PeerSession>, Error> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connect.map_err(|_| Error::overloaded("connect timed out".to_owned()))??;
    let (mut system, connection, allowance) = make_rpc_system(node, stream, Side::Client, None)?;
    let gate: gate::Client = system.bootstrap(Side::Server);
    tokio::task::spawn_local(run_session(node.clone(), system, connection.clone()));
    let opening = OpeningGuard(Some(connection.clone()));
    let authenticated =
        tokio::time::timeout(AUTH_TIMEOUT, authenticate(node, gate, &connection)).await;
    let session =
        authenticated.map_err(|_| Error::overloaded("authentication timed out".to_owned()))??;
    opening.keep();
    allowance.lift();
    node.pool.add(session.clone());
    Ok(session)
}

/// Authenticates both sides: requests a challenge, sends this side's proof and the interface for
/// calls back, and verifies the peer's proof.
async fn authenticate(
    node: &Rc<SpreadNode>,
    gate: gate::Client,
    connection: &SharedConnectionState,
) -> Result<Rc<PeerSession>, Error> {
    let secret = node.options.secret.as_bytes();
    let challenge = gate.challenge_request().send().promise.await?;
    let callee = challenge.get()?.get_nonce()?;
    let caller = make_nonce();
    let callback_server = Rc::new(PeerServer::new(node));
    let mut request = gate.enter_request();
    let mut params = request.get();
    params.set_nonce(&caller);
    params.set_proof(&make_proof(secret, ProofSide::Caller, &caller, callee));
    params.set_proxy(&node.own_name);
    params.set_peer(capnp_rpc::new_client_from_rc(callback_server.clone()));
    let response = request.send().promise.await?;
    let response = response.get()?;
    // Without this check, a process that took over a peer's address could send us configuration.
    if !verify_proof(secret, ProofSide::Callee, &caller, callee, response.get_proof()?) {
        return Err(Error::failed("peer does not know the secret".to_owned()));
    }
    let proxy = codec::read_text(response.get_proxy()?)?;
    let session = PeerSession::new(proxy, response.get_peer()?, connection.clone());
    callback_server.set_session(&session);
    Ok(session)
}

/// Runs a connection that a peer opened, and closes it unless the peer authenticates in time.
pub(crate) fn serve_session(node: &Rc<SpreadNode>, stream: TcpStream) {
    if node.unauthenticated.get() >= MAX_UNAUTHENTICATED {
        log::warn!(
            "spread: refused a connection, {MAX_UNAUTHENTICATED} have not authenticated yet."
        );
        return;
    }
    let server = Rc::new(GateServer::new(node));
    let gate: gate::Client = capnp_rpc::new_client_from_rc(server.clone());
    let (system, connection, allowance) =
        match make_rpc_system(node, stream, Side::Server, Some(gate)) {
            Ok(parts) => parts,
            Err(err) => return log::debug!("spread: cannot set up a connection: {err}."),
        };
    tokio::task::spawn_local(run_session(node.clone(), system, connection.clone()));
    let authentication = server.assign_connection(connection.clone(), allowance);
    node.unauthenticated.set(node.unauthenticated.get() + 1);
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let authenticated = tokio::time::timeout(AUTH_TIMEOUT, authentication).await;
        node.unauthenticated.set(node.unauthenticated.get() - 1);
        if !matches!(authenticated, Ok(Ok(()))) {
            connection.close();
        }
    });
}

/// RPC system, shared state and byte allowance of one connection.
type SessionParts = (RpcSystem<Side>, SharedConnectionState, Arc<ByteAllowance>);

/// Prepares the RPC system of one connection with byte counting and message limits.
fn make_rpc_system(
    node: &Rc<SpreadNode>,
    stream: TcpStream,
    side: Side,
    gate: Option<gate::Client>,
) -> Result<SessionParts, Error> {
    stream.set_nodelay(true)?;
    let allowance = ByteAllowance::unauthenticated(side);
    let connection = SharedConnectionState::default();
    let stream =
        CountedStream::new(stream, node.meter.clone(), allowance.clone(), connection.clone());
    let (reader, writer) = tokio::io::split(stream);
    let options = ReaderOptions {
        traversal_limit_in_words: Some(MAX_MESSAGE_WORDS),
        nesting_limit: MAX_NESTING,
    };
    let network = VatNetwork::new(reader.compat(), writer.compat_write(), side, options);
    let system = RpcSystem::new(Box::new(network), gate.map(|gate| gate.client));
    Ok((system, connection, allowance))
}

/// Runs a connection until it ends or is to be closed.
async fn run_session(
    node: Rc<SpreadNode>,
    mut system: RpcSystem<Side>,
    connection: SharedConnectionState,
) {
    let disconnector = RefCell::new(Some(system.get_disconnector()));
    let result = tokio::select! {
        result = &mut system => {
            connection.is_lost.set(true);
            result
        }
        () = connection.close.notified() => {
            let closing = async {
                if let Some(disconnector) = disconnector.take() {
                    // The connection ends either way, so an error of the disconnect has no effect.
                    let _ = disconnector.await;
                }
            };
            let both = async { tokio::join!(&mut system, closing).0 };
            tokio::time::timeout(CLOSE_TIMEOUT, both).await.unwrap_or(Ok(()))
        }
    };
    if let Err(err) = result {
        log::debug!("spread: a connection ended with an error: {err}.");
    }
    connection.is_closed.set(true);
    sweep_sessions(&node);
}

/// Closes unused connections and reports lost peers to the liveness monitor.
pub(crate) fn sweep_sessions(node: &SpreadNode) {
    let swept = node.pool.sweep(&node.link_names());
    node.stats.set_connections(swept.open);
    swept.lost_peers.iter().for_each(|proxy| node.record_connection_lost(proxy));
}

impl SpreadNode {
    /// Returns the open connection to a member, or opens one.
    pub(crate) async fn session(self: &Rc<Self>, proxy: &str) -> Result<Rc<PeerSession>, Error> {
        if let Some(session) = self.pool.get(proxy) {
            return Ok(session);
        }
        let members = self.member_snapshot();
        let record = members.get(proxy).ok_or_else(|| Error::failed("unknown peer".to_owned()))?;
        let session = open_session(self, record.control).await?;
        // Another daemon may have taken over the address before its old owner's end is known.
        match session.proxy == proxy {
            true => Ok(session),
            false => Err(Error::failed("another daemon answers at that address".to_owned())),
        }
    }

    /// Calls a member over its open or a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the member cannot be reached or answers with an error, if nothing arrives from it
    /// for `silence_limit`, or if the call takes longer than [`MAX_CALL_TIME`].
    pub(crate) async fn call<T>(
        self: &Rc<Self>,
        proxy: &str,
        silence_limit: Duration,
        call: impl AsyncFnOnce(peer::Client) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let attempt = async {
            let session = self.session(proxy).await?;
            session.record_used();
            call(session.client.clone()).await
        };
        let received_at = || self.pool.get(proxy).map(|session| session.received_at());
        let result = await_until_silent(attempt, silence_limit, received_at).await;
        // After an error from the peer's handler the connection is healthy; after any other error
        // the next call uses a new one.
        if let Err(err) = &result
            && err.kind != ErrorKind::Failed
            && let Some(session) = self.pool.get(proxy)
        {
            session.close();
        }
        result
    }
}

/// Awaits a call as long as bytes arrive from its peer at least every `silence_limit`.
///
/// Large answers over slow or busy links take longer than any fixed time limit that would still
/// detect a silent peer soon. A call abandoned in mid-transfer is sent again from its start over
/// the same link, which delays the version for all daemons behind it.
async fn await_until_silent<T>(
    call: impl Future<Output = Result<T, Error>>,
    silence_limit: Duration,
    received_at: impl Fn() -> Option<Instant>,
) -> Result<T, Error> {
    let hard_deadline = Instant::now() + silence_limit.max(MAX_CALL_TIME);
    let mut deadline = Instant::now() + silence_limit;
    tokio::pin!(call);
    loop {
        if let Ok(result) = tokio::time::timeout_at(deadline, &mut call).await {
            return result;
        }
        let received_at =
            received_at().filter(|received_at| *received_at + silence_limit > deadline);
        deadline = match received_at {
            Some(received_at) if deadline < hard_deadline => {
                hard_deadline.min(received_at + silence_limit)
            }
            _ => return Err(Error::overloaded("call timed out".to_owned())),
        };
    }
}
