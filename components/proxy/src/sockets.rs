//! Finding out that a connection has gone silent.
//!
//! A peer that lost its power, a cut link or a middle box that forgot a connection sends no reset. A
//! request on such a connection would wait for its whole deadline, and the next one on the same
//! connection again. Short keep-alive probes end it within seconds, on idle connections too, so that
//! a request that may repeat is tried elsewhere while its caller still waits.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first probe, and time between probes, on connections that this daemon opens. A
/// daemon of a fleet of 76 holds one to each other, so that shorter pauses would cost more packets than
/// the requests on them.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// The same on connections that others open. They find out by themselves whether their connection
/// works; here probes only free what a peer without power has left behind.
const ACCEPTED_INTERVAL: Duration = Duration::from_secs(10);
/// Probes without an answer that end a connection: one lost packet does not.
const PROBES: u32 = 2;
/// Time without an acknowledgement after which sent bytes count as lost. Above the pause of a peer
/// that is stopped for a moment, below what callers wait for an answer.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_500);

/// Sets probes on a connection that was opened here.
pub(crate) fn watch_silence(stream: &TcpStream) {
    set_probes(stream, PROBE_INTERVAL);
}

/// Sets probes on a connection that was accepted here.
pub(crate) fn watch_accepted(stream: &TcpStream) {
    set_probes(stream, ACCEPTED_INTERVAL);
}

/// Sets probes. A system that lacks one of the options works without.
fn set_probes(stream: &TcpStream, interval: Duration) {
    let keepalive =
        TcpKeepalive::new().with_time(interval).with_interval(interval).with_retries(PROBES);
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)));
    if let Err(err) = set {
        log::debug!("proxy: no keep-alive probes on a connection: {err}.");
    }
}
