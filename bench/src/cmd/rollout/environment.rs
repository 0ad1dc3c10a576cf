//! Minimal simulations of engines, the store and the weight store.

use std::collections::{BTreeMap, BTreeSet};

use keyvalue::{
    Answer, CallError, Compare, KeyValue, LeaseId, ModRevision, Op, OpReply, Outcome, Reply,
    Request, Txn, TxnReply,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rollout::{Order, OrderKind};
use types::prelude::*;

/// Which engines refuse old fencing tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fencing {
    /// No engine.
    Ignored,
    /// Every second engine.
    Half,
    /// All engines.
    Checked,
}

const LOAD_TIME: Span = Span::from_secs(6);

/// A simulated engine.
#[derive(Debug, Clone)]
pub(super) struct Engine {
    pub(super) id: UpstreamId,
    pub(super) failure_domain: FailureDomain,
    pub(super) slots: u32,
    pub(super) ready: BTreeSet<VersionName>,
    pub(super) loading: BTreeMap<VersionName, Time>,
    pub(super) fencing: u64,
    checks_fencing: bool,
}

impl Engine {
    /// Creates the engine with an index, with one version loaded.
    pub(super) fn new(index: usize, domains: usize, version: &VersionName, mode: Fencing) -> Self {
        let id = format!("engine-{index:02}");
        let domain = format!("domain-{}", index % domains);
        Self {
            id: UpstreamId::new(&id).expect("a plain name"),
            failure_domain: FailureDomain::new(&domain).expect("a plain name"),
            slots: 16,
            ready: BTreeSet::from([version.clone()]),
            loading: BTreeMap::new(),
            fencing: 0,
            checks_fencing: match mode {
                Fencing::Ignored => false,
                Fencing::Half => index.is_multiple_of(2),
                Fencing::Checked => true,
            },
        }
    }

    /// Restarts with one version loaded and without memory of earlier orders.
    pub(super) fn restart(&mut self, version: &VersionName) {
        self.ready = BTreeSet::from([version.clone()]);
        self.loading.clear();
        self.fencing = 0;
    }

    /// Completes the loads whose time has passed.
    pub(super) fn complete_loads(&mut self, now: Time) {
        let done = self
            .loading
            .extract_if(.., |_, ready| now.has_reached(*ready));
        self.ready.extend(done.map(|(version, _)| version));
    }

    /// Executes an order; returns false if it is refused for its fencing token.
    pub(super) fn execute(&mut self, now: Time, order: &Order) -> bool {
        if self.checks_fencing && order.fencing < self.fencing {
            return false;
        }
        self.fencing = order.fencing;
        let version = &order.version;
        match order.kind {
            OrderKind::Load if self.ready.contains(version) => {}
            OrderKind::Load => {
                self.loading
                    .entry(version.clone())
                    .or_insert(now + LOAD_TIME);
            }
            OrderKind::Unload => {
                self.ready.remove(version);
                self.loading.remove(version);
            }
        }
        true
    }
}

/// The weight store, which grants permits to load a version at a limited rate.
#[derive(Debug)]
pub(super) struct Weights {
    pub(super) interval: Span,
    next_permit_at: Time,
    unused_permits: BTreeMap<VersionName, u64>,
}

impl Weights {
    pub(super) fn new(interval: Span) -> Self {
        Self {
            interval,
            next_permit_at: Time::ZERO,
            unused_permits: BTreeMap::new(),
        }
    }

    pub(super) fn request_permit(&mut self, now: Time, version: &VersionName) -> Result<(), Span> {
        if !now.has_reached(self.next_permit_at) {
            return Err(now.until(self.next_permit_at));
        }
        self.next_permit_at = now + self.interval;
        *self.unused_permits.entry(version.clone()).or_default() += 1;
        Ok(())
    }

    /// Uses up a permit to load; returns false if there was none.
    pub(super) fn use_permit(&mut self, version: &VersionName) -> bool {
        match self.unused_permits.get_mut(version) {
            Some(left) if *left > 0 => {
                *left -= 1;
                true
            }
            _ => false,
        }
    }
}

/// A store with one key and leases.
#[derive(Debug)]
pub(super) struct Store {
    rng: StdRng,
    revision: i64,
    key: Option<KeyValue>,
    leases: BTreeMap<LeaseId, (Span, Time)>,
    next_lease: i64,
    /// Time until which the store is down.
    pub(super) down_until: Time,
    /// Probability that a reply is lost.
    pub(super) reply_loss: f64,
    /// Number of calls.
    pub(super) calls: u64,
}

impl Store {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            revision: 100,
            key: None,
            leases: BTreeMap::new(),
            next_lease: 1,
            down_until: Time::ZERO,
            reply_loss: 0.0,
            calls: 0,
        }
    }

    pub(super) fn call(&mut self, now: Time, request: Request) -> Outcome {
        self.calls += 1;
        if now < self.down_until {
            return Err(CallError::NotSent("down".to_owned()));
        }
        self.expire(now);
        let reply = self.carry_out(now, request);
        if self.rng.random_bool(self.reply_loss) {
            return Err(CallError::Unknown("lost".to_owned()));
        }
        let revision = ModRevision(self.revision);
        Ok(Answer { revision, reply })
    }

    /// Expires leases. Their time also passes while the store is down, as in a store whose front
    /// end failed.
    fn expire(&mut self, now: Time) {
        self.leases.retain(|_, (_, end)| !now.has_reached(*end));
        let key_lease = self.key.as_ref().and_then(|key| key.lease);
        if key_lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            self.key = None;
            self.revision += 1;
        }
    }

    fn carry_out(&mut self, now: Time, request: Request) -> Reply {
        match request {
            Request::Range(_) => Reply::Range(self.key.iter().cloned().collect()),
            Request::LeaseGrant { ttl } => {
                let lease = LeaseId(self.next_lease);
                self.next_lease += 1;
                self.leases.insert(lease, (ttl, now + ttl));
                Reply::LeaseGranted(lease)
            }
            Request::LeaseKeepAlive(lease) => {
                let renewed_ttl = self.leases.get_mut(&lease).map(|(ttl, end)| {
                    *end = now + *ttl;
                    *ttl
                });
                Reply::LeaseRenewed(renewed_ttl)
            }
            Request::LeaseRevoke(lease) => {
                self.leases.remove(&lease);
                self.expire(now);
                Reply::LeaseRevoked
            }
            Request::Txn(txn) => Reply::Txn(self.txn(txn)),
        }
    }

    fn txn(&mut self, txn: Txn) -> TxnReply {
        let holds = |compare: &Compare| match compare {
            Compare::Absent(_) => self.key.is_none(),
            Compare::ModRevision(_, revision) => self
                .key
                .as_ref()
                .is_some_and(|key| key.mod_revision == *revision),
        };
        let succeeded = txn.compare.iter().all(holds);
        let ops = if succeeded { txn.success } else { txn.failure };
        let replies = ops.into_iter().map(|op| self.op(op)).collect();
        TxnReply { succeeded, replies }
    }

    fn op(&mut self, op: Op) -> OpReply {
        match op {
            Op::Put(put) => {
                self.revision += 1;
                self.key = Some(KeyValue {
                    key: put.key,
                    value: put.value,
                    mod_revision: ModRevision(self.revision),
                    lease: put.lease,
                });
                OpReply::Put
            }
            Op::Delete(_) => OpReply::Delete(u64::from(self.key.take().is_some())),
            Op::Range(_) => OpReply::Range(self.key.iter().cloned().collect()),
            Op::Txn(txn) => OpReply::Txn(self.txn(txn)),
        }
    }
}
