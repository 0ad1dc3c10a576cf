//! The limits that one daemon knows.

use std::collections::HashMap;

use types::prelude::*;

use crate::advertised::{Advertised, Change, RunKey};

/// One upstream's limit.
#[derive(Debug)]
struct Limit {
    rate: Rate,
    /// When it became known here.
    named_at: Time,
    /// When an answer last named it.
    heard_at: Time,
    /// Requests sent to the upstream since.
    sent: u64,
}

/// The limits that one daemon knows.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: HashMap<RunKey, Limit>,
    invalid: u64,
}

impl RateLimits {
    /// Takes what an answer says whose request was sent at `sent_at`.
    ///
    /// Answers overtake each other: one without a limit lifts it only if its request was sent after
    /// the limit was last named.
    pub fn observe(
        &mut self,
        now: Time,
        run: RunKey,
        sent_at: Time,
        said: Advertised,
    ) -> Option<Change> {
        match said {
            Advertised::Nothing => self.lift(now, run, sent_at),
            Advertised::Limit(rate) => self.name(now, run, rate),
            Advertised::Invalid => {
                self.invalid += 1;
                None
            }
        }
    }

    fn name(&mut self, now: Time, run: RunKey, rate: Rate) -> Option<Change> {
        let Some(limit) = self.limits.get_mut(&run) else {
            let limit = Limit {
                rate,
                named_at: now,
                heard_at: now,
                sent: 0,
            };
            self.limits.insert(run, limit);
            return Some(Change::Named(rate));
        };
        limit.heard_at = now;
        let before = std::mem::replace(&mut limit.rate, rate);
        (before != rate).then_some(Change::Changed(rate))
    }

    fn lift(&mut self, now: Time, run: RunKey, sent_at: Time) -> Option<Change> {
        let limit = self.limits.get(&run)?;
        if sent_at <= limit.heard_at {
            return None;
        }
        let limit = self.limits.remove(&run)?;
        Some(Change::Lifted {
            after: now.since(limit.named_at),
            sent: limit.sent,
        })
    }

    /// Counts a request that is sent.
    pub fn sent(&mut self, run: RunKey) {
        if let Some(limit) = self.limits.get_mut(&run) {
            limit.sent += 1;
        }
    }

    /// Whether an upstream has a limit.
    #[must_use]
    pub fn is_limited(&self, run: RunKey) -> bool {
        self.limits.contains_key(&run)
    }

    /// Upstreams that have a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether no upstream has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Answers with a limit that could not be read.
    #[must_use]
    pub fn invalid(&self) -> u64 {
        self.invalid
    }
}
