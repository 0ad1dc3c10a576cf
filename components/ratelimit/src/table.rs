//! The limits that one daemon knows.

use std::collections::BTreeMap;
use std::sync::Arc;

use types::prelude::*;

use crate::advertised::{Advertised, Advertisement, Change, InstanceKey};
use crate::cold::{ColdBound, ColdLimit};
use crate::fleet::{DaemonKey, Fleet, SETTLING_TIME};
use crate::leases::LeaseReply;
use crate::limit::Limit;

/// A limit that no answer has confirmed for this long is dropped.
const MAX_UNCONFIRMED: Span = Span::from_secs(60);
/// How long a lifted limit is still advertised as lifted.
const LIFTED_RETENTION: Span = Span::from_secs(10);
/// Most limits in one message.
const MAX_ADVERTISED: usize = 32;
/// Number of them that are the most recently changed limits; the remaining limits take turns.
const MAX_NEWEST: usize = 16;
/// Most limits kept; there are fewer upstreams.
const MAX_LIMITS: usize = 16_384;

/// Time for which a daemon that lends nothing by its share of a limit is not asked for it.
const NO_SHARE_PAUSE: Span = Span::from_secs(1);

/// Time for which shares of cold upstreams are not lent after daemons have disappeared. They may be
/// behind a partition, where others have taken over the same shares; used to the full on both sides,
/// these are more than a cold upstream tolerates.
const PARTITION_PAUSE: Span = Span::from_secs(60);

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent now.
    Open,
    /// The upstream's limit allows none now.
    Limited {
        /// When to try again.
        until: Time,
    },
}

/// A limit of the whole fleet, and this daemon's part of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// Requests a second, from all daemons together.
    pub rate: Rate,
    /// Requests a second from this daemon.
    pub own: Rate,
}

/// Rounds a rate as in an advertisement, so that all daemons compare the same value.
fn rounded(rate: Rate) -> Rate {
    Rate(f64::from(
        (rate.0 as f32).clamp(f32::MIN_POSITIVE, f32::MAX),
    ))
}

/// The limits that one daemon knows.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<InstanceKey, Limit>,
    cold: BTreeMap<InstanceKey, ColdLimit>,
    fleet: Arc<Fleet>,
    settled_at: Time,
    /// Shares of cold upstreams are not lent before this time.
    cold_leases_from: Time,
    /// The limit that was last advertised in turn.
    cursor: Option<InstanceKey>,
}

impl RateLimits {
    /// Sets the daemons that share the limits.
    pub fn set_fleet(&mut self, now: Time, fleet: &Arc<Fleet>) {
        if self.fleet == *fleet {
            return;
        }
        self.settled_at = Time::ZERO + SETTLING_TIME;
        if fleet.size() < self.fleet.size() {
            self.cold_leases_from = now + PARTITION_PAUSE;
        }
        self.fleet = Arc::clone(fleet);
        for (instance, limit) in &mut self.limits {
            limit.set_fleet(now, *instance, fleet);
        }
        for (instance, limit) in &mut self.cold {
            limit.set_fleet(now, *instance, fleet);
        }
    }

    /// Key of this daemon in the fleet.
    #[must_use]
    pub fn fleet_key(&self) -> DaemonKey {
        self.fleet.me()
    }

    /// Records what an answer advertises whose request was sent at `sent_at`; returns what
    /// changed.
    ///
    /// Answers may arrive out of order: one without a limit lifts it only if its request was
    /// sent after the limit was last confirmed.
    pub fn observe(
        &mut self,
        now: Time,
        instance: InstanceKey,
        sent_at: Time,
        advertised: Advertised,
    ) -> Option<Change> {
        let rate = match advertised {
            Advertised::Invalid => return None,
            Advertised::Nothing => None,
            Advertised::Limit(rate) => Some(rounded(rate)),
        };
        let limit = match rate {
            Some(_) => self.entry(now, instance)?,
            None => self.limits.get_mut(&instance)?,
        };
        if rate.is_none() && (limit.rate.is_none() || sent_at <= limit.confirmed_at) {
            return None;
        }
        limit.confirmed_at = now;
        let version = match limit.rate == rate {
            true => limit.version,
            false => limit.version.saturating_add(1),
        };
        limit.set(now, version, rate)
    }

    /// Limits an upstream that is cold until `until`, which may differ from the time set before. One
    /// that was in use while it was warm gets nothing at first.
    pub fn set_cold(
        &mut self,
        now: Time,
        instance: InstanceKey,
        bound: ColdBound,
        until: Time,
        was_in_use: bool,
    ) {
        let fleet = &self.fleet;
        let new = || ColdLimit::new(now, instance, fleet, bound);
        let limit = self.cold.entry(instance).or_insert_with(new);
        if was_in_use && !limit.is_cold(now) {
            limit.pause(now);
        }
        limit.set(now, bound, until);
    }

