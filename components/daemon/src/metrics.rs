//! Metrics sent as statsd datagrams, where the settings name a receiver.
//!
//! Every name begins with `sapphirekeel.` and has the tags `proxy` and `data_centre`.
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
//! | `quarantine.refused` | gauge | of these, requests that are refused because of it |
//! | `requests.in_flight` | gauge | callers' requests in this daemon |
//! | `requests.ran` | counter | requests that a server answered |
//! | `requests.not_run` | counter | requests that did not run |
//! | `requests.unknown` | counter | requests of which it is unknown whether they ran |
//! | `requests.refused.<reason>` | counter | answers that the daemon gave itself, by reason |
//! | `requests.retries` | counter | retries, which draw on the retry budget |
//! | `requests.retries_denied` | counter | failed attempts that were not retried |
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
use sk_proxy::{CounterSnapshot, ProxyCounters};
use tokio::time::MissedTickBehavior;

/// Interval between sends of some thirty lines each. It is short enough to show an outage while it
/// lasts, and costs few bytes compared with the 20 KB/s that a daemon may use for control traffic.
const SEND_INTERVAL: Duration = Duration::from_secs(10);
/// Largest datagram, in bytes, which is also the largest amount of data that waits to be sent. It
/// fits one Ethernet frame, so that datagrams are not fragmented.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Prefix of the names of all metrics.
const METRIC_PREFIX: &str = "sapphirekeel";

const MEMBER_STATUSES: [MemberStatus; 4] =
    [MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Leaving, MemberStatus::Gone];
const SERVER_STATUSES: [EndpointStatus; 2] = [EndpointStatus::Ready, EndpointStatus::Draining];

/// Sends metrics until the daemon stops. Without an address it returns at once.
pub(crate) async fn send_metrics(
    address: Option<SocketAddr>,
    port: Arc<dyn OperatorPort>,
    counters: Arc<ProxyCounters>,
) {
    let Some(address) = address else { return };
    let client = match make_client(address, &port.state()) {
        Ok(client) => client,
        Err(err) => {
            log::warn!("metrics: cannot send statsd datagrams: {err}.");
            return;
        }
    };
    let mut ticks = tokio::time::interval(SEND_INTERVAL);
    // After a pause of the process, the missed sends must not follow in a burst.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut totals = SentTotals::default();
    loop {
        ticks.tick().await;
        let sent = send_all(&client, &mut totals, &port.state(), &counters.snapshot());
        // An unavailable receiver costs the metrics of this interval only.
        if let Err(err) = sent.and_then(|()| client.flush()) {
            log::debug!("metrics: not sent: {err}.");
        }
    }
}

/// Creates a client that never blocks: what the socket does not accept at once is dropped. It sends
/// in the calling task, so there is no queue that an unavailable receiver could fill.
fn make_client(address: SocketAddr, state: &StateDump) -> Result<StatsdClient, MetricError> {
    let socket = bind_any(address)?;
    let sink = BufferedUdpMetricSink::with_capacity(address, socket, MAX_DATAGRAM_BYTES)?;
    let builder = StatsdClient::builder(METRIC_PREFIX, sink);
    Ok(builder
        .with_tag("proxy", state.proxy.clone())
        .with_tag("data_centre", state.data_centre.clone())
        .build())
}

/// Binds a non-blocking socket on any address of the receiver's IP version.
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
    counts: &CounterSnapshot,
) -> Result<(), MetricError> {
    for (name, value) in list_gauges(state, counts) {
        client.gauge(&name, value)?;
    }
    for (name, total) in list_counters(state, counts) {
        let increment = totals.take_increment(&name, total);
        client.count(&name, i64::try_from(increment).unwrap_or(i64::MAX))?;
    }
    Ok(())
}

fn list_gauges(state: &StateDump, counts: &CounterSnapshot) -> Vec<(String, u64)> {
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
    // Every status is sent each time, so that one that no daemon has any more returns to 0.
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

fn list_counters(state: &StateDump, counts: &CounterSnapshot) -> Vec<(String, u64)> {
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

/// Totals of the counters at the last send. statsd expects increments, not totals.
#[derive(Default)]
struct SentTotals {
    by_name: BTreeMap<String, u64>,
}

impl SentTotals {
    /// Stores the total of a counter and returns its increment since the last send.
    fn take_increment(&mut self, name: &str, total: u64) -> u64 {
        let last_total = self.by_name.insert(name.to_owned(), total).unwrap_or(0);
        total.saturating_sub(last_total)
    }
}
