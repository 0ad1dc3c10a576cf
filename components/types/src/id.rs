//! Names and numbers that identify things.
//!
//! Names come from settings, the catalogue and callers. They are short, printable
//! and safe to use in a key of the store, a header or a metric's label.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use rand::{Rng, RngExt};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a text is not a name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// Nothing was given.
    #[error("a name is empty")]
    Empty,
    /// Longer than [`MAX_NAME_BYTES`].
    #[error("a name has {0} bytes, at most {MAX_NAME_BYTES} are allowed")]
    TooLong(usize),
    /// A character outside letters, digits, `-`, `_`, `.`, `:` and `/`.
    #[error("a name holds {0:?}; letters, digits and - _ . : are allowed")]
    BadCharacter(char),
    /// Not a number of the expected form.
    #[error("{0:?} is not an id of the expected form")]
    BadNumber(String),
}

/// Checks a name's length and characters.
///
/// # Errors
/// Says what is wrong with the first offending part.
pub fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    match text.chars().find(|c| !is_name_character(*c)) {
        Some(bad) => Err(NameError::BadCharacter(bad)),
        None => Ok(()),
    }
}

fn is_name_character(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '/')
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and wraps a text.
            ///
            /// # Errors
            /// Says which rule the text breaks.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!(stringify!($name), "({})"), self.0)
            }
        }
    };
}

name_type!(
    /// A fleet of daemons that share one catalogue.
    ClusterName
);
name_type!(
    /// A daemon, by the name in its settings.
    DaemonId
);
name_type!(
    /// A part of the platform that fails as one.
    FailureDomain
);
name_type!(
    /// A group of failure domains near each other.
    Region
);
name_type!(
    /// A customer of the operators.
    CustomerId
);
name_type!(
    /// An entry of the catalogue, such as `offers/brief-writer`.
    EntryName
);
name_type!(
    /// A kind of work with a quality target of its own.
    ClassName
);
name_type!(
    /// A model engine or an instance of a plain service.
    UpstreamId
);
name_type!(
    /// A request, unique for its customer within the retry window.
    RequestId
);
name_type!(
    /// A session, as named by its caller or by a signed token.
    SessionId
);
name_type!(
    /// Who made an edit.
    OperatorName
);

impl RequestId {
    /// A fresh id, for callers that gave none.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(Arc::from(format!("req-{:032x}", rng.random::<u128>())))
    }
}

/// One edit of the catalogue, unique for ever.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct EditId(pub u128);

impl EditId {
    /// A fresh id.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for EditId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let number = u128::from_str_radix(text, 16);
        number
            .map(Self)
            .map_err(|_| NameError::BadNumber(text.to_owned()))
    }
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The one that follows.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                text.parse().map(Self).map_err(|_| NameError::BadNumber(text.to_owned()))
            }
        }
    };
}

number_type!(
    /// A revision of the catalogue: 0 before the first edit, then one more for each.
    Revision
);
number_type!(
    /// Tells a daemon's restarts apart; larger is later.
    Incarnation
);
