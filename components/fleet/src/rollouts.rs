//! Roll-outs: from orders and evidence to gates, and to states written to the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dispatch::{Evidence, Gate, StateWriter, Trial, TrialLimits, Verdict, VersionHistory};
use keyvalue::{Compare, ModRevision, Op, Put, Request, Txn};
use mirror::Mirror;
use routes::{RolloutOrder, RolloutState};
use types::prelude::*;

use crate::codec::{Codec, HistoryRecord, StateRecord};
use crate::event::Purpose;

/// A roll-out and the state that is to be written for it.
#[derive(Debug)]
struct Rollout {
    trial: Trial,
    gate: Option<Gate>,
    writer: StateWriter,
}

/// All roll-outs by service.
#[derive(Debug)]
pub(crate) struct Rollouts {
    limits: TrialLimits,
    by_service: BTreeMap<Arc<str>, Rollout>,
}

/// What the fleet knows of one roll-out.
pub(crate) struct FleetFindings<'a> {
    /// Evidence of the whole fleet.
    pub(crate) fleet: &'a Evidence,
    /// Fraction of the service's traffic that the new version's upstreams can take.
    pub(crate) serving_capacity: f64,
    /// Upstreams of the new version.
    pub(crate) new_upstreams: usize,
    pub(crate) is_marked_bad: bool,
    /// Sessions that some daemon saw in progress on another version.
    pub(crate) staying: BTreeSet<u32>,
}

impl Rollouts {
    pub(crate) fn new(limits: TrialLimits) -> Self {
        Self {
            limits,
            by_service: BTreeMap::new(),
        }
    }

    /// Reads orders, states and histories from the mirror. `versions` lists the versions of a
    /// service's upstreams.
    pub(crate) fn refresh(
        &mut self,
        now: Time,
        codec: &impl Codec,
        mirror: &Mirror,
        versions: impl Fn(&str) -> BTreeSet<Arc<str>>,
    ) {
        // The state in which an order was replaced decides what holds of its version.
        self.read_states(codec, mirror);
        for (key, revision, value) in mirror.prefixed(codec.order_prefix()) {
            match codec.order(key, value, revision.0) {
                Ok(order) => self.take_order(now, order, codec, mirror, &versions),
                Err(e) => tracing::error!("rollouts: an order cannot be read: {e}"),
            }
        }
        self.read_states(codec, mirror);
        self.read_histories(codec, mirror);
    }

    fn read_states(&mut self, codec: &impl Codec, mirror: &Mirror) {
        for rollout in self.by_service.values_mut() {
            let order = rollout.trial.order();
            let Some((revision, record)) = recorded_state(codec, mirror, &order.service) else {
                continue;
            };
            let is_of_order = revision > order.revision && record.to == *order.to;
            if !is_of_order {
                continue;
            }
            rollout.writer.on_recorded(record.state);
            if rollout.trial.set_state(record.state) {
                let order = rollout.trial.order();
                tracing::info!(service = &*order.service, to = &*order.to, state = %record.state,
                    "rollouts: state written");
                if record.state == RolloutState::Completed && rollout.trial.verdict().is_bad() {
                    tracing::error!(
                        service = &*order.service,
                        to = &*order.to,
                        "rollouts: completed though found bad; order another version"
                    );
                }
            }
        }
    }

    /// Adds what other daemons knew when the present orders came.
    fn read_histories(&mut self, codec: &impl Codec, mirror: &Mirror) {
        for (service, rollout) in &mut self.by_service {
            let order = rollout.trial.order().revision;
            let recorded = recorded_history(codec, mirror, service);
            let recorded = recorded.filter(|record| record.order == order);
            if recorded.is_some_and(|record| rollout.trial.merge_history(&record.history)) {
                log_history(service, rollout.trial.history());
            }
        }
    }

