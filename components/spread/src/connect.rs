//! Opens, authenticates and runs connections to peers; each is used for calls in both directions.
//! Time, size and number of unauthenticated connections are bounded, so that foreign processes
//! cannot exhaust file descriptors or memory.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use capnp::{Error, ErrorKind, message::ReaderOptions};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use tokio::{net::TcpStream, time::Instant};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{
    auth::{ProofSide, is_proof, make_nonce, make_proof},
    codec,
    counted::{ByteAllowance, CountedStream},
    gate::GateServer,
    node::SpreadNode,
    peer_capnp::{gate, peer},
    server::PeerServer,
    session::{PeerSession, SessionLink},
};

/// Time until a peer that does not accept a connection counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a connection may take to authenticate. Authentication takes two round trips; a
/// process that connects and sends nothing would otherwise occupy a file descriptor for ever.
const PROOF_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of unauthenticated connections at once. A fleet restart brings a seed hundreds
/// within a second, each for a few milliseconds; refused daemons come back after a jittered pause.
const MAX_UNPROVEN: usize = 128;
/// Time that an orderly close may take before the connection is dropped.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time of one call, even while its peer keeps sending. Other traffic of the peer must not
/// keep a call alive whose answer will never arrive.
const LONGEST_CALL: Duration = Duration::from_secs(10);
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
struct OpeningGuard(Option<SessionLink>);

impl OpeningGuard {
    fn keep(mut self) {
        self.0 = None;
    }
}

impl Drop for OpeningGuard {
    fn drop(&mut self) {
        if let Some(link) = &self.0 {
            link.close();
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
    let (mut system, link, allowance) = make_session(node, stream, Side::Client, None)?;
    let gate: gate::Client = system.bootstrap(Side::Server);
    tokio::task::spawn_local(run_session(node.clone(), system, link.clone()));
    let opening = OpeningGuard(Some(link.clone()));
    let proved = tokio::time::timeout(PROOF_TIMEOUT, prove(node, gate, &link)).await;
    let session = proved.map_err(|_| Error::overloaded("proof timed out".to_owned()))??;
    opening.keep();
    allowance.lift();
    node.pool.add(session.clone());
    Ok(session)
}

async fn prove(
    node: &Rc<SpreadNode>,
    gate: gate::Client,
    link: &SessionLink,
) -> Result<Rc<PeerSession>, Error> {
    let secret = node.options.secret.as_bytes();
    let challenge = gate.challenge_request().send().promise.await?;
    let callee = challenge.get()?.get_nonce()?;
    let caller = make_nonce();
    let back = Rc::new(PeerServer::new(node));
    let mut request = gate.enter_request();
    let mut params = request.get();
    params.set_nonce(&caller);
    params.set_proof(&make_proof(secret, ProofSide::Caller, &caller, callee));
    params.set_proxy(&node.own_name);
    params.set_peer(capnp_rpc::new_client_from_rc(back.clone()));
    let response = request.send().promise.await?;
    let response = response.get()?;
    // Without this check, a process that took over a peer's address could send us configuration.
    if !is_proof(secret, ProofSide::Callee, &caller, callee, response.get_proof()?) {
        return Err(Error::failed("peer does not know the secret".to_owned()));
    }
    let proxy = codec::read_text(response.get_proxy()?)?;
    let session = PeerSession::new(proxy, response.get_peer()?, link.clone());
    back.open(&session);
    Ok(session)
}

/// Runs a connection that a peer opened, and closes it unless the peer authenticates in time.
pub(crate) fn serve_session(node: &Rc<SpreadNode>, stream: TcpStream) {
    if node.unproven.get() >= MAX_UNPROVEN {
        log::warn!("spread: refused a connection, {MAX_UNPROVEN} have proved nothing yet.");
        return;
    }
    let server = Rc::new(GateServer::new(node));
    let gate: gate::Client = capnp_rpc::new_client_from_rc(server.clone());
    let (system, link, allowance) = match make_session(node, stream, Side::Server, Some(gate)) {
        Ok(parts) => parts,
        Err(err) => return log::debug!("spread: a session could not start: {err}."),
    };
    tokio::task::spawn_local(run_session(node.clone(), system, link.clone()));
    let proven = server.attach(link.clone(), allowance);
    node.unproven.set(node.unproven.get() + 1);
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let is_proven = tokio::time::timeout(PROOF_TIMEOUT, proven).await;
        node.unproven.set(node.unproven.get() - 1);
        if !matches!(is_proven, Ok(Ok(()))) {
            link.close();
        }
    });
}

