//! A simulated fleet that rolls out one version of a plain service.
//!
//! Daemons judge on evidence that reaches them late, by the real [`Trial`], [`EvidenceAggregator`]
//! and [`StateWriter`]. The store executes conditional writes after a delay, and upstreams of a
//! version leave once a final state is recorded.

use std::sync::Arc;

use dispatch::{
    ArmCounts, Evidence, EvidenceAggregator, Gate, Permit, RolloutMessage, RolloutSummary,
    StateWriter, Trial, TrialLimits, Verdict,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routes::{RolloutOrder, RolloutState};
use types::prelude::*;

const STEP: f64 = 0.01;
/// Steps between two ticks of a daemon.
const TICK_STEPS: usize = 10;
/// Share of the requests that may be retried, and how often each kind fails at a good version.
const REPEATABLE_SHARE: f64 = 0.29;
const FAILURE_SHARES: [f64; 2] = [0.004, 0.14];
/// Time over which an upstream's load is averaged, in seconds.
const LOAD_WINDOW: f64 = 0.5;
/// Share of an upstream's part of all traffic from which it is under load.
const UNDER_LOAD_FROM: f64 = 0.6;
/// Time after which an unanswered write is given up, in seconds.
const WRITE_TIMEOUT: f64 = 1.5;
const ORDER: u64 = 7;

/// How the new version fails.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// It does not.
    None,
    /// This share of its requests fails.
    Errors(f64),
    /// This share of the requests fails at upstreams under load.
    UnderLoad(f64),
    /// This share of the requests that may be retried fails.
    OneKind(f64),
    /// This share of the requests fails once the version gets all of them.
    AllTraffic(f64),
}

/// How the store answers writes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StoreFault {
    None,
    /// Writes take up to this many seconds to be executed.
    Slow(f64),
    /// Every second write is executed and its answer lost.
    LostAnswers,
    /// Writes are executed at once and answered up to this many seconds later.
    LateAnswers(f64),
}

/// A roll-out to simulate.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub daemons: usize,
    /// Upstreams of either version.
    pub upstreams: usize,
    /// Requests a second at the start, and the factor by which they have grown at the end.
    pub rate: f64,
    pub growth: f64,
    pub secs: f64,
    pub limits: TrialLimits,
    pub fault: Fault,
    pub store: StoreFault,
    pub seed: u64,
}

/// What became of a roll-out.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// States in the order of their writing, with the time in seconds since the order.
    pub states: Vec<(RolloutState, f64)>,
    /// Requests sent to the new version until the deadline, and those allowed for a bad one.
    pub sent: u32,
    pub allowed: f64,
    /// Whether requests came when no version was left.
    pub has_lost_all_versions: bool,
}

impl Outcome {
    pub fn has(&self, state: RolloutState) -> bool {
        self.states.iter().any(|(written, _)| *written == state)
    }

    pub fn is_completed_by(&self, secs: f64) -> bool {
        let mut completed = self.states.iter();
        completed.any(|(state, at)| *state == RolloutState::Completed && *at <= secs)
    }
}

struct Daemon {
    id: DaemonId,
    knows_from: f64,
    trial: Option<Trial>,
    writer: StateWriter,
    evidence: Evidence,
    aggregator: EvidenceAggregator,
    gate: Option<Gate>,
    revision: u64,
    phase: usize,
    ticks: usize,
}

enum Event {
    Answer {
        daemon: usize,
        is_new: bool,
        kind: usize,
        is_bad: bool,
        attempts: u32,
        hash: u64,
    },
    Report(usize, DaemonId, Evidence),
    Summary(usize, RolloutSummary),
    Execute {
        daemon: usize,
        state: RolloutState,
        condition: u64,
        answer_after: Option<f64>,
    },
    Written(usize),
    Recorded(usize, RolloutState, u64),
}

