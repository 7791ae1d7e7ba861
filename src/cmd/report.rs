//! Prints the version in force on each proxy, how one change spread, and which author wrote what.

use std::io;

use serde::Serialize;
use sk_model::{ChangeRecord, Version};
use sk_report::{ChangeReport, FleetReport, ProxyReport, ProxyState};

use super::{CmdOutcome, print_call_error, print_json};
use crate::{
    cli::ReportArgs,
    client::{CallError, OpsClient},
    utc::format_utc,
};

/// Prints the report that the arguments ask for.
pub async fn run(
    client: &OpsClient,
    args: &ReportArgs,
    is_json: bool,
) -> anyhow::Result<CmdOutcome> {
    let is_history = is_history_query(args);
    let printed = match args.change {
        Some(version) => report_change(client, version, args, is_json).await,
        None if is_history => report_history(client, args, is_json).await,
        None => report_fleet(client, args, is_json).await,
    };
    match printed {
        Ok(printed) => printed.map(|()| CmdOutcome::Done),
        Err(err) => Ok(print_call_error(&err)),
    }
}

/// Returns whether the arguments ask for accepted changes rather than for the proxies.
fn is_history_query(args: &ReportArgs) -> bool {
    let is_timed = args.since.is_some() || args.until.is_some();
    is_timed || args.path.is_some() || args.team.is_some() || args.from.is_some()
}

async fn report_fleet(
    client: &OpsClient,
    args: &ReportArgs,
    is_json: bool,
) -> Result<anyhow::Result<()>, CallError> {
    let mut report: FleetReport = client.get("/v1/report").await?;
    if let Some(proxy) = &args.proxy {
        report.proxies.retain(|report| report.proxy == *proxy);
        report.departed.retain(|report| report.proxy == *proxy);
    }
    let rows = || report.proxies.iter().chain(&report.departed).map(ProxyRow::new);
    Ok(match (is_json, args.csv) {
        (true, _) => print_json(&report),
        (_, true) => print_csv(rows()),
        _ => {
            print!("{}", render_report(&report));
            Ok(())
        }
    })
}

async fn report_change(
    client: &OpsClient,
    version: Version,
    args: &ReportArgs,
    is_json: bool,
) -> Result<anyhow::Result<()>, CallError> {
    let report: ChangeReport = client.get(&format!("/v1/report/changes/{version}")).await?;
    Ok(match (is_json, args.csv) {
        (true, _) => print_json(&report),
        (_, true) => print_csv(std::iter::once(ChangeRow::new(&report.change))),
        _ => {
            print!("{}", render_change(&report));
            Ok(())
        }
    })
}

async fn report_history(
    client: &OpsClient,
    args: &ReportArgs,
    is_json: bool,
) -> Result<anyhow::Result<()>, CallError> {
    let mut records = read_history(client, args.from.unwrap_or(1)).await?;
    records.retain(|record| is_selected(record, args));
    Ok(match (is_json, args.csv) {
        (true, _) => print_json(&records),
        (_, true) => print_csv(records.iter().map(ChangeRow::new)),
        _ if records.is_empty() => {
            eprintln!("no changes");
            Ok(())
        }
        _ => {
            records.iter().for_each(|record| print!("{}", render_record(record)));
            Ok(())
        }
    })
}

fn is_selected(record: &ChangeRecord, args: &ReportArgs) -> bool {
    let mut paths = record.written.iter().chain(&record.withdrawn);
    args.since.is_none_or(|since| record.accepted_at >= since.0)
        && args.until.is_none_or(|until| record.accepted_at < until.0)
        && args.team.as_ref().is_none_or(|team| *team == record.team)
        && args.path.as_ref().is_none_or(|wanted| paths.any(|path| path == wanted))
}

/// Reads the records of all changes from a version on, page by page.
async fn read_history(
    client: &OpsClient,
    mut from: Version,
) -> Result<Vec<ChangeRecord>, CallError> {
    let mut records = Vec::new();
    loop {
        let page: Vec<ChangeRecord> = client.get(&format!("/v1/history?from={from}")).await?;
        let Some(last) = page.last() else { return Ok(records) };
        from = last.version + 1;
        records.extend(page);
    }
}

