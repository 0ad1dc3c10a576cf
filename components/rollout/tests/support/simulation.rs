//! Engines, a store and a weight store for the driver's tests.

use std::collections::BTreeMap;

use catalogue::entry::{Gate, Model, Price, Rollout, RolloutState, Version, VersionState};
use keyvalue::{
    Answer, CallError, KeyValue, LeaseId, ModRevision, Op, OpReply, Outcome, Reply, Request,
    TxnReply,
};
use rollout::edit::set_state;
use rollout::lease::TTL;
use rollout::observed::{Demand, Engine, Evidence, Observed};
use rollout::{Config, Driver, Effect, Order, OrderKind};
use types::prelude::*;

pub const TICK: Span = Span::from_millis(200);
const LOAD_TIME: Span = Span::from_secs(4);
const SLOTS: u32 = 16;

pub fn name(text: &str) -> VersionName {
    text.parse().unwrap()
}

/// An engine as it is, not as it was reported.
#[derive(Debug, Clone)]
pub struct Real {
    pub id: UpstreamId,
    pub ready: Vec<VersionName>,
    pub loading: BTreeMap<VersionName, Time>,
    /// Takes orders and does nothing.
    pub deaf: bool,
}

/// One key with a lease.
#[derive(Debug, Default)]
pub struct Store {
    pub key: Option<(KeyValue, Time)>,
    revision: i64,
    pub down: bool,
    /// The next reply is lost, after its call took effect.
    pub lose_next: bool,
}

impl Store {
    pub fn call(&mut self, now: Time, request: &Request) -> Outcome {
        if self.down {
            return Err(CallError::NotSent("down".to_owned()));
        }
        self.key.take_if(|(_, end)| now.has_reached(*end));
        let reply = self.reply(now, request);
        if std::mem::take(&mut self.lose_next) {
            return Err(CallError::Unknown("lost".to_owned()));
        }
        let revision = ModRevision(self.revision);
        Ok(Answer { revision, reply })
    }

    fn reply(&mut self, now: Time, request: &Request) -> Reply {
        let found = || {
            self.key
                .iter()
                .map(|(kv, _)| kv.clone())
                .collect::<Vec<_>>()
        };
        match request {
            Request::Range(_) => Reply::Range(found()),
            Request::LeaseGrant { .. } => {
                self.revision += 1;
                Reply::LeaseGranted(LeaseId(self.revision))
            }
            Request::LeaseKeepAlive(lease) => match &mut self.key {
                Some((kv, end)) if kv.lease == Some(*lease) => {
                    *end = now + TTL;
                    Reply::LeaseKept(Some(TTL))
                }
                _ => Reply::LeaseKept(None),
            },
            Request::LeaseRevoke(lease) => {
                self.key.take_if(|(kv, _)| kv.lease == Some(*lease));
                Reply::LeaseRevoked
            }
            Request::Txn(txn) => {
                let succeeded = self.key.is_none();
                if !succeeded {
                    let replies = vec![OpReply::Range(found())];
                    return Reply::Txn(TxnReply { succeeded, replies });
                }
                let Some(Op::Put(put)) = txn.success.first() else {
                    panic!("the lease's key is put");
                };
                self.revision += 1;
                let kv = KeyValue {
                    key: put.key.clone(),
                    value: put.value.clone(),
                    mod_revision: ModRevision(self.revision),
                    lease: put.lease,
                };
                self.key = Some((kv, now + TTL));
                let replies = vec![OpReply::Put];
                Reply::Txn(TxnReply { succeeded, replies })
            }
        }
    }
}

/// A roll-out from version 1 to version 2 and those who may drive it.
pub struct World {
    pub now: Time,
    pub engines: Vec<Real>,
    pub drivers: Vec<Driver>,
    reports: Vec<Vec<Engine>>,
    outcomes: Vec<Vec<(u64, Outcome)>>,
    pub store: Store,
    pub model: Model,
    pub revision: Revision,
    pub evidence: Evidence,
    /// Slots taken by versions 1 and 2.
    pub on: [f64; 2],
    pub slot_every: Span,
    next_slot: Time,
    pub slots_asked: u32,
    pub loads: u32,
    pub loads_blocked: bool,
    pub steps_seen: Vec<usize>,
}

impl World {
    pub fn new(engines: usize, demand: f64) -> Self {
        let engine = |index| Real {
            id: UpstreamId::new(&format!("e{index}")).unwrap(),
            ready: vec![name("1")],
            loading: BTreeMap::new(),
            deaf: false,
        };
        let engines: Vec<Real> = (0..engines).map(engine).collect();
        let daemon = |index| DaemonId::new(&format!("d{index}")).unwrap();
        let driver = |index| Driver::new("key".to_owned(), daemon(index), Config::default());
        let reports: Vec<Engine> = engines.iter().map(|e| report(e, None)).collect();
        Self {
            now: Time::ZERO,
            engines,
            drivers: (0..2).map(driver).collect(),
            reports: vec![reports; 2],
            outcomes: vec![Vec::new(); 2],
            store: Store::default(),
            model: first_model(),
            revision: Revision(1),
            evidence: Evidence::default(),
            on: [demand, 0.0],
            slot_every: Span::ZERO,
            next_slot: Time::ZERO,
            slots_asked: 0,
            loads: 0,
            loads_blocked: false,
            steps_seen: Vec::new(),
        }
    }

    pub fn state(&self) -> RolloutState {
        self.model.rollout.as_ref().unwrap().state
    }

