//! Converts the settings that operators write into those of the daemon's parts.

use std::time::Duration;

use sk_claim::ClaimSettings;
use sk_decide::{
    admitting,
    pacing::PacerSettings,
    placing::{PlacementFactors, PlacementOrder, PlacementSettings},
    quarantine::QuarantineSettings,
    retrying::RetrySettings,
    rollout::RolloutSettings,
    stopping::StopSchedule,
};
use sk_model::ServiceName;
use sk_proxy::{ServerLimits, TableOwner, TableTuning};
use sk_settings::{DaemonSettings, Mechanism, PlacingOrder, PlatformKind};
use sk_spread::SnapshotCheck;

use crate::platform::PlatformAdapter;

/// Returns the service of the local backend server, `None` where the settings name none.
pub(crate) fn local_service(
    platform: &PlatformAdapter,
    settings: &DaemonSettings,
) -> Option<ServiceName> {
    settings.instance.service.as_deref().map(|service| platform.service_path(service))
}

pub(crate) fn quarantine_settings(settings: &DaemonSettings) -> QuarantineSettings {
    let limit = settings.guard.crash_limit;
    QuarantineSettings { crash_limit: (limit > 0).then_some(limit), ..Default::default() }
}

pub(crate) fn claim_settings(key_prefix: &str) -> ClaimSettings {
    ClaimSettings { key_prefix: key_prefix.to_owned(), ..ClaimSettings::default() }
}

/// Returns the settings of roll-outs, `None` where the deployment has none.
pub(crate) fn rollout_settings(settings: &DaemonSettings) -> Option<RolloutSettings> {
    settings.rollout.as_ref().map(|rollout| RolloutSettings {
        exposure_share: rollout.exposure_share,
        exposure_slack: rollout.exposure_slack,
        rollback: Duration::from_millis(rollout.rollback_ms),
        ..RolloutSettings::default()
    })
}

/// Returns the age of a daemon's configuration from which it accepts no keys of workspaces.
pub(crate) fn max_key_age(settings: &DaemonSettings) -> Option<Duration> {
    let workspaces = &settings.workspaces;
    workspaces.strict_revocation.then(|| Duration::from_millis(workspaces.revoke_ms))
}

/// Returns the largest body of a request. On the users' platform the configuration alone says it.
pub(crate) fn max_body_bytes(settings: &DaemonSettings) -> u64 {
    match settings.platform.form {
        PlatformKind::Own => settings.guard.max_body_bytes,
        PlatformKind::Objects => u64::MAX,
    }
}

/// Returns which versions a daemon accepts. The users' platform accepts only valid ones.
pub(crate) fn snapshot_check(settings: &DaemonSettings) -> SnapshotCheck {
    match settings.platform.form {
        PlatformKind::Own => SnapshotCheck::Valid,
        PlatformKind::Objects => SnapshotCheck::Intact,
    }
}

/// Returns the phases of a stop: within the platform's grace, if the settings state it.
pub fn stop_schedule(settings: &DaemonSettings) -> StopSchedule {
    let guard = &settings.guard;
    let leave = Duration::from_millis(guard.leave_ms);
    match guard.grace_s {
        Some(grace_s) => StopSchedule::within_grace(Duration::from_secs_f64(grace_s), leave),
        None => StopSchedule::of_phases(leave, Duration::from_millis(guard.drain_ms)),
    }
}

/// Returns the secret that daemons prove to each other. It includes the key prefix: if two fleets
/// were given the same secret by mistake, a daemon that gets an address of the other fleet would
/// otherwise be admitted there, with a different history under the same versions.
pub(crate) fn fleet_secret(settings: &DaemonSettings) -> String {
    format!("{} {}", settings.platform.key_prefix, settings.peers.secret)
}

/// Returns the daemon's location and tuning for its route table.
pub(crate) fn table_owner(settings: &DaemonSettings) -> TableOwner {
    let instance = &settings.instance;
    TableOwner {
        proxy: instance.name.clone(),
        data_centre: instance.data_centre.clone(),
        region: instance.region.clone(),
        tuning: table_tuning(settings),
    }
}

