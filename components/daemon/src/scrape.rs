//! Metrics in the Prometheus text format, served over HTTP without authentication.
//!
//! | Name | Kind | Labels | Meaning |
//! |---|---|---|---|
//! | `sapphirekeel_request_seconds` | histogram | `service`, `outcome`, `stage` | time of requests; stages `whole`, `transit`, `queue`, `server` |
//! | `sapphirekeel_requests_total` | counter | `outcome` | callers' requests that ended here |
//! | `sapphirekeel_refusals_total` | counter | `reason` | answers that the daemon gave itself, as entry and as guard |
//! | `sapphirekeel_retries_total` | counter | | retries, which draw on the retry budget |
//! | `sapphirekeel_retries_denied_total` | counter | | failed attempts that were not retried |
//! | `sapphirekeel_cut_answers_total` | counter | | answers that ended in an error after their head |
//! | `sapphirekeel_pipelined_total` | counter | | callers' requests that were read behind another one on their connection |
//! | `sapphirekeel_wake_delay_microseconds_total` | counter | | time by which tasks were woken too late |
//! | `sapphirekeel_in_flight` | gauge | | callers' requests in this daemon |
//! | `sapphirekeel_config_version` | gauge | | version in force |
//! | `sapphirekeel_config_since_seconds` | gauge | | age of the version in force |
//! | `sapphirekeel_source_away` | gauge | | 1 while the configuration source does not answer |
//! | `sapphirekeel_source_age_milliseconds` | gauge | | time since the source was known to have nothing newer; absent where that is not known |
//! | `sapphirekeel_members` | gauge | `status` | daemons known, by status |
//! | `sapphirekeel_server_running`, `_queued`, `_slots` | gauge | `service` | the guard's counts |
//! | `sapphirekeel_control_bytes_total` | counter | `direction` | bytes of control traffic |
//! | `sapphirekeel_server_limit_per_thousand_seconds` | gauge | `service` | requests that the server states as its limit; absent without one |
//! | `sapphirekeel_workspace_used_total`, `_refused_total`, `_fallback_total` | counter | `workspace` | requests of workspaces with a limit; the first 200 by name |
//! | `sapphirekeel_rollout_share_thousandths` | gauge | `service` | part of the requests that the target version of an order gets |
//! | `sapphirekeel_rollout_target_requests`, `_target_failures` | gauge | `service` | requests sent to the target version since the order, and its failures |
//! | `sapphirekeel_quarantined` | gauge | | requests refused because they crash servers |