    /// Slots that can run a version.
    pub fn ready(&self, version: &str) -> f64 {
        let able = self
            .engines
            .iter()
            .filter(|e| e.ready.contains(&name(version)));
        able.count() as f64 * f64::from(SLOTS)
    }

    pub fn withdraw(&mut self, version: &str) {
        self.model = set_state(&self.model, &name(version), VersionState::Withdrawn).unwrap();
        self.revision = self.revision.next();
    }

    /// A tick of one driver, its effects not carried out.
    pub fn tick_only(&mut self, index: usize) -> Vec<Effect> {
        let (now, rank) = (self.now, Some(index as u32));
        let mut effects = Vec::new();
        for (number, outcome) in std::mem::take(&mut self.outcomes[index]) {
            effects.extend(self.drivers[index].on_store(now, number, outcome, rank));
        }
        let rollout = self.model.rollout.as_ref().unwrap();
        let at = |version: &VersionName| self.on[usize::from(version.as_str() == "2")];
        let seen = Observed {
            model: &self.model,
            revision: self.revision,
            engines: &self.reports[index],
            evidence: self.evidence,
            demand: Demand {
                from: at(&rollout.from),
                to: at(&rollout.to),
            },
            rank,
        };
        effects.extend(self.drivers[index].tick(now, &seen));
        effects
    }

    pub fn carry_out(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store(call) => {
                    let outcome = self.store.call(self.now, &call.request);
                    self.outcomes[index].push((call.number, outcome));
                }
                Effect::Read(id) => self.read(index, &id),
                Effect::Order(order) => self.order(&order),
                Effect::FetchSlot(_) => self.slot(index),
                Effect::Edit { model, if_match }
                    if if_match == self.revision && !self.store.down =>
                {
                    self.model = *model;
                    self.revision = self.revision.next();
                }
                Effect::Edit { .. } => {}
            }
        }
    }

    fn read(&mut self, index: usize, id: &UpstreamId) {
        let at = self.engines.iter().position(|e| e.id == *id).unwrap();
        self.reports[index][at] = report(&self.engines[at], Some(self.now));
    }

    fn slot(&mut self, index: usize) {
        self.slots_asked += 1;
        let blocked = self.loads_blocked || !self.now.has_reached(self.next_slot);
        let answer = if blocked {
            Err(self.now.until(self.next_slot))
        } else {
            Ok(())
        };
        if answer.is_ok() {
            self.next_slot = self.now + self.slot_every;
        }
        self.drivers[index].on_slot(self.now, answer);
    }

    pub fn order(&mut self, order: &Order) {
        let ready = self.now + LOAD_TIME;
        let engine = self
            .engines
            .iter_mut()
            .find(|e| e.id == order.engine)
            .unwrap();
        let has = engine.ready.contains(&order.version);
        match order.kind {
            _ if engine.deaf => {}
            OrderKind::Load if has => {}
            OrderKind::Load => {
                engine.loading.entry(order.version.clone()).or_insert(ready);
                self.loads += 1;
            }
            OrderKind::Unload => {
                engine.ready.retain(|version| *version != order.version);
                engine.loading.remove(&order.version);
            }
        }
    }

    /// Time passes; loads end and ratings come in.
    pub fn pass(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        for engine in &mut self.engines {
            let done = engine.loading.extract_if(.., |_, at| now.has_reached(*at));
            engine.ready.extend(done.map(|(version, _)| version));
        }
        self.evidence.ratings += 1;
        let step = self.model.rollout.as_ref().unwrap().step;
        if self.steps_seen.last() != Some(&step) {
            self.steps_seen.push(step);
        }
    }

    /// A tick of the first driver, carried out.
    pub fn step(&mut self) -> Vec<Effect> {
        let effects = self.tick_only(0);
        self.carry_out(0, effects.clone());
        self.pass();
        effects
    }

    pub fn run(&mut self, ticks: usize) {
        (0..ticks).for_each(|_| drop(self.step()));
    }

    /// Runs until something holds, within twenty minutes.
    pub fn run_until(&mut self, holds: impl Fn(&Self) -> bool) {
        for _ in 0..6000 {
            if holds(self) {
                return;
            }
            self.step();
        }
        panic!(
            "never: {:?} waits for {:?}",
            self.state(),
            self.drivers[0].waiting()
        );
    }
}

fn report(engine: &Real, read_at: Option<Time>) -> Engine {
    let known = read_at.is_some();
    Engine {
        id: engine.id.clone(),
        failure_domain: FailureDomain::new("d").unwrap(),
        slots: SLOTS,
        read_at,
        ready: if known {
            engine.ready.clone()
        } else {
            Vec::new()
        },
        loading: engine.loading.keys().cloned().collect(),
        leaving: false,
        is_full: false,
    }
}

fn first_model() -> Model {
    let price = Price {
        input: Cost(1),
        output: Cost(1),
    };
    let version = Version {
        state: VersionState::Offered,
        price,
        expected_quality: BTreeMap::new(),
    };
    let gate = Gate {
        ratings: 10,
        stay: Span::from_secs(5),
    };
    Model {
        service: EntryName::new("services/engines").unwrap(),
        versions: [(name("1"), version.clone()), (name("2"), version)].into(),
        rollout: Some(Rollout {
            from: name("1"),
            to: name("2"),
            steps: [0.0, 0.5, 1.0].map(Share::clamped).to_vec(),
            step: 0,
            state: RolloutState::Running,
            gate,
        }),
    }
}
