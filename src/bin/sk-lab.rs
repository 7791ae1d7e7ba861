//! Simulates how a fleet would perform with a daemon's settings. Nothing is started, so settings
//! can be compared before they reach a fleet.

use std::{fs, path::Path};

use anyhow::Context;
use gumdrop::Options;
use sk_daemon::{server_limits, table_tuning};
use sk_lab::{
    DaemonPolicy, Scenario, compare_policies, compare_rollouts, parse_scenario, run_scenario,
};

#[derive(Debug, Options)]
struct LabArgs {
    /// Print this help
    help: bool,
    #[options(command)]
    command: Option<LabCommand>,
}

#[derive(Debug, Options)]
enum LabCommand {
    /// Simulate what callers get with a daemon's settings
    Run(RunArgs),
    /// Compare two daemons' settings on the same seeds
    Compare(CompareArgs),
    /// Compare the methods of roll-outs on the same randomly drawn versions
    Rollouts(RolloutsArgs),
}

#[derive(Debug, Options)]
struct RunArgs {
    /// Print this help
    help: bool,
    /// Scenario file
    #[options(free, required)]
    scenario: String,
    /// Settings file of a daemon
    #[options(required)]
    with: String,
    /// Seeds, from 0 on
    #[options(default = "1")]
    seeds: u64,
}

#[derive(Debug, Options)]
struct CompareArgs {
    /// Print this help
    help: bool,
    /// Scenario file
    #[options(free, required)]
    scenario: String,
    /// Settings files of a daemon, given twice: the baseline, then the candidate
    with: Vec<String>,
    /// Seeds, from 0 on
    #[options(default = "20")]
    seeds: u64,
}

#[derive(Debug, Options)]
struct RolloutsArgs {
    /// Print this help
    help: bool,
    /// Orders drawn
    #[options(default = "500")]
    orders: u64,
    /// Seed of the first order; the others follow
    #[options(default = "0")]
    seed: u64,
    /// Servers of each version, drawn from 3 to 300 if absent
    servers: Option<usize>,
}

fn main() -> anyhow::Result<()> {
    match LabArgs::parse_args_default_or_exit().command {
        Some(LabCommand::Run(args)) => run(&args),
        Some(LabCommand::Compare(args)) => compare(&args),
        Some(LabCommand::Rollouts(args)) => {
            for (name, figures) in
                compare_rollouts(args.seed..args.seed + args.orders, args.servers)
            {
                println!("{name}\n{figures}");
            }
            Ok(())
        }
        None => anyhow::bail!("no command; see --help"),
    }
}

fn run(args: &RunArgs) -> anyhow::Result<()> {
    let (scenario, policy) = (read_scenario(&args.scenario)?, read_policy(&args.with)?);
    for seed in 0..args.seeds {
        print!("seed {seed}\n{}", run_scenario(&scenario, &policy, seed));
    }
    Ok(())
}

fn compare(args: &CompareArgs) -> anyhow::Result<()> {
    let [first, second] = &args.with[..] else {
        anyhow::bail!("`--with` is given {} times; allowed: twice", args.with.len());
    };
    let (first, second) = (read_policy(first)?, read_policy(second)?);
    let scenario = read_scenario(&args.scenario)?;
    let differences = compare_policies(&scenario, [&first, &second], 0..args.seeds);
    for (name, difference) in
        ["in goal", "answered", "MB between data centres"].iter().zip(differences)
    {
        println!("{name}: {:+.4} ± {:.4}", difference.mean, difference.margin);
    }
    Ok(())
}

fn read_scenario(file: &str) -> anyhow::Result<Scenario> {
    let text = fs::read_to_string(file).with_context(|| format!("{file} cannot be read"))?;
    parse_scenario(&text).with_context(|| file.to_owned())
}

/// Reads the part of a daemon's settings that the simulation uses.
fn read_policy(file: &str) -> anyhow::Result<DaemonPolicy> {
    let settings = sk_settings::read_settings(Path::new(file))?;
    let tuning = table_tuning(&settings);
    Ok(DaemonPolicy {
        placement: tuning.placement,
        guard: server_limits(&settings).guard,
        free_moves: tuning.retry.free_moves,
        reads_ahead: true,
    })
}
