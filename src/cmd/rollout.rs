//! Shows the orders that move traffic to other versions of services.

use sk_ops::{RolloutReport, StateDump, WorkReport};

use super::{CmdOutcome, print_call_error, print_json};
use crate::{
    cli::{RolloutArgs, RolloutCommand},
    client::OpsClient,
};

/// Prints all orders, or one of them with its counts.
pub async fn run(
    client: &OpsClient,
    args: &RolloutArgs,
    is_json: bool,
) -> anyhow::Result<CmdOutcome> {
    let reports = match client.get::<StateDump>("/v1/state").await {
        Ok(state) => state.rollouts,
        Err(err) => return Ok(print_call_error(&err)),
    };
    match &args.command {
        Some(RolloutCommand::Show(show)) => print_order(&reports, &show.service, is_json),
        Some(RolloutCommand::List(_)) | None if is_json => {
            print_json(&reports).map(|()| CmdOutcome::Done)
        }
        Some(RolloutCommand::List(_)) | None => {
            println!("{:24} {:12} {:14} {:>7} reason", "service", "target", "state", "share");
            reports.iter().for_each(print_line);
            Ok(CmdOutcome::Done)
        }
    }
}

fn print_line(report: &RolloutReport) {
    let share = format!("{:.1} %", f64::from(report.share_thousandths) / 10.0);
    let reason = report.reason.as_deref().unwrap_or("-");
    println!("{:24} {:12} {:14} {share:>7} {reason}", report.service, report.target, report.state);
}

/// Prints the order of a service, which is named by its path or the last part of it.
fn print_order(
    reports: &[RolloutReport],
    service: &str,
    is_json: bool,
) -> anyhow::Result<CmdOutcome> {
    let is_named = |report: &&RolloutReport| {
        report.service == service || report.service.rsplit('/').next() == Some(service)
    };
    let Some(report) = reports.iter().find(is_named) else {
        eprintln!("refused: no order for service {service}");
        return Ok(CmdOutcome::Refused);
    };
    if is_json {
        return print_json(report).map(|()| CmdOutcome::Done);
    }
    println!("service   {}", report.service);
    println!("target    {}", report.target);
    println!("state     {}", report.state);
    println!("share     {:.1} %", f64::from(report.share_thousandths) / 10.0);
    println!("reason    {}", report.reason.as_deref().unwrap_or("-"));
    println!("requests  {}, {} of them to the target", report.sent, report.sent_to_target);
    println!("{:18} {:>18} {:>18}", "kind of work", "target failed/all", "old failed/all");
    for WorkReport { work, target, base } in &report.works {
        let cell = |counts: &[u64; 2]| format!("{}/{}", counts[1], counts[0]);
        println!("{work:18} {:>18} {:>18}", cell(target), cell(base));
    }
    Ok(CmdOutcome::Done)
}
