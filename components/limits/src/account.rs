//! Use and limits of one customer or offer at this daemon.

use types::prelude::*;

use crate::ask::Limits;
use crate::bucket::{Bucket, Meter};
use crate::demand::KeyId;
use crate::shares::QuotaShares;

/// Use and limits of a customer or an offer.
#[derive(Debug, Clone)]
pub(crate) struct Account {
    pub(crate) key: KeyId,
    pub(crate) weight: f64,
    pub(crate) demand: Meter,
    pub(crate) in_flight: u32,
    bounds: Limits,
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    concurrent: Option<u32>,
}

impl Account {
    pub(crate) fn new(key: KeyId) -> Self {
        Self {
            key,
            weight: 1.0,
            demand: Meter::default(),
            in_flight: 0,
            bounds: Limits::default(),
            requests: None,
            tokens: None,
            concurrent: None,
        }
    }

    pub(crate) fn configure(&mut self, bounds: Limits, weight: u32) {
        self.bounds = bounds;
        self.weight = f64::from(weight.max(1));
    }

    /// Applies this daemon's share of the limits.
    pub(crate) fn apply_shares(&mut self, now: Time, shares: &QuotaShares) {
        let share = shares.share(now, self.key);
        let concurrent = self.bounds.concurrent.map(f64::from);
        self.concurrent = concurrent.map(|limit| shares.share_units(now, self.key, limit));
        set_rate(&mut self.requests, now, self.bounds.requests, share);
        set_rate(&mut self.tokens, now, self.bounds.tokens, share);
    }

    /// Whether a request may start now.
    pub(crate) fn allows(&mut self, now: Time, tokens: Tokens) -> bool {
        let concurrent = self.concurrent.is_none_or(|limit| self.in_flight < limit);
        let tokens = tokens.0 as f64;
        concurrent
            && self.requests.as_mut().is_none_or(|b| b.is_open(now, 1.0))
            && self.tokens.as_mut().is_none_or(|b| b.is_open(now, tokens))
    }

    pub(crate) fn reserve(&mut self, tokens: Tokens) {
        self.in_flight += 1;
        if let Some(bucket) = &mut self.requests {
            bucket.take(1.0);
        }
        if let Some(bucket) = &mut self.tokens {
            bucket.take(tokens.0 as f64);
        }
    }

    /// Takes back the reservation of a request that will start again.
    pub(crate) fn refund(&mut self, tokens: Tokens) {
        self.settle(tokens, Tokens(0));
        if let Some(bucket) = &mut self.requests {
            bucket.settle(1.0, 0.0);
        }
    }

    pub(crate) fn settle(&mut self, reserved: Tokens, used: Tokens) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(bucket) = &mut self.tokens {
            bucket.settle(reserved.0 as f64, used.0 as f64);
        }
    }

    /// Time until the token buckets allow all waiting requests and one more.
    pub(crate) fn estimated_wait(&self, waiting: usize, tokens: Tokens) -> Span {
        let count = waiting as f64 + 1.0;
        let requests = self.requests.map_or(Span::ZERO, |b| b.wait_for(count));
        let amount = count * tokens.0 as f64;
        let tokens = self.tokens.map_or(Span::ZERO, |b| b.wait_for(amount));
        requests.max(tokens)
    }

    pub(crate) fn has_limits(&self) -> bool {
        self.bounds != Limits::default()
    }

    pub(crate) fn is_idle(&self, now: Time) -> bool {
        !self.has_limits() && self.in_flight == 0 && self.demand.rate(now) < IDLE_RATE
    }
}

/// Demand in requests per second below which an account may be dropped.
const IDLE_RATE: f64 = 1e-3;

fn set_rate(bucket: &mut Option<Bucket>, now: Time, limit: Option<Rate>, share: f64) {
    let Some(limit) = limit else {
        *bucket = None;
        return;
    };
    let rate = limit.0 * share;
    match bucket {
        Some(bucket) => bucket.set_rate(now, rate),
        None => *bucket = Some(Bucket::new(now, rate)),
    }
}
