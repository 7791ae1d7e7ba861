//! Reads declarations from a directory kept in version control. A name that is neither a
//! declaration nor a Markdown file is a fault, because a mistyped name would otherwise withdraw its
//! setting. All faults are listed at once, each with its file.

use std::{
    collections::BTreeMap,
    fmt, fs,
    io::{self, Read},
    path::{Path, PathBuf},
};

use sk_model::{
    LocatedDeclarationError, MAX_DECLARATION_BYTES, MAX_PATH_BYTES, PathError, SettingBody,
    SettingPath, TeamName, check_path, check_team, parse_declaration,
};
use thiserror::Error;

/// Settings that a directory declares for one team, by path.
pub type DeclaredSettings = BTreeMap<SettingPath, SettingBody>;

/// Declarations of all teams in a directory, by team.
pub type DeclaredTeams = BTreeMap<TeamName, DeclaredSettings>;

/// Bounds the entries read below one directory. Far above the number of a fleet's declarations; it
/// keeps a directory given by mistake, such as a home directory, from filling the memory.
const MAX_ENTRIES: usize = 20_000;
/// Bounds the faults listed. More of them usually have one cause, such as the wrong directory.
const MAX_FAULTS: usize = 100;

/// Why an entry of a directory is not a valid declaration.
#[derive(Debug, Error)]
pub enum DeclaredFault {
    /// The entry cannot be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The entry.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The name is that of neither a declaration nor a Markdown file.
    #[error("{}: neither `.toml` nor `.md`; refused, as it may be mistyped", file.display())]
    UnknownFile {
        /// The file.
        file: PathBuf,
    },
    /// A file lies outside all teams' directories.
    #[error("{}: belongs to no team; allowed: DIR/<team>/<name>.toml", file.display())]
    NoTeam {
        /// The file.
        file: PathBuf,
    },
    /// A directory has the name of a declaration.
    #[error("{}: a directory named as a declaration", file.display())]
    NamedAsFile {
        /// The directory.
        file: PathBuf,
    },
    /// The location of the entry does not map to a valid setting path.
    #[error("{}: {error}", file.display())]
    Path {
        /// The entry.
        file: PathBuf,
        /// What is wrong with the path.
        error: PathError,
    },
    /// The text is not a valid declaration.
    #[error("{}:{fault} ({path})", file.display())]
    Text {
        /// The file.
        file: PathBuf,
        /// The setting path that the file would declare.
        path: SettingPath,
        /// The fault with its line and column.
        fault: LocatedDeclarationError,
    },
    /// There are more than [`MAX_ENTRIES`] entries.
    #[error("{}: more than {MAX_ENTRIES} entries", directory.display())]
    TooMany {
        /// The directory.
        directory: PathBuf,
    },
}

/// All faults of a directory of declarations, at most [`MAX_FAULTS`].
#[derive(Debug, Error)]
pub struct DeclaredFaults(pub Vec<DeclaredFault>);

impl fmt::Display for DeclaredFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

/// Why one team's declarations cannot be read.
#[derive(Debug, Error)]
pub enum TeamError {
    /// The directory has faults.
    #[error(transparent)]
    Faults(#[from] DeclaredFaults),
    /// The directory does not declare the given team.
    #[error("{} has no directory {team}", directory.display())]
    Missing {
        /// The directory.
        directory: PathBuf,
        /// The team.
        team: TeamName,
    },
    /// No team was given and the directory declares several.
    #[error("{} declares several teams; choose one with --team", directory.display())]
    Ambiguous {
        /// The directory.
        directory: PathBuf,
    },
    /// The directory declares no team.
    #[error("{} has no team directories", directory.display())]
    NoTeam {
        /// The directory.
        directory: PathBuf,
    },
}

/// Reads every team's declarations: `DIR/<team>/a/b.toml` declares `/<team>/a/b`.
///
/// Hidden entries and `.md` files are ignored; any other name is a fault.
///
/// # Errors
///
/// Returns all faults found, each with its file and the allowed values.
pub fn read_declarations(directory: &Path) -> Result<DeclaredTeams, DeclaredFaults> {
    let mut reader = DirectoryReader::default();
    for entry in reader.list_entries(directory) {
        reader.read_top_entry(&entry);
    }
    match reader.faults.is_empty() {
        true => Ok(reader.teams),
        false => Err(DeclaredFaults(reader.faults)),
    }
}

/// Reads the declarations of one team: the given one, or the only one in the directory.
///
/// # Errors
///
/// Returns the faults of the directory, or a [`TeamError`] if the team is missing or ambiguous.
pub fn read_team(
    directory: &Path,
    team: Option<&str>,
) -> Result<(TeamName, DeclaredSettings), TeamError> {
    let mut teams = read_declarations(directory)?;
    let directory = directory.to_owned();
    match team {
        Some(team) => teams
            .remove_entry(team)
            .ok_or_else(|| TeamError::Missing { directory, team: team.to_owned() }),
        None if teams.len() > 1 => Err(TeamError::Ambiguous { directory }),
        None => teams.pop_first().ok_or(TeamError::NoTeam { directory }),
    }
}

/// Reads a directory and collects declarations and faults.
#[derive(Default)]
struct DirectoryReader {
    teams: DeclaredTeams,
    faults: Vec<DeclaredFault>,
    entry_count: usize,
}

impl DirectoryReader {
    /// Reads an entry of the top directory, which must be a team's directory or a Markdown file.
    fn read_top_entry(&mut self, entry: &Path) {
        let file = entry.to_owned();
        let team = entry_name(entry);
        match check_team(&team) {
            _ if !entry.is_dir() && is_markdown(entry) => (),
            _ if !entry.is_dir() => self.add_fault(DeclaredFault::NoTeam { file }),
            Err(error) => self.add_fault(DeclaredFault::Path { file, error }),
            Ok(()) => {
                self.teams.entry(team.clone()).or_default();
                self.read_directory(entry, &team, &format!("/{team}"));
            }
        }
    }

