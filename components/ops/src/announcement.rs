//! What a daemon believes of an announcement.

use std::{
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
};

use sk_model::check_path;

use crate::{OpsError, ServerAnnouncement, ServerBeat};

/// Slots a server may claim. None would never be given work, and more than the largest server has
/// would switch the guard's bound off.
const SLOT_RULE: RangeInclusive<u32> = 1..=10_000;
/// Longest identifier of a server's process, in characters. Every daemon is told of it.
const MAX_SERVER_CHARS: usize = 64;
/// Most services beside one daemon. An instance runs one server or a few; each is told to the
/// whole fleet, so one instance must not fill everyone's tables.
pub const MAX_SERVICES: usize = 16;

/// Checks an announcement and gives the address the server listens at.
///
/// `sender` is where it came from, and `own` are the daemon's own IPs. Announcements bear no token,
/// because a server beside the daemon has none. Whoever else could announce would draw a service's
/// requests to an address of its choice, which callers would notice as answers of a stranger;
/// hence both must be of this very instance.
///
/// # Errors
///
/// Returns [`OpsError::Forbidden`] for another instance, and [`OpsError::Malformed`] for a field
/// outside its bounds.
pub fn check_announcement(
    announcement: &ServerAnnouncement,
    sender: IpAddr,
    own: &[IpAddr],
) -> Result<SocketAddr, OpsError> {
    let malformed = |reason: &dyn ToString| OpsError::Malformed { reason: reason.to_string() };
    check_path(&announcement.service).map_err(|err| malformed(&err))?;
    let address = announcement.address.parse::<SocketAddr>();
    let address = address.map_err(|_| malformed(&"`address`; allowed: IP and port"))?;
    match announcement {
        _ if !is_local(sender, own) => Err(not_local("announcement came from")),
        _ if !is_local(address.ip(), own) => Err(not_local("`address` is")),
        _ if address.port() == 0 => Err(malformed(&"`address`; allowed: a port from 1 on")),
        announced if !is_server(&announced.server) => {
            Err(malformed(&"`server`; allowed: 1 to 64 of A-Z a-z 0-9 - _ . :"))
        }
        announced if !SLOT_RULE.contains(&announced.slots) => {
            Err(malformed(&"`slots`; allowed: 1 to 10000"))
        }
        _ => Ok(address),
    }
}

/// Checks a heartbeat of the server `name` and gives the address the server listens at.
///
/// # Errors
///
/// Returns what [`check_announcement`] does for the same faults.
pub fn check_beat(
    name: &str,
    beat: &ServerBeat,
    sender: IpAddr,
    own: &[IpAddr],
) -> Result<SocketAddr, OpsError> {
    let malformed = |reason: &dyn ToString| OpsError::Malformed { reason: reason.to_string() };
    let address = beat.address.parse::<SocketAddr>();
    let address = address.map_err(|_| malformed(&"`address`; allowed: IP and port"))?;
    match beat {
        _ if !is_local(sender, own) => Err(not_local("heartbeat came from")),
        _ if !is_local(address.ip(), own) => Err(not_local("`address` is")),
        _ if !is_server(name) => Err(malformed(&"the id; allowed: 1 to 64 of A-Z a-z 0-9 - _ . :")),
        _ if beat.service.is_empty() => Err(malformed(&"`service`; allowed: a name")),
        beat if !SLOT_RULE.contains(&beat.slots) => Err(malformed(&"`slots`; allowed: 1 to 10000")),
        _ => Ok(address),
    }
}

fn not_local(what: &str) -> OpsError {
    OpsError::Forbidden { reason: format!("{what} another instance; allowed: this one") }
}

/// An unspecified own address says nothing about which IP is the instance's own.
fn is_local(ip: IpAddr, own: &[IpAddr]) -> bool {
    let ip = ip.to_canonical();
    ip.is_loopback() || (!ip.is_unspecified() && own.contains(&ip))
}

fn is_server(server: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    (1..=MAX_SERVER_CHARS).contains(&server.len()) && server.bytes().all(allowed)
}