use std::{collections::BTreeMap, convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus::{
    Encoder, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
    core::{MetricVec, MetricVecBuilder},
};
use sk_ops::{RolloutReport, ServerView, SharedPort, StateDump, WorkspaceView};
use sk_proxy::ProxyCounters;
use thiserror::Error;
use tokio::net::TcpListener;

/// Most workspaces with metrics of their own, so that the text stays under 50 kB.
const MAX_WORKSPACES: usize = 200;
const METRICS_PATH: &str = "/metrics";
/// Time for a client to send its request head. Without a bound, a connection that sends nothing
/// would occupy a file descriptor forever.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which usually means that no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);

/// Sources of the metrics.
pub(crate) struct ScrapeParts {
    pub(crate) port: SharedPort,
    pub(crate) counters: Arc<ProxyCounters>,
}

/// Metrics that cannot be encoded as text.
#[derive(Debug, Error)]
#[error("metrics: {0}")]
struct ScrapeError(#[from] prometheus::Error);

/// Serves metrics until the daemon stops.
pub(crate) async fn serve_metrics(listener: TcpListener, parts: Arc<ScrapeParts>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("metrics: cannot accept a connection: {err}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let parts = parts.clone();
        let service = service_fn(move |request| {
            let response = make_response(&parts, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        let mut server = http1::Builder::new();
        server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).keep_alive(false);
        tokio::spawn(server.serve_connection(TokioIo::new(stream), service));
    }
}

fn make_response(parts: &ScrapeParts, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match request.uri().path() {
        METRICS_PATH => match write_metrics(parts) {
            Ok(text) => (StatusCode::OK, text),
            Err(err) => {
                log::error!("{err}.");
                (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
            }
        },
        _ => (StatusCode::NOT_FOUND, Vec::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn write_metrics(parts: &ScrapeParts) -> Result<Vec<u8>, ScrapeError> {
    let registry = Registry::new();
    add_counters(&registry, parts)?;
    add_gauges(&registry, &parts.port.state())?;
    let mut families = registry.gather();
    families.extend(parts.counters.times().gather());
    let mut text = Vec::new();
    TextEncoder::new().encode(&families, &mut text)?;
    Ok(text)
}

/// Registers metrics for one scrape, from counts that the daemon's parts keep anyway.
struct MetricWriter<'a>(&'a Registry);

impl MetricWriter<'_> {
    fn counter(
        &self,
        name: &str,
        help: &str,
        label: &str,
        values: &[(&str, u64)],
    ) -> Result<(), prometheus::Error> {
        let metric = IntCounterVec::new(Opts::new(name, help), &[label])?;
        self.add(metric, values, |metric, count| metric.inc_by(count))
    }

    fn gauge(
        &self,
        name: &str,
        help: &str,
        label: &str,
        values: &[(&str, u64)],
    ) -> Result<(), prometheus::Error> {
        let metric = IntGaugeVec::new(Opts::new(name, help), &[label])?;
        self.add(metric, values, |metric, count| {
            metric.set(i64::try_from(count).unwrap_or(i64::MAX))
        })
    }

    /// Sets the count of each label value with `put` and registers the metric.
    fn add<B: MetricVecBuilder + 'static>(
        &self,
        metric: MetricVec<B>,
        values: &[(&str, u64)],
        put: impl Fn(&B::M, u64),
    ) -> Result<(), prometheus::Error> {
        values.iter().for_each(|(value, count)| put(&metric.with_label_values(&[*value]), *count));
        self.0.register(Box::new(metric))
    }
}

/// Label of metrics that have a single value.
const SCOPE_LABEL: &str = "scope";
/// Value of the label [`SCOPE_LABEL`].
const DAEMON_SCOPE: &str = "daemon";

fn add_counters(registry: &Registry, parts: &ScrapeParts) -> Result<(), prometheus::Error> {
    let writer = MetricWriter(registry);
    let counts = parts.counters.snapshot();
    let outcomes = [("ran", counts.ran), ("not-run", counts.not_run), ("unknown", counts.unknown)];
    writer.counter(
        "sapphirekeel_requests_total",
        "Callers' requests that ended here.",
        "outcome",
        &outcomes,
    )?;
    let refused: Vec<(&str, u64)> =
        counts.refused.iter().map(|(reason, count)| (reason.as_str(), *count)).collect();
    writer.counter(
        "sapphirekeel_refusals_total",
        "Answers of the daemon's own, as entry and as guard.",
        "reason",
        &refused,
    )?;
    let single =
        |name, help, count| writer.counter(name, help, SCOPE_LABEL, &[(DAEMON_SCOPE, count)]);
    single("sapphirekeel_retries_total", "Attempts that drew on the retries.", counts.retries)?;
    single(
        "sapphirekeel_retries_denied_total",
        "Failed attempts that were not tried again.",
        counts.retries_denied,
    )?;
    single(
        "sapphirekeel_pipelined_total",
        "Requests that were read behind another one on their connection.",
        counts.pipelined,
    )?;
    single(
        "sapphirekeel_cut_answers_total",
        "Answers that ended in an error after their head.",
        counts.cut_answers,
    )?;
    single(
        "sapphirekeel_wake_delay_microseconds_total",
        "Time by which tasks were woken too late.",
        u64::try_from(parts.counters.wake_delay().as_micros()).unwrap_or(u64::MAX),
    )?;
    writer.gauge(
        "sapphirekeel_in_flight",
        "Callers' requests in this daemon.",
        SCOPE_LABEL,
        &[(DAEMON_SCOPE, counts.in_flight)],
    )
}

/// Registers the counts of workspaces with a limit; without one there are none.
fn add_workspaces(writer: &MetricWriter, state: &StateDump) -> Result<(), prometheus::Error> {
    let counts = |value: fn(&WorkspaceView) -> u64| -> Vec<(&str, u64)> {
        let views = state.workspaces.iter().take(MAX_WORKSPACES);
        views.map(|(name, view)| (name.as_str(), value(view))).collect()
    };
    if state.workspaces.is_empty() {
        return Ok(());
    }
    let counter =
        |name, help, values: Vec<(&str, u64)>| writer.counter(name, help, "workspace", &values);
    counter(
        "sapphirekeel_workspace_used_total",
        "Requests within the limit.",
        counts(|view| view.used),
    )?;
    counter(
        "sapphirekeel_workspace_refused_total",
        "Requests refused over the limit.",
        counts(|view| view.refused),
    )?;
    counter(
        "sapphirekeel_workspace_fallback_total",
        "Requests decided without the owner.",
        counts(|view| view.fallback),
    )
}

fn add_gauges(registry: &Registry, state: &StateDump) -> Result<(), prometheus::Error> {
    let writer = MetricWriter(registry);
    add_workspaces(&writer, state)?;
    let single =
        |name, help, count| writer.gauge(name, help, SCOPE_LABEL, &[(DAEMON_SCOPE, count)]);
    single("sapphirekeel_config_version", "Version in force.", state.version)?;
    let age_ms =
        if state.since > 0 { sk_model::unix_time_ms().saturating_sub(state.since) } else { 0 };
    single("sapphirekeel_config_since_seconds", "Age of the version in force.", age_ms / 1000)?;
    let is_away = u64::from(state.control.source_fault.is_some());
    single("sapphirekeel_source_away", "1 while the source does not answer.", is_away)?;
    if let Some(age_ms) = state.control.source_age_ms {
        let help = "Time since the source was known to have nothing newer.";
        single("sapphirekeel_source_age_milliseconds", help, age_ms)?;
    }
    single("sapphirekeel_quarantined", "Requests held back.", state.quarantined)?;
    let bytes = [("sent", state.control_sent), ("received", state.control_received)];
    writer.counter(
        "sapphirekeel_control_bytes_total",
        "Bytes of control traffic.",
        "direction",
        &bytes,
    )?;
    let mut members: BTreeMap<&str, u64> = BTreeMap::new();
    for peer in state.members.values() {
        *members.entry(peer.status.as_str()).or_default() += 1;
    }
    let members: Vec<(&str, u64)> = members.into_iter().collect();
    writer.gauge("sapphirekeel_members", "Daemons known, by status.", "status", &members)?;
    let servers = |value: fn(&ServerView) -> u64| -> Vec<(&str, u64)> {
        state.servers.iter().map(|(service, view)| (service.as_str(), value(view))).collect()
    };
    let running = servers(|server| u64::from(server.running.iter().sum::<u32>()));
    let queued = servers(|server| u64::from(server.queued.iter().sum::<u32>()));
    let slots = servers(|server| u64::from(server.open_slots));
    writer.gauge("sapphirekeel_server_running", "Requests at the server.", "service", &running)?;
    writer.gauge("sapphirekeel_server_queued", "Requests in the queue.", "service", &queued)?;
    writer.gauge("sapphirekeel_server_slots", "Slots of the server.", "service", &slots)?;
    let limits: Vec<(&str, u64)> = state
        .servers
        .iter()
        .filter_map(|(service, view)| Some((service.as_str(), view.limit_per_thousand_s?)))
        .collect();
    let help = "Requests in a thousand seconds that the server states as its limit.";
    writer.gauge("sapphirekeel_server_limit_per_thousand_seconds", help, "service", &limits)?;
    add_rollouts(&writer, &state.rollouts)
}

/// Adds gauges of the orders, none if there are none.
fn add_rollouts(
    writer: &MetricWriter<'_>,
    rollouts: &[RolloutReport],
) -> Result<(), prometheus::Error> {
    if rollouts.is_empty() {
        return Ok(());
    }
    let gauge = |name, help, value: fn(&RolloutReport) -> u64| {
        let values: Vec<(&str, u64)> =
            rollouts.iter().map(|report| (report.service.as_str(), value(report))).collect();
        writer.gauge(name, help, "service", &values)
    };
    gauge(
        "sapphirekeel_rollout_share_thousandths",
        "Part of the requests that the target version of an order gets.",
        |report| report.share_thousandths.into(),
    )?;
    gauge(
        "sapphirekeel_rollout_target_requests",
        "Requests sent to the target version since the order.",
        |report| report.sent_to_target,
    )?;
    gauge(
        "sapphirekeel_rollout_target_failures",
        "Failures of the target version since the order.",
        |report| report.works.iter().map(|work| work.target[1]).sum(),
    )
}
