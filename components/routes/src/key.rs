//! Callers' keys.

use std::fmt;
use std::sync::Arc;

/// A secret that shows which customer a caller belongs to. Not printed.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Wraps a key's text.
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

/// Who a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The customer's name, as upstreams are told it.
    pub name: Arc<str>,
    /// Goes before the route's rank, 0 first.
    pub rank: Option<u8>,
}
