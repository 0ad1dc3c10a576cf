//! What is known beside the configuration.

use std::collections::BTreeMap;

/// Facts that are not in the configuration; findings that need an absent one are left out.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Known {
    /// The bound on retries.
    pub retries: Option<RetryBound>,
    /// Number of upstreams by service.
    pub upstreams: BTreeMap<String, u32>,
}

/// The bound on retries of a service over a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond that, of the whole fleet.
    pub allowance: f64,
}

impl RetryBound {
    /// Most attempts that a request by itself may have: the first, and as many retries as the
    /// bound has for one request.
    pub(crate) fn max_attempts(self) -> u32 {
        // A float that is out of range becomes the nearest integer.
        ((self.ratio + self.allowance).floor() as u32).saturating_add(1)
    }
}
