//! Finding the backend server beside a daemon that has just started.
//!
//! A daemon that is killed leaves its server running, which goes on to send its heartbeats at its own
//! pace. Until the next one, up to a second and a half later, the new daemon knows no server: nobody's
//! requests get there, and where all daemons were killed at once, callers are refused by all of them. So
//! it asks the server itself.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sk_member::{EndpointStatus, ServerHeartbeat};
use sk_model::{ServiceName, SettingBody};
use sk_proxy::{ServerIdentity, ask_identity};
use tokio::time::Instant;

use crate::port::DaemonPort;

/// Time for which a server is asked: past it, its own heartbeat has come, or it is not there.
const GREET_TIME: Duration = Duration::from_secs(2);
/// Pause between two questions: the server may be starting too, or have no slot free.
const GREET_PAUSE: Duration = Duration::from_millis(50);

/// Asks the server at an address who it is, until it is known.
pub(crate) async fn greet_server(port: Arc<DaemonPort>, service: ServiceName, address: SocketAddr) {
    let end = Instant::now() + GREET_TIME;
    while Instant::now() < end && port.servers.endpoints().is_empty() {
        if let Some(path) = health_path(&port, &service) {
            match ask_identity(&*port.border.words, address, &path).await {
                Ok(Some(identity)) => return meet(&port, service, address, identity),
                Ok(None) => log::debug!("daemon: the server at {address} does not say who it is."),
                Err(err) => log::debug!("daemon: the server at {address} cannot be asked: {err}."),
            }
        }
        tokio::time::sleep(GREET_PAUSE).await;
    }
}

/// Gives where a service's servers say how they are, once a configuration is held.
fn health_path(port: &DaemonPort, service: &ServiceName) -> Option<String> {
    let snapshot = port.held.current();
    let setting = snapshot.settings().find(|(path, _)| *path == service)?.1;
    match setting {
        SettingBody::Service(setting) => setting.health_path.clone(),
        _ => None,
    }
}

/// Enters a server, unless its own heartbeat came meanwhile, which knows more.
fn meet(port: &DaemonPort, service: ServiceName, address: SocketAddr, identity: ServerIdentity) {
    if !port.servers.endpoints().is_empty() {
        return;
    }
    log::info!("daemon: the server here says that it is {}.", identity.name);
    port.take_heartbeat(ServerHeartbeat {
        name: identity.name,
        born: 0,
        sequence: 0,
        service,
        address,
        slots: identity.slots,
        status: EndpointStatus::Ready,
        warm_up: Duration::ZERO,
    });
}
