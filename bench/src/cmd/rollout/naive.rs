//! The naive way: orders sent once when their moment comes, counted on without reading.

use rollout::edit::{self, Action};
use rollout::goal::{Goal, Phase};
use rollout::lease::Lease;
use rollout::observed::Observed;
use rollout::{Effect, Order, OrderKind};
use types::prelude::*;

/// Hoped to be enough for a step's loads.
const LOADS_TAKE: Span = Span::from_secs(10);

/// Remembers what it has sent and believes it done.
#[derive(Debug)]
pub(super) struct Naive {
    lease: Lease,
    fencing: Option<u64>,
    loaded: usize,
    next_step_at: Option<(usize, Time)>,
    removed: Option<VersionName>,
}

impl Naive {
    pub(super) fn new(key: String, daemon: DaemonId) -> Self {
        Self {
            lease: Lease::new(key, daemon),
            fencing: None,
            loaded: 0,
            next_step_at: None,
            removed: None,
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

    pub(super) fn tick(&mut self, now: Time, seen: &Observed<'_>) -> Vec<Effect> {
        let call = self.lease.tick(now, true, seen.standby_rank);
        let mut effects: Vec<Effect> = call.map(Effect::Store).into_iter().collect();
        // It looks at its lease when it has none, and counts on it from then on.
        if self.fencing.is_none() || effects.is_empty() {
            self.fencing = self.lease.held(now).map(|held| held.fencing);
        }
        let (Some(fencing), Some(goal)) = (self.fencing, Goal::of(seen.model)) else {
            return effects;
        };
        match goal.phase {
            Phase::Ramp { share, .. } => self.ramp(now, seen, share, fencing, &mut effects),
            Phase::Remove { .. } => self.remove(seen, &goal, fencing, &mut effects),
        }
        effects
    }

    fn ramp(
        &mut self,
        now: Time,
        seen: &Observed<'_>,
        share: Share,
        fencing: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(rollout) = &seen.model.rollout else {
            return;
        };
        let wanted = (share.get() * seen.engines.len() as f64).ceil() as usize;
        for engine in seen.engines.iter().take(wanted).skip(self.loaded) {
            effects.push(order(&engine.id, OrderKind::Load, &rollout.to, fencing));
        }
        self.loaded = self.loaded.max(wanted);
        match self.next_step_at {
            Some((step, at)) if step == rollout.step => {
                if now.has_reached(at) {
                    self.next_step_at = None;
                    self.step_on(seen, effects);
                }
            }
            _ => {
                let stay = LOADS_TAKE + rollout.gate.stay;
                self.next_step_at = Some((rollout.step, now + stay));
            }
        }
    }

    fn step_on(&self, seen: &Observed<'_>, effects: &mut Vec<Effect>) {
        let advanced = edit::act(seen.model, &Action::Advance);
        let next = advanced.or_else(|_| edit::finish(seen.model));
        if let Ok(model) = next {
            let model = Box::new(model);
            effects.push(Effect::Edit {
                model,
                if_match: seen.revision,
            });
        }
    }

    fn remove(
        &mut self,
        seen: &Observed<'_>,
        goal: &Goal,
        fencing: u64,
        effects: &mut Vec<Effect>,
    ) {
        if self.removed.as_ref() == Some(&goal.drop) {
            return;
        }
        self.removed = Some(goal.drop.clone());
        for engine in seen.engines {
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
