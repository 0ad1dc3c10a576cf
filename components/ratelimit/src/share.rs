//! One daemon's share of a rate that the whole fleet keeps at one upstream.

use std::cell::OnceCell;

use types::prelude::*;

use crate::advertised::InstanceKey;
use crate::bucket::TokenBucket;
use crate::fleet::{DaemonKey, Fleet};

/// How long a share is lent from when the borrower asked for it.
const LOAN: Span = Span::from_secs(2);
/// A share is lent if its owner has left a token of it unused for this long.
const IDLE_AFTER: Span = Span::from_secs(2);
/// A loan is renewed if it was used within this time.
const RENEWED_IF_USED_WITHIN: Span = Span::from_secs(1);
/// Interval at which a daemon asks for the same shares again.
const ASK_INTERVAL: Span = Span::from_millis(400);

/// Another daemon's share that this daemon uses.
#[derive(Debug)]
struct Borrowed {
    owner: DaemonKey,
    until: Time,
}

/// One daemon's share of a rate at one upstream.
#[derive(Debug)]
pub(crate) struct Share {
    /// Place in the order of the upstream's senders, from 0.
    pub(crate) rank: usize,
    /// Number of daemons in the fleet.
    pub(crate) fleet: usize,
    bucket: TokenBucket,
    /// When this daemon last sent a request by it, or came by it.
    used_at: Time,
    /// When a request last found no upstream with a token.
    lacked_at: Option<Time>,
    pub(crate) asked_at: Option<Time>,
    /// Who has this daemon's own share until `lent_until`.
    lent_to: Option<DaemonKey>,
    lent_until: Time,
    borrowed: Vec<Borrowed>,
    /// The other daemons that have a share, once they are needed.
    others: OnceCell<Vec<DaemonKey>>,
}

impl Share {
    pub(crate) fn new(now: Time, instance: InstanceKey, fleet: &Fleet) -> Self {
        Self {
            rank: fleet.rank(instance),
            fleet: fleet.size(),
            bucket: TokenBucket::empty(now),
            used_at: now,
            lacked_at: None,
            asked_at: None,
            lent_to: None,
            lent_until: now,
            borrowed: Vec::new(),
            others: OnceCell::new(),
        }
    }

    /// The other daemons that have a share of a rate that is divided among `senders` daemons.
    pub(crate) fn others(
        &self,
        instance: InstanceKey,
        fleet: &Fleet,
        senders: usize,
    ) -> &[DaemonKey] {
        self.others
            .get_or_init(|| fleet.other_senders(instance, senders))
    }

    /// Returns this daemon's part of a rate that is divided among `senders` daemons: its own share if
    /// it is one of them and has not lent it, and those that it has borrowed.
    pub(crate) fn of(&self, now: Time, rate: Rate, senders: usize) -> Option<Rate> {
        let own = self.own(rate, senders).filter(|_| !self.is_lent(now));
        let shares = usize::from(own.is_some()) + self.loans(now);
        let each = rate.0 / self.divisor(senders);
        (shares > 0).then_some(Rate(each * shares as f64))
    }

    /// Returns this daemon's own share of a rate, if it has one; it may be lent.
    pub(crate) fn own(&self, rate: Rate, senders: usize) -> Option<Rate> {
        (self.rank < senders).then(|| Rate(rate.0 / self.divisor(senders)))
    }

    fn divisor(&self, senders: usize) -> f64 {
        senders.min(self.fleet.max(1)) as f64
    }

    /// Number of shares that this daemon has borrowed.
    fn loans(&self, now: Time) -> usize {
        let current = self.borrowed.iter().filter(|loan| now < loan.until);
        current.count()
    }

    fn is_lent(&self, now: Time) -> bool {
        now < self.lent_until
    }

    pub(crate) fn set_fleet(&mut self, instance: InstanceKey, fleet: &Fleet) {
        self.rank = fleet.rank(instance);
        self.fleet = fleet.size();
    }

    /// Refills the bucket by the rate of this daemon before a change. The tokens of a new share
    /// accrue from now on, since its former owner may just have used them.
    pub(crate) fn refill(&mut self, now: Time, before: Option<Rate>) {
        self.others.take();
        match before {
            Some(rate) => self.bucket.refill(now, rate),
            None => {
                self.bucket = TokenBucket::empty(now.max(self.lent_until));
                self.used_at = now;
            }
        }
    }

    /// Returns when a sender with this rate may send next.
    pub(crate) fn ready_at(&self, now: Time, rate: Rate) -> Time {
        self.bucket.ready_at(now, rate)
    }

    pub(crate) fn take(&mut self, now: Time, rate: Rate) {
        self.bucket.take(now, rate);
        self.used_at = now;
    }

    /// Records that a request found no upstream with a token.
    pub(crate) fn record_lack(&mut self, now: Time) {
        self.lacked_at = Some(now);
    }

    /// Whether it is time to ask other daemons for their shares, should this one need them.
    pub(crate) fn may_ask(&self, now: Time) -> bool {
        let is_due = |at: Time| now.since(at) >= ASK_INTERVAL;
        !self.is_lent(now) && self.asked_at.is_none_or(is_due)
    }

    /// Whether this daemon still needs the shares that it has borrowed.
    pub(crate) fn needs_loans(&self, now: Time) -> bool {
        self.loans(now) > 0 && now.since(self.used_at) < RENEWED_IF_USED_WITHIN
    }

    /// Lends the own share, of this rate, to another daemon unless it is needed here; returns whether
    /// it is lent.
    pub(crate) fn lend(&mut self, now: Time, own: Rate, to: DaemonKey) -> bool {
        let filled_at = self.used_at + Span::from_secs_f64(1.0 / own.0);
        let is_free = match self.is_lent(now) {
            true => self.lent_to == Some(to),
            false => now.since(filled_at) >= IDLE_AFTER,
        };
        let is_needed = self.lacked_at.is_some_and(|at| now.since(at) < IDLE_AFTER);
        let lends = is_free && self.loans(now) == 0 && !is_needed;
        if lends {
            self.lent_to = Some(to);
            self.lent_until = now + LOAN;
            self.bucket = TokenBucket::empty(self.lent_until);
        }
        lends
    }

    /// Accepts another daemon's share that was asked for at `asked_at`. Its owner counts the time of
    /// the loan from when the question arrived, which is later.
    pub(crate) fn borrow(&mut self, now: Time, owner: DaemonKey, asked_at: Time) {
        let until = asked_at + LOAN;
        if asked_at > now || until <= now || self.is_lent(now) {
            return;
        }
        self.borrowed.retain(|loan| now < loan.until);
        let known = self.borrowed.iter_mut().find(|loan| loan.owner == owner);
        match known {
            Some(loan) => loan.until = loan.until.max(until),
            None => self.borrowed.push(Borrowed { owner, until }),
        }
    }
}
