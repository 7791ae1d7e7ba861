//! Checks settings files and directories of declarations offline, so that faults are found before
//! anything is submitted or started.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    sync::Arc,
};

use serde::Serialize;
use sk_model::{TeamTree, validate_trees};

use super::{CmdOutcome, print_json};
use crate::{
    cli::CheckArgs,
    declared::{DeclaredTeams, read_declarations},
};

/// Result of the check of one path.
#[derive(Serialize)]
struct CheckedPath {
    path: PathBuf,
    /// Description of the content, if it is valid.
    found: Option<String>,
    faults: Vec<String>,
}

/// Checks each path: a directory as declarations, a file as settings of a daemon.
pub fn run(args: &CheckArgs, is_json: bool) -> anyhow::Result<CmdOutcome> {
    let checked: Vec<CheckedPath> = args.paths.iter().map(|path| check_path(path)).collect();
    match is_json {
        true => print_json(&checked)?,
        false => checked.iter().for_each(print_checked),
    }
    match checked.iter().all(|checked| checked.faults.is_empty()) {
        true => Ok(CmdOutcome::Done),
        false => Ok(CmdOutcome::Refused),
    }
}

fn print_checked(checked: &CheckedPath) {
    if let Some(found) = &checked.found {
        println!("{}: {found}", checked.path.display());
    }
    checked.faults.iter().for_each(|fault| eprintln!("{fault}"));
}

fn check_path(path: &Path) -> CheckedPath {
    let result = match path.is_dir() {
        true => check_directory(path),
        false => check_settings(path),
    };
    let path = path.to_owned();
    match result {
        Ok(found) => CheckedPath { path, found: Some(found), faults: Vec::new() },
        Err(faults) => CheckedPath { path, found: None, faults },
    }
}

fn check_settings(file: &Path) -> Result<String, Vec<String>> {
    match sk_settings::read_settings(file) {
        Ok(settings) => Ok(format!("good settings of {}", settings.instance.name)),
        Err(err) => Err(vec![err.to_string()]),
    }
}

/// Checks each declaration, and then all teams' declarations together.
fn check_directory(directory: &Path) -> Result<String, Vec<String>> {
    let describe = |faults: Vec<_>| faults.iter().map(ToString::to_string).collect::<Vec<_>>();
    let teams = read_declarations(directory).map_err(|faults| describe(faults.0))?;
    let count: usize = teams.values().map(BTreeMap::len).sum();
    let faults = validate_trees(&make_trees(teams));
    match faults.is_empty() {
        true => Ok(format!("{count} good declarations")),
        false => {
            let shown = directory.display();
            Err(faults.iter().map(|fault| format!("{shown}: {fault}")).collect())
        }
    }
}

fn make_trees(teams: DeclaredTeams) -> BTreeMap<String, Arc<TeamTree>> {
    let make_tree = |settings| Arc::new(TeamTree { settings });
    teams.into_iter().map(|(team, settings)| (team, make_tree(settings))).collect()
}