/// The fleet, its store and its upstreams.
pub struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: f64,
    daemons: Vec<Daemon>,
    events: Vec<Vec<Event>>,
    /// State in the store and its revision.
    recorded: Option<RolloutState>,
    revision: u64,
    writes: u32,
    /// When the old and the new version's upstreams have left.
    old_leaves: f64,
    new_leaves: f64,
    /// Requests that each new upstream got in the current load window, as a decaying sum.
    loads: Vec<f64>,
    outcome: Outcome,
    all: u32,
}

fn time(secs: f64) -> Time {
    Time::ZERO + Span::from_secs_f64(secs)
}

fn counts(evidence: &mut Evidence, is_new: bool, kind: usize) -> &mut ArmCounts {
    match is_new {
        true => &mut evidence.new.kinds[kind],
        false => &mut evidence.old.kinds[kind],
    }
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let daemons = (0..scenario.daemons).map(|n| {
            let knows_from = 0.02 + rng.random::<f64>() * 0.3;
            Daemon {
                id: DaemonId::new(&format!("d{n:03}")).expect("a name"),
                knows_from,
                trial: None,
                writer: StateWriter::new(time(knows_from)),
                evidence: Evidence {
                    order: ORDER,
                    ..Evidence::default()
                },
                aggregator: EvidenceAggregator::default(),
                gate: None,
                revision: 0,
                phase: rng.random_range(0..TICK_STEPS),
                ticks: 0,
            }
        });
        let daemons = daemons.collect();
        let steps = ((scenario.secs + 8.0) / STEP) as usize;
        Self {
            scenario,
            rng,
            now: 0.0,
            daemons,
            events: (0..steps).map(|_| Vec::new()).collect(),
            recorded: None,
            revision: 0,
            writes: 0,
            old_leaves: f64::INFINITY,
            new_leaves: f64::INFINITY,
            loads: vec![0.0; scenario.upstreams],
            outcome: Outcome::default(),
            all: 0,
        }
    }

    /// Plays the roll-out until some seconds after its deadline.
    pub fn play(mut self) -> Outcome {
        let steps = ((self.scenario.secs + 3.0) / STEP) as usize;
        for step in 0..steps {
            self.now = step as f64 * STEP;
            self.arrivals();
            for event in std::mem::take(&mut self.events[step]) {
                self.handle(event);
            }
            for n in 0..self.daemons.len() {
                if step % TICK_STEPS == self.daemons[n].phase {
                    self.tick(n);
                }
            }
            for load in &mut self.loads {
                *load *= 1.0 - STEP / LOAD_WINDOW;
            }
        }
        let all = f64::from(self.all);
        self.outcome.allowed = self.scenario.limits.exposure * all + self.scenario.limits.allowance;
        self.outcome
    }

    fn at(&mut self, delay: f64, event: Event) {
        let step = ((self.now + delay) / STEP) as usize + 1;
        if let Some(events) = self.events.get_mut(step) {
            events.push(event);
        }
    }

    fn delay(&mut self, least: f64, most: f64) -> f64 {
        least + self.rng.random::<f64>() * (most - least)
    }

    fn rate(&self) -> f64 {
        let progress = (self.now / self.scenario.secs).min(1.0);
        self.scenario.rate * (1.0 + (self.scenario.growth - 1.0) * progress)
    }

    fn arrivals(&mut self) {
        let mut due = self.rate() * STEP;
        while due > 0.0 {
            if self.rng.random::<f64>() < due {
                let daemon = self.rng.random_range(0..self.daemons.len());
                let kind = usize::from(self.rng.random::<f64>() < REPEATABLE_SHARE);
                let hash = self.rng.next_u64();
                self.send(daemon, kind, hash, 1);
            }
            due -= 1.0;
        }
    }

    fn send(&mut self, n: usize, kind: usize, hash: u64, attempts: u32) {
        let gate = self.daemons[n].gate.as_ref();
        let permit = gate.map_or(Permit::Any, |gate| gate.permit(hash, None));
        let mut is_new = permit.allows(&Arc::from("v2")) && permit != Permit::Any;
        let (has_old, has_new) = (self.now < self.old_leaves, self.now < self.new_leaves);
        if !has_old && !has_new {
            self.outcome.has_lost_all_versions = true;
            return;
        }
        if gate.is_none() && !has_old {
            is_new = true;
        }
        if !(if is_new { has_new } else { has_old }) {
            return;
        }
        let is_due = self.now <= self.scenario.secs;
        self.all += u32::from(is_due);
        let mut failure = FAILURE_SHARES[kind];
        if is_new {
            self.outcome.sent += u32::from(is_due);
            failure = failure.max(self.fault(kind, &permit));
        }
        let is_bad = self.rng.random::<f64>() < failure;
        let daemon = &mut self.daemons[n];
        if daemon.trial.is_some() {
            let counts = counts(&mut daemon.evidence, is_new, kind);
            counts.sent += 1;
            counts.out += 1;
        }
        let delay = self.delay(0.015, 0.08);
        let answer = Event::Answer {
            daemon: n,
            is_new,
            kind,
            is_bad,
            attempts,
            hash,
        };
        self.at(delay, answer);
    }

    /// Sends a request to one of the new upstreams and returns how likely its fault fails it.
    fn fault(&mut self, kind: usize, permit: &Permit) -> f64 {
        let total = self.scenario.upstreams;
        let used = match permit {
            Permit::Subset(_, share) => (share.get() * total as f64 - 1e-9).ceil() as usize,
            _ => total,
        };
        let upstream = self.rng.random_range(0..used.clamp(1, total));
        self.loads[upstream] += 1.0;
        let part = self.rate() * LOAD_WINDOW / total as f64;
        match self.scenario.fault {
            Fault::None => 0.0,
            Fault::Errors(share) => share,
            Fault::UnderLoad(share) if self.loads[upstream] >= UNDER_LOAD_FROM * part => share,
            Fault::UnderLoad(_) => 0.0,
            Fault::OneKind(share) if kind == 1 => share,
            Fault::OneKind(_) => 0.0,
            Fault::AllTraffic(share) if matches!(permit, Permit::Only(_)) => share,
            Fault::AllTraffic(_) => 0.0,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Answer {
                daemon,
                is_new,
                kind,
                is_bad,
                attempts,
                hash,
            } => {
                let counts = counts(&mut self.daemons[daemon].evidence, is_new, kind);
                counts.out = counts.out.saturating_sub(1);
                counts.begun += 1;
                match is_bad {
                    true => counts.bad += 1,
                    false => counts.good += 1,
                }
                if is_bad && kind == 1 && attempts < 2 {
                    self.send(daemon, kind, hash, attempts + 1);
                }
            }
            Event::Report(to, from, own) => {
                let staying = Vec::new();
                let report = RolloutMessage::Report { own, staying };
                self.daemons[to].aggregator.handle_message(from, report);
            }
            Event::Summary(to, summary) => self.daemons[to].aggregator.merge_summary(&summary),
            Event::Execute {
                daemon,
                state,
                condition,
                answer_after,
            } => {
                self.execute(state, condition);
                if let Some(delay) = answer_after {
                    self.at(delay, Event::Written(daemon));
                }
            }
            Event::Written(n) => self.daemons[n].writer.on_written(time(self.now)),
            Event::Recorded(n, state, revision) => {
                let daemon = &mut self.daemons[n];
                daemon.revision = daemon.revision.max(revision);
                if let Some(trial) = &mut daemon.trial {
                    trial.set_state(state);
                }
                daemon.writer.on_recorded(state);
            }
        }
    }

    fn execute(&mut self, state: RolloutState, condition: u64) {
        if condition != self.revision {
            return;
        }
        self.revision += 1;
        self.recorded = Some(state);
        self.outcome.states.push((state, self.now));
        let leaves = self.now + self.delay(0.2, 1.1);
        match state {
            RolloutState::Running => {}
            RolloutState::Completed => self.old_leaves = self.old_leaves.min(leaves),
            RolloutState::Reverted => self.new_leaves = self.new_leaves.min(leaves + 2.0),
        }
        for n in 0..self.daemons.len() {
            let delay = self.gossip_delay();
            self.at(delay, Event::Recorded(n, state, self.revision));
        }
    }

    fn gossip_delay(&mut self) -> f64 {
        let hops = (self.daemons.len() as f64).log2() / 2.0;
        self.delay(0.02, 0.03 + 0.05 * hops)
    }

    fn tick(&mut self, n: usize) {
        let (now, count) = (self.now, self.daemons.len());
        let limits = self.scenario.limits;
        let within = Span::from_secs_f64(self.scenario.secs);
        let daemon = &mut self.daemons[n];
        if now < daemon.knows_from {
            return;
        }
        let order = RolloutOrder {
            service: Arc::from("service"),
            to: Arc::from("v2"),
            decision_timeout: within,
            revision: ORDER,
        };
        let trial = daemon
            .trial
            .get_or_insert_with(|| Trial::new(time(now), order, limits));
        let elapsed = trial.elapsed(time(now)).as_millis();
        daemon.evidence.elapsed_ms = u32::try_from(elapsed - elapsed % 500).expect("small");
        let summary = daemon.aggregator.fleet(&daemon.id, &daemon.evidence);
        trial.adopt_elapsed(time(now), summary.fleet.elapsed());
        if summary.is_bad {
            trial.mark_bad(Verdict::Failing);
        }
        trial.set_upstreams(self.scenario.upstreams);
        let step = trial.step(time(now), &summary.fleet, 1.0);
        let state = step.final_state;
        daemon.gate = Some(step.gate);
        let is_newly_wanted =
            state.is_some_and(|state| daemon.writer.want(time(now), state, trial.state()));
        let is_newly_bad = is_newly_wanted && step.verdict.is_bad();
        if is_newly_bad {
            daemon.aggregator.mark_bad(ORDER);
        }
        let rank = u64::try_from(n).expect("small");
        let write = daemon.writer.start_write(time(now), rank);
        let condition = daemon.revision;
        let known_for = trial.elapsed(time(now));
        daemon.ticks += 1;
        let every = match known_for < Span::from_secs(3) {
            true => 2,
            false => (count / 50).max(2),
        };
        let is_report_due = daemon.ticks.is_multiple_of(every);
        let is_heartbeat_due = daemon.ticks.is_multiple_of(2);
        if let Some(state) = write {
            self.write(n, state, condition);
        }
        let aggregators = [0, count / 2];
        if is_report_due {
            self.report(n, aggregators);
        }
        if is_newly_bad || is_heartbeat_due && aggregators.contains(&n) {
            self.spread(n);
        }
    }

    fn write(&mut self, n: usize, state: RolloutState, condition: u64) {
        self.writes += 1;
        let (execute_after, answer_after) = match self.scenario.store {
            StoreFault::None => (self.delay(0.01, 0.04), Some(0.02)),
            StoreFault::Slow(most) => (self.delay(0.2, most), Some(0.02)),
            StoreFault::LostAnswers if self.writes.is_multiple_of(2) => (0.02, Some(WRITE_TIMEOUT)),
            StoreFault::LostAnswers => (0.02, Some(0.02)),
            StoreFault::LateAnswers(most) => (0.02, Some(self.delay(0.2, most))),
        };
        let execute = Event::Execute {
            daemon: n,
            state,
            condition,
            answer_after,
        };
        self.at(execute_after, execute);
    }

    fn report(&mut self, n: usize, aggregators: [usize; 2]) {
        let (id, own) = (self.daemons[n].id.clone(), self.daemons[n].evidence);
        for to in aggregators.into_iter().filter(|to| *to != n) {
            let delay = self.delay(0.01, 0.04);
            self.at(delay, Event::Report(to, id.clone(), own));
        }
    }

    fn spread(&mut self, n: usize) {
        let summaries = self.daemons[n].aggregator.summaries();
        for to in (0..self.daemons.len()).filter(|to| *to != n) {
            for summary in &summaries {
                let delay = self.gossip_delay();
                self.at(delay, Event::Summary(to, summary.clone()));
            }
        }
    }
}