    fn take_order(
        &mut self,
        now: Time,
        order: RolloutOrder,
        codec: &impl Codec,
        mirror: &Mirror,
        versions: impl Fn(&str) -> BTreeSet<Arc<str>>,
    ) {
        let service = order.service.clone();
        let held = self.by_service.get(&service).map(|held| &held.trial);
        if held.is_some_and(|held| held.order().revision >= order.revision) {
            return;
        }
        tracing::info!(service = &*order.service, to = &*order.to, within = %order.decision_timeout,
            "rollouts: ordered");
        let state = recorded_state(codec, mirror, &service);
        let recorded = recorded_history(codec, mirror, &service);
        let recorded = recorded.filter(|record| record.order < order.revision);
        let history = match (held, recorded) {
            (held, Some(record)) if held.is_none_or(|h| h.order().revision < record.order) => {
                history_after(record, state)
            }
            (Some(held), _) => held.history_after(),
            (None, _) => first_history(&order, state, versions(&service)),
        };
        log_history(&service, &history);
        let mut trial = Trial::new(now, order, self.limits);
        trial.merge_history(&history);
        let rollout = Rollout {
            trial,
            gate: None,
            writer: StateWriter::new(now),
        };
        self.by_service.insert(service, rollout);
    }

    pub(crate) fn services(&self) -> Vec<(Arc<str>, RolloutOrder)> {
        let rollouts = self.by_service.iter();
        rollouts
            .map(|(service, rollout)| (service.clone(), rollout.trial.order().clone()))
            .collect()
    }

    /// How long this daemon has known the service's order.
    pub(crate) fn elapsed(&self, now: Time, service: &str) -> Span {
        let rollout = self.by_service.get(service);
        rollout.map_or(Span::ZERO, |rollout| rollout.trial.elapsed(now))
    }

    /// Advances one roll-out. The outcome shows whether its gate changed and whether its version
    /// was just found bad.
    pub(crate) fn step(
        &mut self,
        now: Time,
        service: &str,
        known: FleetFindings<'_>,
    ) -> StepOutcome {
        let Some(rollout) = self.by_service.get_mut(service) else {
            return StepOutcome::default();
        };
        let order = rollout.trial.order().revision;
        let fleet = known.fleet;
        rollout.trial.adopt_elapsed(now, fleet.elapsed());
        rollout.trial.add_staying(known.staying);
        rollout.trial.set_upstreams(known.new_upstreams);
        if known.is_marked_bad {
            rollout.trial.mark_bad(Verdict::Failing);
        }
        let step = rollout.trial.step(now, fleet, known.serving_capacity);
        let mut is_newly_bad = false;
        if let Some(state) = step.final_state
            && rollout.writer.want(now, state, rollout.trial.state())
        {
            is_newly_bad = step.verdict.is_bad();
            tracing::info!(service, verdict = ?step.verdict, new = ?fleet.new.kinds, old = ?fleet.old.kinds,
                "rollouts: decided");
        }
        let has_changed = rollout.gate.as_ref() != Some(&step.gate);
        if has_changed {
            tracing::info!(
                service,
                share = step.gate.share,
                keeps_sessions = step.gate.keeps_sessions,
                new_answers = fleet.new.sum().answers(),
                new_bad = fleet.new.sum().bad,
                new_broken = fleet.new.sum().broken,
                old_answers = fleet.old.sum().answers(),
                old_bad = fleet.old.sum().bad,
                old_broken = fleet.old.sum().broken,
                "rollouts: gate"
            );
        }
        rollout.gate = Some(step.gate);
        StepOutcome {
            has_changed,
            is_newly_bad,
            is_running: rollout.trial.state() == RolloutState::Running,
            order,
        }
    }

    pub(crate) fn gates(&self) -> Vec<Gate> {
        let rollouts = self.by_service.values();
        rollouts
            .filter_map(|rollout| rollout.gate.clone())
            .collect()
    }

