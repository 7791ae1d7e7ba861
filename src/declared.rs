//! Declarations in a directory kept in version control.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

use anyhow::{Context, bail};
use sk_model::{SettingBody, SettingPath, TeamName, check_path, parse_declaration};

/// Settings that a directory declares for one team.
pub type DeclaredSettings = BTreeMap<SettingPath, SettingBody>;

/// Reads every team's declarations: `DIR/<team>/a/b.toml` declares `/<team>/a/b`.
///
/// # Errors
///
/// Returns an error that names the file, its path and what is allowed. Nothing is given then.
pub fn read_declarations(directory: &Path) -> anyhow::Result<BTreeMap<TeamName, DeclaredSettings>> {
    let mut teams = BTreeMap::new();
    for entry in list_directory(directory)? {
        if !entry.is_dir() {
            continue;
        }
        let team = file_name(&entry)?;
        let mut settings = DeclaredSettings::new();
        read_into(&entry, &format!("/{team}"), &mut settings)?;
        teams.insert(team, settings);
    }
    Ok(teams)
}

/// Reads the declarations of one team: the one named, or the only one there is.
///
/// # Errors
///
/// Returns an error as [`read_declarations`] does, or where the team is not clear.
pub fn read_team(
    directory: &Path,
    team: Option<&str>,
) -> anyhow::Result<(TeamName, DeclaredSettings)> {
    let mut teams = read_declarations(directory)?;
    if let Some(team) = team {
        return match teams.remove_entry(team) {
            Some(found) => Ok(found),
            None => bail!("{} has no directory {team}", directory.display()),
        };
    }
    if teams.len() > 1 {
        bail!("{} declares several teams; name one by --team", directory.display());
    }
    match teams.pop_first() {
        Some(found) => Ok(found),
        None => bail!("{} has no directory of a team", directory.display()),
    }
}

fn read_into(
    directory: &Path,
    prefix: &str,
    settings: &mut DeclaredSettings,
) -> anyhow::Result<()> {
    for entry in list_directory(directory)? {
        let name = file_name(&entry)?;
        if entry.is_dir() {
            read_into(&entry, &format!("{prefix}/{name}"), settings)?;
        } else if let Some(stem) = name.strip_suffix(".toml") {
            let path = format!("{prefix}/{stem}");
            let body = read_declaration(&entry, &path)?;
            settings.insert(path, body);
        }
    }
    Ok(())
}

fn read_declaration(file: &Path, path: &str) -> anyhow::Result<SettingBody> {
    let place = || format!("{} ({path})", file.display());
    check_path(path).with_context(place)?;
    let text = std::fs::read_to_string(file).with_context(place)?;
    parse_declaration(&text).with_context(place)
}

fn list_directory(directory: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let place = || format!("cannot read {}", directory.display());
    let mut entries = Vec::new();
    for entry in std::fs::read_dir(directory).with_context(place)? {
        entries.push(entry.with_context(place)?.path());
    }
    entries.retain(|entry| !is_hidden(entry));
    entries.sort();
    Ok(entries)
}

fn is_hidden(path: &Path) -> bool {
    path.file_name().is_some_and(|name| name.to_string_lossy().starts_with('.'))
}

fn file_name(path: &Path) -> anyhow::Result<String> {
    let name = path.file_name().and_then(|name| name.to_str());
    name.map(str::to_owned).with_context(|| format!("{}: name is not text", path.display()))
}
