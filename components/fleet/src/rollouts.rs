//! Roll-outs: from orders and evidence to gates, and to states written to the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dispatch::{Evidence, Gate, StateWriter, Trial, TrialLimits, Verdict};
use keyvalue::{Compare, ModRevision, Op, Put, Request, Txn};
use mirror::Mirror;
use routes::{RolloutOrder, RolloutState};
use types::prelude::*;

use crate::codec::Codec;
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

    /// Reads orders and states from the mirror.
    pub(crate) fn refresh(&mut self, now: Time, codec: &impl Codec, mirror: &Mirror) {
        for (key, revision, value) in mirror.prefixed(codec.order_prefix()) {
            match codec.order(key, value, revision.0) {
                Ok(order) => self.take_order(now, order),
                Err(e) => tracing::error!("rollouts: an order cannot be read: {e}"),
            }
        }
        for rollout in self.by_service.values_mut() {
            let order = rollout.trial.order();
            let key = codec.state_key(&order.service);
            let Some((revision, value)) = mirror.get(&key) else {
                continue;
            };
            let record = match codec.state(&key, value) {
                Ok(record) => record,
                Err(e) => {
                    tracing::error!("rollouts: a state cannot be read: {e}");
                    continue;
                }
            };
            let is_of_order = revision.0 > order.revision && record.to == *order.to;
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

    fn take_order(&mut self, now: Time, order: RolloutOrder) {
        let held = self.by_service.get(&order.service);
        if held.is_some_and(|held| held.trial.order().revision >= order.revision) {
            return;
        }
        tracing::info!(service = &*order.service, to = &*order.to, within = %order.decision_timeout,
            "rollouts: ordered");
        let service = order.service.clone();
        let trial = Trial::new(now, order, self.limits);
        let rollout = Rollout {
            trial: match held {
                Some(held) => trial.carry_over_barred(&held.trial),
                None => trial,
            },
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
                success: vec![Op::Put(put)],
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

/// Outcome of one step of a roll-out.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StepOutcome {
    pub(crate) has_changed: bool,
    pub(crate) is_newly_bad: bool,
    pub(crate) is_running: bool,
    pub(crate) order: u64,
}
