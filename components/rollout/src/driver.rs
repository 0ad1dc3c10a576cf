//! The driver of one model's roll-out.

mod gates;
mod orders;

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use crate::capacity::Needs;
use crate::effect::{Effect, Order, OrderKind};
use crate::goal::{Goal, Phase};
use crate::lease::{Hold, Lease};
use crate::observed::{Engine, Observed};
use crate::waiting::Waiting;

/// How a driver goes about it.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Capacity is this many times the demand.
    pub headroom: f64,
    /// Engines that may lose capacity to late orders without the demand being short.
    pub margin_engines: usize,
    /// Loads under way at once.
    pub loads_at_once: usize,
    /// An order to load follows a report no older than this.
    pub just_read: Span,
    /// Reports no older than this count as capacity.
    pub recent: Span,
    /// An order without visible effect is repeated after.
    pub repeat_after: Span,
    /// Engines are looked at again after, once a roll-out has ended: one may have come
    /// back from a restart with what it had before.
    pub look_again: Span,
    /// Whether a new holder first shows its fencing number to every engine.
    pub claim_first: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            headroom: 1.25,
            margin_engines: 1,
            loads_at_once: 4,
            just_read: Span::from_secs(2),
            recent: Span::from_secs(10),
            repeat_after: Span::from_secs(10),
            look_again: Span::from_secs(600),
            claim_first: false,
        }
    }
}

/// When a step was first seen by this holder, and how many ratings there were.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    step: usize,
    fencing: u64,
    stay_until: Time,
    ratings: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Slot {
    /// Ask when needed, from this moment on.
    Free(Time),
    /// Asked for a version; given up at this moment.
    Asked(VersionName, Time),
    /// Leave to load a version once, until this moment.
    Granted(VersionName, Time),
}

/// An order sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Sent {
    kind: OrderKind,
    version: VersionName,
    repeat_at: Time,
}

/// Engines whose reports are read in a tick, besides the one that an order needs.
const READS_A_TICK: usize = 16;

/// Drives one model's roll-out while it holds the lease.
#[derive(Debug)]
pub struct Driver {
    cfg: Config,
    lease: Lease,
    seen: Option<Seen>,
    slot: Slot,
    sent: BTreeMap<UpstreamId, Sent>,
    /// The engine next to lose capacity, and when it was to be read anew.
    reread: Option<(UpstreamId, Time)>,
    claimed: Claimed,
    edit_again_at: Option<(Revision, Time)>,
    waiting: Option<Waiting>,
}

/// Engines that were shown a fencing number.
#[derive(Debug, Default)]
struct Claimed {
    fencing: u64,
    engines: BTreeSet<UpstreamId>,
}

/// One tick of a driver that holds the lease.
struct Scene<'a> {
    now: Time,
    hold: Hold,
    seen: &'a Observed<'a>,
    goal: &'a Goal,
    needs: Needs,
}

impl Driver {
    /// A driver that holds nothing. `key` is the lease's in the store.
    #[must_use]
    pub fn new(key: String, daemon: DaemonId, cfg: Config) -> Self {
        Self {
            cfg,
            lease: Lease::new(key, daemon),
            seen: None,
            slot: Slot::Free(Time::ZERO),
            sent: BTreeMap::new(),
            reread: None,
            claimed: Claimed::default(),
            edit_again_at: None,
            waiting: None,
        }
    }

    /// The lease, while held.
    #[must_use]
    pub fn held(&self, now: Time) -> Option<Hold> {
        self.lease.held(now)
    }

    /// The daemon last seen to drive.
    #[must_use]
    pub fn holder(&self) -> Option<&DaemonId> {
        self.lease.holder()
    }

    /// What it waits for.
    #[must_use]
    pub fn waiting(&self) -> Option<&Waiting> {
        self.waiting.as_ref()
    }

    /// Takes the outcome of a call of the store.
    pub fn on_store(
        &mut self,
        now: Time,
        number: u64,
        outcome: keyvalue::Outcome,
        rank: Option<u32>,
    ) -> Option<Effect> {
        let next = self.lease.on_outcome(now, number, outcome, rank);
        next.map(Effect::Store)
    }

    /// Gives the lease up, so that another need not wait for its end.
    pub fn leave(&mut self, now: Time) -> Option<Effect> {
        self.lease.tick(now, false, None).map(Effect::Store)
    }