    /// Reads the entries of a team's directory or subdirectory, whose setting path is `prefix`.
    fn read_directory(&mut self, directory: &Path, team: &str, prefix: &str) {
        for entry in self.list_entries(directory) {
            let path = format!("{prefix}/{}", entry_name(&entry));
            match path.strip_suffix(".toml") {
                _ if entry.is_dir() => self.read_subdirectory(&entry, team, &path),
                Some(path) => self.read_file(&entry, team, path),
                None if is_markdown(&entry) => (),
                None => self.add_fault(DeclaredFault::UnknownFile { file: entry }),
            }
        }
    }

    /// Reads a subdirectory unless its name or the length of its path is invalid.
    fn read_subdirectory(&mut self, directory: &Path, team: &str, prefix: &str) {
        let file = directory.to_owned();
        match prefix {
            prefix if prefix.ends_with(".toml") => {
                self.add_fault(DeclaredFault::NamedAsFile { file })
            }
            // Also ends the recursion through symbolic links that form a cycle.
            prefix if prefix.len() > MAX_PATH_BYTES => {
                let error = PathError::TooLong(prefix.len());
                self.add_fault(DeclaredFault::Path { file, error });
            }
            prefix => self.read_directory(directory, team, prefix),
        }
    }

    fn read_file(&mut self, file: &Path, team: &str, path: &str) {
        match read_declaration(file, path) {
            Ok(body) => {
                let settings = self.teams.entry(team.to_owned()).or_default();
                settings.insert(path.to_owned(), body);
            }
            Err(fault) => self.add_fault(fault),
        }
    }

    /// Lists the entries that are not hidden, sorted by name. Lists none and records a fault if the
    /// directory cannot be read or [`MAX_ENTRIES`] is exceeded.
    fn list_entries(&mut self, directory: &Path) -> Vec<PathBuf> {
        let mut entries = match list_directory(directory) {
            Ok(entries) => entries,
            Err(source) => {
                self.add_fault(DeclaredFault::Read { file: directory.to_owned(), source });
                return Vec::new();
            }
        };
        let is_too_many = self.entry_count + entries.len() > MAX_ENTRIES;
        if is_too_many {
            self.add_fault(DeclaredFault::TooMany { directory: directory.to_owned() });
            entries.clear();
        }
        self.entry_count += entries.len();
        entries
    }

    fn add_fault(&mut self, fault: DeclaredFault) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(fault);
        }
    }
}

fn read_declaration(file: &Path, path: &str) -> Result<SettingBody, DeclaredFault> {
    let file = file.to_owned();
    if let Err(error) = check_path(path) {
        return Err(DeclaredFault::Path { file, error });
    }
    let text = match read_bounded(&file) {
        Ok(text) => text,
        Err(source) => return Err(DeclaredFault::Read { file, source }),
    };
    parse_declaration(&text).map_err(|fault| DeclaredFault::Text {
        file,
        path: path.to_owned(),
        fault,
    })
}

/// Reads a file up to 1 byte beyond [`MAX_DECLARATION_BYTES`], so that the parser refuses a larger
/// file without the whole of it in memory.
fn read_bounded(file: &Path) -> io::Result<String> {
    let mut bytes = Vec::new();
    fs::File::open(file)?.take(MAX_DECLARATION_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > MAX_DECLARATION_BYTES {
        // The bound may split a character, which must not hide that the file is too large.
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    String::from_utf8(bytes).map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))
}

fn list_directory(directory: &Path) -> io::Result<Vec<PathBuf>> {
    let mut entries = Vec::new();
    for entry in fs::read_dir(directory)? {
        entries.push(entry?.path());
    }
    entries.retain(|entry| !entry_name(entry).starts_with('.'));
    entries.sort();
    Ok(entries)
}

fn is_markdown(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "md")
}

/// Returns the file name; bytes that are not UTF-8 become a character that no setting path allows.
fn entry_name(path: &Path) -> String {
    path.file_name().unwrap_or_default().to_string_lossy().into_owned()
}