    /// Whether an upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: Time, instance: InstanceKey) -> bool {
        let limit = self.cold.get(&instance);
        limit.is_some_and(|limit| limit.is_cold(now))
    }

    fn entry(&mut self, now: Time, instance: InstanceKey) -> Option<&mut Limit> {
        let is_full = self.limits.len() >= MAX_LIMITS;
        if is_full && !self.limits.contains_key(&instance) {
            return None;
        }
        let fleet = &self.fleet;
        let entry = self.limits.entry(instance);
        Some(entry.or_insert_with(|| Limit::new(now, instance, fleet)))
    }

    /// Merges what another daemon advertises; returns what changed.
    ///
    /// Of two states with the same version the lower limit wins; no limit counts as the
    /// highest.
    pub fn merge(&mut self, now: Time, ad: &Advertisement) -> Option<Change> {
        if !ad.is_valid() {
            return None;
        }
        let rate = ad.rate();
        let confirmed_at = now - Span::from_millis(u64::from(ad.age_ms));
        let limit = match rate {
            Some(_) => self.entry(now, ad.instance)?,
            None => self.limits.get_mut(&ad.instance)?,
        };
        if ad.version < limit.version {
            return None;
        }
        if ad.version > limit.version {
            limit.confirmed_at = confirmed_at;
            return limit.set(now, ad.version, rate);
        }
        limit.confirmed_at = limit.confirmed_at.max(confirmed_at);
        let value = |rate: Option<Rate>| rate.map_or(f64::INFINITY, |rate| rate.0);
        let is_lower = value(rate) < value(limit.rate);
        is_lower.then(|| limit.set(now, ad.version, rate))?
    }

    /// Returns the limits to advertise to other daemons now.
    pub fn advertise(&mut self, now: Time) -> Vec<Advertisement> {
        self.expire(now);
        let mut known = self.limits.iter().collect::<Vec<_>>();
        if known.len() > MAX_ADVERTISED {
            known.sort_by_key(|(_, limit)| std::cmp::Reverse(limit.changed_at));
            let mut others = known.split_off(MAX_NEWEST);
            others.sort_by_key(|(instance, _)| (Some(**instance) <= self.cursor, **instance));
            others.truncate(MAX_ADVERTISED - MAX_NEWEST);
            self.cursor = others.last().map(|(instance, _)| **instance);
            known.append(&mut others);
        }
        let known = known.into_iter();
        known
            .map(|(instance, limit)| limit.advertisement(now, *instance))
            .collect()
    }

    fn expire(&mut self, now: Time) {
        self.cold.retain(|_, limit| limit.is_cold(now));
        self.limits.retain(|_, limit| match limit.rate {
            Some(_) => now.since(limit.confirmed_at) < MAX_UNCONFIRMED,
            None => now.since(limit.changed_at) < LIFTED_RETENTION,
        });
    }

    /// Returns whether this daemon may send to an upstream now.
    #[must_use]
    pub fn admission(&self, now: Time, instance: InstanceKey) -> Admission {
        let limit = self.limits.get(&instance);
        let ready_at = limit.and_then(|limit| limit.ready_at(now, self.settled_at));
        let cold = self.cold.get(&instance);
        let warm_at = cold.map(|limit| limit.ready_at(now, self.settled_at));
        match ready_at.max(warm_at) {
            Some(until) if until > now => Admission::Limited { until },
            _ => Admission::Open,
        }
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Time, instance: InstanceKey) {
        if let Some(limit) = self.limits.get_mut(&instance) {
            limit.take(now);
        }
        if let Some(limit) = self.cold.get_mut(&instance) {
            limit.take(now);
        }
    }

    /// Sends one request of another daemon by this daemon's share, if it has a token.
    ///
    /// A daemon that knows no limit of the upstream denies it: it has just started, or the limit has
    /// just been lifted. One that has lost sight of others denies it at a cold upstream.
    pub fn lend(&mut self, now: Time, instance: InstanceKey) -> LeaseReply {
        let is_cold = self.is_cold(now, instance);
        if self.shares(now, instance).is_none() || (is_cold && now < self.cold_leases_from) {
            return LeaseReply {
                is_granted: false,
                ready_at: now + NO_SHARE_PAUSE,
            };
        }
        let is_granted = self.admission(now, instance) == Admission::Open;
        if is_granted {
            self.take(now, instance);
        }
        let ready_at = match self.admission(now, instance) {
            Admission::Open => now,
            Admission::Limited { until } => until,
        };
        LeaseReply {
            is_granted,
            ready_at,
        }
    }

    /// The other daemons that have shares of an upstream's limit; while it is cold and has a limit,
    /// those that have shares of both.
    #[must_use]
    pub fn other_senders(&self, now: Time, instance: InstanceKey) -> &[DaemonKey] {
        let limit = self.limits.get(&instance);
        let limit = limit.filter(|limit| limit.rate.is_some());
        let limited = limit.map(|limit| limit.other_senders(instance, &self.fleet));
        let cold = self.cold.get(&instance);
        let cold = cold.filter(|limit| limit.is_cold(now));
        let cold = cold.map(|limit| limit.other_senders(instance, &self.fleet));
        let both = limited.into_iter().chain(cold);
        both.min_by_key(|senders| senders.len()).unwrap_or_default()
    }

    /// Returns the limit that an upstream has now, the cold one if it has both, and this daemon's
    /// part of it.
    #[must_use]
    pub fn shares(&self, now: Time, instance: InstanceKey) -> Option<LimitShare> {
        let cold = self.cold.get(&instance);
        let cold = cold.filter(|limit| limit.is_cold(now));
        match cold {
            Some(limit) => Some(limit.shares()),
            None => self.limits.get(&instance)?.shares(),
        }
    }

    /// Returns an upstream's limit.
    #[must_use]
    pub fn rate(&self, instance: InstanceKey) -> Option<Rate> {
        self.limits.get(&instance)?.rate
    }

    /// Whether a limit that an upstream advertised is known, lifted ones included.
    #[must_use]
    pub fn has_advertised(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Whether no limit is known, lifted ones included, and no upstream is cold.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.limits.is_empty() && self.cold.is_empty()
    }

    /// Number of upstreams that have a limit.
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
