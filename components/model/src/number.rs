//! Numbers that other systems write whole or with a fraction.

use serde::{Deserialize, Deserializer, de};

/// Returns the largest whole number that is not above `number`, at most the largest of its type;
/// `None` if `number` is negative or no number.
pub fn floor_number<T: TryFrom<u64> + Bounded>(number: f64) -> Option<T> {
    // The cast drops the fraction and stops at the largest number.
    (number >= 0.0).then(|| T::try_from(number as u64).unwrap_or(T::MAX))
}

/// Unsigned types and their largest numbers.
pub trait Bounded {
    /// The largest number of the type.
    const MAX: Self;
}

macro_rules! impl_bounded {
    ($($number:ty),*) => {
        $(impl Bounded for $number {
            const MAX: Self = <$number>::MAX;
        })*
    };
}

impl_bounded!(u8, u32, u64);

/// Reads a limit for serde's `deserialize_with`, rounded down as by [`floor_number`].
///
/// # Errors
///
/// Returns an error if the value is negative or no number.
pub fn deserialize_floor<'de, D: Deserializer<'de>, T: TryFrom<u64> + Bounded>(
    deserializer: D,
) -> Result<T, D::Error> {
    floor_or_error(f64::deserialize(deserializer)?)
}

/// Reads an optional limit for serde's `deserialize_with`, rounded down as by [`floor_number`].
///
/// # Errors
///
/// Returns an error if the value is negative or no number.
pub fn deserialize_floor_option<'de, D: Deserializer<'de>, T: TryFrom<u64> + Bounded>(
    deserializer: D,
) -> Result<Option<T>, D::Error> {
    Option::<f64>::deserialize(deserializer)?.map(floor_or_error).transpose()
}

/// Rounds a number down, or returns the error of one that is negative.
fn floor_or_error<T: TryFrom<u64> + Bounded, E: de::Error>(number: f64) -> Result<T, E> {
    let error = || E::invalid_value(de::Unexpected::Float(number), &"a number of at least 0");
    floor_number(number).ok_or_else(error)
}
