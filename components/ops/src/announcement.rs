//! Checks of announcements, heartbeats and leaves of backend servers.
//!
//! They carry no token, so only those from the daemon's own instance are accepted. Otherwise
//! another process could direct a service's requests to an address of its choice.

use std::{
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
};

use sk_model::check_path;

use crate::{HeartbeatBody, OpsError, ServerAnnouncement};

/// Slots that a server may announce. A server without slots would never receive work, and more
/// slots than the largest server has would disable the guard's limit.
const ALLOWED_SLOTS: RangeInclusive<u32> = 1..=10_000;
/// Longest version of a server's software, in bytes. It is sent to every daemon.
const MAX_VERSION_BYTES: usize = 64;
/// Longest identifier of a server's process, in characters. It is sent to every daemon.
const MAX_SERVER_CHARS: usize = 64;
/// Largest number of services beside one daemon. An instance runs one server or a few; each is sent
/// to the whole fleet, so one instance must not fill the tables of all daemons.
pub const MAX_SERVICES: usize = 16;

/// Checks an announcement and returns the address that the server listens on.
///
/// `sender` is the IP that the announcement came from, and `own_ips` are the daemon's own IPs.
/// Announcements carry no token, because a backend server has none. A process elsewhere that could
/// announce a server would receive a service's requests and answer them in its place; hence both
/// the sender and the announced address must be of this instance.
///
/// # Errors
///
/// Returns [`OpsError::Forbidden`] for another instance, and [`OpsError::Malformed`] for a field
/// outside its bounds.
pub fn check_announcement(
    announcement: &ServerAnnouncement,
    sender: IpAddr,
    own_ips: &[IpAddr],
) -> Result<SocketAddr, OpsError> {
    let malformed = |reason: &dyn ToString| OpsError::Malformed { reason: reason.to_string() };
    check_path(&announcement.service).map_err(|err| malformed(&err))?;
    let address = announcement.address.parse::<SocketAddr>();
    let address = address.map_err(|_| malformed(&"`address`; allowed: IP and port"))?;
    match announcement {
        _ if !is_own_instance(sender, own_ips) => {
            Err(foreign_instance_error("announcement came from"))
        }
        _ if !is_own_instance(address.ip(), own_ips) => Err(foreign_instance_error("`address` is")),
        _ if address.port() == 0 => Err(malformed(&"`address`; allowed: a port from 1 on")),
        announcement if !is_server_id(&announcement.server) => {
            Err(malformed(&"`server`; allowed: 1 to 64 of A-Z a-z 0-9 - _ . :"))
        }
        _ if announcement.version.len() > MAX_VERSION_BYTES => {
            Err(malformed(&"`version`; allowed: at most 64 bytes"))
        }
        announcement if !ALLOWED_SLOTS.contains(&announcement.slots) => {
            Err(malformed(&"`slots`; allowed: 1 to 10000"))
        }
        _ => Ok(address),
    }
}

/// Checks a heartbeat of the server `name` and returns the address that the server listens on.
///
/// # Errors
///
/// Returns the same errors as [`check_announcement`].
pub fn check_heartbeat(
    name: &str,
    heartbeat: &HeartbeatBody,
    sender: IpAddr,
    own_ips: &[IpAddr],
) -> Result<SocketAddr, OpsError> {
    let malformed = |reason: &dyn ToString| OpsError::Malformed { reason: reason.to_string() };
    let address = heartbeat.address.parse::<SocketAddr>();
    let address = address.map_err(|_| malformed(&"`address`; allowed: IP and port"))?;
    match heartbeat {
        _ if !is_own_instance(sender, own_ips) => {
            Err(foreign_instance_error("heartbeat came from"))
        }
        _ if !is_own_instance(address.ip(), own_ips) => Err(foreign_instance_error("`address` is")),
        _ if !is_server_id(name) => Err(malformed_id_error()),
        _ if heartbeat.service.is_empty() => Err(malformed(&"`service`; allowed: a name")),
        _ if heartbeat.version.len() > MAX_VERSION_BYTES => {
            Err(malformed(&"`version`; allowed: at most 64 bytes"))
        }
        heartbeat if !ALLOWED_SLOTS.contains(&heartbeat.slots) => {
            Err(malformed(&"`slots`; allowed: 1 to 10000"))
        }
        _ => Ok(address),
    }
}

/// Checks the leave of the server `name`.
///
/// # Errors
///
/// Returns [`OpsError::Forbidden`] for another instance, and [`OpsError::Malformed`] for an id
/// outside its bounds.
pub fn check_leave(name: &str, sender: IpAddr, own_ips: &[IpAddr]) -> Result<(), OpsError> {
    match name {
        _ if !is_own_instance(sender, own_ips) => Err(foreign_instance_error("leave came from")),
        name if !is_server_id(name) => Err(malformed_id_error()),
        _ => Ok(()),
    }
}

/// Returns the refusal of an identifier outside its bounds.
fn malformed_id_error() -> OpsError {
    let reason = "the id; allowed: 1 to 64 of A-Z a-z 0-9 - _ . :".to_owned();
    OpsError::Malformed { reason }
}

/// Returns the refusal of an announcement or heartbeat that comes from another instance or names an
/// address there.
fn foreign_instance_error(what: &str) -> OpsError {
    OpsError::Forbidden { reason: format!("{what} another instance; allowed: this one") }
}

/// Returns whether an IP belongs to this instance. An unspecified address among `own_ips` matches
/// nothing, because it does not show which IPs are the instance's own.
fn is_own_instance(ip: IpAddr, own_ips: &[IpAddr]) -> bool {
    let ip = ip.to_canonical();
    ip.is_loopback() || (!ip.is_unspecified() && own_ips.contains(&ip))
}

/// Returns whether an identifier of a server has an allowed length and allowed characters only.
fn is_server_id(server: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    (1..=MAX_SERVER_CHARS).contains(&server.len()) && server.bytes().all(allowed)
}
