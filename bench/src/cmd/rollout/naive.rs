//! Naive driver that sends each order once at its planned time and assumes that it succeeded.

use rollout::edit::{self, Action};
use rollout::goal::{Goal, Phase};
use rollout::lease::Lease;
use rollout::observed::Observed;
use rollout::{Effect, Order, OrderKind};
use types::prelude::*;

/// Time in which the loads of a step are assumed to be complete.
const ASSUMED_LOAD_TIME: Span = Span::from_secs(10);

/// Remembers which orders it has sent and treats them as done.
#[derive(Debug)]
pub(super) struct Naive {
    lease: Lease,
    fencing: Option<u64>,
    loads_sent: usize,
    next_step_at: Option<(usize, Time)>,
    removal_sent: Option<VersionName>,
}

impl Naive {
    pub(super) fn new(key: String, daemon: DaemonId) -> Self {
        Self {
            lease: Lease::new(key, daemon),
            fencing: None,
            loads_sent: 0,
            next_step_at: None,
            removal_sent: None,
        }
    }

    pub(super) fn fencing(&self) -> Option<u64> {
        self.fencing
    }

    pub(super) fn on_store_outcome(
        &mut self,
        now: Time,
        number: u64,
        outcome: keyvalue::Outcome,
        standby_rank: Option<u32>,
    ) -> Option<Effect> {
        let call = self.lease.on_outcome(now, number, outcome, standby_rank);
        call.map(Effect::Store)
    }

    pub(super) fn tick(&mut self, now: Time, observed: &Observed<'_>) -> Vec<Effect> {
        let call = self.lease.tick(now, true, observed.standby_rank);
        let mut effects: Vec<Effect> = call.map(Effect::Store).into_iter().collect();
        // In a tick with a call to the store it relies on the fencing token that it already has.
        if self.fencing.is_none() || effects.is_empty() {
            self.fencing = self.lease.held(now).map(|held| held.fencing);
        }
        let (Some(fencing), Some(goal)) = (self.fencing, Goal::of(observed.model)) else {
            return effects;
        };
        match goal.phase {
            Phase::Ramp { share, .. } => self.ramp(now, observed, share, fencing, &mut effects),
            Phase::Remove { .. } => self.remove(observed, &goal, fencing, &mut effects),
        }
        effects
    }

    fn ramp(
        &mut self,
        now: Time,
        observed: &Observed<'_>,
        share: Share,
        fencing: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(rollout) = &observed.model.rollout else {
            return;
        };
        let engines_to_load = (share.get() * observed.engines.len() as f64).ceil() as usize;
        for engine in observed
            .engines
            .iter()
            .take(engines_to_load)
            .skip(self.loads_sent)
        {
            effects.push(order(&engine.id, OrderKind::Load, &rollout.to, fencing));
        }
        self.loads_sent = self.loads_sent.max(engines_to_load);
        match self.next_step_at {
            Some((step, at)) if step == rollout.step => {
                if now.has_reached(at) {
                    self.next_step_at = None;
                    self.advance_step(observed, effects);
                }
            }
            _ => {
                let step_duration = ASSUMED_LOAD_TIME + rollout.gate.stay;
                self.next_step_at = Some((rollout.step, now + step_duration));
            }
        }
    }

    fn advance_step(&self, observed: &Observed<'_>, effects: &mut Vec<Effect>) {
        let advanced = edit::act(observed.model, &Action::Advance);
        let next = advanced.or_else(|_| edit::finish(observed.model));
        if let Ok(model) = next {
            let model = Box::new(model);
            effects.push(Effect::Edit {
                model,
                if_match: observed.revision,
            });
        }
    }

    fn remove(
        &mut self,
        observed: &Observed<'_>,
        goal: &Goal,
        fencing: u64,
        effects: &mut Vec<Effect>,
    ) {
        if self.removal_sent.as_ref() == Some(&goal.drop) {
            return;
        }
        self.removal_sent = Some(goal.drop.clone());
        for engine in observed.engines {
            effects.push(order(&engine.id, OrderKind::Unload, &goal.drop, fencing));
        }
    }
}

fn order(id: &UpstreamId, kind: OrderKind, version: &VersionName, fencing: u64) -> Effect {
    Effect::Order(Order {
        engine: id.clone(),
        kind,
        version: version.clone(),
        fencing,
        not_after: Time::NEVER,
    })
}
