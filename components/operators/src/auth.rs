//! Bearer tokens, one or more for each operator.

use std::collections::BTreeMap;

use catalogue::entry::KeyHash;
use types::prelude::*;

const SCHEME: &str = "Bearer ";

/// Tokens of the operators. Only hashes are kept, so that a dump cannot show a token and
/// comparing takes the same time whatever was sent.
#[derive(Debug, Clone, Default)]
pub struct Tokens {
    operators: BTreeMap<KeyHash, OperatorName>,
}

impl Tokens {
    /// Takes the tokens of the settings.
    pub fn new<'a>(tokens: impl IntoIterator<Item = (&'a OperatorName, &'a String)>) -> Self {
        let hashed = tokens.into_iter();
        let hashed = hashed.map(|(name, token)| (KeyHash::from_key(token), name.clone()));
        Self {
            operators: hashed.collect(),
        }
    }

    /// Whose token an `Authorization` header carries.
    #[must_use]
    pub fn operator(&self, header: Option<&str>) -> Option<&OperatorName> {
        let token = header?.strip_prefix(SCHEME)?.trim();
        self.operators.get(&KeyHash::from_key(token))
    }
}
