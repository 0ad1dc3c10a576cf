//! API keys of callers and the customers they belong to.

use std::fmt;
use std::sync::Arc;

/// A secret key that identifies the customer of a caller. `Debug` does not print it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Creates a key from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// The key's text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(hidden)")
    }
}

/// The customer that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name that is sent to upstreams.
    pub name: Arc<str>,
    /// Rank that overrides the route's rank; 0 is served first.
    pub rank: Option<u8>,
}
