//! Waits until a change is in force on all proxies, and names those that lack it after the timeout.

use std::time::{Duration, Instant};

use sk_model::Version;
use sk_report::{FleetReport, ProxyReport, ProxyState};

use super::CmdOutcome;
use crate::client::OpsClient;

/// Interval between reports. Each costs several reads of the platform, which serves 2000 a second
/// to all its clients.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until all proxies have the version or a newer one in force, and prints the progress on
/// standard output (with JSON: on standard error). After the timeout it prints the proxies that
/// lack the version.
pub async fn wait_in_force(
    manager: &OpsClient,
    version: Version,
    timeout: Duration,
    is_json: bool,
) -> CmdOutcome {
    let begin = Instant::now();
    let mut last_progress = String::new();
    loop {
        let (progress, missing) = match manager.get::<FleetReport>("/v1/report").await {
            Ok(report) => describe_progress(&report, version),
            // The change stays accepted during an outage, which only delays the report.
            Err(err) => (format!("no report: {err}"), None),
        };
        if progress != last_progress {
            match is_json {
                true => eprintln!("{progress}"),
                false => println!("{progress}"),
            }
            last_progress = progress;
        }
        match missing {
            Some(missing) if missing.is_empty() => return CmdOutcome::Done,
            missing if begin.elapsed() > timeout => {
                let names = missing.map_or("the whole fleet".to_owned(), |names| names.join(" "));
                eprintln!("unknown: accepted, but not seen in force in time on {names}");
                return CmdOutcome::Unknown;
            }
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Returns a line of progress and the names of the proxies that lack the version, or `None` while
/// the report has no proxies.
fn describe_progress(report: &FleetReport, version: Version) -> (String, Option<Vec<String>>) {
    if report.total == 0 {
        return ("no proxy is known yet".to_owned(), None);
    }
    // The state "in force" can refer to an older version if the report is older than the change, so
    // versions are compared. The present version of an unreachable proxy is not known.
    let is_missing = |proxy: &&ProxyReport| {
        proxy.version < version || matches!(proxy.state, ProxyState::Unreachable { .. })
    };
    let lacking = report.proxies.iter().filter(is_missing);
    let missing: Vec<String> = lacking.map(|proxy| proxy.proxy.clone()).collect();
    let in_force = report.proxies.len() - missing.len();
    (format!("in force on {in_force} of {}", report.proxies.len()), Some(missing))
}
