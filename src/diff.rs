//! What a change writes, from what is accepted to what is declared.

use std::collections::BTreeMap;

use sk_model::{SettingBody, SettingPath, SettingWrites};

use crate::declared::DeclaredSettings;

/// Gives the writes that lead from the accepted settings to the declared ones.
pub fn make_writes(
    accepted: &BTreeMap<SettingPath, SettingBody>,
    declared: &DeclaredSettings,
) -> SettingWrites {
    let mut writes = SettingWrites::new();
    for (path, body) in declared {
        if accepted.get(path) != Some(body) {
            writes.insert(path.clone(), Some(body.clone()));
        }
    }
    for path in accepted.keys().filter(|path| !declared.contains_key(*path)) {
        writes.insert(path.clone(), None);
    }
    writes
}

/// Renders writes as version control does: `+` for new, `~` for changed, `-` for withdrawn, with
/// the lines of the bodies that differ.
pub fn render_writes(
    accepted: &BTreeMap<SettingPath, SettingBody>,
    writes: &SettingWrites,
) -> String {
    let mut text = String::new();
    for (path, body) in writes {
        let before = accepted.get(path).map(body_lines).unwrap_or_default();
        let after = body.as_ref().map(body_lines).unwrap_or_default();
        let sign = match (before.is_empty(), after.is_empty()) {
            (true, _) => '+',
            (_, true) => '-',
            _ => '~',
        };
        text.push_str(&format!("{sign} {path}\n"));
        for line in before.iter().filter(|line| !after.contains(line)) {
            text.push_str(&format!("    - {line}\n"));
        }
        for line in after.iter().filter(|line| !before.contains(line)) {
            text.push_str(&format!("    + {line}\n"));
        }
    }
    text
}

fn body_lines(body: &SettingBody) -> Vec<String> {
    let text = toml::to_string(body).unwrap_or_default();
    text.lines().map(str::to_owned).collect()
}
