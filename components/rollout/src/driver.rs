//! Drives one model's roll-out: each tick compares the observed state with the goal and returns the
//! orders, edits and reads that move towards it.

mod gates;
mod orders;

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use crate::capacity::Needs;
use crate::effect::{Effect, Order, OrderKind};
use crate::goal::{Goal, Phase};
use crate::lease::{HeldLease, Lease};
use crate::observed::{Engine, Observed};
use crate::waiting::Waiting;

/// Settings of a driver.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Capacity to provide, as a multiple of the demand.
    pub headroom: f64,
    /// Number of engines that late orders may take capacity from while the demand still fits.
    pub margin_engines: usize,
    /// Maximum number of loads in flight.
    pub loads_at_once: usize,
    /// Maximum age of the report that an order to load is based on.
    pub max_load_report_age: Span,
    /// Maximum age of a report for its engine to count as capacity.
    pub max_report_age: Span,
    /// Time after which an order without visible effect is repeated.
    pub order_retry_after: Span,
    /// Maximum age of the reports once a roll-out has ended. Engines are read again then, since one
    /// may have come back from a restart with the versions it had before.
    pub recheck_interval: Span,
    /// Whether a new holder first sends its fencing token to every engine.
    pub announces_fencing: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            headroom: 1.25,
            margin_engines: 1,
            loads_at_once: 4,
            max_load_report_age: Span::from_secs(2),
            max_report_age: Span::from_secs(10),
            order_retry_after: Span::from_secs(10),
            recheck_interval: Span::from_secs(600),
            announces_fencing: false,
        }
    }
}

/// The present step as this holder first observed it: the end of its minimum duration, and the
/// number of ratings then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StepStart {
    step: usize,
    fencing: u64,
    stay_until: Time,
    ratings: u64,
}

/// Permission of the weight store to load a version.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Permit {
    /// No permit; one may be requested from this time on.
    Free(Time),
    /// Requested for a version; given up at this time.
    Requested(VersionName, Time),
    /// Allows one load of a version until this time.
    Granted(VersionName, Time),
}

/// An order that was sent and whose effect no report shows yet.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingOrder {
    kind: OrderKind,
    version: VersionName,
    repeat_at: Time,
}

/// Maximum number of engines read per tick, besides the one that an order needs, and maximum number
/// of engines sent the fencing token per tick.
const MAX_ENGINES_PER_TICK: usize = 16;

/// Drives one model's roll-out while it holds the lease.
#[derive(Debug)]
pub struct Driver {
    cfg: Config,
    lease: Lease,
    step_start: Option<StepStart>,
    permit: Permit,
    pending: BTreeMap<UpstreamId, PendingOrder>,
    /// The engine next to lose capacity, and when a new report of it was requested.
    confirming_read: Option<(UpstreamId, Time)>,
    announced: Announced,
    edit_retry_at: Option<(Revision, Time)>,
    waiting: Option<Waiting>,
}

/// Engines that were sent a fencing token.
#[derive(Debug, Default)]
struct Announced {
    fencing: u64,
    engines: BTreeSet<UpstreamId>,
}

/// Input of one tick of a driver that holds the lease.
struct TickContext<'a> {
    now: Time,
    held: HeldLease,
    observed: &'a Observed<'a>,
    goal: &'a Goal,
    needs: Needs,
}

impl Driver {
    /// Creates a driver that does not hold the lease. `key` is the lease's key in the store.
    #[must_use]
    pub fn new(key: String, daemon: DaemonId, cfg: Config) -> Self {
        Self {
            cfg,
            lease: Lease::new(key, daemon),
            step_start: None,
            permit: Permit::Free(Time::ZERO),
            pending: BTreeMap::new(),
            confirming_read: None,
            announced: Announced::default(),
            edit_retry_at: None,
            waiting: None,
        }
    }

    /// The lease, while this driver holds it.
    #[must_use]
    pub fn held(&self, now: Time) -> Option<HeldLease> {
        self.lease.held(now)
    }

    /// The daemon last seen to hold the lease.
    #[must_use]
    pub fn holder(&self) -> Option<&DaemonId> {
        self.lease.holder()
    }

    /// What the roll-out waits for, as of the last tick.
    #[must_use]
    pub fn waiting(&self) -> Option<&Waiting> {
        self.waiting.as_ref()
    }

    /// Handles the outcome of a store call. Returns the call that follows, if any.
    pub fn on_store_outcome(
        &mut self,
        now: Time,
        number: u64,
        outcome: keyvalue::Outcome,
        standby_rank: Option<u32>,
    ) -> Option<Effect> {
        let next = self.lease.on_outcome(now, number, outcome, standby_rank);
        next.map(Effect::Store)
    }

    /// Gives up the lease, so that another daemon need not wait for its expiry.
    pub fn release_lease(&mut self, now: Time) -> Option<Effect> {
        self.lease.tick(now, false, None).map(Effect::Store)
    }

