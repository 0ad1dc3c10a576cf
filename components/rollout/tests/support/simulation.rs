//! Simulated engines, store and weight store for the driver's tests.

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

pub fn version_name(text: &str) -> VersionName {
    text.parse().unwrap()
}

/// The actual state of an engine, which its last report may not show.
#[derive(Debug, Clone)]
pub struct SimEngine {
    pub id: UpstreamId,
    pub ready: Vec<VersionName>,
    pub loading: BTreeMap<VersionName, Time>,
    /// Accepts orders without any effect.
    pub ignores_orders: bool,
}

/// A store with a single key that is bound to a lease.
#[derive(Debug, Default)]
pub struct Store {
    pub key: Option<(KeyValue, Time)>,
    revision: i64,
    pub is_down: bool,
    /// Whether the next reply is lost after its call took effect.
    pub loses_next_reply: bool,
}

impl Store {
    pub fn call(&mut self, now: Time, request: &Request) -> Outcome {
        if self.is_down {
            return Err(CallError::NotSent("down".to_owned()));
        }
        self.key.take_if(|(_, end)| now.has_reached(*end));
        let reply = self.reply(now, request);
        if std::mem::take(&mut self.loses_next_reply) {
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
                    Reply::LeaseRenewed(Some(TTL))
                }
                _ => Reply::LeaseRenewed(None),
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
                    panic!("the transaction puts the lease's key");
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

/// A roll-out from version 1 to version 2 and the daemons that may drive it.
pub struct Simulation {
    pub now: Time,
    pub engines: Vec<SimEngine>,
    pub drivers: Vec<Driver>,
    reports: Vec<Vec<Engine>>,
    outcomes: Vec<Vec<(u64, Outcome)>>,
    pub store: Store,
    pub model: Model,
    pub revision: Revision,
    pub evidence: Evidence,
    /// Demand on versions 1 and 2, in slots.
    pub demand: [f64; 2],
    pub permit_interval: Span,
    next_permit_at: Time,
    pub permits_requested: u32,
    pub loads: u32,
    pub is_loading_blocked: bool,
    pub observed_steps: Vec<usize>,
}

impl Simulation {
    pub fn new(engines: usize, demand: f64) -> Self {
        let engine = |index| SimEngine {
            id: UpstreamId::new(&format!("e{index}")).unwrap(),
            ready: vec![version_name("1")],
            loading: BTreeMap::new(),
            ignores_orders: false,
        };
        let engines: Vec<SimEngine> = (0..engines).map(engine).collect();
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
            model: initial_model(),
            revision: Revision(1),
            evidence: Evidence::default(),
            demand: [demand, 0.0],
            permit_interval: Span::ZERO,
            next_permit_at: Time::ZERO,
            permits_requested: 0,
            loads: 0,
            is_loading_blocked: false,
            observed_steps: Vec::new(),
        }
    }

    pub fn state(&self) -> RolloutState {
        self.model.rollout.as_ref().unwrap().state
    }

    /// Slots of the engines that have a version ready.
    pub fn ready(&self, version: &str) -> f64 {
        let engines = self
            .engines
            .iter()
            .filter(|e| e.ready.contains(&version_name(version)));
        engines.count() as f64 * f64::from(SLOTS)
    }

    pub fn withdraw(&mut self, version: &str) {
        self.model =
            set_state(&self.model, &version_name(version), VersionState::Withdrawn).unwrap();
        self.revision = self.revision.next();
    }

    /// Runs a tick of one driver and returns its effects without applying them.
    pub fn tick_only(&mut self, index: usize) -> Vec<Effect> {
        let (now, standby_rank) = (self.now, Some(index as u32));
        let mut effects = Vec::new();
        for (number, outcome) in std::mem::take(&mut self.outcomes[index]) {
            effects.extend(self.drivers[index].on_store_outcome(
                now,
                number,
                outcome,
                standby_rank,
            ));
        }
        let rollout = self.model.rollout.as_ref().unwrap();
        let demand_of = |version: &VersionName| self.demand[usize::from(version.as_str() == "2")];
        let observed = Observed {
            model: &self.model,
            revision: self.revision,
            engines: &self.reports[index],
            evidence: self.evidence,
            demand: Demand {
                from: demand_of(&rollout.from),
                to: demand_of(&rollout.to),
            },
            standby_rank,
        };
        effects.extend(self.drivers[index].tick(now, &observed));
        effects
    }

    pub fn apply(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Store(call) => {
                    let outcome = self.store.call(self.now, &call.request);
                    self.outcomes[index].push((call.number, outcome));
                }
                Effect::Read(id) => self.read_report(index, &id),
                Effect::Order(order) => self.apply_order(&order),
                Effect::RequestPermit(_) => self.request_permit(index),
                Effect::Edit { model, if_match }
                    if if_match == self.revision && !self.store.is_down =>
                {
                    self.model = *model;
                    self.revision = self.revision.next();
                }
                Effect::Edit { .. } => {}
            }
        }
    }

    fn read_report(&mut self, index: usize, id: &UpstreamId) {
        let at = self.engines.iter().position(|e| e.id == *id).unwrap();
        self.reports[index][at] = report(&self.engines[at], Some(self.now));
    }

    fn request_permit(&mut self, index: usize) {
        self.permits_requested += 1;
        let blocked = self.is_loading_blocked || !self.now.has_reached(self.next_permit_at);
        let answer = if blocked {
            Err(self.now.until(self.next_permit_at))
        } else {
            Ok(())
        };
        if answer.is_ok() {
            self.next_permit_at = self.now + self.permit_interval;
        }
        self.drivers[index].on_permit(self.now, answer);
    }

    pub fn apply_order(&mut self, order: &Order) {
        let ready = self.now + LOAD_TIME;
        let engine = self
            .engines
            .iter_mut()
            .find(|e| e.id == order.engine)
            .unwrap();
        let has = engine.ready.contains(&order.version);
        match order.kind {
            _ if engine.ignores_orders => {}
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

    /// Advances the time by one tick: loads finish and a rating comes in.
    pub fn advance_time(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        for engine in &mut self.engines {
            let done = engine.loading.extract_if(.., |_, at| now.has_reached(*at));
            engine.ready.extend(done.map(|(version, _)| version));
        }
        self.evidence.ratings += 1;
        let step = self.model.rollout.as_ref().unwrap().step;
        if self.observed_steps.last() != Some(&step) {
            self.observed_steps.push(step);
        }
    }

    /// Runs a tick of the first driver, applies its effects and advances the time.
    pub fn step(&mut self) -> Vec<Effect> {
        let effects = self.tick_only(0);
        self.apply(0, effects.clone());
        self.advance_time();
        effects
    }

    pub fn run(&mut self, ticks: usize) {
        (0..ticks).for_each(|_| drop(self.step()));
    }

    /// Runs until a condition holds; panics after twenty minutes of simulated time.
    pub fn run_until(&mut self, condition: impl Fn(&Self) -> bool) {
        for _ in 0..6000 {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!(
            "condition not reached: {:?} waits for {:?}",
            self.state(),
            self.drivers[0].waiting()
        );
    }
}

fn report(engine: &SimEngine, read_at: Option<Time>) -> Engine {
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

fn initial_model() -> Model {
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
        versions: [
            (version_name("1"), version.clone()),
            (version_name("2"), version),
        ]
        .into(),
        rollout: Some(Rollout {
            from: version_name("1"),
            to: version_name("2"),
            steps: [0.0, 0.5, 1.0].map(Share::clamped).to_vec(),
            step: 0,
            state: RolloutState::Running,
            gate,
        }),
    }
}
