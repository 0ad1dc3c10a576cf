//! Models and their versions, written `tariff-large@2026-11`.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::id::{NameError, check_name};

macro_rules! version_part {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }
        }
    };
}

version_part!(
    /// Name of a model, such as `tariff-large`.
    ModelName
);
version_part!(
    /// Name of a version of a model, such as `2026-11`.
    VersionName
);

/// Id of a version: the names of a model and of one of its versions.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct VersionId {
    /// Name of the model.
    pub model: ModelName,
    /// Name of the version.
    pub version: VersionName,
}

impl VersionId {
    /// Creates the id of a model's version.
    #[must_use]
    pub fn new(model: ModelName, version: VersionName) -> Self {
        Self { model, version }
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)
    }
}

impl FromStr for VersionId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let parts = text.split_once('@');
        let (model, version) = parts.ok_or_else(|| NameError::BadNumber(text.to_owned()))?;
        Ok(Self {
            model: model.parse()?,
            version: version.parse()?,
        })
    }
}
