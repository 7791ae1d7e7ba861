//! Detection of connections that have gone silent.
//!
//! A peer that lost power, a cut link or a middlebox that dropped a connection sends no reset. A
//! request on such a connection would wait for its whole deadline, and so would the next one on
//! it. Short keep-alive probes end the connection within seconds, also while it is idle, so that a
//! request that may repeat is retried elsewhere while its caller still waits.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first probe, and time between probes, on connections that this daemon
/// opens. A daemon in a fleet of 76 has one to each other, so shorter intervals would cost more
/// packets than the requests on them.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// The same on connections that others open. The other side detects by itself whether its
/// connection works; here probes only release what a peer without power has left behind.
const ACCEPTED_INTERVAL: Duration = Duration::from_secs(10);
/// Unanswered probes after which a connection is closed, so that one lost packet does not close
/// it.
const PROBES: u32 = 2;
/// Time without an acknowledgement after which bytes sent on a connection that this daemon opened to
/// another count as lost. Longer than the pause of a peer that is stopped for a moment, shorter than callers
/// wait for an answer.
///
/// Accepted connections have no such limit. They carry answers, whose receiver may read slowly: the
/// kernel measures the time from the moment at which the receiver's window was too small for the
/// next packet, and not from its last acknowledgement, so that the limit would end connections over
/// thin links that carry bytes all the time. Answers end at their deadlines there, and blocked
/// connections after a while without a byte.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_500);

/// Bytes on a connection to another daemon that wait in the kernel for their first transmission.
/// Pings, resets and window updates wait behind them, and a ping that is late on a thin link ends
/// the connection.
const UNSENT_BYTES: u32 = 16 * 1024;

/// Enables probes on a connection to the local backend server. Its bytes cannot be lost, and it may
/// read a body long after the head.
pub(crate) fn probe_local(stream: &TcpStream) {
    set_probes(stream, PROBE_INTERVAL, None);
}

/// Enables probes on a connection to another daemon that was opened here, and limits the bytes that
/// wait on it.
pub(crate) fn probe_opened(stream: &TcpStream) {
    if let Err(err) = SockRef::from(stream).set_tcp_notsent_lowat(UNSENT_BYTES) {
        log::debug!("proxy: cannot limit the unsent bytes of a connection: {err}.");
    }
    set_probes(stream, PROBE_INTERVAL, Some(UNACKNOWLEDGED_LIMIT));
}

/// Enables probes on a connection that was accepted here.
pub(crate) fn probe_accepted(stream: &TcpStream) {
    set_probes(stream, ACCEPTED_INTERVAL, None);
}

/// Enables probes. On a system that lacks one of the options the connection works without.
fn set_probes(stream: &TcpStream, interval: Duration, unacknowledged: Option<Duration>) {
    let keepalive =
        TcpKeepalive::new().with_time(interval).with_interval(interval).with_retries(PROBES);
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(unacknowledged));
    if let Err(err) = set {
        log::debug!("proxy: cannot enable keep-alive probes on a connection: {err}.");
    }
}
