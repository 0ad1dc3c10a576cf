//! Simulates one roll-out from start to end under the faults of a scenario.

use std::collections::{BTreeMap, VecDeque};

use catalogue::entry::{Gate, Model, Price, Rollout, RolloutState, Version, VersionState};
use rollout::edit;
use rollout::observed::{Demand, Evidence};
use rollout::{Effect, Order, OrderKind};
use types::prelude::*;

use super::environment::{Engine, Store, Weights};
use super::fleet::Daemon;
use super::scenario::{Fault, Outcome, Scenario};

pub(super) const TICK_INTERVAL: Span = Span::from_millis(200);
const DAEMONS: u32 = 3;
const DOMAINS: usize = 4;
/// Mean demand as a share of all slots.
const MEAN_UTILIZATION: f64 = 0.6;
/// Relative amplitude of the demand, which oscillates with period `DEMAND_PERIOD_S` in seconds.
const DEMAND_AMPLITUDE: f64 = 0.12;
const DEMAND_PERIOD_S: f64 = 150.0;
/// Age in ticks of the demand that daemons know.
const DEMAND_LAG_TICKS: usize = 50;
/// Time constant in seconds with which sessions move to another version.
const SESSION_TIME_CONSTANT_S: f64 = 20.0;
const RATINGS_PER_S: f64 = 4.0;
const PAUSE_DURATION: Span = Span::from_secs(45);
const OPERATOR_DELAY: Span = Span::from_secs(22);
const OUTAGE_DURATION: Span = Span::from_secs(60);
const MAX_DURATION: Time = Time(3_600_000_000);
const PERMIT_INTERVAL: Span = Span::from_millis(500);
const SLOW_PERMIT_INTERVAL: Span = Span::from_secs(8);

/// Times at which the driver acts in a run of the scenario.
pub(super) fn action_times(base: &Scenario) -> Vec<Time> {
    simulate(base).acted_at
}

