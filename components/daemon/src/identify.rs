//! Asks the backend server beside a daemon that has just started for its identity.
//!
//! When a daemon is killed, its server keeps running and sends heartbeats at its own interval.
//! Until the next one, up to a second and a half later, the new daemon knows no server: no request
//! gets there, and where all daemons were killed together, all of them refuse callers. Asking the
//! server closes this gap.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sk_member::{EndpointStatus, ServerHeartbeat};
use sk_model::{ServiceName, SettingBody};
use sk_proxy::{ServerIdentity, request_server_identity};
use tokio::time::Instant;

use crate::port::DaemonPort;

/// Time for which a server is asked. After it, its own heartbeat has arrived or it is not running.
const IDENTIFY_TIME: Duration = Duration::from_secs(2);
/// Pause between two attempts. The server may be starting too, or have no free slot.
const IDENTIFY_PAUSE: Duration = Duration::from_millis(50);

/// Asks the server at `address` for its identity until the daemon knows a local server, for up to
/// [`IDENTIFY_TIME`].
pub(crate) async fn identify_server(
    port: Arc<DaemonPort>,
    service: ServiceName,
    address: SocketAddr,
) {
    // The answer itself tells that the server has not left, so a store that is away does not keep
    // it out of service.
    port.departures.wait_until_restored().await;
    let end = Instant::now() + IDENTIFY_TIME;
    while Instant::now() < end && port.servers.endpoints().is_empty() {
        if let Some(path) = health_path(&port, &service) {
            match request_server_identity(&*port.platform.headers, address, &path).await {
                Ok(Some(identity)) => {
                    return port.add_identified(make_heartbeat(identity, service, address));
                }
                Ok(None) => {
                    log::debug!("daemon: the server at {address} does not identify itself.")
                }
                Err(err) => log::debug!(
                    "daemon: cannot ask the server at {address} for its identity: {err}."
                ),
            }
        }
        tokio::time::sleep(IDENTIFY_PAUSE).await;
    }
}

/// Asks the server that sent a heartbeat whether it is running and not leaving.
pub(crate) async fn confirm_running(port: &DaemonPort, heartbeat: &ServerHeartbeat) -> bool {
    let Some(path) = health_path(port, &heartbeat.service) else { return false };
    let headers = &*port.platform.headers;
    match request_server_identity(headers, heartbeat.address, &path).await {
        Ok(identity) => identity.is_some_and(|identity| identity.name == heartbeat.name),
        Err(err) => {
            log::debug!("daemon: cannot ask server {} for its identity: {err}.", heartbeat.name);
            false
        }
    }
}

/// Returns the health check path of a service, `None` before the first configuration or where the
/// service has no path.
fn health_path(port: &DaemonPort, service: &ServiceName) -> Option<String> {
    // A configuration that is not in force yet may name it too: without the store, a daemon takes
    // seconds to confirm that it has the newest one.
    let snapshot = port.config.newest();
    let setting = snapshot.settings().find(|(path, _)| *path == service)?.1;
    match setting {
        SettingBody::Service(setting) => setting.health_path.clone(),
        _ => None,
    }
}

/// Makes the state of a server that identified itself and so accepts requests. Its start is not
/// known.
fn make_heartbeat(
    identity: ServerIdentity,
    service: ServiceName,
    address: SocketAddr,
) -> ServerHeartbeat {
    ServerHeartbeat {
        name: identity.name,
        started_at: 0,
        sequence: 0,
        service,
        address,
        slots: identity.slots,
        status: EndpointStatus::Ready,
        warm_up: Duration::ZERO,
        version: String::new(),
    }
}
