//! The state dump: the state of each part of the daemon, without a call to the platform.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sk_allowance::{AllowanceBook, WorkspaceRow};

use sk_decide::{admitting::GuardState, quarantine::QuarantineSettings};
use sk_member::{EndpointRecord, MemberRecord, ReachabilityMarks};
use sk_model::{ProxyId, ServiceName};
use sk_ops::{
    ControlView, PeerView, RequestView, RolloutReport, ServerView, StateDump, WorkReport,
    WorkspaceView,
};
use sk_proxy::{ProxyCounters, RouteTable, SharedQuarantine};
use sk_rollout::{OrderReport, WorkCounts};
use sk_spread::SpreadState;

use crate::port::DaemonPort;

impl DaemonPort {
    /// Collects the state of this daemon.
    pub(crate) fn dump(&self) -> StateDump {
        let own = self.members.own();
        let status = self.config.status();
        let bytes = self.meter.bytes();
        let members = self.members.snapshot();
        let marks = self.members.marks();
        let servers = self.servers.endpoints();
        let guards = self.servers.guard_states();
        let spread = self.spread.get().map(|reader| reader.state()).unwrap_or_default();
        StateDump {
            proxy: own.proxy.clone(),
            data_centre: own.data_centre.clone(),
            version: status.version,
            since: status.since,
            source: status.source,
            rejected: status.rejected,
            control_sent: bytes.sent,
            control_received: bytes.received,
            suspects: self.quarantine.len() as u64,
            quarantined: count_quarantined(&self.quarantine),
            proxy_address: self.proxy_address,
            control: view_control(spread, self.ack_buffer.pending_data_centres()),
            requests: view_requests(&self.counters, &self.table.load()),
            servers: servers.iter().map(|endpoint| view_server(endpoint, &guards)).collect(),
            workspaces: view_workspaces(&self.allowances),
            members: members.values().map(|record| view_peer(record, &marks)).collect(),
            rollouts: self.rollouts.reports().into_iter().map(view_rollout).collect(),
        }
    }
}

fn view_rollout(report: OrderReport) -> RolloutReport {
    let pair = |counts: WorkCounts| [counts.answers, counts.failures];
    let works = report.by_work.into_iter().map(|(work, [target, base])| WorkReport {
        work,
        target: pair(target),
        base: pair(base),
    });
    RolloutReport {
        service: report.order.service,
        target: report.order.target,
        state: report.phase,
        share_thousandths: report.stage.map_or(0, |record| record.stage.share_thousandths),
        reason: report.reason,
        sent: report.sent,
        sent_to_target: report.sent_to_target,
        works: works.collect(),
    }
}

/// Counts the requests that are refused now because they crash servers.
fn count_quarantined(quarantine: &SharedQuarantine) -> u64 {
    let refusal_time = QuarantineSettings::default().refusal_time;
    let since = Duration::from_millis(sk_model::unix_time_ms()).saturating_sub(refusal_time);
    let records = quarantine.records();
    records.iter().filter(|record| record.convicted_at(since).is_some()).count() as u64
}

fn view_control(state: SpreadState, pending_reports: usize) -> ControlView {
    ControlView {
        is_ready: state.is_ready,
        is_relay: state.is_relay,
        relays: state.relays,
        links: state.links,
        source_fault: state.source_fault,
        source_age_ms: state.source_age_ms,
        fetches_served: state.fetches_served,
        fetches_refused: state.fetches_refused,
        diverged: state.diverged,
        sent_bytes: state.kinds.into_iter().map(|kind| (kind.kind, kind.sent)).collect(),
        pending_reports: pending_reports as u64,
    }
}

fn view_requests(counters: &ProxyCounters, table: &RouteTable) -> RequestView {
    let counters = counters.snapshot();
    let retries_left =
        table.services().map(|service| (service.name.to_string(), service.remaining_retries()));
    RequestView {
        in_flight: counters.in_flight,
        ran: counters.ran,
        not_run: counters.not_run,
        unknown: counters.unknown,
        refused: counters.refused,
        retries: counters.retries,
        retries_left: retries_left.collect(),
    }
}

fn view_server(
    endpoint: &EndpointRecord,
    guards: &BTreeMap<ServiceName, GuardState>,
) -> (ServiceName, ServerView) {
    let guard = guards.get(&endpoint.service);
    let view = ServerView {
        server: endpoint.server.clone(),
        status: endpoint.status.to_string(),
        slots: endpoint.slots,
        open_slots: guard.map_or(0, |guard| guard.slots),
        running: guard.map_or([0; 2], |guard| guard.running),
        queued: guard.map_or([0; 2], |guard| guard.queued),
        limit_per_thousand_s: guard.and_then(|guard| guard.limit_per_thousand_s),
    };
    (endpoint.service.clone(), view)
}

fn view_workspaces(allowances: &AllowanceBook) -> BTreeMap<String, WorkspaceView> {
    let view = |(name, (rate, owner, counts)): (Arc<str>, WorkspaceRow)| {
        let view = WorkspaceView {
            rate_per_thousand_s: (rate.rate_per_s * 1000.0).round() as u64,
            burst: rate.burst as u64,
            owner: owner.map(|owner| owner.to_string()),
            used: counts.used,
            refused: counts.refused,
            fallback: counts.fallback,
            given_back: counts.given_back,
            charged: counts.charged,
        };
        (name.to_string(), view)
    };
    allowances.counts().into_iter().map(view).collect()
}

fn view_peer(record: &MemberRecord, marks: &ReachabilityMarks) -> (ProxyId, PeerView) {
    let service =
        |endpoint: &EndpointRecord| (endpoint.service.clone(), endpoint.status.to_string());
    let view = PeerView {
        data_centre: record.data_centre.clone(),
        incarnation: record.incarnation,
        sequence: record.sequence,
        status: record.status.to_string(),
        mark: marks.get(&record.proxy).map_or("reachable".to_owned(), ToString::to_string),
        services: record.endpoints.iter().map(service).collect(),
    };
    (record.proxy.clone(), view)
}
