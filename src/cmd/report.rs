//! Prints who holds what.

use sk_report::{FleetReport, ProxyState};

use super::{CmdOutcome, explain, print_json};
use crate::client::OpsClient;

/// Prints the report.
pub async fn run(client: &OpsClient, is_json: bool) -> anyhow::Result<CmdOutcome> {
    let report: FleetReport = match client.get("/v1/report").await {
        Ok(report) => report,
        Err(err) => return Ok(explain(&err)),
    };
    match is_json {
        true => print_json(&report)?,
        false => print!("{}", render_report(&report)),
    }
    Ok(CmdOutcome::Done)
}

/// Renders the report as a table.
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
    text.push_str("\n\nproxy                data centre  version  since          from                 state\n");
    for proxy in &report.proxies {
        let state = match &proxy.state {
            ProxyState::InForce => "in force".to_owned(),
            ProxyState::Pending => "pending".to_owned(),
            ProxyState::Rejected { reason } => format!("rejected: {reason}"),
            ProxyState::Unknown => "unknown".to_owned(),
        };
        text.push_str(&format!(
            "{:<20} {:<12} {:<8} {:<14} {:<20} {state}\n",
            proxy.proxy, proxy.data_centre, proxy.version, proxy.since, proxy.source
        ));
    }
    text
}