/// A row of comma-separated values about one proxy; the field names are the columns.
#[derive(Serialize)]
struct ProxyRow<'a> {
    proxy: &'a str,
    data_centre: &'a str,
    version: Version,
    since_unix_ms: u64,
    source: &'a str,
    state: String,
}

impl<'a> ProxyRow<'a> {
    fn new(report: &'a ProxyReport) -> Self {
        Self {
            proxy: &report.proxy,
            data_centre: &report.data_centre,
            version: report.version,
            since_unix_ms: report.since,
            source: &report.source,
            state: render_state(&report.state),
        }
    }
}

/// A row of comma-separated values about one change; the field names are the columns.
#[derive(Serialize)]
struct ChangeRow<'a> {
    version: Version,
    change_id: &'a str,
    team: &'a str,
    author: &'a str,
    revision: &'a str,
    accepted_unix_ms: u64,
    written: String,
    withdrawn: String,
}

impl<'a> ChangeRow<'a> {
    fn new(record: &'a ChangeRecord) -> Self {
        Self {
            version: record.version,
            change_id: &record.change_id,
            team: &record.team,
            author: &record.author,
            revision: &record.revision,
            accepted_unix_ms: record.accepted_at,
            written: record.written.join(" "),
            withdrawn: record.withdrawn.join(" "),
        }
    }
}

fn print_csv<T: Serialize>(rows: impl Iterator<Item = T>) -> anyhow::Result<()> {
    let mut writer = csv::Writer::from_writer(io::stdout());
    for row in rows {
        writer.serialize(row)?;
    }
    Ok(writer.flush()?)
}

/// Renders the newest change and a table of the proxies.
pub fn render_report(report: &FleetReport) -> String {
    let mut text = match &report.change {
        Some(change) => format!(
            "version {} (change {} by {} of {}, revision {})\n",
            report.version, change.change_id, change.author, change.team, change.revision
        ),
        None => "no configuration accepted yet\n".to_owned(),
    };
    text.push_str(&format!("in force on {} of {}", report.in_force, report.total));
    if let Some(milliseconds) = report.convergence_ms {
        text.push_str(&format!(", {milliseconds} ms after acceptance"));
    }
    text.push_str(&format!(
        "\n\n{:<20} {:<12} {:<8} {:<24} {:<20} state\n",
        "proxy", "data centre", "version", "since", "from"
    ));
    for proxy in report.proxies.iter().chain(&report.departed) {
        text.push_str(&format!(
            "{:<20} {:<12} {:<8} {:<24} {:<20} {}\n",
            proxy.proxy,
            proxy.data_centre,
            proxy.version,
            format_utc(proxy.since),
            proxy.source,
            render_state(&proxy.state)
        ));
    }
    text
}

fn render_state(state: &ProxyState) -> String {
    match state {
        ProxyState::InForce => "in force".to_owned(),
        ProxyState::Pending => "pending".to_owned(),
        ProxyState::Rejected { reason } => format!("rejected: {reason}"),
        ProxyState::Unreachable { unreachable_since } => {
            format!("unreachable since {}", format_utc(*unreachable_since))
        }
        ProxyState::Unknown => "unknown".to_owned(),
    }
}

fn render_change(report: &ChangeReport) -> String {
    let mut text = render_record(&report.change);
    text.push_str(&format!("in force on {} of {}\n", report.in_force, report.total));
    if let Some(delays) = report.delays {
        text.push_str(&format!(
            "{} proxies acknowledged it: p50 {} ms, p99 {} ms, max {} ms after acceptance\n",
            report.acknowledged, delays.p50_ms, delays.p99_ms, delays.max_ms
        ));
    }
    if !report.missing.is_empty() {
        text.push_str(&format!("missing: {}\n", report.missing.join(" ")));
    }
    text
}

fn render_record(record: &ChangeRecord) -> String {
    let mut text = format!(
        "version {} at {} by {} of {}, revision {}, change {}\n",
        record.version,
        format_utc(record.accepted_at),
        record.author,
        record.team,
        record.revision,
        record.change_id
    );
    record.written.iter().for_each(|path| text.push_str(&format!("  wrote {path}\n")));
    record.withdrawn.iter().for_each(|path| text.push_str(&format!("  withdrew {path}\n")));
    text
}
