//! Renders the writes of a change as a unified diff of the settings' TOML, for review before an
//! apply.

use std::{cmp::max, collections::BTreeMap, fmt::Write};

use sk_model::{SettingBody, SettingPath, SettingWrites, Version};

/// Most differing lines for which the longest common subsequence is computed. Its table grows with
/// the square of this; longer runs, such as a replaced value, are shown as removed and added.
const MAX_ALIGNED_LINES: usize = 500;

/// Numbers of settings that a change adds, changes and withdraws.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteCounts {
    /// Settings that did not exist.
    pub added: usize,
    /// Settings whose body is replaced.
    pub changed: usize,
    /// Settings withdrawn.
    pub withdrawn: usize,
}

/// Counts a change's writes by their effect on the accepted settings.
pub fn count_writes(
    accepted: &BTreeMap<SettingPath, SettingBody>,
    writes: &SettingWrites,
) -> WriteCounts {
    let mut counts = WriteCounts::default();
    for (path, body) in writes {
        match (accepted.contains_key(path), body) {
            (_, None) => counts.withdrawn += 1,
            (true, Some(_)) => counts.changed += 1,
            (false, Some(_)) => counts.added += 1,
        }
    }
    counts
}

/// Renders writes as a unified diff of each setting's TOML, with the whole setting as context.
/// `version` is that of the accepted settings.
pub fn render_writes(
    accepted: &BTreeMap<SettingPath, SettingBody>,
    version: Version,
    writes: &SettingWrites,
) -> String {
    let mut text = String::new();
    for (path, body) in writes {
        render_write(&mut text, path, version, accepted.get(path), body.as_ref());
    }
    text
}

fn render_write(
    text: &mut String,
    path: &str,
    version: Version,
    before: Option<&SettingBody>,
    after: Option<&SettingBody>,
) {
    let old = before.map_or("/dev/null".to_owned(), |_| format!("{path} (version {version})"));
    let new = after.map_or("/dev/null", |_| path);
    // Writing to a string cannot fail.
    let _ = writeln!(text, "--- {old}\n+++ {new}");
    let (before, after) = (body_lines(before), body_lines(after));
    for (sign, line) in diff_lines(&before, &after) {
        let _ = writeln!(text, "{sign}{line}");
    }
}

fn body_lines(body: Option<&SettingBody>) -> Vec<String> {
    let text = body.and_then(|body| toml::to_string(body).ok()).unwrap_or_default();
    text.lines().map(str::to_owned).collect()
}

/// Returns the lines of both texts, marked ` ` for kept, `-` for removed and `+` for added.
fn diff_lines<'a>(before: &'a [String], after: &'a [String]) -> Vec<(char, &'a str)> {
    let head = count_equal(before.iter(), after.iter());
    let (before_rest, after_rest) = (&before[head..], &after[head..]);
    let tail = count_equal(before_rest.iter().rev(), after_rest.iter().rev());
    let (before_mid, before_tail) = before_rest.split_at(before_rest.len() - tail);
    let after_mid = &after_rest[..after_rest.len() - tail];
    let kept = |line: &'a String| (' ', line.as_str());
    let mut lines: Vec<_> = before[..head].iter().map(kept).collect();
    lines.extend(align_lines(before_mid, after_mid));
    lines.extend(before_tail.iter().map(kept));
    lines
}

/// Counts the equal lines at the beginning of both.
fn count_equal<'a>(
    first: impl Iterator<Item = &'a String>,
    second: impl Iterator<Item = &'a String>,
) -> usize {
    first.zip(second).take_while(|(first, second)| first == second).count()
}

/// Aligns two runs of lines along their longest common subsequence.
fn align_lines<'a>(before: &'a [String], after: &'a [String]) -> Vec<(char, &'a str)> {
    let removed = |line: &'a String| ('-', line.as_str());
    let added = |line: &'a String| ('+', line.as_str());
    if before.len().max(after.len()) > MAX_ALIGNED_LINES {
        return before.iter().map(removed).chain(after.iter().map(added)).collect();
    }
    let common = common_suffix_lengths(before, after);
    let (mut old, mut new) = (0, 0);
    let mut lines = Vec::new();
    while old < before.len() && new < after.len() {
        match before[old] == after[new] {
            true => {
                lines.push((' ', before[old].as_str()));
                (old, new) = (old + 1, new + 1);
            }
            false if common[old + 1][new] >= common[old][new + 1] => {
                lines.push(removed(&before[old]));
                old += 1;
            }
            false => {
                lines.push(added(&after[new]));
                new += 1;
            }
        }
    }
    lines.extend(before[old..].iter().map(removed));
    lines.extend(after[new..].iter().map(added));
    lines
}

/// Returns, for each pair of indexes, the length of the longest common subsequence of the rests
/// that begin there.
fn common_suffix_lengths(before: &[String], after: &[String]) -> Vec<Vec<usize>> {
    let mut common = vec![vec![0; after.len() + 1]; before.len() + 1];
    for old in (0..before.len()).rev() {
        for new in (0..after.len()).rev() {
            common[old][new] = match before[old] == after[new] {
                true => common[old + 1][new + 1] + 1,
                false => max(common[old + 1][new], common[old][new + 1]),
            };
        }
    }
    common
}
