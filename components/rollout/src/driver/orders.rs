//! Chooses the orders to engines: loads as the weight store permits them, removals one at a time.

use types::prelude::*;

use crate::capacity;
use crate::driver::{Driver, Permit, TickContext, find_engine};
use crate::effect::{Effect, OrderKind};
use crate::goal::Phase;
use crate::loads::next_engine_to_load;
use crate::observed::Engine;
use crate::waiting::Waiting;

/// Time after which an unused permit expires, and after which a request for one is given up.
const PERMIT_TIMEOUT: Span = Span::from_secs(60);
/// Minimum delay before the weight store is asked again, whatever it answers.
const MIN_PERMIT_RETRY: Span = Span::from_secs(1);

impl Driver {
    /// Handles the weight store's answer: a permit to load, or how long to wait before asking
    /// again.
    pub fn on_permit(&mut self, now: Time, answer: Result<(), Span>) {
        let Permit::Requested(version, _) = &self.permit else {
            return;
        };
        self.permit = match answer {
            Ok(()) => Permit::Granted(version.clone(), now + PERMIT_TIMEOUT),
            Err(retry_after) => Permit::Free(now + retry_after.max(MIN_PERMIT_RETRY)),
        };
    }

    /// Orders a load of the version that lacks capacity, one engine at a time as the weight store
    /// permits it.
    pub(super) fn load(&mut self, cx: &TickContext<'_>, effects: &mut Vec<Effect>) {
        let Some(version) = self.version_short_of_slots(cx) else {
            return;
        };
        if self.loads_in_flight(cx) >= self.cfg.loads_at_once {
            return;
        }
        let may_load = |e: &Engine| !self.pending.contains_key(&e.id);
        let Some(engine) = next_engine_to_load(cx.observed, &version, may_load) else {
            self.waiting.get_or_insert(Waiting::Room(version));
            return;
        };
        if !self.has_permit(cx.now, &version, effects) {
            return;
        }
        if !engine.is_fresh(cx.now, self.cfg.max_load_report_age) {
            effects.push(Effect::Read(engine.id.clone()));
            return;
        }
        self.permit = Permit::Free(cx.now);
        effects.push(self.send(cx, &engine.id, OrderKind::Load, &version));
    }

    /// The version with less capacity than it needs; the one that serves now comes first.
    fn version_short_of_slots(&self, cx: &TickContext<'_>) -> Option<VersionName> {
        let (goal, needs) = (cx.goal, cx.needs);
        let serving = matches!(goal.phase, Phase::Ramp { .. });
        if serving && self.slots_expected(cx, &goal.drop) < needs.drop {
            return Some(goal.drop.clone());
        }
        (self.slots_expected(cx, &goal.keep) < needs.keep_target).then(|| goal.keep.clone())
    }

    /// Slots of the engines that have a version, are loading it or have a pending order to.
    fn slots_expected(&self, cx: &TickContext<'_>, version: &VersionName) -> f64 {
        let pending = self.pending.iter();
        let pending = pending.filter(|(_, s)| s.kind == OrderKind::Load && s.version == *version);
        let engines = pending.filter_map(|(id, _)| find_engine(cx.observed, id));
        let ordered: f64 = engines.map(|e| f64::from(e.slots)).sum();
        capacity::expected_slots(cx.observed, version) + ordered
    }

    fn loads_in_flight(&self, cx: &TickContext<'_>) -> usize {
        let goal = cx.goal;
        let loads = |e: &&Engine| e.loading.contains(&goal.keep) || e.loading.contains(&goal.drop);
        let loading = cx.observed.engines.iter().filter(loads).count();
        let pending = self.pending.values().filter(|s| s.kind == OrderKind::Load);
        loading + pending.count()
    }

    /// Whether the weight store permits a load of a version now; requests a permit if there is
    /// none.
    fn has_permit(&mut self, now: Time, version: &VersionName, effects: &mut Vec<Effect>) -> bool {
        match &self.permit {
            Permit::Granted(granted, until) if granted == version && now < *until => return true,
            Permit::Free(retry_at) if !now.has_reached(*retry_at) => {
                let left = now.until(*retry_at);
                self.waiting.get_or_insert(Waiting::WeightStore(left));
                return false;
            }
            Permit::Requested(_, until) if now < *until => return false,
            _ => {}
        }
        self.permit = Permit::Requested(version.clone(), now + PERMIT_TIMEOUT);
        effects.push(Effect::RequestPermit(version.clone()));
        false
    }

