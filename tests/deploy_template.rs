//! Settings that the platform makes from `deploy/daemon.toml` follow the bounds that it states.

mod common;

use std::{net::SocketAddr, path::Path, time::Duration};

use common::{
    TestDirectory,
    deployment::{deployment_fields, render_settings},
};
use serde_json::{Value, json};
use sk_daemon::{stop_schedule, table_tuning};
use sk_settings::{DaemonSettings, read_settings};

fn settings_for(name: &str, bounds: Value, change: impl FnOnce(&mut Value)) -> DaemonSettings {
    let directory = TestDirectory::new(name);
    let store = SocketAddr::from(([127, 0, 0, 1], 7500));
    let mut fields = deployment_fields("d0", "board", None, store, bounds);
    change(&mut fields);
    directory.write("d0.toml", &render_settings(&fields));
    read_settings(Path::new(&directory.0.join("d0.toml"))).expect("good settings")
}

/// Guards against the times of a stop that do not follow the grace.
#[test]
fn grace_followed() {
    for (grace, expected) in [(json!(16), 16.0), (json!(2.5), 2.5)] {
        let settings = settings_for("grace_followed", json!({ "grace": grace }), |_| ());
        let grace = Duration::from_secs_f64(expected);
        let schedule = stop_schedule(&settings);
        assert!(schedule.end < grace && schedule.answer_by >= grace * 5 / 6, "{schedule:?}");
    }
    assert_eq!(settings_for("grace_followed", json!({}), |_| ()).guard.grace_s, None);
}

/// Guards against retries that exceed a stated ratio, or use little of it.
#[test]
fn retry_ratio_followed() {
    for (ratio, expected) in [(json!(0.2), 140), (json!(0.1), 70), (json!(1), 700)] {
        let bounds = json!({ "retry_budget_ratio": ratio, "budget_slack": 58 });
        let settings = settings_for("retry_ratio_followed", bounds, |_| ());
        assert_eq!(table_tuning(&settings).retry.deposit, expected, "{ratio}");
    }
}

/// Guards against servers that are dropped between two reports.
#[test]
fn report_interval_followed() {
    for (interval, expected) in [(json!(3_000), 3_000), (json!(2_500.5), 2_500)] {
        let settings = settings_for("report_interval_followed", json!({}), |fields| {
            fields["heartbeat_interval"] = interval.clone();
        });
        assert_eq!(settings.guard.announce_interval_ms, Some(expected));
    }
}

/// Guards against a daemon that takes a restart for a first start, or the other way round.
#[test]
fn first_start_followed() {
    for (first, expected) in [(json!(true), true), (json!(false), false), (Value::Null, false)] {
        let settings = settings_for("first_start_followed", json!({}), |fields| {
            fields["first_start"] = first.clone();
        });
        assert_eq!(settings.instance.first_start, expected);
    }
}
