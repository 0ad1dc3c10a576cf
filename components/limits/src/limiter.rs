//! Tables of accounts, pools and waiting requests.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use crate::account::Account;
use crate::ask::{Grant, Limits, Ticket, Verdict};
use crate::demand::{DemandFact, KeyId};
use crate::pool::Pool;
use crate::shares::{QuotaShares, Reach};

/// Maximum number of customers, and of offers.
pub(crate) const MAX_ACCOUNTS: usize = 4_096;
/// Maximum number of pools.
pub(crate) const MAX_POOLS: usize = 1_024;

/// Settings that balance spare capacity against utilization.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Fraction of all slots that batch work leaves free. If negative, batch work may exceed the
    /// slots by this fraction: the excess waits at the upstreams, behind interactive work, so that
    /// a freed slot is used at once.
    pub reserve: f64,
    /// Fraction of the free slots that one daemon's interactive work may take at once.
    pub borrow: f64,
    /// Maximum wait for a rate limit; requests that would wait longer are refused.
    pub limit_wait: Span,
    /// Number of waiting requests at which batch work is refused, since each may hold a thread
    /// that interactive work needs.
    pub max_batch_waiting: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            reserve: -0.02,
            borrow: 0.5,
            limit_wait: Span::from_secs(2),
            max_batch_waiting: 4_096,
        }
    }
}

/// Number of entries in the tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Fill {
    /// Known customers.
    pub customers: usize,
    /// Known offers.
    pub offers: usize,
    /// Known pools.
    pub pools: usize,
    /// Waiting requests.
    pub waiting: usize,
    /// Other daemons whose demand is known.
    pub peers: usize,
}

/// Queue position of a waiting request.
#[derive(Debug, Clone)]
pub(crate) struct QueuePosition {
    pub(crate) pool: EntryName,
    pub(crate) priority: Priority,
    pub(crate) customer: CustomerId,
}

/// Admission control of one daemon.
#[derive(Debug)]
pub struct Limiter {
    pub(crate) config: Config,
    pub(crate) shares: QuotaShares,
    pub(crate) customers: BTreeMap<CustomerId, Account>,
    pub(crate) offers: BTreeMap<EntryName, Account>,
    pub(crate) pools: BTreeMap<EntryName, Pool>,
    pub(crate) waiting: BTreeMap<Ticket, QueuePosition>,
    pub(crate) verdicts: Vec<(Ticket, Verdict)>,
    pub(crate) last_ticket: u64,
}

impl Limiter {
    /// Creates a limiter without accounts or pools.
    #[must_use]
    pub fn new(me: DaemonId, config: Config) -> Self {
        Self {
            config,
            shares: QuotaShares::new(me),
            customers: BTreeMap::new(),
            offers: BTreeMap::new(),
            pools: BTreeMap::new(),
            waiting: BTreeMap::new(),
            verdicts: Vec::new(),
            last_ticket: 0,
        }
    }

    /// Sets the limits and weight of a customer.
    pub fn set_customer(&mut self, now: Time, id: &CustomerId, bounds: Limits, weight: u32) {
        if let Some(account) = customer_account(&mut self.customers, id) {
            account.configure(bounds, weight);
            account.apply_shares(now, &self.shares);
        }
    }

    /// Sets the limits of an offer or plain service.
    pub fn set_offer(&mut self, now: Time, name: &EntryName, bounds: Limits) {
        if let Some(account) = offer_account(&mut self.offers, name) {
            account.configure(bounds, 1);
            account.apply_shares(now, &self.shares);
        }
    }

    /// Removes all limits; the caller then sets those in force.
    pub fn clear_limits(&mut self) {
        for account in self.customers.values_mut() {
            account.configure(Limits::default(), 1);
        }
        for account in self.offers.values_mut() {
            account.configure(Limits::default(), 1);
        }
    }

    /// Sets the number of slots of all healthy upstreams of a pool.
    pub fn set_slots(&mut self, now: Time, name: &EntryName, slots: u32) {
        let pool = pool_entry(&mut self.pools, name);
        if let Some(pool) = pool.filter(|pool| pool.slots != slots) {
            pool.slots = slots;
            pool.apply_shares(now, &self.shares, &self.config);
        }
    }

    /// Updates which daemons are live and how much of the fleet is reachable.
    pub fn update_fleet(&mut self, now: Time, live: &BTreeSet<DaemonId>, reach: Reach) {
        self.shares.update_fleet(now, live, reach);
    }

    /// Updates the demand of another daemon.
    pub fn update_peer(&mut self, daemon: &DaemonId, fact: DemandFact) {
        self.shares.update_peer(daemon, fact);
    }