    /// Compares what is with what shall be.
    pub fn tick(&mut self, now: Time, seen: &Observed<'_>) -> Vec<Effect> {
        self.waiting = None;
        let goal = Goal::of(seen.model);
        let wanted = goal
            .as_ref()
            .is_some_and(|goal| !self.is_reached(now, goal, seen));
        let call = self.lease.tick(now, wanted, seen.rank);
        let mut effects: Vec<Effect> = call.map(Effect::Store).into_iter().collect();
        let (Some(goal), Some(hold)) = (goal, self.lease.held(now)) else {
            self.seen = None;
            self.sent.clear();
            self.reread = None;
            self.waiting = wanted.then_some(Waiting::Lease);
            return effects;
        };
        self.forget_done(now, seen);
        let needs = Needs::of(&goal, seen, now, &self.cfg);
        let scene = Scene {
            now,
            hold,
            seen,
            goal: &goal,
            needs,
        };
        self.claim(&scene, &mut effects);
        self.move_on(&scene, &mut effects);
        self.load(&scene, &mut effects);
        self.unload(&scene, &mut effects);
        self.read_stale(&scene, &mut effects);
        effects
    }

    /// Whether nothing is left to do: the version that stays is everywhere, the other
    /// nowhere, by reports that are not too old.
    fn is_reached(&self, now: Time, goal: &Goal, seen: &Observed<'_>) -> bool {
        let mut serving = seen.engines.iter().filter(|e| !e.leaving);
        let removing = matches!(goal.phase, Phase::Remove { .. });
        let settled = |e: &Engine| e.has_ready(&goal.keep) && !e.has(&goal.drop);
        removing && serving.all(|e| settled(e) && e.is_fresh(now, self.cfg.look_again))
    }

    /// Forgets orders whose effect was read, and those to be repeated.
    fn forget_done(&mut self, now: Time, seen: &Observed<'_>) {
        self.sent.retain(|id, sent| {
            let engine = find(seen, id);
            let done = engine.is_none_or(|engine| match sent.kind {
                OrderKind::Load => engine.has(&sent.version),
                OrderKind::Unload => !engine.has(&sent.version),
            });
            !done && !now.has_reached(sent.repeat_at)
        });
    }

    /// Shows this holder's fencing number to engines that refuse older ones, by an order
    /// that changes nothing: to load what is loaded.
    fn claim(&mut self, scene: &Scene<'_>, effects: &mut Vec<Effect>) {
        if !self.cfg.claim_first {
            return;
        }
        if self.claimed.fencing != scene.hold.fencing {
            self.claimed = Claimed {
                fencing: scene.hold.fencing,
                ..Claimed::default()
            };
        }
        let engines = scene.seen.engines.iter();
        let fresh = engines.filter(|e| e.is_fresh(scene.now, self.cfg.just_read));
        let unclaimed = fresh.filter(|e| !self.claimed.engines.contains(&e.id));
        let ready = unclaimed.filter_map(|e| Some((e.id.clone(), e.ready.first()?.clone())));
        let claims: Vec<_> = ready.take(READS_A_TICK).collect();
        for (id, version) in claims {
            let order = Order::new(&scene.hold, &id, OrderKind::Load, &version);
            effects.push(Effect::Order(order));
            self.claimed.engines.insert(id);
        }
    }

    /// Sends an order, and remembers it until its effect is read.
    fn send(
        &mut self,
        scene: &Scene<'_>,
        id: &UpstreamId,
        kind: OrderKind,
        version: &VersionName,
    ) -> Effect {
        let sent = Sent {
            kind,
            version: version.clone(),
            repeat_at: scene.now + self.cfg.repeat_after,
        };
        self.sent.insert(id.clone(), sent);
        Effect::Order(Order::new(&scene.hold, id, kind, version))
    }

    /// Reads the engines whose reports are oldest, and those with an order under way.
    fn read_stale(&self, scene: &Scene<'_>, effects: &mut Vec<Effect>) {
        let half = Span::from_micros(self.cfg.recent.as_micros() / 2);
        let unclaimed = |e: &Engine| self.cfg.claim_first && !self.claimed.engines.contains(&e.id);
        let stale = |e: &&Engine| {
            !e.is_fresh(scene.now, half) || self.sent.contains_key(&e.id) || unclaimed(e)
        };
        let mut due: Vec<&Engine> = scene.seen.engines.iter().filter(stale).collect();
        due.sort_by_key(|e| e.read_at);
        for engine in due.into_iter().take(READS_A_TICK) {
            let read = Effect::Read(engine.id.clone());
            if !effects.contains(&read) {
                effects.push(read);
            }
        }
    }
}

fn find<'a>(seen: &'a Observed<'_>, id: &UpstreamId) -> Option<&'a Engine> {
    let found = seen.engines.binary_search_by(|e| e.id.cmp(id));
    found.ok().map(|index| &seen.engines[index])
}
