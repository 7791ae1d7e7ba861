//! Metrics as statsd datagrams, where the settings name a receiver.
//!
//! Every name begins with `sapphirekeel.` and bears the tags `proxy` and `data_centre`.
//!
//! | Name | Kind | Meaning |
//! |---|---|---|
//! | `config.version` | gauge | version in force |
//! | `config.rejecting` | gauge | 1 while a newer version than the one in force was refused |
//! | `config.source_age_ms` | gauge | time since the source was known to have nothing newer; absent where that is not known |
//! | `control.sent_bytes` | counter | control bytes sent |
//! | `control.received_bytes` | counter | control bytes received |
//! | `members.<status>` | gauge | daemons by status, this one included |
//! | `servers.ready`, `servers.draining` | gauge | backend servers beside this daemon |
//! | `quarantine.suspects` | gauge | requests suspected of crashing servers |
//! | `quarantine.refused` | gauge | of these, requests that are refused for it |
//! | `requests.in_flight` | gauge | callers' requests in this daemon |
//! | `requests.ran` | counter | requests that a server answered |
//! | `requests.not_run` | counter | requests that did not run |
//! | `requests.unknown` | counter | requests of which it is not known whether they ran |
//! | `requests.refused.<reason>` | counter | answers of the daemon's own, by reason |
//! | `requests.retries` | counter | attempts after the first |
//! | `requests.retries_denied` | counter | failed attempts that were not tried again |
//! | `requests.cut_answers` | counter | answers that ended in an error after their head |

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, MetricError, StatsdClient};
use sk_member::{EndpointStatus, MemberStatus};
use sk_ops::{OperatorPort, StateDump};
use sk_proxy::{CounterView, ProxyCounters};
use tokio::time::MissedTickBehavior;

/// Time between sends. Some thirty lines each: short enough to see an outage while it lasts, and
/// few bytes beside the 20 KB/s that a daemon may spend on control.
const SEND_INTERVAL: Duration = Duration::from_secs(10);
/// Bytes gathered into a datagram, which is all that ever waits here. Fits one frame of an
/// Ethernet, so that no datagram is split on its way.
const MAX_DATAGRAM_BYTES: usize = 1_400;
const PREFIX: &str = "sapphirekeel";

const MEMBER_STATUSES: [MemberStatus; 4] =
    [MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Leaving, MemberStatus::Gone];
const SERVER_STATUSES: [EndpointStatus; 2] = [EndpointStatus::Ready, EndpointStatus::Draining];

/// Sends metrics until the daemon stops; without an address it ends at once.
pub(crate) async fn send_metrics(
    address: Option<SocketAddr>,
    port: Arc<dyn OperatorPort>,
    counters: Arc<ProxyCounters>,
) {
    let Some(address) = address else { return };
    let client = match make_client(address, &port.state()) {
        Ok(client) => client,
        Err(err) => {
            log::warn!("metrics: none are sent: {err}.");
            return;
        }
    };
    let mut ticks = tokio::time::interval(SEND_INTERVAL);
    // A daemon that was paused must not send what it missed all at once.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut totals = SentTotals::default();
    loop {
        ticks.tick().await;
        let sent = send_all(&client, &mut totals, &port.state(), &counters.view());
        // Metrics are a help and no duty: a receiver that is away costs the lines and no more.
        if let Err(err) = sent.and_then(|()| client.flush()) {
            log::debug!("metrics: not sent: {err}.");
        }
    }
}

/// Makes a client that never waits: what the socket does not take at once is dropped. The sink runs
/// in the caller, so there is no queue that a receiver which is away could fill.
fn make_client(address: SocketAddr, state: &StateDump) -> Result<StatsdClient, MetricError> {
    let socket = bind_any(address)?;
    let sink = BufferedUdpMetricSink::with_capacity(address, socket, MAX_DATAGRAM_BYTES)?;
    let builder = StatsdClient::builder(PREFIX, sink);
    Ok(builder
        .with_tag("proxy", state.proxy.clone())
        .with_tag("data_centre", state.data_centre.clone())
        .build())
}

fn bind_any(receiver: SocketAddr) -> io::Result<UdpSocket> {
    let any: SocketAddr = match receiver {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn send_all(
    client: &StatsdClient,
    totals: &mut SentTotals,
    state: &StateDump,
    counts: &CounterView,
) -> Result<(), MetricError> {
    for (name, value) in list_gauges(state, counts) {
        client.gauge(&name, value)?;
    }
    for (name, total) in list_counters(state, counts) {
        let grown = totals.advance(&name, total);
        client.count(&name, i64::try_from(grown).unwrap_or(i64::MAX))?;
    }
    Ok(())
}

fn list_gauges(state: &StateDump, counts: &CounterView) -> Vec<(String, u64)> {
    let rejected = state.rejected.as_ref().map_or(0, |rejected| rejected.version);
    let mut gauges = vec![
        ("config.version".to_owned(), state.version),
        ("config.rejecting".to_owned(), u64::from(rejected > state.version)),
        ("quarantine.suspects".to_owned(), state.suspects),
        ("quarantine.refused".to_owned(), state.quarantined),
        ("requests.in_flight".to_owned(), counts.in_flight),
    ];
    let age_ms = state.control.source_age_ms;
    gauges.extend(age_ms.map(|age_ms| ("config.source_age_ms".to_owned(), age_ms)));
    // Every status each time, so that one that nobody has any more falls back to zero.
    for status in MEMBER_STATUSES.map(|status| status.to_string()) {
        let count = state.members.values().filter(|member| member.status == status).count();
        gauges.push((format!("members.{status}"), count as u64));
    }
    for status in SERVER_STATUSES.map(|status| status.to_string()) {
        let count = state.servers.values().filter(|server| server.status == status).count();
        gauges.push((format!("servers.{status}"), count as u64));
    }
    gauges
}

fn list_counters(state: &StateDump, counts: &CounterView) -> Vec<(String, u64)> {
    let mut counters = vec![
        ("control.sent_bytes".to_owned(), state.control_sent),
        ("control.received_bytes".to_owned(), state.control_received),
        ("requests.ran".to_owned(), counts.ran),
        ("requests.not_run".to_owned(), counts.not_run),
        ("requests.unknown".to_owned(), counts.unknown),
        ("requests.retries".to_owned(), counts.retries),
        ("requests.retries_denied".to_owned(), counts.retries_denied),
        ("requests.cut_answers".to_owned(), counts.cut_answers),
    ];
    let refused = counts.refused.iter();
    counters.extend(refused.map(|(reason, count)| (format!("requests.refused.{reason}"), *count)));
    counters
}

/// Totals of the counters as last sent; statsd takes what they grew by.
#[derive(Default)]
struct SentTotals {
    by_name: BTreeMap<String, u64>,
}

impl SentTotals {
    fn advance(&mut self, name: &str, total: u64) -> u64 {
        let last = self.by_name.insert(name.to_owned(), total).unwrap_or(0);
        total.saturating_sub(last)
    }
}
