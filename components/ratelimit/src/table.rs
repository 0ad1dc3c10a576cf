//! The limits that one daemon knows.

use std::collections::BTreeMap;
use std::sync::Arc;

use types::prelude::*;

use crate::advertised::{Advertised, Advertisement, Change, RunKey};
use crate::fleet::{Fleet, SETTLE};
use crate::limit::Limit;

/// A limit that nobody has heard of for so long is forgotten.
const FORGET: Span = Span::from_secs(60);
/// A limit that was lifted is told for so long.
const TELL_LIFTED: Span = Span::from_secs(10);
/// Limits told at a time.
const MAX_TOLD: usize = 32;
/// Of these, the ones that changed last; the others take turns.
const TOLD_NEWEST: usize = 16;
/// Limits known at most: more than there are upstreams.
const MAX_LIMITS: usize = 16_384;

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Open,
    /// Its limit allows none before this.
    Limited {
        /// When to try again.
        until: Time,
    },
}

/// A rate as it travels between daemons, so that all of them compare the same figure.
fn as_told(rate: Rate) -> Rate {
    Rate(f64::from(
        (rate.0 as f32).clamp(f32::MIN_POSITIVE, f32::MAX),
    ))
}

/// The limits that one daemon knows.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<RunKey, Limit>,
    fleet: Arc<Fleet>,
    settled_at: Time,
    /// The last one that was told in turn.
    told: Option<RunKey>,
}

impl RateLimits {
    /// Takes the daemons that share the limits.
    pub fn set_fleet(&mut self, now: Time, fleet: &Arc<Fleet>) {
        if self.fleet == *fleet {
            return;
        }
        self.settled_at = Time::ZERO + SETTLE;
        self.fleet = Arc::clone(fleet);
        for (run, limit) in &mut self.limits {
            limit.set_fleet(now, *run, fleet);
        }
    }

    /// Takes what an answer says whose request was sent at `sent_at`.
    ///
    /// Answers overtake each other: one without a limit lifts it only if its request was sent after
    /// the limit was last heard of.
    pub fn observe(
        &mut self,
        now: Time,
        run: RunKey,
        sent_at: Time,
        said: Advertised,
    ) -> Option<Change> {
        let rate = match said {
            Advertised::Invalid => return None,
            Advertised::Nothing => None,
            Advertised::Limit(rate) => Some(as_told(rate)),
        };
        let limit = match rate {
            Some(_) => self.entry(now, run)?,
            None => self.limits.get_mut(&run)?,
        };
        if rate.is_none() && (limit.rate.is_none() || sent_at <= limit.heard_at) {
            return None;
        }
        limit.heard_at = now;
        let version = match limit.rate == rate {
            true => limit.version,
            false => limit.version.saturating_add(1),
        };
        limit.set(now, version, rate)
    }

    fn entry(&mut self, now: Time, run: RunKey) -> Option<&mut Limit> {
        let is_full = self.limits.len() >= MAX_LIMITS;
        if is_full && !self.limits.contains_key(&run) {
            return None;
        }
        let fleet = &self.fleet;
        let entry = self.limits.entry(run);
        Some(entry.or_insert_with(|| Limit::new(now, run, fleet)))
    }

    /// Takes what another daemon tells; says what changed.
    ///
    /// Of two states with the same version the lower limit holds, and none is the highest.
    pub fn merge(&mut self, now: Time, told: &Advertisement) -> Option<Change> {
        if !told.is_proper() {
            return None;
        }
        let rate = told.rate();
        let heard_at = now - Span::from_millis(u64::from(told.age_ms));
        let limit = match rate {
            Some(_) => self.entry(now, told.run)?,
            None => self.limits.get_mut(&told.run)?,
        };
        if told.version < limit.version {
            return None;
        }
        if told.version > limit.version {
            limit.heard_at = heard_at;
            return limit.set(now, told.version, rate);
        }
        limit.heard_at = limit.heard_at.max(heard_at);
        let of = |rate: Option<Rate>| rate.map_or(f64::INFINITY, |rate| rate.0);
        let is_lower = of(rate) < of(limit.rate);
        is_lower.then(|| limit.set(now, told.version, rate))?
    }

    /// What to tell other daemons now.
    pub fn advertise(&mut self, now: Time) -> Vec<Advertisement> {
        self.expire(now);
        let mut known = self.limits.iter().collect::<Vec<_>>();
        if known.len() > MAX_TOLD {
            known.sort_by_key(|(_, limit)| std::cmp::Reverse(limit.changed_at));
            let mut others = known.split_off(TOLD_NEWEST);
            others.sort_by_key(|(run, _)| (Some(**run) <= self.told, **run));
            others.truncate(MAX_TOLD - TOLD_NEWEST);
            self.told = others.last().map(|(run, _)| **run);
            known.append(&mut others);
        }
        let told = known.into_iter();
        told.map(|(run, limit)| limit.advertisement(now, *run))
            .collect()
    }

    fn expire(&mut self, now: Time) {
        self.limits.retain(|_, limit| match limit.rate {
            Some(_) => now.since(limit.heard_at) < FORGET,
            None => now.since(limit.changed_at) < TELL_LIFTED,
        });
    }

    /// Whether this daemon may send to an upstream now.
    #[must_use]
    pub fn admission(&self, now: Time, run: RunKey) -> Admission {
        let limit = self.limits.get(&run);
        match limit.and_then(|limit| limit.ready_at(now, self.settled_at)) {
            Some(until) if until > now => Admission::Limited { until },
            _ => Admission::Open,
        }
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Time, run: RunKey) {
        if let Some(limit) = self.limits.get_mut(&run) {
            limit.take(now);
        }
    }

    /// An upstream's limit.
    #[must_use]
    pub fn rate(&self, run: RunKey) -> Option<Rate> {
        self.limits.get(&run)?.rate
    }

    /// Whether nothing is known of any limit.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.limits.is_empty()
    }

    /// Upstreams that have a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|limit| limit.rate.is_some()).count()
    }

    /// Whether no upstream has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
