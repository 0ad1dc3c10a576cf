//! Names and numbers that identify daemons, entries, requests and the like.
//!
//! Names come from settings, the catalogue and callers. They are short, printable and safe to use
//! in keys of the store, HTTP headers and metric labels.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use rand::{Rng, RngExt};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Error for a text that is not a name or id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name is empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`]; holds its length in bytes.
    #[error("a name has {0} bytes, at most {MAX_NAME_BYTES} are allowed")]
    TooLong(usize),
    /// A character is not an ASCII letter, a digit or one of `-`, `_`, `.`, `:` and `/`.
    #[error("a name holds {0:?}; letters, digits and - _ . : are allowed")]
    BadCharacter(char),
    /// The text is not a number or id of the expected form.
    #[error("{0:?} is not an id of the expected form")]
    BadNumber(String),
}

/// Checks a name's length and characters.
///
/// # Errors
/// Fails if the text is empty, too long or has a character that is not allowed.
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
            /// Fails if the text is not a valid name, see [`check_name`].
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as text.
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
    /// Name of a fleet of daemons that share one catalogue.
    ClusterName
);
name_type!(
    /// Id of a daemon: the name in its settings.
    DaemonId
);
name_type!(
    /// Name of a part of the platform whose hosts can fail together.
    FailureDomain
);
name_type!(
    /// Name of a group of failure domains near each other.
    Region
);
name_type!(
    /// Id of a customer.
    CustomerId
);
name_type!(
    /// Name of an entry of the catalogue, such as `offers/brief-writer`.
    EntryName
);
name_type!(
    /// Name of a class of work that has its own quality target.
    ClassName
);
name_type!(
    /// Id of an upstream: a model engine or an instance of a plain service.
    UpstreamId
);
name_type!(
    /// Id of a request, unique per customer within the retry window.
    RequestId
);
name_type!(
    /// Id of a session, chosen by its caller or taken from a signed token.
    SessionId
);
name_type!(
    /// Name of an operator or of a team of operators.
    OperatorName
);

impl RequestId {
    /// Creates a random id, for requests sent without one.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(Arc::from(format!("req-{:032x}", rng.random::<u128>())))
    }
}

/// Id of an edit of the catalogue, never reused.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct EditId(pub u128);

impl EditId {
    /// Creates a random id.
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
            /// Returns the number that follows.
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
    /// Revision of the catalogue: 0 before the first edit, incremented by each edit.
    Revision
);
number_type!(
    /// Incarnation of a daemon; each restart has a larger one.
    Incarnation
);
