//! One run: a roll-out from its start to its end, with the troubles of a scenario.

use std::collections::{BTreeMap, VecDeque};

use catalogue::entry::{Gate, Model, Price, Rollout, RolloutState, Version, VersionState};
use rollout::edit;
use rollout::observed::{Demand, Evidence};
use rollout::{Effect, Order, OrderKind};
use types::prelude::*;

use super::environment::{Engine, Store, Weights};
use super::fleet::Daemon;
use super::scenario::{Outcome, Scenario, Trouble};

pub(super) const TICK: Span = Span::from_millis(200);
const DAEMONS: u32 = 3;
const DOMAINS: usize = 4;
/// Share of all slots that the demand takes on average.
const LOAD: f64 = 0.6;
/// The demand swings by this part of itself, once in so many seconds.
const SWING: f64 = 0.12;
const SWING_S: f64 = 150.0;
/// What daemons know of the demand is so many ticks old.
const DEMAND_LAG: usize = 50;
/// Sessions move to another version within about this many seconds.
const SESSION_S: f64 = 20.0;
const RATINGS_PER_S: f64 = 4.0;
const PAUSE: Span = Span::from_secs(45);
const OPERATOR_AFTER: Span = Span::from_secs(22);
const OUTAGE: Span = Span::from_secs(60);
const LONGEST: Time = Time(3_600_000_000);
const WEIGHTS_EVERY: Span = Span::from_millis(500);
const SLOW_WEIGHTS_EVERY: Span = Span::from_secs(8);

/// The moments at which the driver acts in a run without troubles.
pub(super) fn actions(base: &Scenario) -> Vec<Time> {
    play(base).acted_at
}

/// Runs a scenario to its end.
pub(super) fn play(scenario: &Scenario) -> Outcome {
    let mut run = Run::new(scenario);
    let mut now = Time::ZERO;
    while now < LONGEST && run.outcome.finished_s.is_none() {
        run.tick(now);
        now = now + TICK;
    }
    run.outcome.store_calls = run.store.calls;
    run.outcome
}

pub(super) struct Run<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) engines: Vec<Engine>,
    pub(super) daemons: Vec<Daemon>,
    pub(super) store: Store,
    pub(super) weights: Weights,
    pub(super) model: Model,
    pub(super) revision: Revision,
    /// Slots taken by all.
    pub(super) total: f64,
    /// Part of them by version 2.
    pub(super) part: f64,
    /// Slots taken by versions 1 and 2 of late, latest last.
    pub(super) past: VecDeque<[f64; 2]>,
    pub(super) ratings: f64,
    pub(super) pauses: Vec<Time>,
    pub(super) operator_at: Option<Time>,
    pub(super) withdrawn: Option<VersionName>,
    pub(super) fencing: u64,
    pub(super) outcome: Outcome,
}

pub(super) fn name(text: &str) -> VersionName {
    text.parse().expect("a plain name")
}

pub(super) fn gate() -> Gate {
    Gate {
        ratings: 5,
        stay: Span::from_secs(10),
    }
}

/// 0 for version 1, 1 for version 2.
pub(super) fn index_of(version: &VersionName) -> usize {
    usize::from(version.as_str() == "2")
}