type SessionParts = (RpcSystem<Side>, SessionLink, Arc<ByteAllowance>);

fn make_session(
    node: &Rc<SpreadNode>,
    stream: TcpStream,
    side: Side,
    gate: Option<gate::Client>,
) -> Result<SessionParts, Error> {
    stream.set_nodelay(true)?;
    let allowance = ByteAllowance::unproven(side);
    let link = SessionLink::default();
    let stream = CountedStream::new(stream, node.meter.clone(), allowance.clone(), link.clone());
    let (reader, writer) = tokio::io::split(stream);
    let options = ReaderOptions {
        traversal_limit_in_words: Some(MAX_MESSAGE_WORDS),
        nesting_limit: MAX_NESTING,
    };
    let network = VatNetwork::new(reader.compat(), writer.compat_write(), side, options);
    let system = RpcSystem::new(Box::new(network), gate.map(|gate| gate.client));
    Ok((system, link, allowance))
}

/// Runs a connection until it ends or is to be closed.
async fn run_session(node: Rc<SpreadNode>, mut system: RpcSystem<Side>, link: SessionLink) {
    let disconnector = RefCell::new(Some(system.get_disconnector()));
    let result = tokio::select! {
        result = &mut system => {
            link.is_lost.set(true);
            result
        }
        () = link.close.notified() => {
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
        log::debug!("spread: a session ended: {err}.");
    }
    link.is_closed.set(true);
    sweep_sessions(&node);
}

/// Closes unused connections and reports lost peers to the liveness monitor.
pub(crate) fn sweep_sessions(node: &SpreadNode) {
    let swept = node.pool.sweep(&node.link_names());
    node.stats.set_sessions(swept.open);
    swept.lost.iter().for_each(|proxy| node.note_lost(proxy));
}

impl SpreadNode {
    /// Returns the open connection to a member, or opens one.
    pub(crate) async fn session(self: &Rc<Self>, proxy: &str) -> Result<Rc<PeerSession>, Error> {
        if let Some(session) = self.pool.get(proxy) {
            return Ok(session);
        }
        let view = self.view();
        let record = view.get(proxy).ok_or_else(|| Error::failed("unknown peer".to_owned()))?;
        let session = open_session(self, record.control).await?;
        // Another daemon may have taken over the address before its old owner's end is known.
        match session.proxy == proxy {
            true => Ok(session),
            false => Err(Error::failed("another daemon answers there".to_owned())),
        }
    }

    /// Calls a member over its open or a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, or if nothing arrives from the member for `silence_limit`.
    pub(crate) async fn call<T>(
        self: &Rc<Self>,
        proxy: &str,
        patience: Duration,
        call: impl AsyncFnOnce(peer::Client) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let attempt = async {
            let session = self.session(proxy).await?;
            session.touch();
            call(session.client.clone()).await
        };
        let heard_at = || self.pool.get(proxy).map(|session| session.heard_at());
        let result = within_silence(attempt, patience, heard_at).await;
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
/// Large answers over thin or busy links take longer than any fixed time limit that would still
/// detect a silent peer soon. A call abandoned in mid-transfer is sent again from its start over
/// the same link, which delays the version for all daemons behind it.
async fn within_silence<T>(
    call: impl Future<Output = Result<T, Error>>,
    patience: Duration,
    heard_at: impl Fn() -> Option<Instant>,
) -> Result<T, Error> {
    let last = Instant::now() + patience.max(LONGEST_CALL);
    let mut due = Instant::now() + patience;
    tokio::pin!(call);
    loop {
        if let Ok(result) = tokio::time::timeout_at(due, &mut call).await {
            return result;
        }
        let heard_at = heard_at().filter(|heard_at| *heard_at + patience > due);
        due = match heard_at {
            Some(heard_at) if due < last => last.min(heard_at + patience),
            _ => return Err(Error::overloaded("call timed out".to_owned())),
        };
    }
}
