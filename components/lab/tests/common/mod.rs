//! The daemons' settings in scenarios.

use std::time::Duration;

use sk_decide::{
    admitting::{GuardSettings, QueueOrder},
    placing::{PlacementOrder, PlacementSettings},
};
use sk_lab::DaemonPolicy;

/// Returns the settings of daemons beside servers whose work is long beside a round trip.
pub fn policy() -> DaemonPolicy {
    DaemonPolicy {
        placement: PlacementSettings {
            order: PlacementOrder::Soonest,
            warm_up: Duration::from_secs(3),
            ..PlacementSettings::default()
        },
        guard: GuardSettings {
            order: QueueOrder::Urgent,
            short_queue: 48,
            long_queue: 24,
            retry_after_min: Duration::from_millis(150),
            retry_after_window: Duration::from_millis(700),
            ..GuardSettings::default()
        },
        free_moves: 4,
        reads_ahead: true,
    }
}
