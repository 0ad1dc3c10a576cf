//! Settings of the decisions in this crate.

use serde::{Deserialize, Serialize};

/// Settings for admission to plain services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverloadPolicy {
    /// Whether requests to congested services are refused, and loads are reported for that.
    pub refuses: bool,
}

impl Default for OverloadPolicy {
    fn default() -> Self {
        Self { refuses: true }
    }
}