/// Returns how a daemon with these settings places and retries requests.
pub fn table_tuning(settings: &DaemonSettings) -> TableTuning {
    let placing = &settings.placing;
    let defaults = PlacementSettings::default();
    let local_wait = settings.experiment.near_wait_us.map(Duration::from_micros);
    let placement = PlacementSettings {
        order: match placing.order {
            PlacingOrder::Draw => PlacementOrder::TwoChoices,
            PlacingOrder::Soonest => PlacementOrder::Soonest,
        },
        warm_up: Duration::from_millis(placing.warm_up_ms),
        local_wait_per_kilobyte: local_wait.unwrap_or(defaults.local_wait_per_kilobyte),
        factors: placement_factors(settings),
        ..defaults
    };
    let retry = RetrySettings {
        deposit: retry_deposit(settings),
        cap: placing.retry_burst * (1000 - placing.retry_margin),
        floor: placing.retry_floor,
        is_shared: placing.retry_shared,
        starts_full: settings.instance.first_start || !placing.retry_shared,
        free_moves: placing.free_moves,
        retries_server_failures: !is_disabled(settings, Mechanism::FailureRetries),
        ..RetrySettings::default()
    };
    TableTuning { placement, retry }
}

/// Returns the thousandths of a retry that a request pays in. Of a part that another party states some
/// is left, because repeats are counted later than requests.
fn retry_deposit(settings: &DaemonSettings) -> u64 {
    const USED_THOUSANDTHS: f64 = 700.0;
    let placing = &settings.placing;
    // The ratio is at most one.
    let used = placing.retry_ratio.map(|ratio| (ratio * USED_THOUSANDTHS).round() as u64);
    used.unwrap_or(placing.retry_deposit)
}

/// Returns the time without an announcement after which a server counts as gone.
pub(crate) fn announce_ttl(settings: &DaemonSettings) -> Duration {
    const MISSED_ANNOUNCEMENTS: u64 = 3;
    let guard = &settings.guard;
    let by_interval = guard.announce_interval_ms.map(|interval| interval * MISSED_ANNOUNCEMENTS);
    Duration::from_millis(by_interval.unwrap_or(guard.announce_ttl_ms))
}

/// Returns the fraction of its slots that a server which has just started does not use yet.
///
/// A server whose work takes a tenth of a second is slow after its start regardless of how many
/// requests it runs together. Its reserved slots would serve no request, at the time when most
/// callers wait. Callers received 0.796 of the value due to them, less costs, over ten days with no
/// slots reserved, and 0.790 with half of them reserved.
fn cold_reserve(order: PlacingOrder) -> f64 {
    match order {
        PlacingOrder::Draw => admitting::GuardSettings::default().cold_reserve,
        PlacingOrder::Soonest => 0.0,
    }
}

/// Returns whether an experiment disables a mechanism.
fn is_disabled(settings: &DaemonSettings, mechanism: Mechanism) -> bool {
    settings.experiment.off.contains(&mechanism)
}

fn placement_factors(settings: &DaemonSettings) -> PlacementFactors {
    PlacementFactors {
        by_work: !is_disabled(settings, Mechanism::WorkKinds),
        failures: !is_disabled(settings, Mechanism::Failures),
        transit: !is_disabled(settings, Mechanism::Transit),
        wait: !is_disabled(settings, Mechanism::WaitHints),
        outliers: !is_disabled(settings, Mechanism::Outliers),
        nested_first: !is_disabled(settings, Mechanism::NestedFirst),
        slot_odds: !is_disabled(settings, Mechanism::SlotOdds),
        near_first: !is_disabled(settings, Mechanism::NearFirst),
        returns: !is_disabled(settings, Mechanism::Returns),
    }
}

/// Returns how a daemon with these settings admits requests to its local backend server.
pub fn server_limits(settings: &DaemonSettings) -> ServerLimits {
    // Settings allow at most 1024, which fits.
    let queue = settings.guard.queue as u32;
    ServerLimits {
        guard: admitting::GuardSettings {
            order: match settings.placing.order {
                PlacingOrder::Draw => admitting::QueueOrder::Fair,
                PlacingOrder::Soonest => admitting::QueueOrder::Urgent,
            },
            short_queue: queue,
            long_queue: queue / 2,
            retry_after_min: Duration::from_millis(settings.guard.retry_least_ms),
            retry_after_window: Duration::from_millis(settings.guard.retry_spread_ms),
            cold_reserve: match settings.experiment.cold_hold {
                Some(thousandths) => thousandths as f64 / 1000.0,
                None => cold_reserve(settings.placing.order),
            },
            evicts_less_urgent: !is_disabled(settings, Mechanism::Eviction),
            limits_by_refusals: settings.guard.limit_by_refusals,
            limits_long_by_link: !is_disabled(settings, Mechanism::LinkLimit),
            ..admitting::GuardSettings::default()
        },
        pacer: PacerSettings { limit: settings.guard.connections, ..PacerSettings::default() },
        // A native server chooses its id itself, and its successor may choose the same.
        has_unique_ids: settings.platform.form == PlatformKind::Objects,
    }
}