    /// Recalculates this daemon's shares and drops idle accounts. Must be called several times per
    /// second. Returns the demand to publish if it has changed enough.
    pub fn tick(&mut self, now: Time) -> Option<DemandFact> {
        for account in self.customers.values_mut().chain(self.offers.values_mut()) {
            account.apply_shares(now, &self.shares);
        }
        for pool in self.pools.values_mut() {
            pool.apply_shares(now, &self.shares, &self.config);
        }
        self.drop_idle_accounts(now);
        let demands = self.demands(now);
        self.shares.publish(now, demands)
    }

    fn demands(&self, now: Time) -> Vec<(KeyId, f64)> {
        let accounts = self.customers.values().chain(self.offers.values());
        let accounts = accounts.filter(|account| account.has_limits());
        let accounts = accounts.map(|account| (account.key, account.demand.rate(now)));
        let lanes = self.pools.values().flat_map(|p| [&p.interactive, &p.batch]);
        let lanes = lanes.map(|lane| (lane.key, lane.demand.level()));
        accounts.chain(lanes).collect()
    }

    /// Drops idle accounts without limits, which were created by their first request.
    fn drop_idle_accounts(&mut self, now: Time) {
        self.customers.retain(|_, account| !account.is_idle(now));
        self.offers.retain(|_, account| !account.is_idle(now));
    }

    /// Removes a waiting request whose caller has gone; returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(at) = self.waiting.remove(&ticket) else {
            return false;
        };
        let lane = self.pools.get_mut(&at.pool).map(|p| p.lane(at.priority));
        lane.is_some_and(|lane| lane.queue.remove(&at.customer, ticket).is_some())
    }

    /// Returns a grant after its request has ended, with the number of tokens used.
    pub fn release(&mut self, now: Time, grant: Grant, used: Tokens) {
        if let Some(account) = self.customers.get_mut(&grant.customer) {
            account.settle(grant.tokens, used);
        }
        if let Some(account) = self.offers.get_mut(&grant.offer) {
            account.settle(grant.tokens, used);
        }
        if let Some(pool) = self.pools.get_mut(&grant.pool) {
            let lane = pool.lane(grant.priority);
            lane.running = lane.running.saturating_sub(1);
            lane.record_hold_time(now.since(grant.started));
        }
    }

    /// This daemon's shares of the limits.
    #[must_use]
    pub fn shares(&self) -> &QuotaShares {
        &self.shares
    }

    /// Number of entries in the tables.
    #[must_use]
    pub fn fill(&self) -> Fill {
        Fill {
            customers: self.customers.len(),
            offers: self.offers.len(),
            pools: self.pools.len(),
            waiting: self.waiting.len(),
            peers: self.shares.peer_count(),
        }
    }

    /// Running and waiting requests of a pool by priority, and the slots allowed to them.
    #[must_use]
    pub fn lane(&self, pool: &EntryName, priority: Priority) -> Option<LaneFill> {
        let pool = self.pools.get(pool)?;
        let lane = match priority {
            Priority::Interactive => &pool.interactive,
            Priority::Batch => &pool.batch,
        };
        Some(LaneFill {
            running: lane.running,
            waiting: lane.queue.len(),
            allowance: lane.allowance,
        })
    }
}

/// Requests of one priority in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct LaneFill {
    /// Requests with a grant.
    pub running: u32,
    /// Requests waiting.
    pub waiting: usize,
    /// Maximum number of grants at this daemon at present.
    pub allowance: u32,
}

pub(crate) fn customer_account<'a>(
    accounts: &'a mut BTreeMap<CustomerId, Account>,
    id: &CustomerId,
) -> Option<&'a mut Account> {
    if !accounts.contains_key(id) && accounts.len() >= MAX_ACCOUNTS {
        return None;
    }
    let account = accounts.entry(id.clone());
    Some(account.or_insert_with(|| Account::new(KeyId::customer(id))))
}

pub(crate) fn offer_account<'a>(
    accounts: &'a mut BTreeMap<EntryName, Account>,
    name: &EntryName,
) -> Option<&'a mut Account> {
    if !accounts.contains_key(name) && accounts.len() >= MAX_ACCOUNTS {
        return None;
    }
    let account = accounts.entry(name.clone());
    Some(account.or_insert_with(|| Account::new(KeyId::offer(name))))
}

pub(crate) fn pool_entry<'a>(
    pools: &'a mut BTreeMap<EntryName, Pool>,
    name: &EntryName,
) -> Option<&'a mut Pool> {
    if !pools.contains_key(name) && pools.len() >= MAX_POOLS {
        return None;
    }
    Some(pools.entry(name.clone()).or_insert_with(|| Pool::new(name)))
}
