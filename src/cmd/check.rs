//! Checks settings and declarations offline.

use std::{collections::BTreeMap, path::Path, sync::Arc};

use sk_model::{TeamTree, validate_trees};

use super::CmdOutcome;
use crate::{cli::CheckArgs, declared::read_declarations};

/// Checks each path: a directory as declarations, a file as settings of a daemon.
pub fn run(args: &CheckArgs) -> CmdOutcome {
    let mut is_good = true;
    for path in &args.paths {
        match check_path(path) {
            Ok(found) => println!("{}: {found}", path.display()),
            Err(err) => {
                eprintln!("{err:#}");
                is_good = false;
            }
        }
    }
    if is_good { CmdOutcome::Done } else { CmdOutcome::Refused }
}

fn check_path(path: &Path) -> anyhow::Result<String> {
    if !path.is_dir() {
        let settings = sk_settings::read_settings(path)?;
        return Ok(format!("good settings of {}", settings.instance.name));
    }
    let mut trees = BTreeMap::new();
    let mut count = 0;
    for (team, settings) in read_declarations(path)? {
        count += settings.len();
        trees.insert(team, Arc::new(TeamTree { settings }));
    }
    let faults = validate_trees(&trees);
    let list: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    anyhow::ensure!(faults.is_empty(), "{}:\n{}", path.display(), list.join("\n"));
    Ok(format!("{count} good declarations"))
}
