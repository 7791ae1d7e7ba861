//! Makes a team's settings what a directory declares.

use std::time::{Duration, Instant};

use sk_model::{ChangeRecord, ChangeRequest, hash_json};
use sk_report::{FleetReport, ProxyState};

use super::{CmdOutcome, explain, plan::read_accepted, print_json};
use crate::{cli::ApplyArgs, client::OpsClient, declared::read_team, diff::make_writes};

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Applies a directory, and waits for the fleet where that was asked for.
pub async fn run(
    client: &OpsClient,
    args: &ApplyArgs,
    is_json: bool,
) -> anyhow::Result<CmdOutcome> {
    let (team, declared) = read_team(&args.directory, args.team.as_deref())?;
    let accepted = match read_accepted(client, &team).await {
        Ok(accepted) => accepted,
        Err(err) => return Ok(explain(&err)),
    };
    let writes = make_writes(&accepted.settings, &declared);
    if writes.is_empty() {
        println!("nothing to change on top of version {}", accepted.version);
        return Ok(CmdOutcome::Done);
    }
    let request = ChangeRequest {
        change_id: args.change_id.clone().unwrap_or_default(),
        team,
        author: args.author.clone(),
        revision: args.revision.clone(),
        base: accepted.version,
        writes,
    };
    let record = match submit(client, request, is_json).await? {
        Ok(record) => record,
        Err(outcome) => return Ok(outcome),
    };
    match args.wait {
        true => wait(client, &record, Duration::from_secs(args.wait_bound)).await,
        false => Ok(CmdOutcome::Done),
    }
}

/// Submits a change and prints what became of it.
pub async fn submit(
    client: &OpsClient,
    mut request: ChangeRequest,
    is_json: bool,
) -> anyhow::Result<Result<ChangeRecord, CmdOutcome>> {
    if request.change_id.is_empty() {
        // Made from the content, so that running the command again after a lost answer asks
        // about the same change instead of making another.
        let digest = hash_json(&request);
        request.change_id = format!("{}-{}", request.team, &digest[..16]);
    }
    match client.post::<_, ChangeRecord>("/v1/changes", &request).await {
        Ok(record) => {
            match is_json {
                true => print_json(&record)?,
                false => {
                    println!("accepted as version {} (change {})", record.version, record.change_id)
                }
            }
            Ok(Ok(record))
        }
        Err(err) => {
            let outcome = explain(&err);
            if outcome == CmdOutcome::Unknown {
                eprintln!(
                    "run the same command again; change {} takes effect once",
                    request.change_id
                );
            }
            Ok(Err(outcome))
        }
    }
}

async fn wait(
    client: &OpsClient,
    record: &ChangeRecord,
    bound: Duration,
) -> anyhow::Result<CmdOutcome> {
    let manager = match std::env::var("SAPPHIREKEEL_MANAGER_TOKEN") {
        Ok(token) => client.with_token(token),
        Err(_) => anyhow::bail!("--wait reads the report: set SAPPHIREKEEL_MANAGER_TOKEN"),
    };
    let begin = Instant::now();
    let mut last = usize::MAX;
    loop {
        let report: FleetReport = match manager.get("/v1/report").await {
            Ok(report) => report,
            Err(err) => return Ok(explain(&err)),
        };
        let is_missing =
            |state: &ProxyState, version| *state != ProxyState::InForce && version < record.version;
        let missing: Vec<&str> = report
            .proxies
            .iter()
            .filter(|proxy| is_missing(&proxy.state, proxy.version))
            .map(|proxy| proxy.proxy.as_str())
            .collect();
        if missing.len() != last {
            last = missing.len();
            println!("in force on {} of {}", report.total - missing.len(), report.total);
        }
        if missing.is_empty() && report.total > 0 {
            return Ok(CmdOutcome::Done);
        }
        if begin.elapsed() > bound {
            eprintln!("unknown: not in force in time on {}", missing.join(" "));
            return Ok(CmdOutcome::Unknown);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
