//! Rate limits of the stand-in services.

use serde_json::json;
use types::prelude::*;

use crate::server::Reply;

/// Limits the calls in each second of the stand-in's clock.
#[derive(Debug, Clone, Default)]
pub(crate) struct RateLimit {
    max: u32,
    second: u64,
    calls: u32,
}

impl RateLimit {
    /// Creates a limit of `max` calls per second; 0 is no limit.
    pub(crate) fn new(max: u32) -> Self {
        Self {
            max,
            ..Self::default()
        }
    }

    /// Counts a call and returns whether it is within the limit.
    pub(crate) fn try_acquire(&mut self, now: Time) -> bool {
        let second = now.since(Time::ZERO).as_millis() / 1_000;
        if second != self.second {
            self.second = second;
            self.calls = 0;
        }
        self.calls += 1;
        self.max == 0 || self.calls <= self.max
    }

    /// Changes the limit, in calls per second; 0 is no limit.
    pub(crate) fn set(&mut self, max: u32) {
        self.max = max;
    }
}

/// Builds a 429 reply with a `Retry-After` header.
pub(crate) fn too_many_requests() -> Reply {
    let body = json!({ "error": "too many requests" });
    Reply::json(429, &body).with("retry-after", 1)
}