/// Simulates a scenario to its end.
pub(super) fn simulate(scenario: &Scenario) -> Outcome {
    let mut run = Run::new(scenario);
    let mut now = Time::ZERO;
    while now < MAX_DURATION && run.outcome.finished_s.is_none() {
        run.tick(now);
        now = now + TICK_INTERVAL;
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
    /// Slots used by both versions.
    pub(super) total_demand: f64,
    /// Share of them used by version 2.
    pub(super) version_2_share: f64,
    /// Recent numbers of slots used by versions 1 and 2, latest last.
    pub(super) demand_history: VecDeque<[f64; 2]>,
    pub(super) ratings: f64,
    pub(super) remaining_pauses: Vec<Time>,
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

/// Returns 0 for version 1 and 1 for version 2.
pub(super) fn index_of(version: &VersionName) -> usize {
    usize::from(version.as_str() == "2")
}

pub(super) fn initial_model() -> Model {
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
        let daemon = |rank| Daemon::new(scenario.driver_kind, rank, &engines);
        let daemons = (0..DAEMONS).map(daemon).collect();
        Self {
            scenario,
            engines,
            daemons,
            store: Store::new(scenario.seed),
            weights: Weights::new(PERMIT_INTERVAL),
            model: initial_model(),
            revision: Revision(1),
            total_demand: slots * MEAN_UTILIZATION,
            version_2_share: 0.0,
            demand_history: VecDeque::new(),
            ratings: 0.0,
            remaining_pauses: scenario.pause_at.clone(),
            operator_at: None,
            withdrawn: None,
            fencing: 0,
            outcome: Outcome::default(),
        }
    }

    fn tick(&mut self, now: Time) {
        self.engines
            .iter_mut()
            .for_each(|engine| engine.complete_loads(now));
        self.inject_fault(now);
        self.run_operator(now);
        self.update_demand(now);
        self.move_sessions();
        for index in 0..self.daemons.len() {
            self.run_daemon(now, index);
        }
        self.check(now);
    }

    fn inject_fault(&mut self, now: Time) {
        if now != self.scenario.fault_at {
            return;
        }
        match self.scenario.fault {
            Fault::None => {}
            Fault::StoreDown => self.store.down_until = now + OUTAGE_DURATION,
            Fault::LostReplies => self.store.reply_loss = 0.2,
            Fault::SlowWeights => self.weights.interval = SLOW_PERMIT_INTERVAL,
            Fault::DomainLost => {
                let lost = self.engines.iter_mut().step_by(DOMAINS);
                lost.for_each(|engine| engine.restart(&name("1")));
            }
        }
    }

    pub(super) fn apply_edit(&mut self, next: Result<Model, edit::EditError>) {
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

    /// Returns the version that is removed in the end.
    pub(super) fn dropped(&self) -> VersionName {
        let rollout = self.rollout();
        match rollout.state {
            RolloutState::Aborted => rollout.to.clone(),
            _ => rollout.from.clone(),
        }
    }

    /// Slots used by versions 1 and 2.
    pub(super) fn demand_by_version(&self) -> [f64; 2] {
        [
            self.total_demand * (1.0 - self.version_2_share),
            self.total_demand * self.version_2_share,
        ]
    }

    /// Demand as known by the daemons, which is `DEMAND_LAG_TICKS` old.
    fn delayed_demand(&self) -> Demand {
        let rollout = self.rollout();
        let slots_used = self
            .demand_history
            .front()
            .copied()
            .unwrap_or_else(|| self.demand_by_version());
        Demand {
            from: slots_used[index_of(&rollout.from)],
            to: slots_used[index_of(&rollout.to)],
        }
    }

    fn update_demand(&mut self, now: Time) {
        let slots: u32 = self.engines.iter().map(|e| e.slots).sum();
        let phase = now.since(Time::ZERO).as_secs_f64() / DEMAND_PERIOD_S * std::f64::consts::TAU;
        self.total_demand =
            f64::from(slots) * MEAN_UTILIZATION * (1.0 + DEMAND_AMPLITUDE * phase.sin());
        self.demand_history.push_back(self.demand_by_version());
        if self.demand_history.len() > DEMAND_LAG_TICKS {
            self.demand_history.pop_front();
        }
    }

    /// Moves sessions to the versions that accept new ones.
    fn move_sessions(&mut self) {
        let rollout = self.rollout();
        let accepts_sessions =
            |version| self.model.versions[version].state == VersionState::Offered;
        let share = match (
            accepts_sessions(&rollout.from),
            accepts_sessions(&rollout.to),
        ) {
            (true, true) => rollout.share().get(),
            (false, true) => 1.0,
            _ => 0.0,
        };
        let new_is_2 = index_of(&rollout.to) == 1;
        let target_share = if new_is_2 { share } else { 1.0 - share };
        let moved_share = 1.0 - (-TICK_INTERVAL.as_secs_f64() / SESSION_TIME_CONSTANT_S).exp();
        let mut version_2_share =
            self.version_2_share + (target_share - self.version_2_share) * moved_share;
        if self.is_withdrawn(&name("2")) {
            version_2_share = 0.0;
        } else if self.is_withdrawn(&name("1")) {
            version_2_share = 1.0;
        }
        self.version_2_share = version_2_share;
        let new_version_share = if new_is_2 {
            version_2_share
        } else {
            1.0 - version_2_share
        };
        self.ratings += RATINGS_PER_S * new_version_share * TICK_INTERVAL.as_secs_f64();
        if let Some(version) = self.withdrawn.clone() {
            // A version that an operator has withdrawn is offered again and gets new requests.
            let revived = !self.is_withdrawn(&version);
            self.outcome.revived |= revived;
            if revived {
                self.outcome.withdrawn_requests +=
                    self.demand_by_version()[index_of(&version)] * moved_share;
            }
        }
    }

    pub(super) fn is_withdrawn(&self, version: &VersionName) -> bool {
        self.model.versions[version].state == VersionState::Withdrawn
    }

    fn run_daemon(&mut self, now: Time, index: usize) {
        if now < self.daemons[index].paused_until {
            return;
        }
        // A resumed daemon first continues with what it was doing when it was paused.
        let pending_effects = std::mem::take(&mut self.daemons[index].pending_effects);
        self.carry_out(now, index, pending_effects, true);
        let evidence = Evidence {
            ratings: self.ratings as u64,
            ..Evidence::default()
        };
        let demand = self.delayed_demand();
        let daemon = &mut self.daemons[index];
        let effects = daemon.tick(now, &self.model, self.revision, evidence, demand);
        let is_action = |e: &Effect| matches!(e, Effect::Order(_) | Effect::Edit { .. });
        let holds_lease = daemon.fencing(now).is_some();
        if holds_lease && (effects.iter().any(is_action) || effects.iter().any(is_store)) {
            self.outcome.acted_at.push(now);
        }
        if holds_lease
            && self
                .remaining_pauses
                .first()
                .is_some_and(|at| now.has_reached(*at))
        {
            self.remaining_pauses.remove(0);
            self.operator_at = Some(now + OPERATOR_DELAY);
            let daemon = &mut self.daemons[index];
            daemon.paused_until = now + PAUSE_DURATION;
            daemon.pending_effects = effects;
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
                    let answer = self.weights.request_permit(now, &version);
                    self.daemons[index].on_permit(now, answer);
                }
                Effect::Edit { model, if_match } => {
                    if if_match == self.revision || !self.daemons[index].checks_revision() {
                        self.apply_edit(Ok(*model));
                    }
                }
                Effect::Order(order) => self.deliver_order(now, &order, late),
            }
        }
        if !self.daemons[index].checks_revision() {
            // The naive driver requests no reads, so it gets the engines' reports here.
            let daemon = &mut self.daemons[index];
            self.engines
                .iter()
                .for_each(|engine| daemon.read(now, engine));
        }
    }

    /// Delivers an order to its engine. A late order is delivered despite its deadline, because its
    /// sender was paused between checking the clock and sending it.
    fn deliver_order(&mut self, now: Time, order: &Order, late: bool) {
        self.outcome.orders += 1;
        let stale = late && order.fencing < self.fencing;
        self.fencing = self.fencing.max(order.fencing);
        let Some(engine) = self.engines.iter_mut().find(|e| e.id == order.engine) else {
            return;
        };
        let state_before = (engine.ready.clone(), engine.loading.len());
        if !engine.execute(now, order) {
            self.outcome.refused_orders += 1;
            return;
        }
        let changed = state_before != (engine.ready.clone(), engine.loading.len());
        if order.kind == OrderKind::Load && changed {
            let without_permit = u64::from(!self.weights.use_permit(&order.version));
            self.outcome.loads_without_permit += without_permit;
        }
        if order.kind == OrderKind::Unload && changed && !late {
            let is_unsafe = self.is_removal_unsafe(&order.version);
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
