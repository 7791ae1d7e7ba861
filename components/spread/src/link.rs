//! Connections to peers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use capnp::Error;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use tokio::net::TcpStream;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{
    auth::{ProofSide, is_proof, make_nonce, make_proof},
    counted::CountedStream,
    driver::SpreadShared,
    peer_capnp::{gate, peer},
    server::GateServer,
};

/// Time until a peer that does not accept counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects to a peer and proves the secret both ways.
pub(crate) async fn connect_peer(
    shared: &Arc<SpreadShared>,
    address: SocketAddr,
) -> Result<peer::Client, Error> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connect.map_err(|_| Error::overloaded("connect timed out".to_owned()))??;
    let gate: gate::Client = run_session(shared, stream, Side::Client, None)?;
    let secret = shared.options.secret.as_bytes();
    let challenge = gate.challenge_request().send().promise.await?;
    let callee = challenge.get()?.get_nonce()?;
    let caller = make_nonce();
    let mut request = gate.enter_request();
    request.get().set_nonce(&caller);
    request.get().set_proof(&make_proof(secret, ProofSide::Caller, &caller, callee));
    let response = request.send().promise.await?;
    let response = response.get()?;
    // Without this check, whoever took over a peer's address could feed configuration to us.
    if !is_proof(secret, ProofSide::Callee, &caller, callee, response.get_proof()?) {
        return Err(Error::failed("peer does not know the secret".to_owned()));
    }
    response.get_peer()
}

/// Serves one connection that a peer opened.
pub(crate) fn serve_peer(shared: &Arc<SpreadShared>, stream: TcpStream) {
    let gate: gate::Client = capnp_rpc::new_client(GateServer::new(shared.clone()));
    if let Err(err) = run_session::<gate::Client>(shared, stream, Side::Server, Some(gate)) {
        log::debug!("spread: a session could not start: {err}.");
    }
}

fn run_session<T: capnp::capability::FromClientHook>(
    shared: &Arc<SpreadShared>,
    stream: TcpStream,
    side: Side,
    gate: Option<gate::Client>,
) -> Result<T, Error> {
    stream.set_nodelay(true)?;
    let stream = CountedStream::new(stream, shared.meter.clone());
    let (reader, writer) = tokio::io::split(stream);
    let network = VatNetwork::new(reader.compat(), writer.compat_write(), side, Default::default());
    let mut system = RpcSystem::new(Box::new(network), gate.map(|gate| gate.client));
    let bootstrap = system.bootstrap(match side {
        Side::Client => Side::Server,
        Side::Server => Side::Client,
    });
    tokio::task::spawn_local(async move {
        if let Err(err) = system.await {
            log::debug!("spread: a session ended: {err}.");
        }
    });
    Ok(bootstrap)
}
