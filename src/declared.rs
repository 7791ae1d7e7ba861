//! Declarations in a directory kept in version control.

use std::{
    collections::BTreeMap,
    fmt, fs,
    io::{self, Read},
    path::{Path, PathBuf},
};

use sk_model::{
    DeclarationFault, MAX_DECLARATION_BYTES, MAX_PATH_BYTES, PathError, SettingBody, SettingPath,
    TeamName, check_path, check_team, parse_declaration,
};
use thiserror::Error;

/// Settings that a directory declares for one team.
pub type DeclaredSettings = BTreeMap<SettingPath, SettingBody>;

/// Declarations of every team.
pub type DeclaredTeams = BTreeMap<TeamName, DeclaredSettings>;

/// Most entries read below one directory. Far above a fleet's declarations; a wrong directory
/// named by mistake, such as a home, ends here and not in a full memory.
const MAX_ENTRIES: usize = 20_000;
/// Most faults listed. More of them have one cause, such as the wrong directory.
const MAX_FAULTS: usize = 100;

/// Why one entry of a directory is no declaration.
#[derive(Debug, Error)]
pub enum DeclaredFault {
    /// It cannot be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The entry.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Its name is not one that a declaration, a team or a note may have.
    #[error("{}: neither `.toml` nor `.md`; a mistyped name would be dropped without a word", file.display())]
    UnknownFile {
        /// The file.
        file: PathBuf,
    },
    /// It declares something outside every team's directory.
    #[error("{}: belongs to no team; allowed: DIR/<team>/<name>.toml", file.display())]
    NoTeam {
        /// The file.
        file: PathBuf,
    },
    /// A directory is named like a declaration.
    #[error("{}: a directory named as a declaration", file.display())]
    NamedAsFile {
        /// The directory.
        file: PathBuf,
    },
    /// Its place in the directory makes no path.
    #[error("{}: {error}", file.display())]
    Path {
        /// The entry.
        file: PathBuf,
        /// What is wrong with the path.
        error: PathError,
    },
    /// Its text is no declaration.
    #[error("{}:{fault} ({path})", file.display())]
    Text {
        /// The file.
        file: PathBuf,
        /// The path it would declare.
        path: SettingPath,
        /// Line, column and what is wrong there.
        fault: DeclarationFault,
    },
    /// There are more entries than one directory of declarations has.
    #[error("{}: more than {MAX_ENTRIES} entries", directory.display())]
    TooMany {
        /// The directory.
        directory: PathBuf,
    },
}

/// Everything that is wrong in a directory of declarations.
#[derive(Debug, Error)]
pub struct DeclaredFaults(pub Vec<DeclaredFault>);

impl fmt::Display for DeclaredFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

/// Why one team's declarations are not given.
#[derive(Debug, Error)]
pub enum TeamError {
    /// The directory has faults.
    #[error(transparent)]
    Faults(#[from] DeclaredFaults),
    /// The directory does not declare the team named.
    #[error("{} has no directory {team}", directory.display())]
    Missing {
        /// The directory.
        directory: PathBuf,
        /// The team.
        team: TeamName,
    },
    /// No team was named and the directory declares several.
    #[error("{} declares several teams; name one by --team", directory.display())]
    Several {
        /// The directory.
        directory: PathBuf,
    },
    /// The directory declares no team.
    #[error("{} has no directory of a team", directory.display())]
    NoTeam {
        /// The directory.
        directory: PathBuf,
    },
}

/// Reads every team's declarations: `DIR/<team>/a/b.toml` declares `/<team>/a/b`.
///
/// Hidden entries and `.md` files are passed over; any other name is a fault.
///
/// # Errors
///
/// Returns every fault found, each with its file and what is allowed. Nothing is given then.
pub fn read_declarations(directory: &Path) -> Result<DeclaredTeams, DeclaredFaults> {
    let mut reader = DirectoryReader::default();
    for entry in reader.list(directory) {
        reader.read_top(&entry);
    }
    match reader.faults.is_empty() {
        true => Ok(reader.teams),
        false => Err(DeclaredFaults(reader.faults)),
    }
}

/// Reads the declarations of one team: the one named, or the only one there is.
///
/// # Errors
///
/// Returns the faults of the directory, or that the team is not clear.
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
        None if teams.len() > 1 => Err(TeamError::Several { directory }),
        None => teams.pop_first().ok_or(TeamError::NoTeam { directory }),
    }
}