    /// Orders the removal of the version that goes, from one engine at a time.
    pub(super) fn unload(&mut self, cx: &TickContext<'_>, effects: &mut Vec<Effect>) {
        // At most one removal is in flight: a driver that is paused here and wakes after another
        // has taken over sends no more than one late removal.
        if self.pending.values().any(|s| s.kind == OrderKind::Unload) {
            return;
        }
        let Some(engine) = self.removable(cx) else {
            return;
        };
        if let Err(waiting) = self.check_removal(cx, engine) {
            self.waiting.get_or_insert(waiting);
            return;
        }
        // The order is sent only after a report that was requested for it, since the engine may
        // have changed after an older report was read.
        let requested = self
            .confirming_read
            .as_ref()
            .filter(|(id, _)| *id == engine.id);
        let requested_at = requested.map(|(_, at)| *at);
        if requested_at.is_some_and(|at| engine.read_at >= Some(at)) {
            self.confirming_read = None;
            effects.push(self.send(cx, &engine.id, OrderKind::Unload, &cx.goal.drop));
        } else {
            self.confirming_read = Some((engine.id.clone(), requested_at.unwrap_or(cx.now)));
            effects.push(Effect::Read(engine.id.clone()));
        }
    }

    /// The first engine that should give up the version that goes. Every driver goes through them
    /// in the order of their ids, so two that act at once pick the same engine.
    fn removable<'a>(&self, cx: &TickContext<'a>) -> Option<&'a Engine> {
        let goal = cx.goal;
        let removing = matches!(goal.phase, Phase::Remove { .. });
        // An engine that lacks the version that stays, for instance after a restart that other
        // reports do not show yet, loads it before it gives up the other, so that it is never left
        // with neither. One without room for both, or that is leaving, gives up the old one first,
        // if its capacity can be spared.
        let should_unload = |e: &&Engine| match e.has_ready(&goal.keep) {
            true => removing,
            false => e.is_full || e.leaving,
        };
        let engines = cx.observed.engines.iter().filter(|e| e.has(&goal.drop));
        // An engine without a recent report must not hold up the others.
        let engines = engines.filter(|e| e.is_fresh(cx.now, self.cfg.max_report_age));
        let mut engines = engines.filter(should_unload);
        engines.find(|e| !self.pending.contains_key(&e.id))
    }

    /// Checks that the demand still fits when an engine gives up the version that goes; otherwise
    /// returns what the removal waits for.
    fn check_removal(&self, cx: &TickContext<'_>, engine: &Engine) -> Result<(), Waiting> {
        let (goal, needs) = (cx.goal, cx.needs);
        if cx.is_kept_suspended() {
            return Err(Waiting::Operator);
        }
        let keep = capacity::ready_slots(cx.observed, &goal.keep, cx.now, &self.cfg);
        if matches!(goal.phase, Phase::Remove { .. }) && keep < needs.keep {
            return Err(Waiting::short_of(&goal.keep, keep, needs.keep));
        }
        let drop = capacity::ready_slots(cx.observed, &goal.drop, cx.now, &self.cfg);
        let serves = engine.has_ready(&goal.drop) && !engine.leaving;
        let loses = if serves { f64::from(engine.slots) } else { 0.0 };
        if drop - loses < needs.drop {
            return Err(Waiting::Sessions(goal.drop.clone()));
        }
        Ok(())
    }
}

impl TickContext<'_> {
    /// Whether the version that stays is suspended. The other one must then be kept, to go back to.
    fn is_kept_suspended(&self) -> bool {
        let evidence = self.observed.evidence;
        let keeps_new = self
            .observed
            .model
            .rollout
            .as_ref()
            .is_some_and(|r| r.to == self.goal.keep);
        if keeps_new {
            evidence.new_suspended
        } else {
            evidence.old_suspended
        }
    }
}
