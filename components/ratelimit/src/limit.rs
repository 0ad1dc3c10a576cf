//! One upstream's limit at one daemon.

use types::prelude::*;

use crate::advertised::{Advertisement, Change, RunKey};
use crate::bucket::TokenBucket;
use crate::fleet::{Fleet, senders};

/// An upstream is asked this often at least, however low its limit: its answers are the only
/// sign that the limit is lifted.
const LEAST_RATE: Rate = Rate(0.25);
/// After so long without an answer that tells the limit, others than its senders may probe.
const QUIET: Span = Span::from_secs(4);
/// One daemon after the other, each for so long.
const PROBE_TURN: Span = Span::from_secs(1);

/// One upstream's limit.
#[derive(Debug)]
pub(crate) struct Limit {
    pub(crate) version: u32,
    /// None once it was lifted.
    pub(crate) rate: Option<Rate>,
    /// When this daemon learned of it.
    pub(crate) changed_at: Time,
    /// When an answer last advertised it, at any daemon.
    pub(crate) confirmed_at: Time,
    pub(crate) sent: u64,
    rank: usize,
    fleet: usize,
    bucket: TokenBucket,
    probed_at: Option<Time>,
}

impl Limit {
    pub(crate) fn new(now: Time, run: RunKey, fleet: &Fleet) -> Self {
        Self {
            version: 0,
            rate: None,
            changed_at: now,
            confirmed_at: now,
            sent: 0,
            rank: fleet.rank(run),
            fleet: fleet.size(),
            bucket: TokenBucket::empty(now),
            probed_at: None,
        }
    }

    /// This daemon's part of the rate, if it is a sender.
    fn part(&self) -> Option<Rate> {
        let rate = self.rate?;
        let senders = senders(rate, self.fleet);
        let rate = rate.0.max(LEAST_RATE.0);
        (self.rank < senders).then(|| Rate(rate / senders as f64))
    }

    /// Takes another state.
    pub(crate) fn set(&mut self, now: Time, version: u32, rate: Option<Rate>) -> Option<Change> {
        self.version = version;
        if self.rate == rate {
            return None;
        }
        let before = self.rate;
        self.change_part(now, |limit| limit.rate = rate);
        let after = now.since(self.changed_at);
        self.changed_at = now;
        match (before, rate) {
            (None, Some(rate)) => {
                self.sent = 0;
                Some(Change::Named(rate))
            }
            (_, Some(rate)) => Some(Change::Changed(rate)),
            (_, None) => Some(Change::Lifted {
                after,
                sent: self.sent,
            }),
        }
    }

    /// Takes another fleet.
    pub(crate) fn set_fleet(&mut self, now: Time, run: RunKey, fleet: &Fleet) {
        self.change_part(now, |limit| {
            limit.rank = fleet.rank(run);
            limit.fleet = fleet.size();
        });
    }

    /// Changes what the part follows from. A part that is new is earned from now on: whoever had it
    /// before may have just used it.
    fn change_part(&mut self, now: Time, change: impl FnOnce(&mut Self)) {
        let before = self.part();
        change(self);
        match before {
            Some(part) => self.bucket.refill(now, part),
            None => self.bucket = TokenBucket::empty(now),
        }
    }

    /// When this daemon may send next; nothing without a limit.
    pub(crate) fn ready_at(&self, now: Time, settled_at: Time) -> Option<Time> {
        let rate = self.rate?;
        if now < settled_at {
            return Some(settled_at);
        }
        match self.part() {
            Some(part) => Some(self.bucket.ready_at(now, part)),
            None if self.is_prober(now, rate) => Some(now),
            // Some sender has a token after about so long.
            None => Some(now + Span::from_secs_f64(1.0 / rate.0.max(LEAST_RATE.0))),
        }
    }

    /// Whether no answer has confirmed the limit for long, and it is this daemon's turn to probe.
    fn is_prober(&self, now: Time, rate: Rate) -> bool {
        let quiet = now.since(self.confirmed_at);
        if quiet < QUIET || self.probed_at.is_some_and(|at| now.since(at) < QUIET) {
            return false;
        }
        let turn = (quiet - QUIET).as_micros() / PROBE_TURN.as_micros();
        let senders = senders(rate, self.fleet);
        let others = self.fleet.saturating_sub(senders).max(1);
        self.rank == senders + turn as usize % others
    }

    /// Counts a request that is sent.
    pub(crate) fn take(&mut self, now: Time) {
        if self.rate.is_none() {
            return;
        }
        self.sent += 1;
        match self.part() {
            Some(part) => self.bucket.take(now, part),
            None => self.probed_at = Some(now),
        }
    }

    pub(crate) fn advertisement(&self, now: Time, run: RunKey) -> Advertisement {
        let age = now.since(self.confirmed_at).as_millis();
        Advertisement {
            run,
            version: self.version,
            rate: self.rate.map(|rate| rate.0 as f32),
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
        }
    }
}
