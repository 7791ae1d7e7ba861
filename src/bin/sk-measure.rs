//! Measures a fleet on one machine. Prints each result as one line of JSON.

use std::time::Duration;

use gumdrop::Options;
use serde::Serialize;
use sk_measure::{
    BaselineKind, FleetPlan, LoadPlan, SpreadPlan, measure_baseline, measure_claims,
    measure_connections, measure_load, measure_members, measure_spread,
};

#[derive(Debug, Options)]
struct MeasureArgs {
    /// Print this help
    help: bool,
    #[options(command)]
    command: Option<MeasureCommand>,
}

#[derive(Debug, Options)]
enum MeasureCommand {
    /// Distribution of configuration by fleet size, with the baselines
    Spread(SpreadArgs),
    /// Time until all daemons have learned of a start, a drain and a crash
    Members(MemberArgs),
    /// The request path compared with a direct call
    Load(LoadArgs),
    /// Claims of requests that may not be repeated
    Claims(ClaimArgs),
}

#[derive(Debug, Options)]
struct SpreadArgs {
    /// Print this help
    help: bool,
    /// Fleet sizes
    #[options(default = "10,50")]
    daemons: String,
    /// Changes of one route for each fleet size
    #[options(default = "10")]
    changes: u64,
    /// Seconds without changes for idle figures
    #[options(default = "10")]
    idle: u64,
    /// Further settings in TOML
    #[options(default = "")]
    settings: String,
    /// Skip the baselines
    #[options(no_short)]
    no_baseline: bool,
}

#[derive(Debug, Options)]
struct MemberArgs {
    /// Print this help
    help: bool,
    /// Fleet sizes
    #[options(default = "10,50")]
    daemons: String,
    /// Starts, drains and crashes for each fleet size
    #[options(default = "5")]
    rounds: usize,
}

#[derive(Debug, Options)]
struct LoadArgs {
    /// Print this help
    help: bool,
    /// Requests a second, one run for each
    #[options(default = "500,1000,2000")]
    rates: String,
    /// Seconds of each run
    #[options(default = "10")]
    seconds: u64,
    /// Milliseconds of work per request at a backend server
    #[options(default = "1")]
    work_ms: u64,
    /// Backend servers
    #[options(default = "3")]
    servers: usize,
    /// Idle caller connections for the measurement of memory
    #[options(no_short, default = "1000")]
    connections: usize,
}

#[derive(Debug, Options)]
struct ClaimArgs {
    /// Print this help
    help: bool,
    /// Claims a second, one run for each
    #[options(default = "100,300,600,2000")]
    rates: String,
    /// Seconds of each run
    #[options(default = "5")]
    seconds: u64,
    /// Daemons that write claims
    #[options(default = "1")]
    writers: usize,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    env_logger::init();
    let args = MeasureArgs::parse_args_default_or_exit();
    match args.command {
        Some(MeasureCommand::Spread(args)) => run_spread(&args).await,
        Some(MeasureCommand::Members(args)) => run_members(&args).await,
        Some(MeasureCommand::Load(args)) => run_load(&args).await,
        Some(MeasureCommand::Claims(args)) => run_claims(&args).await,
        None => anyhow::bail!("{}", MeasureArgs::command_list().unwrap_or_default()),
    }
}

async fn run_spread(args: &SpreadArgs) -> anyhow::Result<()> {
    for daemons in parse_numbers(&args.daemons)? {
        let daemons = daemons as usize;
        let plan = SpreadPlan {
            fleet: make_fleet_plan(daemons, args.settings.clone()),
            changes: args.changes,
            idle_time: Duration::from_secs(args.idle),
        };
        print_json_line(&measure_spread(&plan).await?)?;
        if !args.no_baseline {
            print_json_line(&measure_baseline(BaselineKind::Poll, daemons, args.changes).await?)?;
            print_json_line(&measure_baseline(BaselineKind::Watch, daemons, args.changes).await?)?;
        }
    }
    Ok(())
}

async fn run_members(args: &MemberArgs) -> anyhow::Result<()> {
    for daemons in parse_numbers(&args.daemons)? {
        let plan = make_fleet_plan(daemons as usize, String::new());
        print_json_line(&measure_members(plan, args.rounds).await?)?;
    }
    Ok(())
}

fn make_fleet_plan(daemons: usize, settings: String) -> FleetPlan {
    // At most 9 data centres, with about 5 daemons or more in each.
    FleetPlan { daemons, data_centres: (daemons / 5).clamp(2, 9), settings }
}

async fn run_load(args: &LoadArgs) -> anyhow::Result<()> {
    let plan = LoadPlan {
        rates: parse_numbers(&args.rates)?,
        run_time: Duration::from_secs(args.seconds),
        work_ms: args.work_ms,
        servers: args.servers,
    };
    measure_load(&plan).await?.iter().try_for_each(print_json_line)?;
    print_json_line(&measure_connections(args.connections).await?)
}

async fn run_claims(args: &ClaimArgs) -> anyhow::Result<()> {
    let figures = measure_claims(&parse_numbers(&args.rates)?, args.writers, args.seconds).await?;
    figures.iter().try_for_each(print_json_line)
}

/// Parses numbers separated by commas.
fn parse_numbers(list: &str) -> anyhow::Result<Vec<u64>> {
    Ok(list.split(',').map(|number| number.trim().parse()).collect::<Result<_, _>>()?)
}

fn print_json_line<T: Serialize>(figures: &T) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(figures)?);
    Ok(())
}
