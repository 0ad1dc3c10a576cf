//! Which orders engines get: loads as the weight store lets them, removals one at a time.

use types::prelude::*;

use crate::capacity;
use crate::driver::{Driver, Scene, Slot, find};
use crate::effect::{Effect, OrderKind};
use crate::goal::Phase;
use crate::loads::next_load;
use crate::observed::Engine;
use crate::waiting::Waiting;

/// Leave to load is used within.
const SLOT_KEPT: Span = Span::from_secs(60);
/// The weight store is asked again no sooner, whatever it says.
const ASK_AGAIN: Span = Span::from_secs(1);

impl Driver {
    /// Takes the weight store's answer: leave to load, or when to ask again.
    pub fn on_slot(&mut self, now: Time, answer: Result<(), Span>) {
        let Slot::Asked(version, _) = &self.slot else {
            return;
        };
        self.slot = match answer {
            Ok(()) => Slot::Granted(version.clone(), now + SLOT_KEPT),
            Err(retry_after) => Slot::Free(now + retry_after.max(ASK_AGAIN)),
        };
    }

    /// Loads what is short, one engine at a time as the weight store lets it.
    pub(super) fn load(&mut self, scene: &Scene<'_>, effects: &mut Vec<Effect>) {
        let Some(version) = self.short_version(scene) else {
            return;
        };
        if self.loads_under_way(scene) >= self.cfg.loads_at_once {
            return;
        }
        let may_load = |e: &Engine| !self.sent.contains_key(&e.id);
        let Some(engine) = next_load(scene.seen, &version, may_load) else {
            self.waiting.get_or_insert(Waiting::Room(version));
            return;
        };
        if !self.has_slot(scene.now, &version, effects) {
            return;
        }
        if !engine.is_fresh(scene.now, self.cfg.just_read) {
            effects.push(Effect::Read(engine.id.clone()));
            return;
        }
        self.slot = Slot::Free(scene.now);
        effects.push(self.send(scene, &engine.id, OrderKind::Load, &version));
    }

    /// The version that has less than it must, the one that serves now first.
    fn short_version(&self, scene: &Scene<'_>) -> Option<VersionName> {
        let (goal, needs) = (scene.goal, scene.needs);
        let serving = matches!(goal.phase, Phase::Bring { .. });
        if serving && self.on_the_way(scene, &goal.drop) < needs.drop {
            return Some(goal.drop.clone());
        }
        (self.on_the_way(scene, &goal.keep) < needs.keep_wanted).then(|| goal.keep.clone())
    }

    /// Slots of engines that have a version, are loading it or were ordered to.
    fn on_the_way(&self, scene: &Scene<'_>, version: &VersionName) -> f64 {
        let sent = self.sent.iter();
        let sent = sent.filter(|(_, s)| s.kind == OrderKind::Load && s.version == *version);
        let engines = sent.filter_map(|(id, _)| find(scene.seen, id));
        let coming: f64 = engines.map(|e| f64::from(e.slots)).sum();
        capacity::expected(scene.seen, version) + coming
    }

    fn loads_under_way(&self, scene: &Scene<'_>) -> usize {
        let goal = scene.goal;
        let loads = |e: &&Engine| e.loading.contains(&goal.keep) || e.loading.contains(&goal.drop);
        let loading = scene.seen.engines.iter().filter(loads).count();
        let sent = self.sent.values().filter(|s| s.kind == OrderKind::Load);
        loading + sent.count()
    }

    /// Whether the weight store has given leave to load a version; asks when it has not.
    fn has_slot(&mut self, now: Time, version: &VersionName, effects: &mut Vec<Effect>) -> bool {
        match &self.slot {
            Slot::Granted(granted, until) if granted == version && now < *until => return true,
            Slot::Free(again_at) if !now.has_reached(*again_at) => {
                let left = now.until(*again_at);
                self.waiting.get_or_insert(Waiting::WeightStore(left));
                return false;
            }
            Slot::Asked(_, until) if now < *until => return false,
            _ => {}
        }
        self.slot = Slot::Asked(version.clone(), now + SLOT_KEPT);
        effects.push(Effect::FetchSlot(version.clone()));
        false
    }

    /// Removes capacity of the version that goes, one engine at a time.
    pub(super) fn unload(&mut self, scene: &Scene<'_>, effects: &mut Vec<Effect>) {
        // At most one removal is under way: a driver that is paused here and wakes when
        // another has taken over has no more than one late removal in its hands.
        if self.sent.values().any(|s| s.kind == OrderKind::Unload) {
            return;
        }
        let Some(engine) = self.removable(scene) else {
            return;
        };
        if let Err(waiting) = self.may_lose(scene, engine) {
            self.waiting.get_or_insert(waiting);
            return;
        }
        // The order follows a report that was asked for on its account: what was true when
        // an older one was read may have changed since.
        let asked = self.reread.as_ref().filter(|(id, _)| *id == engine.id);
        let asked_at = asked.map(|(_, at)| *at);
        if asked_at.is_some_and(|at| engine.read_at >= Some(at)) {
            self.reread = None;
            effects.push(self.send(scene, &engine.id, OrderKind::Unload, &scene.goal.drop));
        } else {
            self.reread = Some((engine.id.clone(), asked_at.unwrap_or(scene.now)));
            effects.push(Effect::Read(engine.id.clone()));
        }
    }

    /// The first engine that should give up the version that goes. The order is that of the
    /// ids for every driver, so two that act at once pick the same engine.
    fn removable<'a>(&self, scene: &Scene<'a>) -> Option<&'a Engine> {
        let goal = scene.goal;
        let removing = matches!(goal.phase, Phase::Remove { .. });
        // An engine that lost the version that stays, in a restart that other reports do not
        // show yet, is not left with nothing: it loads first. One without room for both
        // gives up the old one, where it can be spared.
        let should = |e: &&Engine| match e.has_ready(&goal.keep) {
            true => removing,
            false => e.is_full || e.leaving,
        };
        let engines = scene.seen.engines.iter().filter(|e| e.has(&goal.drop));
        // One that does not answer must not hold up the others.
        let engines = engines.filter(|e| e.is_fresh(scene.now, self.cfg.recent));
        let mut engines = engines.filter(should);
        engines.find(|e| !self.sent.contains_key(&e.id))
    }

    /// Whether the demand still fits when an engine gives up the version that goes.
    fn may_lose(&self, scene: &Scene<'_>, engine: &Engine) -> Result<(), Waiting> {
        let (goal, needs) = (scene.goal, scene.needs);
        if scene.keeps_suspended() {
            return Err(Waiting::Operator);
        }
        let keep = capacity::ready(scene.seen, &goal.keep, scene.now, &self.cfg);
        if matches!(goal.phase, Phase::Remove { .. }) && keep < needs.keep {
            return Err(Waiting::short_of(&goal.keep, keep, needs.keep));
        }
        let drop = capacity::ready(scene.seen, &goal.drop, scene.now, &self.cfg);
        let serves = engine.has_ready(&goal.drop) && !engine.leaving;
        let loses = if serves { f64::from(engine.slots) } else { 0.0 };
        if drop - loses < needs.drop {
            return Err(Waiting::Sessions(goal.drop.clone()));
        }
        Ok(())
    }
}

impl Scene<'_> {
    /// Whether the version that stays is suspended: then the other is the way out.
    fn keeps_suspended(&self) -> bool {
        let evidence = self.seen.evidence;
        let keeps_new = self
            .seen
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