pub(super) fn first_model() -> Model {
    let price = Price {
        input: Cost(1),
        output: Cost(1),
    };
    let version = |state| Version {
        state,
        price,
        expected_quality: BTreeMap::new(),
    };
    let steps = [0.0, 0.1, 0.5, 1.0]
        .into_iter()
        .map(Share::clamped)
        .collect();
    Model {
        service: EntryName::new("services/engines").expect("a plain name"),
        versions: BTreeMap::from([
            (name("1"), version(VersionState::Offered)),
            (name("2"), version(VersionState::Offered)),
        ]),
        rollout: Some(Rollout {
            from: name("1"),
            to: name("2"),
            steps,
            step: 0,
            state: RolloutState::Running,
            gate: gate(),
        }),
    }
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let old = name("1");
        let engine = |index| Engine::new(index, DOMAINS, &old, scenario.fencing);
        let engines: Vec<Engine> = (0..scenario.engines).map(engine).collect();
        let slots: f64 = engines.iter().map(|e| f64::from(e.slots)).sum();
        let daemon = |rank| Daemon::new(scenario.way, rank, &engines);
        let daemons = (0..DAEMONS).map(daemon).collect();
        Self {
            scenario,
            engines,
            daemons,
            store: Store::new(scenario.seed),
            weights: Weights::new(WEIGHTS_EVERY),
            model: first_model(),
            revision: Revision(1),
            total: slots * LOAD,
            part: 0.0,
            past: VecDeque::new(),
            ratings: 0.0,
            pauses: scenario.pause_at.clone(),
            operator_at: None,
            withdrawn: None,
            fencing: 0,
            outcome: Outcome::default(),
        }
    }

    fn tick(&mut self, now: Time) {
        self.engines
            .iter_mut()
            .for_each(|engine| engine.settle(now));
        self.trouble(now);
        self.operate(now);
        self.swing(now);
        self.serve();
        for index in 0..self.daemons.len() {
            self.drive(now, index);
        }
        self.judge(now);
    }

    fn trouble(&mut self, now: Time) {
        if now != self.scenario.trouble_at {
            return;
        }
        match self.scenario.trouble {
            Trouble::None => {}
            Trouble::StoreDown => self.store.down_until = now + OUTAGE,
            Trouble::LostReplies => self.store.lost = 0.2,
            Trouble::SlowWeights => self.weights.every = SLOW_WEIGHTS_EVERY,
            Trouble::DomainLost => {
                let lost = self.engines.iter_mut().step_by(DOMAINS);
                lost.for_each(|engine| engine.restart(&name("1")));
            }
        }
    }

    pub(super) fn write(&mut self, next: Result<Model, edit::EditError>) {
        if let Ok(model) = next {
            self.model = model;
            self.revision = self.revision.next();
        }
    }

    fn rollout(&self) -> &Rollout {
        self.model
            .rollout
            .as_ref()
            .expect("the run starts with one")
    }

    pub(super) fn state(&self) -> RolloutState {
        self.rollout().state
    }

    /// The version that goes in the end.
    pub(super) fn dropped(&self) -> VersionName {
        let rollout = self.rollout();
        match rollout.state {
            RolloutState::Aborted => rollout.to.clone(),
            _ => rollout.from.clone(),
        }
    }

    /// Slots taken by versions 1 and 2.
    pub(super) fn on(&self) -> [f64; 2] {
        [self.total * (1.0 - self.part), self.total * self.part]
    }

    /// The demand as daemons know it: some ticks old.
    fn demand(&self) -> Demand {
        let rollout = self.rollout();
        let on = self.past.front().copied().unwrap_or_else(|| self.on());
        Demand {
            from: on[index_of(&rollout.from)],
            to: on[index_of(&rollout.to)],
        }
    }

    fn swing(&mut self, now: Time) {
        let slots: u32 = self.engines.iter().map(|e| e.slots).sum();
        let phase = now.since(Time::ZERO).as_secs_f64() / SWING_S * std::f64::consts::TAU;
        self.total = f64::from(slots) * LOAD * (1.0 + SWING * phase.sin());
        self.past.push_back(self.on());
        if self.past.len() > DEMAND_LAG {
            self.past.pop_front();
        }
    }

    /// Sessions move to the versions that take new ones.
    fn serve(&mut self) {
        let rollout = self.rollout();
        let takes = |version| self.model.versions[version].state == VersionState::Offered;
        let share = match (takes(&rollout.from), takes(&rollout.to)) {
            (true, true) => rollout.share().get(),
            (false, true) => 1.0,
            _ => 0.0,
        };
        let new_is_2 = index_of(&rollout.to) == 1;
        let goal = if new_is_2 { share } else { 1.0 - share };
        let moved = 1.0 - (-TICK.as_secs_f64() / SESSION_S).exp();
        let mut part = self.part + (goal - self.part) * moved;
        if self.is_withdrawn(&name("2")) {
            part = 0.0;
        } else if self.is_withdrawn(&name("1")) {
            part = 1.0;
        }
        self.part = part;
        let on_new = if new_is_2 { part } else { 1.0 - part };
        self.ratings += RATINGS_PER_S * on_new * TICK.as_secs_f64();
        if let Some(version) = self.withdrawn.clone() {
            // New work on a version that an operator withdrew: it was made good again.
            let revived = !self.is_withdrawn(&version);
            self.outcome.revived |= revived;
            if revived {
                self.outcome.withdrawn_requests += self.on()[index_of(&version)] * moved;
            }
        }
    }

    pub(super) fn is_withdrawn(&self, version: &VersionName) -> bool {
        self.model.versions[version].state == VersionState::Withdrawn
    }

    fn drive(&mut self, now: Time, index: usize) {
        if now < self.daemons[index].paused_until {
            return;
        }
        // A daemon that wakes goes on in the middle of what it was doing.
        let in_hand = std::mem::take(&mut self.daemons[index].in_hand);
        self.carry_out(now, index, in_hand, true);
        let evidence = Evidence {
            ratings: self.ratings as u64,
            ..Evidence::default()
        };
        let demand = self.demand();
        let daemon = &mut self.daemons[index];
        let effects = daemon.tick(now, &self.model, self.revision, evidence, demand);
        let acts = |e: &Effect| matches!(e, Effect::Order(_) | Effect::Edit { .. });
        let holds = daemon.fencing(now).is_some();
        if holds && (effects.iter().any(acts) || effects.iter().any(is_store)) {
            self.outcome.acted_at.push(now);
        }
        if holds && self.pauses.first().is_some_and(|at| now.has_reached(*at)) {
            self.pauses.remove(0);
            self.operator_at = Some(now + OPERATOR_AFTER);
            let daemon = &mut self.daemons[index];
            daemon.paused_until = now + PAUSE;
            daemon.in_hand = effects;
            return;
        }
        self.carry_out(now, index, effects, false);
    }

    fn carry_out(&mut self, now: Time, index: usize, effects: Vec<Effect>, late: bool) {
        for effect in effects {
            match effect {
                Effect::Store(call) => {
                    let outcome = self.store.call(now, call.request);
                    self.daemons[index].outcomes.push((call.number, outcome));
                }
                Effect::Read(id) => {
                    if let Some(engine) = self.engines.iter().find(|e| e.id == id) {
                        self.daemons[index].read(now, engine);
                    }
                }
                Effect::RequestPermit(version) => {
                    let answer = self.weights.ask(now, &version);
                    self.daemons[index].on_permit(now, answer);
                }
                Effect::Edit { model, if_match } => {
                    if if_match == self.revision || !self.daemons[index].compares() {
                        self.write(Ok(*model));
                    }
                }
                Effect::Order(order) => self.order(now, &order, late),
            }
        }
        if !self.daemons[index].compares() {
            // The naive way reads once and counts on it.
            let daemon = &mut self.daemons[index];
            self.engines
                .iter()
                .for_each(|engine| daemon.read(now, engine));
        }
    }

    /// Hands an order to its engine. A late one goes too, whatever its deadline: its sender
    /// was paused between looking at the clock and sending.
    fn order(&mut self, now: Time, order: &Order, late: bool) {
        self.outcome.orders += 1;
        let stale = late && order.fencing < self.fencing;
        self.fencing = self.fencing.max(order.fencing);
        let Some(engine) = self.engines.iter_mut().find(|e| e.id == order.engine) else {
            return;
        };
        let had = (engine.ready.clone(), engine.loading.len());
        if !engine.order(now, order) {
            self.outcome.refused_orders += 1;
            return;
        }
        let changed = had != (engine.ready.clone(), engine.loading.len());
        if order.kind == OrderKind::Load && changed {
            let without = u64::from(!self.weights.take(&order.version));
            self.outcome.loads_without_leave += without;
        }
        if order.kind == OrderKind::Unload && changed && !late {
            let is_unsafe = self.is_unsafe_without(&order.version);
            self.outcome.unsafe_removals += u64::from(is_unsafe);
        }
        if stale && changed {
            self.outcome.late_orders += 1;
            self.outcome.late_removals += u64::from(order.kind == OrderKind::Unload);
        }
    }
}

fn is_store(effect: &Effect) -> bool {
    matches!(effect, Effect::Store(_))
}
