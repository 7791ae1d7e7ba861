//! Server side of the `Gate` interface, which any process that connects can call. It gives access
//! to the `Peer` interface only in exchange for a proof of the shared secret, so that foreign
//! processes can neither read nor change anything.

use std::{
    cell::RefCell,
    rc::{Rc, Weak},
    sync::Arc,
};

use capnp::Error;
use tokio::sync::oneshot;

use crate::{
    auth::{Nonce, ProofSide, make_nonce, make_proof, verify_proof},
    codec,
    counted::ByteAllowance,
    node::SpreadNode,
    peer_capnp::gate,
    server::PeerServer,
    session::{PeerSession, SharedConnectionState},
};

/// The connection that a gate server belongs to, and the channel that reports its authentication.
struct GateConnection {
    connection: SharedConnectionState,
    allowance: Arc<ByteAllowance>,
    authenticated: oneshot::Sender<()>,
}

/// Answers an unauthenticated connection and exchanges the `Peer` interface for a valid proof.
pub(crate) struct GateServer {
    node: Weak<SpreadNode>,
    // Taken by the first attempt, so that a proof cannot be replayed in the same session either.
    nonce: RefCell<Option<Nonce>>,
    connection: RefCell<Option<GateConnection>>,
}

impl GateServer {
    /// Creates a gate server without a connection.
    pub(crate) fn new(node: &Rc<SpreadNode>) -> Self {
        Self {
            node: Rc::downgrade(node),
            nonce: RefCell::default(),
            connection: RefCell::default(),
        }
    }

    /// Assigns the gate to its connection and returns a receiver that resolves once the peer has
    /// authenticated.
    pub(crate) fn assign_connection(
        &self,
        connection: SharedConnectionState,
        allowance: Arc<ByteAllowance>,
    ) -> oneshot::Receiver<()> {
        let (authenticated, authentication) = oneshot::channel();
        self.connection.replace(Some(GateConnection { connection, allowance, authenticated }));
        authentication
    }
}

impl gate::Server for GateServer {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), Error> {
        let nonce = make_nonce();
        self.nonce.replace(Some(nonce));
        results.get().set_nonce(&nonce);
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        let node = self.node.upgrade().ok_or_else(|| Error::disconnected("stopped".to_owned()))?;
        let params = params.get()?;
        let secret = node.options.secret.as_bytes();
        let callee = self
            .nonce
            .take()
            .ok_or_else(|| Error::failed("no challenge was requested".to_owned()))?;
        let caller = params.get_nonce()?;
        let proxy = codec::read_text(params.get_proxy()?)?;
        if !verify_proof(secret, ProofSide::Caller, caller, &callee, params.get_proof()?) {
            log::warn!("spread: refused a peer that does not know the secret.");
            return Err(Error::failed("proof does not match".to_owned()));
        }
        let gate_connection =
            self.connection.take().ok_or_else(|| Error::failed("entered".to_owned()))?;
        gate_connection.allowance.lift();
        // The receiver is gone only if the time for authentication has just run out.
        let _ = gate_connection.authenticated.send(());
        let session = PeerSession::new(proxy, params.get_peer()?, gate_connection.connection);
        let server = PeerServer::new(&node);
        server.set_session(&session);
        node.pool.add(session);
        let mut results = results.get();
        results.set_proof(&make_proof(secret, ProofSide::Callee, caller, &callee));
        results.set_proxy(&node.own_name);
        results.set_peer(capnp_rpc::new_client(server));
        Ok(())
    }
}
