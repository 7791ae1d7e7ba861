//! Numbers that other systems write whole or with a fraction.

use std::{fmt, marker::PhantomData};

use serde::{Deserializer, de};

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
    deserializer.deserialize_any(FloorVisitor(PhantomData))
}

/// Reads an optional limit for serde's `deserialize_with`, rounded down as by [`floor_number`].
///
/// # Errors
///
/// Returns an error if the value is negative or no number.
pub fn deserialize_floor_option<'de, D: Deserializer<'de>, T: TryFrom<u64> + Bounded>(
    deserializer: D,
) -> Result<Option<T>, D::Error> {
    deserializer.deserialize_option(OptionVisitor(PhantomData))
}

/// Reads a number that is not negative.
struct FloorVisitor<T>(PhantomData<T>);

impl<T: TryFrom<u64> + Bounded> de::Visitor<'_> for FloorVisitor<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number of at least 0")
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<T, E> {
        Ok(T::try_from(number).unwrap_or(T::MAX))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<T, E> {
        match u64::try_from(number) {
            Ok(number) => self.visit_u64(number),
            Err(_) => Err(E::invalid_value(de::Unexpected::Signed(number), &self)),
        }
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<T, E> {
        floor_number(number).ok_or_else(|| E::invalid_value(de::Unexpected::Float(number), &self))
    }
}

/// Reads a number that is not negative, or none.
struct OptionVisitor<T>(PhantomData<T>);

impl<'de, T: TryFrom<u64> + Bounded> de::Visitor<'de> for OptionVisitor<T> {
    type Value = Option<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number of at least 0, or none")
    }

    fn visit_none<E: de::Error>(self) -> Result<Option<T>, E> {
        Ok(None)
    }

    fn visit_unit<E: de::Error>(self) -> Result<Option<T>, E> {
        Ok(None)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Option<T>, D::Error> {
        deserialize_floor(deserializer).map(Some)
    }
}
