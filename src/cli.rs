//! Arguments of the command line. Field names are flags, variant names are subcommands, and doc
//! comments are the help texts.

use std::path::PathBuf;

use gumdrop::Options;

use crate::utc::UtcTime;

/// Operates a fleet: changes settings and reads reports.
///
/// Exit codes: 0 done, 1 refused and nothing was changed, 2 usage error, 3 outcome unknown.
#[derive(Debug, Options)]
pub struct CliArgs {
    /// Print this help
    pub help: bool,
    /// A daemon's ops address; default: SAPPHIREKEEL_DAEMON
    #[options(meta = "IP:PORT")]
    pub daemon: Option<String>,
    /// Token; default: SAPPHIREKEEL_TOKEN
    pub token: Option<String>,
    /// TOML file with `daemon` and `token`, used if neither flag nor variable is set
    #[options(meta = "FILE")]
    pub config: Option<PathBuf>,
    /// Print data as JSON
    #[options(no_short)]
    pub json: bool,
    #[options(command)]
    pub command: Option<CliCommand>,
}

/// Subcommands.
#[derive(Debug, Options)]
pub enum CliCommand {
    /// Run a small fleet on loopback and show how changes spread
    Demo(DemoArgs),
    /// Check settings files and directories of declarations offline
    Check(CheckArgs),
    /// Show what apply would change
    Plan(PlanArgs),
    /// Replace a team's settings by the declarations in a directory
    Apply(ApplyArgs),
    /// Withdraw one setting
    Withdraw(WithdrawArgs),
    /// Print accepted settings
    Get(GetArgs),
    /// Print which versions the proxies have in force
    Report(ReportArgs),
    /// Print the orders that move traffic to other versions
    Rollout(RolloutArgs),
    /// Print a daemon's state
    State(StateArgs),
    /// Print the limits of workspaces and their requests at a daemon
    Workspace(WorkspaceArgs),
    /// Create a team or replace its token
    Team(TeamArgs),
}

/// Runs a small fleet on loopback and shows how changes spread.
#[derive(Debug, Options)]
pub struct DemoArgs {
    /// Print this help
    pub help: bool,
    /// Exit after the report, with 1 if a step failed
    #[options(no_short)]
    pub once: bool,
}

/// Checks offline: a file as settings of a daemon, a directory as declarations.
///
/// DIR/TEAM/a/b.toml declares the setting /TEAM/a/b. Hidden entries and .md files are ignored.
/// Any other name is refused, so that a mistyped name is not silently ignored.
/// Faults are printed as FILE:LINE:COLUMN. Exit codes: 0 all valid, 1 faults found, 2 usage error.
#[derive(Debug, Options)]
pub struct CheckArgs {
    /// Print this help
    pub help: bool,
    /// Print data as JSON
    #[options(no_short)]
    pub json: bool,
    /// Settings files and directories of declarations
    #[options(free, required)]
    pub paths: Vec<PathBuf>,
}

/// Shows what apply would change, as a diff from the accepted to the declared settings.
///
/// Exit codes: 0 also if nothing differs, 1 refused, 2 usage error.
#[derive(Debug, Options)]
pub struct PlanArgs {
    /// Print this help
    pub help: bool,
    /// Print data as JSON
    #[options(no_short)]
    pub json: bool,
    /// Directory of declarations, with one directory a team
    #[options(free, required)]
    pub directory: PathBuf,
    /// Team, where the directory holds several
    pub team: Option<String>,
}

/// Replaces a team's settings by the declarations in a directory, all or none of them.
///
/// A change whose answer is lost is looked up by its id; exit code 3 means that it may be in force.
/// Running the same command again is safe, as a change id takes effect once.
#[derive(Debug, Options)]
pub struct ApplyArgs {
    /// Print this help
    pub help: bool,
    /// Print data as JSON
    #[options(no_short)]
    pub json: bool,
    /// Directory of declarations, with one directory a team
    #[options(free, required)]
    pub directory: PathBuf,
    /// Team, where the directory holds several
    pub team: Option<String>,
    /// Revision of the declarations in version control
    #[options(required, meta = "COMMIT")]
    pub revision: String,
    /// Author of the change
    #[options(required, meta = "NAME")]
    pub author: String,
    /// Id of the change; default: derived from its content
    #[options(no_short, meta = "ID")]
    pub change_id: Option<String>,
    /// Wait until the change is in force on all proxies
    pub wait: bool,
    /// Seconds to wait at most; reads the report with the token in SAPPHIREKEEL_MANAGER_TOKEN
    #[options(no_short, default = "30", meta = "SECONDS")]
    pub wait_bound: u64,
}

/// Withdraws one setting. Refused while a route refers to it.
#[derive(Debug, Options)]
pub struct WithdrawArgs {
    /// Print this help
    pub help: bool,
    /// Print data as JSON
    #[options(no_short)]
    pub json: bool,
    /// Path of the setting
    #[options(free, required)]
    pub path: String,
    /// Revision of the declarations in version control
    #[options(required, meta = "COMMIT")]
    pub revision: String,
    /// Author of the change
    #[options(required, meta = "NAME")]
    pub author: String,
}

