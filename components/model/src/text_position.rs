//! Positions in TOML texts, so that errors show operators the line and column.

use derive_more::Display;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// A position in a text: line and column, both counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{line}:{column}")]
pub struct TextPosition {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

impl TextPosition {
    /// The start of any text.
    pub const START: Self = Self { line: 1, column: 1 };

    /// Returns the position of a byte offset; an offset past the end counts as the end.
    pub fn of_offset(text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let last = before.rsplit('\n').next().unwrap_or_default();
        Self { line, column: last.chars().count() + 1 }
    }

    /// Returns the position of an error of the TOML parser, or the start where it has none.
    pub fn of_error(text: &str, err: &toml::de::Error) -> Self {
        err.span().map_or(Self::START, |span| Self::of_offset(text, span.start))
    }

    /// Returns the message of an error of the TOML parser, with the key where a value is invalid.
    ///
    /// The parser's own rendering quotes the whole line, which may hold a secret.
    pub fn describe_error(text: &str, err: &toml::de::Error) -> String {
        let position = Self::of_error(text, err);
        let line = text.lines().nth(position.line - 1).unwrap_or_default();
        match line.split_once('=') {
            Some((key, _)) if key.chars().count() < position.column => {
                format!("`{}`: {}", key.trim(), err.message())
            }
            _ => err.message().to_owned(),
        }
    }

    /// Returns the position of a dotted key such as `spread.fan_out`, `None` where it is missing.
    pub fn of_key(text: &str, key: &str) -> Option<Self> {
        let table = DeTable::parse(text).ok()?.into_inner();
        let offset = find_key_offset(&table, key)?;
        Some(Self::of_offset(text, offset))
    }
}

/// Returns the byte offset of a dotted key, `None` where the table lacks it.
fn find_key_offset(table: &DeTable<'_>, key: &str) -> Option<usize> {
    let (first, rest) = match key.split_once('.') {
        Some((first, rest)) => (first, Some(rest)),
        None => (key, None),
    };
    let (found_key, value) = table.iter().find(|(name, _)| name.get_ref() == first)?;
    match (rest, value.get_ref()) {
        (None, _) => Some(Spanned::span(found_key).start),
        (Some(rest), DeValue::Table(inner)) => find_key_offset(inner, rest),
        (Some(_), _) => None,
    }
}
