//! Authentication of operators by bearer token; an operator may have several.

use std::collections::BTreeMap;

use catalogue::entry::KeyHash;
use types::prelude::*;

const SCHEME: &str = "Bearer ";

/// Tokens of the operators. Only hashes are stored, so that a dump cannot reveal a token and
/// the time of a look-up tells nothing about the tokens.
#[derive(Debug, Clone, Default)]
pub struct Tokens {
    operators: BTreeMap<KeyHash, OperatorName>,
}

impl Tokens {
    /// Hashes the tokens from the settings.
    pub fn new<'a>(tokens: impl IntoIterator<Item = (&'a OperatorName, &'a String)>) -> Self {
        let hashed = tokens.into_iter();
        let hashed = hashed.map(|(name, token)| (KeyHash::from_key(token), name.clone()));
        Self {
            operators: hashed.collect(),
        }
    }

    /// Returns the operator whose token an `Authorization` header carries.
    #[must_use]
    pub fn operator(&self, header: Option<&str>) -> Option<&OperatorName> {
        let token = header?.strip_prefix(SCHEME)?.trim();
        self.operators.get(&KeyHash::from_key(token))
    }
}