/// Prints accepted settings.
#[derive(Debug, Options)]
pub struct GetArgs {
    /// Print this help
    pub help: bool,
    /// Print data as JSON
    #[options(no_short)]
    pub json: bool,
    /// Team; default: all teams, which needs the managers' token
    #[options(free)]
    pub team: Option<String>,
}

/// Prints which version each proxy has in force since when.
///
/// With --path, --team, --from, --since or --until: prints which author wrote which settings. Needs
/// the managers' token. Times are UTC; with --csv and --json milliseconds since 1970-01-01.
#[derive(Debug, Options)]
pub struct ReportArgs {
    /// Print this help
    pub help: bool,
    /// Print data as JSON
    #[options(no_short)]
    pub json: bool,
    /// Print comma-separated values
    #[options(no_short)]
    pub csv: bool,
    /// How one change spread over the fleet
    #[options(no_short, meta = "VERSION")]
    pub change: Option<u64>,
    /// Changes of one path
    #[options(no_short, meta = "PATH")]
    pub path: Option<String>,
    /// Changes of one team
    #[options(no_short)]
    pub team: Option<String>,
    /// Changes from a version on
    #[options(no_short, meta = "VERSION")]
    pub from: Option<u64>,
    /// Changes accepted at this time or later: 2026-12-03T08:15:00Z, or Unix milliseconds
    #[options(no_short, meta = "TIME")]
    pub since: Option<UtcTime>,
    /// Changes accepted before this time
    #[options(no_short, meta = "TIME")]
    pub until: Option<UtcTime>,
    /// Only this proxy
    #[options(no_short)]
    pub proxy: Option<String>,
}

/// Prints the orders that move traffic to other versions, as one daemon knows them.
#[derive(Debug, Options)]
pub struct RolloutArgs {
    /// Print this help
    pub help: bool,
    /// Print data as JSON
    #[options(no_short)]
    pub json: bool,
    #[options(command)]
    pub command: Option<RolloutCommand>,
}

/// What is printed of the orders.
#[derive(Debug, Options)]
pub enum RolloutCommand {
    /// All orders with their states
    List(RolloutListArgs),
    /// One order with its counts
    Show(RolloutShowArgs),
}

/// Prints all orders with their states.
#[derive(Debug, Options)]
pub struct RolloutListArgs {
    /// Print this help
    pub help: bool,
}

/// Prints the order of a service: state, share, reason, and what its servers answered.
#[derive(Debug, Options)]
pub struct RolloutShowArgs {
    /// Print this help
    pub help: bool,
    /// Path of the service, or the last part of it
    #[options(free, required)]
    pub service: String,
}

/// Prints one daemon's state as JSON; works also during an outage of the platform.
#[derive(Debug, Options)]
pub struct StateArgs {
    /// Print this help
    pub help: bool,
    /// Print data as JSON
    #[options(no_short)]
    pub json: bool,
}

/// Prints limits of workspaces, and their requests at the daemon that is called, since its start.
#[derive(Debug, Options)]
pub struct WorkspaceArgs {
    /// Print this help
    pub help: bool,
    /// Print data as JSON
    #[options(no_short)]
    pub json: bool,
    #[options(command, required)]
    pub command: Option<WorkspaceCommand>,
}

/// What to print about workspaces.
#[derive(Debug, Options)]
pub enum WorkspaceCommand {
    /// Print all workspaces with a limit
    List(WorkspaceListArgs),
    /// Print one workspace
    Show(WorkspaceShowArgs),
}

/// Prints all workspaces with a limit.
#[derive(Debug, Options)]
pub struct WorkspaceListArgs {
    /// Print this help
    pub help: bool,
}

/// Prints one workspace.
#[derive(Debug, Options)]
pub struct WorkspaceShowArgs {
    /// Print this help
    pub help: bool,
    /// Name of the workspace
    #[options(free, required)]
    pub name: String,
}

/// Creates a team or replaces its token. Needs the managers' token.
#[derive(Debug, Options)]
pub struct TeamArgs {
    /// Print this help
    pub help: bool,
    /// Name of the team
    #[options(free, required)]
    pub team: String,
    /// SHA-256 of the team's token in hexadecimal
    #[options(no_short, required, meta = "HASH")]
    pub token_sha256: String,
}

impl CliCommand {
    /// Returns whether the subcommand's own flags ask for JSON.
    pub fn is_json(&self) -> bool {
        match self {
            Self::Demo(_) | Self::Team(_) => false,
            Self::Check(args) => args.json,
            Self::Plan(args) => args.json,
            Self::Apply(args) => args.json,
            Self::Withdraw(args) => args.json,
            Self::Get(args) => args.json,
            Self::Report(args) => args.json,
            Self::Rollout(args) => args.json,
            Self::State(args) => args.json,
            Self::Workspace(args) => args.json,
        }
    }
}
