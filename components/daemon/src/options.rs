//! Settings of the daemon's parts, made from those that operators write.

use std::time::Duration;

use sk_claim::ClaimSettings;
use sk_decide::{
    admitting,
    pacing::PacerSettings,
    placing::{PlacementOrder, PlacementSettings},
    quarantine::QuarantineSettings,
    retrying::RetrySettings,
};
use sk_model::ServiceName;
use sk_proxy::{ServerLimits, TablePlace, TableTuning};
use sk_settings::{DaemonSettings, PlacingOrder};

use crate::border::PlatformBorder;

pub(crate) fn own_service(
    border: &PlatformBorder,
    settings: &DaemonSettings,
) -> Option<ServiceName> {
    settings.instance.service.as_deref().map(|service| border.service_path(service))
}

pub(crate) fn quarantine_settings(settings: &DaemonSettings) -> QuarantineSettings {
    let limit = settings.guard.crash_limit;
    QuarantineSettings { crash_limit: (limit > 0).then_some(limit), ..Default::default() }
}

pub(crate) fn claim_settings(key_prefix: &str) -> ClaimSettings {
    ClaimSettings { key_prefix: key_prefix.to_owned(), ..ClaimSettings::default() }
}

/// Gives what daemons prove to each other. It holds the key prefix too: of two fleets that were
/// given one secret by mistake, a daemon that took over an address of the other one's would else be
/// let in there, with another history under the same versions.
pub(crate) fn fleet_secret(settings: &DaemonSettings) -> String {
    format!("{} {}", settings.platform.key_prefix, settings.peers.secret)
}

pub(crate) fn table_place(settings: &DaemonSettings) -> TablePlace {
    let instance = &settings.instance;
    TablePlace {
        proxy: instance.name.clone(),
        data_centre: instance.data_centre.clone(),
        region: instance.region.clone(),
        tuning: table_tuning(settings),
    }
}

pub(crate) fn table_tuning(settings: &DaemonSettings) -> TableTuning {
    let placing = &settings.placing;
    let placement = PlacementSettings {
        order: match placing.order {
            PlacingOrder::Draw => PlacementOrder::Draw,
            PlacingOrder::Soonest => PlacementOrder::Soonest,
        },
        warm_up: Duration::from_millis(placing.warm_up_ms),
        ..PlacementSettings::default()
    };
    let retry = RetrySettings {
        deposit: placing.retry_deposit,
        cap: placing.retry_burst * (1000 - placing.retry_margin),
        floor: placing.retry_floor,
        is_shared: placing.retry_shared,
        free_moves: placing.free_moves,
        ..RetrySettings::default()
    };
    TableTuning { placement, retry }
}

pub(crate) fn server_limits(settings: &DaemonSettings) -> ServerLimits {
    // The settings' bound of 1024 fits.
    let queue = settings.guard.queue as u32;
    ServerLimits {
        guard: admitting::GuardSettings {
            order: match settings.placing.order {
                PlacingOrder::Draw => admitting::QueueOrder::Fair,
                PlacingOrder::Soonest => admitting::QueueOrder::Urgent,
            },
            short_queue: queue,
            long_queue: queue / 2,
            retry_least: Duration::from_millis(settings.guard.retry_least_ms),
            retry_spread: Duration::from_millis(settings.guard.retry_spread_ms),
            ..admitting::GuardSettings::default()
        },
        pacer: PacerSettings { limit: settings.guard.connections, ..PacerSettings::default() },
    }
}
