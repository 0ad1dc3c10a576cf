//! Rate limits that upstreams advertise in their answers.

use ratelimit::{Advertised, Change, RateLimits};
use types::prelude::*;

use crate::upstreams::{UpstreamIndex, Upstreams};

impl Upstreams {
    /// The rate limits known.
    #[must_use]
    pub fn rate_limits(&self) -> &RateLimits {
        &self.limits
    }

    /// Whether an upstream advertises a rate limit.
    #[must_use]
    pub fn is_rate_limited(&self, index: UpstreamIndex) -> bool {
        let entry = self.entries.get(&index);
        entry.is_some_and(|entry| self.limits.is_limited(entry.run))
    }

    /// Takes what an upstream's answer says of its rate limit.
    pub fn observe_rate_limit(
        &mut self,
        now: Time,
        index: UpstreamIndex,
        sent_at: Time,
        said: Advertised,
    ) -> Option<Change> {
        let run = self.entries.get(&index)?.run;
        self.limits.observe(now, run, sent_at, said)
    }
}
