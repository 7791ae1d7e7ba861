//! Tables of several daemons become equal, whatever the order of their exchange.

use std::time::Duration;

use proptest::prelude::*;
use sk_decide::quarantine::{CrashReport, QuarantineSettings, QuarantineTable};

mod fixed_seed;

#[derive(Clone, Debug)]
enum HistoryEvent {
    Crash { crash_id: u64, in_flight: Vec<u64>, is_trial: bool },
    Success { fingerprint: u64, at: u64 },
}

fn any_history() -> impl Strategy<Value = Vec<HistoryEvent>> {
    let crash = (0..10_u64, prop::collection::vec(0..5_u64, 1..4), any::<bool>());
    let event = prop_oneof![
        crash.prop_map(|(crash_id, in_flight, is_trial)| HistoryEvent::Crash {
            crash_id,
            in_flight,
            is_trial
        }),
        (0..5_u64, 0..12_u64)
            .prop_map(|(fingerprint, at)| HistoryEvent::Success { fingerprint, at }),
    ];
    prop::collection::vec(event, 0..12)
}

fn table_of(history: &[HistoryEvent]) -> QuarantineTable {
    let mut table = QuarantineTable::new(QuarantineSettings::default());
    for event in history {
        match event {
            HistoryEvent::Crash { crash_id, in_flight, is_trial } => {
                table.record_crash(&CrashReport {
                    crash_id: *crash_id,
                    at: Duration::from_secs(*crash_id),
                    in_flight,
                    is_trial: *is_trial,
                });
            }
            HistoryEvent::Success { fingerprint, at } => {
                table.record_success(*fingerprint, Duration::from_secs(*at));
            }
        }
    }
    table
}

/// Merges exported records only, as a daemon without traffic of its own does.
fn merged(tables: &[&QuarantineTable]) -> QuarantineTable {
    let mut all = QuarantineTable::new(QuarantineSettings::default());
    tables.iter().for_each(|table| all.merge(&table.export()));
    all
}

proptest! {
    #![proptest_config(fixed_seed::config())]

    /// Records reach a daemon late, twice and out of order. If the order mattered, one daemon would
    /// refuse a request that another runs.
    #[test]
    fn merge_laws(first in any_history(), second in any_history(), third in any_history()) {
        let (a, b, c) = (table_of(&first), table_of(&second), table_of(&third));
        let whole = merged(&[&a, &b, &c]);
        prop_assert_eq!(merged(&[&c, &b, &a]).export(), whole.export(), "commutative");
        prop_assert_eq!(merged(&[&a, &b, &a, &c, &c]).export(), whole.export(), "idempotent");
        let right = merged(&[&b, &c]);
        prop_assert_eq!(merged(&[&a, &right]).export(), whole.export(), "associative");
        let mut merged_again = whole.clone();
        merged_again.take_changed();
        merged_again.merge(&whole.export());
        prop_assert!(merged_again.take_changed().is_empty(), "an exchange comes to an end");
        for record in whole.export() {
            prop_assert!(record.evidence.len() <= 4);
        }
    }
}
