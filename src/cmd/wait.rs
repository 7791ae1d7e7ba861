//! Waits until a change is in force everywhere.

use std::time::{Duration, Instant};

use sk_model::Version;
use sk_report::{FleetReport, ProxyReport, ProxyState};

use super::CmdOutcome;
use crate::client::OpsClient;

/// Time between reports. Each is several reads of the platform, which serves two thousand a
/// second for everyone.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until every proxy holds the version or a newer one, with its progress on standard output
/// (on standard error beside JSON). Names who is missing when the bound has passed.
pub async fn wait(
    manager: &OpsClient,
    version: Version,
    bound: Duration,
    is_json: bool,
) -> CmdOutcome {
    let begin = Instant::now();
    let mut last = String::new();
    loop {
        let (progress, missing) = match manager.get::<FleetReport>("/v1/report").await {
            Ok(report) => describe(&report, version),
            // The change is accepted all the same, so an outage only delays the news.
            Err(err) => (format!("no report: {err}"), None),
        };
        if progress != last {
            match is_json {
                true => eprintln!("{progress}"),
                false => println!("{progress}"),
            }
            last = progress;
        }
        match missing {
            Some(missing) if missing.is_empty() => return CmdOutcome::Done,
            missing if begin.elapsed() > bound => {
                let names = missing.map_or("the whole fleet".to_owned(), |names| names.join(" "));
                eprintln!("unknown: accepted, but not seen in force in time on {names}");
                return CmdOutcome::Unknown;
            }
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Gives the progress and who is missing; none where the report cannot tell yet.
fn describe(report: &FleetReport, version: Version) -> (String, Option<Vec<String>>) {
    if report.total == 0 {
        return ("no proxy is known yet".to_owned(), None);
    }
    // "In force" in a report that is older than the change speaks of an older version, so the
    // version itself is compared; what an unreachable proxy holds now is not known.
    let is_missing = |proxy: &&ProxyReport| {
        proxy.version < version || matches!(proxy.state, ProxyState::Unreachable { .. })
    };
    let behind = report.proxies.iter().filter(is_missing);
    let missing: Vec<String> = behind.map(|proxy| proxy.proxy.clone()).collect();
    let held = report.proxies.len() - missing.len();
    (format!("in force on {held} of {}", report.proxies.len()), Some(missing))
}
