//! Failure domains that operators evacuate: their upstreams get no new requests, and finish those
//! that they have.

use std::collections::BTreeSet;
use std::sync::Arc;

use types::prelude::*;

use crate::upstreams::{Entry, UpstreamIndex, Upstreams};

impl Entry {
    /// Whether it gets new requests.
    pub(crate) fn takes_requests(&self) -> bool {
        !self.is_leaving && !self.is_evacuated
    }
}

impl Upstreams {
    /// Sets the failure domains whose upstreams get no new requests. Upstreams of a domain that is no
    /// longer evacuated may be cold.
    pub fn set_evacuated(&mut self, now: Time, evacuated: &Arc<BTreeSet<FailureDomain>>) {
        if self.evacuated == *evacuated {
            return;
        }
        self.evacuated = Arc::clone(evacuated);
        self.assume_cold(now, |entry| {
            entry.is_evacuated && !evacuated.contains(&entry.spec.failure_domain)
        });
        for entry in self.entries.values_mut() {
            entry.is_evacuated = evacuated.contains(&entry.spec.failure_domain);
        }
    }

    /// Whether an upstream gets new requests.
    #[must_use]
    pub fn takes_requests(&self, index: UpstreamIndex) -> bool {
        let entry = self.entries.get(&index);
        entry.is_some_and(Entry::takes_requests)
    }
}