    /// Compares the observed state with the goal and returns what to do.
    pub fn tick(&mut self, now: Time, observed: &Observed<'_>) -> Vec<Effect> {
        self.waiting = None;
        let goal = Goal::of(observed.model);
        let is_wanted = goal
            .as_ref()
            .is_some_and(|goal| !self.is_complete(now, goal, observed));
        let call = self.lease.tick(now, is_wanted, observed.standby_rank);
        let mut effects: Vec<Effect> = call.map(Effect::Store).into_iter().collect();
        let (Some(goal), Some(held)) = (goal, self.lease.held(now)) else {
            self.step_start = None;
            self.pending.clear();
            self.confirming_read = None;
            self.waiting = is_wanted.then_some(Waiting::Lease);
            return effects;
        };
        self.drop_settled(now, observed);
        let needs = Needs::of(&goal, observed, now, &self.cfg);
        let cx = TickContext {
            now,
            held,
            observed,
            goal: &goal,
            needs,
        };
        self.announce_fencing(&cx, &mut effects);
        self.advance(&cx, &mut effects);
        self.load(&cx, &mut effects);
        self.unload(&cx, &mut effects);
        self.read_stale(&cx, &mut effects);
        effects
    }

    /// Whether nothing is left to do: according to recent reports, every engine that takes new work
    /// has the version that stays ready and does not have the other.
    fn is_complete(&self, now: Time, goal: &Goal, observed: &Observed<'_>) -> bool {
        let mut serving = observed.engines.iter().filter(|e| !e.leaving);
        let removing = matches!(goal.phase, Phase::Remove { .. });
        let settled = |e: &Engine| e.has_ready(&goal.keep) && !e.has(&goal.drop);
        removing && serving.all(|e| settled(e) && e.is_fresh(now, self.cfg.recheck_interval))
    }

    /// Drops pending orders whose effect a report shows, and those that are due to be repeated.
    fn drop_settled(&mut self, now: Time, observed: &Observed<'_>) {
        self.pending.retain(|id, order| {
            let engine = find_engine(observed, id);
            let done = engine.is_none_or(|engine| match order.kind {
                OrderKind::Load => engine.has(&order.version),
                OrderKind::Unload => !engine.has(&order.version),
            });
            !done && !now.has_reached(order.repeat_at)
        });
    }

    /// Announces this holder's fencing token to engines, so that they reject older ones. The order
    /// that carries it changes nothing, since it loads a version that is already loaded.
    fn announce_fencing(&mut self, cx: &TickContext<'_>, effects: &mut Vec<Effect>) {
        if !self.cfg.announces_fencing {
            return;
        }
        if self.announced.fencing != cx.held.fencing {
            self.announced = Announced {
                fencing: cx.held.fencing,
                ..Announced::default()
            };
        }
        let engines = cx.observed.engines.iter();
        let fresh = engines.filter(|e| e.is_fresh(cx.now, self.cfg.max_load_report_age));
        let unannounced = fresh.filter(|e| !self.announced.engines.contains(&e.id));
        let ready = unannounced.filter_map(|e| Some((e.id.clone(), e.ready.first()?.clone())));
        let announcements: Vec<_> = ready.take(MAX_ENGINES_PER_TICK).collect();
        for (id, version) in announcements {
            let order = Order::new(&cx.held, &id, OrderKind::Load, &version);
            effects.push(Effect::Order(order));
            self.announced.engines.insert(id);
        }
    }

    /// Creates an order and keeps it as pending until a report shows its effect.
    fn send(
        &mut self,
        cx: &TickContext<'_>,
        id: &UpstreamId,
        kind: OrderKind,
        version: &VersionName,
    ) -> Effect {
        let order = PendingOrder {
            kind,
            version: version.clone(),
            repeat_at: cx.now + self.cfg.order_retry_after,
        };
        self.pending.insert(id.clone(), order);
        Effect::Order(Order::new(&cx.held, id, kind, version))
    }

    /// Reads the engines with the oldest reports, and those with a pending order.
    fn read_stale(&self, cx: &TickContext<'_>, effects: &mut Vec<Effect>) {
        let half = Span::from_micros(self.cfg.max_report_age.as_micros() / 2);
        let unannounced =
            |e: &Engine| self.cfg.announces_fencing && !self.announced.engines.contains(&e.id);
        let stale = |e: &&Engine| {
            !e.is_fresh(cx.now, half) || self.pending.contains_key(&e.id) || unannounced(e)
        };
        let mut due: Vec<&Engine> = cx.observed.engines.iter().filter(stale).collect();
        due.sort_by_key(|e| e.read_at);
        for engine in due.into_iter().take(MAX_ENGINES_PER_TICK) {
            let read = Effect::Read(engine.id.clone());
            if !effects.contains(&read) {
                effects.push(read);
            }
        }
    }
}

fn find_engine<'a>(observed: &'a Observed<'_>, id: &UpstreamId) -> Option<&'a Engine> {
    let found = observed.engines.binary_search_by(|e| e.id.cmp(id));
    found.ok().map(|index| &observed.engines[index])
}
