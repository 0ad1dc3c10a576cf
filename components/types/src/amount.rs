//! Types for counts, money, sizes, rates and shares.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign};
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Error for a text that is not an amount of the expected form.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not {expected}")]
pub struct AmountError {
    text: String,
    expected: &'static str,
}

impl AmountError {
    fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.to_owned(),
            expected,
        }
    }
}

macro_rules! sum_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
                iter.fold(Self::default(), Add::add)
            }
        }
    };
}

sum_type!(
    /// A count of model tokens.
    Tokens
);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Tokens {
    type Err = AmountError;

    fn from_str(text: &str) -> Result<Self, AmountError> {
        text.parse()
            .map(Self)
            .map_err(|_| AmountError::new(text, "a count of tokens"))
    }
}

sum_type!(
    /// An amount of money in millionths of the operators' currency, written `0.002500`.
    Cost
);

const COST_PER_UNIT: u64 = 1_000_000;
const COST_DIGITS: usize = 6;

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:06}",
            self.0 / COST_PER_UNIT,
            self.0 % COST_PER_UNIT
        )
    }
}

impl FromStr for Cost {
    type Err = AmountError;

    fn from_str(text: &str) -> Result<Self, AmountError> {
        let error = || AmountError::new(text, "a sum such as 0.002500");
        let (whole, part) = text.split_once('.').unwrap_or((text, ""));
        if part.len() > COST_DIGITS || !part.bytes().all(|b| b.is_ascii_digit()) {
            return Err(error());
        }
        let whole: u64 = whole.parse().map_err(|_| error())?;
        let part: u64 = format!("{part:0<COST_DIGITS$}")
            .parse()
            .map_err(|_| error())?;
        let scaled = whole.checked_mul(COST_PER_UNIT).ok_or_else(error)?;
        Ok(Self(scaled + part))
    }
}

sum_type!(
    /// A size in bytes, written `512`, `64KiB` or `1MiB`.
    ByteSize
);

const BYTE_UNITS: [(&str, u64); 3] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)];

impl ByteSize {
    /// Converts to a buffer length; a size too large for `usize` becomes `usize::MAX`.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit = BYTE_UNITS
            .iter()
            .find(|(_, size)| self.0 >= *size && self.0.is_multiple_of(*size));
        match unit {
            Some((name, size)) => write!(f, "{}{name}", self.0 / size),
            None => write!(f, "{}", self.0),
        }
    }
}

impl FromStr for ByteSize {
    type Err = AmountError;

    fn from_str(text: &str) -> Result<Self, AmountError> {
        let error = || AmountError::new(text, "a size such as 64KiB");
        let unit = BYTE_UNITS.iter().find(|(name, _)| text.ends_with(name));
        let (digits, size) = match unit {
            Some((name, size)) => (text.trim_end_matches(name).trim(), *size),
            None => (text, 1),
        };
        let count: u64 = digits.parse().map_err(|_| error())?;
        count.checked_mul(size).map(Self).ok_or_else(error)
    }
}

/// A number of events per second, written `50/s`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, PartialOrd, SerializeDisplay, DeserializeFromStr,
)]
pub struct Rate(pub f64);

impl Rate {
    /// Returns the number of events in `span` at this rate.
    #[must_use]
    pub fn over(self, span: crate::time::Span) -> f64 {
        self.0 * span.as_secs_f64()
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = AmountError;

    fn from_str(text: &str) -> Result<Self, AmountError> {
        let number = text.trim_end_matches("/s").trim().parse().ok();
        let rate = number.filter(|n: &f64| n.is_finite() && *n >= 0.0);
        rate.map(Self)
            .ok_or_else(|| AmountError::new(text, "a rate such as 50/s"))
    }
}

/// A part of a whole, from 0 to 1, written `0.95`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, PartialOrd, SerializeDisplay, DeserializeFromStr,
)]
pub struct Share(f64);

impl Share {
    /// The share 0.
    pub const NONE: Self = Self(0.0);
    /// The share 1.
    pub const ALL: Self = Self(1.0);

    /// Creates a share from a number from 0 to 1.
    ///
    /// # Errors
    /// Fails if the number is out of this range or not a number.
    pub fn new(part: f64) -> Result<Self, AmountError> {
        if (0.0..=1.0).contains(&part) {
            Ok(Self(part))
        } else {
            Err(AmountError::new(&part.to_string(), "a share from 0 to 1"))
        }
    }

    /// Returns the share nearest to a number; NaN becomes 0.
    #[must_use]
    pub fn clamped(part: f64) -> Self {
        if part.is_nan() {
            Self::NONE
        } else {
            Self(part.clamp(0.0, 1.0))
        }
    }

    /// Returns the share as a number from 0 to 1.
    #[must_use]
    pub fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Share {
    type Err = AmountError;

    fn from_str(text: &str) -> Result<Self, AmountError> {
        let number = text
            .parse()
            .map_err(|_| AmountError::new(text, "a share from 0 to 1"))?;
        Self::new(number).map_err(|_| AmountError::new(text, "a share from 0 to 1"))
    }
}