    /// Writes that are due; `rank` is this daemon's rank in the watch order.
    pub(crate) fn writes(
        &mut self,
        now: Time,
        rank: u64,
        codec: &impl Codec,
        mirror: &Mirror,
    ) -> Vec<(Purpose, Request)> {
        let mut writes = Vec::new();
        for (service, rollout) in &mut self.by_service {
            let Some(state) = rollout.writer.start_write(now, rank) else {
                continue;
            };
            let key = codec.state_key(service);
            let held = mirror.get(&key).map_or(0, |(revision, _)| revision.0);
            let held = ModRevision(i64::try_from(held).unwrap_or_default());
            let put = Put {
                key: key.clone(),
                value: codec.encode_state(rollout.trial.order(), state),
                lease: None,
            };
            // The condition makes a write that arrives late or twice harmless: a state that was
            // decided meanwhile has another revision.
            let txn = Txn {
                compare: vec![Compare::ModRevision(key, held)],
                success: vec![Op::Put(put), Op::Put(put_history(codec, &rollout.trial))],
                failure: Vec::new(),
            };
            writes.push((Purpose::State(service.to_string()), Request::Txn(txn)));
        }
        writes
    }

    /// Records that a write ended; the mirror shows whether it took effect.
    pub(crate) fn on_written(&mut self, now: Time, service: &str) {
        if let Some(rollout) = self.by_service.get_mut(service) {
            rollout.writer.on_written(now);
        }
    }
}

/// The state of a service's last roll-out and its revision, as written to the store.
fn recorded_state(
    codec: &impl Codec,
    mirror: &Mirror,
    service: &str,
) -> Option<(u64, StateRecord)> {
    let key = codec.state_key(service);
    let (revision, value) = mirror.get(&key)?;
    let record = codec.state(&key, value);
    let record = record.inspect_err(|e| tracing::error!("rollouts: a state cannot be read: {e}"));
    Some((revision.0, record.ok()?))
}

/// The history of a service's versions, as written to the store.
fn recorded_history(codec: &impl Codec, mirror: &Mirror, service: &str) -> Option<HistoryRecord> {
    let key = codec.history_key(service);
    let (_, value) = mirror.get(&key)?;
    let record = codec.history(&key, value);
    let record = record.inspect_err(|e| tracing::error!("rollouts: a history cannot be read: {e}"));
    record.ok()
}

/// What the order of a record left, by the state in which it was replaced.
fn history_after(record: HistoryRecord, state: Option<(u64, StateRecord)>) -> VersionHistory {
    let is_of_order =
        |(revision, state): &(u64, StateRecord)| *revision > record.order && state.to == record.to;
    let state = state.filter(is_of_order);
    let state = state.map_or(RolloutState::Running, |(_, state)| state.state);
    record.history.after(&Arc::from(record.to), state)
}

/// What is known of a service's versions without a history: how its last roll-out ended, and the
/// version of its upstreams if there is only one.
fn first_history(
    order: &RolloutOrder,
    state: Option<(u64, StateRecord)>,
    mut versions: BTreeSet<Arc<str>>,
) -> VersionHistory {
    let before = state.filter(|(revision, _)| *revision < order.revision);
    let before = before.map(|(_, state)| (Arc::<str>::from(state.to), state.state));
    versions.remove(&order.to);
    if let Some((to, _)) = &before {
        versions.remove(to);
    }
    let mut history = VersionHistory::default();
    if versions.len() == 1 {
        history.stable = versions;
    }
    match before {
        Some((to, state)) => history.after(&to, state),
        None => history,
    }
}

fn log_history(service: &str, history: &VersionHistory) {
    let VersionHistory { barred, stable } = history;
    tracing::info!(
        service,
        ?barred,
        ?stable,
        "rollouts: versions before the order"
    );
}

/// Writes the history beside each state, for daemons that start or missed an earlier order.
fn put_history(codec: &impl Codec, trial: &Trial) -> Put {
    let order = trial.order();
    let record = HistoryRecord {
        order: order.revision,
        to: order.to.to_string(),
        history: trial.history().clone(),
    };
    Put {
        key: codec.history_key(&order.service),
        value: codec.encode_history(&record),
        lease: None,
    }
}

/// Outcome of one step of a roll-out.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StepOutcome {
    pub(crate) has_changed: bool,
    pub(crate) is_newly_bad: bool,
    pub(crate) is_running: bool,
    pub(crate) order: u64,
}
