//! Places in TOML texts, for errors that an operator can follow.

use derive_more::Display;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// A line and a column of a text, both counted from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{line}:{column}")]
pub struct TextPlace {
    /// Line.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

impl TextPlace {
    /// The beginning of any text.
    pub const START: Self = Self { line: 1, column: 1 };

    /// Gives the place of a byte offset; one past the end counts as the end.
    pub fn of_offset(text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let last = before.rsplit('\n').next().unwrap_or_default();
        Self { line, column: last.chars().count() + 1 }
    }

    /// Gives the place of an error of the TOML reader.
    pub fn of_error(text: &str, err: &toml::de::Error) -> Self {
        err.span().map_or(Self::START, |span| Self::of_offset(text, span.start))
    }

    /// Gives the message of an error of the TOML reader, with the key where a value is at fault.
    ///
    /// The reader's own rendering shows the whole line, which may hold a secret.
    pub fn describe_error(text: &str, err: &toml::de::Error) -> String {
        let place = Self::of_error(text, err);
        let line = text.lines().nth(place.line - 1).unwrap_or_default();
        match line.split_once('=') {
            Some((key, _)) if key.chars().count() < place.column => {
                format!("`{}`: {}", key.trim(), err.message())
            }
            _ => err.message().to_owned(),
        }
    }

    /// Gives the place of a dotted key such as `spread.fan_out`, none where the text lacks it.
    pub fn of_key(text: &str, key: &str) -> Option<Self> {
        let table = DeTable::parse(text).ok()?.into_inner();
        let offset = offset_of(&table, key)?;
        Some(Self::of_offset(text, offset))
    }
}

fn offset_of(table: &DeTable<'_>, key: &str) -> Option<usize> {
    let (first, rest) = match key.split_once('.') {
        Some((first, rest)) => (first, Some(rest)),
        None => (key, None),
    };
    let (found, value) = table.iter().find(|(name, _)| name.get_ref() == first)?;
    match (rest, value.get_ref()) {
        (None, _) => Some(Spanned::span(found).start),
        (Some(rest), DeValue::Table(inner)) => offset_of(inner, rest),
        (Some(_), _) => None,
    }
}