/// What was read so far.
#[derive(Default)]
struct DirectoryReader {
    teams: DeclaredTeams,
    faults: Vec<DeclaredFault>,
    entries: usize,
}

impl DirectoryReader {
    fn read_top(&mut self, entry: &Path) {
        let file = entry.to_owned();
        let team = name_of(entry);
        match check_team(&team) {
            _ if !entry.is_dir() && is_note(entry) => (),
            _ if !entry.is_dir() => self.fault(DeclaredFault::NoTeam { file }),
            Err(error) => self.fault(DeclaredFault::Path { file, error }),
            Ok(()) => {
                self.teams.entry(team.clone()).or_default();
                self.read_directory(entry, &team, &format!("/{team}"));
            }
        }
    }

    fn read_directory(&mut self, directory: &Path, team: &str, prefix: &str) {
        for entry in self.list(directory) {
            let path = format!("{prefix}/{}", name_of(&entry));
            match path.strip_suffix(".toml") {
                _ if entry.is_dir() => self.read_inner(&entry, team, &path),
                Some(path) => self.read_file(&entry, team, path),
                None if is_note(&entry) => (),
                None => self.fault(DeclaredFault::UnknownFile { file: entry }),
            }
        }
    }

    fn read_inner(&mut self, directory: &Path, team: &str, prefix: &str) {
        let file = directory.to_owned();
        match prefix {
            prefix if prefix.ends_with(".toml") => self.fault(DeclaredFault::NamedAsFile { file }),
            // Also ends a walk through links that lead back to where they stand.
            prefix if prefix.len() > MAX_PATH_BYTES => {
                let error = PathError::TooLong(prefix.len());
                self.fault(DeclaredFault::Path { file, error });
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
            Err(fault) => self.fault(fault),
        }
    }

    /// Lists the entries that are not hidden, by name.
    fn list(&mut self, directory: &Path) -> Vec<PathBuf> {
        let mut entries = match list_directory(directory) {
            Ok(entries) => entries,
            Err(source) => {
                self.fault(DeclaredFault::Read { file: directory.to_owned(), source });
                return Vec::new();
            }
        };
        let is_full = self.entries + entries.len() > MAX_ENTRIES;
        if is_full {
            self.fault(DeclaredFault::TooMany { directory: directory.to_owned() });
            entries.clear();
        }
        self.entries += entries.len();
        entries
    }

    fn fault(&mut self, fault: DeclaredFault) {
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

/// Reads one byte more than is allowed at most, so that the parser's own bound refuses the rest.
fn read_bounded(file: &Path) -> io::Result<String> {
    let mut bytes = Vec::new();
    fs::File::open(file)?.take(MAX_DECLARATION_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > MAX_DECLARATION_BYTES {
        // The cut may have split a character.
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    String::from_utf8(bytes).map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))
}

fn list_directory(directory: &Path) -> io::Result<Vec<PathBuf>> {
    let mut entries = Vec::new();
    for entry in fs::read_dir(directory)? {
        entries.push(entry?.path());
    }
    entries.retain(|entry| !name_of(entry).starts_with('.'));
    entries.sort();
    Ok(entries)
}

fn is_note(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "md")
}

/// Gives the name; bytes that are no text turn into a character that no path allows.
fn name_of(path: &Path) -> String {
    path.file_name().unwrap_or_default().to_string_lossy().into_owned()
}
