//! Runs real daemons under injected faults and reports each violated guarantee. Each run has one
//! seed, so that a failed run can be repeated with the same schedule.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use anyhow::Context;
use gumdrop::Options;
use sk_soak::{FaultKind, SoakPlan, SoakReport, run_soak};

/// Exit code if a check failed in any run.
const FAILED_EXIT_CODE: u8 = 1;

#[derive(Debug, Options)]
struct SoakArgs {
    /// Print this help
    help: bool,
    #[options(command)]
    command: Option<SoakCommand>,
}

#[derive(Debug, Options)]
enum SoakCommand {
    /// Run seeds one after the other and print a report of each
    Run(RunArgs),
    /// Run one seed again, with the same schedule
    Replay(ReplayArgs),
    /// List the kinds of faults
    Faults(FaultArgs),
}

#[derive(Debug, Options)]
struct RunArgs {
    /// Print this help
    help: bool,
    /// First seed
    #[options(default = "1")]
    seed: u64,
    /// Number of seeds, from the first on
    #[options(no_short, default = "1")]
    seeds: u64,
    /// Minutes of each run
    #[options(no_short, default = "0.5")]
    minutes: f64,
    /// Daemons, each with a backend server
    #[options(default = "6")]
    daemons: usize,
    /// Callers
    #[options(no_short, default = "24")]
    callers: usize,
    /// Kinds of faults with commas between; all by default
    #[options(no_short, default = "")]
    faults: String,
    /// Folder for settings, logs and reports; those of passed runs are removed
    #[options(no_short, default = "target/soak")]
    folder: PathBuf,
    /// Print reports as JSON, one a line
    #[options(no_short)]
    json: bool,
}

#[derive(Debug, Options)]
struct ReplayArgs {
    /// Print this help
    help: bool,
    /// Seed
    #[options(free, required)]
    seed: u64,
    /// Minutes of the run
    #[options(no_short, default = "0.5")]
    minutes: f64,
    /// Daemons, each with a backend server
    #[options(default = "6")]
    daemons: usize,
    /// Callers
    #[options(no_short, default = "24")]
    callers: usize,
    /// Kinds of faults with commas between; all by default
    #[options(no_short, default = "")]
    faults: String,
    /// Folder for settings, logs and reports, which are kept
    #[options(no_short, default = "target/soak")]
    folder: PathBuf,
}

#[derive(Debug, Options)]
struct FaultArgs {
    /// Print this help
    help: bool,
}

fn main() -> anyhow::Result<ExitCode> {
    env_logger::init();
    let args = SoakArgs::parse_args_default_or_exit();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let run = async {
            match args.command {
                Some(SoakCommand::Run(args)) => run(args).await,
                Some(SoakCommand::Replay(args)) => replay(args).await,
                Some(SoakCommand::Faults(_)) => {
                    FaultKind::ALL.iter().for_each(|kind| println!("{kind}"));
                    Ok(true)
                }
                None => {
                    println!("{}", SoakArgs::usage());
                    Ok(true)
                }
            }
        };
        let mut terminate =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        // Dropping the run ends all processes that it started.
        let is_sound = tokio::select! {
            is_sound = run => is_sound?,
            _ = tokio::signal::ctrl_c() => anyhow::bail!("interrupted"),
            _ = terminate.recv() => anyhow::bail!("terminated by a signal"),
        };
        Ok(if is_sound { ExitCode::SUCCESS } else { ExitCode::from(FAILED_EXIT_CODE) })
    })
}

/// Runs each seed and returns whether all passed.
async fn run(args: RunArgs) -> anyhow::Result<bool> {
    let faults = parse_faults(&args.faults)?;
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let plan = make_plan(seed, args.minutes, args.daemons, args.callers, &faults);
        let folder = args.folder.join(format!("{}-{seed}", std::process::id()));
        let report = run_soak(&plan, &folder).await?;
        match args.json {
            true => println!("{}", serde_json::to_string(&report)?),
            false => print!("{report}"),
        }
        match report.is_sound() {
            true => std::fs::remove_dir_all(&folder)?,
            false => {
                save_report(&report, &folder)?;
                failed.push(seed);
            }
        }
    }
    if !args.json {
        println!("{} seeds, broken: {failed:?}", args.seeds);
    }
    Ok(failed.is_empty())
}

/// Runs one seed, keeps its files and returns whether it passed.
async fn replay(args: ReplayArgs) -> anyhow::Result<bool> {
    let faults = parse_faults(&args.faults)?;
    let plan = make_plan(args.seed, args.minutes, args.daemons, args.callers, &faults);
    let folder = args.folder.join(format!("{}-{}", std::process::id(), args.seed));
    let report = run_soak(&plan, &folder).await?;
    print!("{report}");
    save_report(&report, &folder)?;
    Ok(report.is_sound())
}

/// Writes the report beside the logs of its run and prints where they are.
fn save_report(report: &SoakReport, folder: &std::path::Path) -> anyhow::Result<()> {
    std::fs::write(folder.join("report.json"), serde_json::to_string_pretty(report)?)?;
    println!("logs and report: {}", folder.display());
    Ok(())
}

fn make_plan(
    seed: u64,
    minutes: f64,
    daemons: usize,
    callers: usize,
    faults: &[FaultKind],
) -> SoakPlan {
    let span = Duration::from_secs_f64(minutes * 60.0);
    SoakPlan { seed, span, daemons, callers, faults: faults.to_vec() }
}

/// Parses the names of fault kinds; an empty text stands for all kinds.
fn parse_faults(text: &str) -> anyhow::Result<Vec<FaultKind>> {
    if text.is_empty() {
        return Ok(FaultKind::ALL.to_vec());
    }
    let names = text.split(',').map(str::trim);
    names.map(|name| name.parse().with_context(|| format!("--faults {text}"))).collect()
}
