//! What the tasks of the event loop share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dispatch::{
    Advertisement, Evidence, Gate, LastSeen, Pins, RetryBudget, SharedLoad, UpstreamIndex,
    Upstreams, Use,
};
use http1::Pool;
use poison::{Admission, Content, Runs};
use rand::rngs::SmallRng;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use types::prelude::*;

use crate::arm::BrokenAnswer;
use crate::config::Config;
use crate::metrics::Metrics;
use crate::plan::{Plan, Proof};

/// How far this daemon's life is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serving.
    Serving,
    /// Told to stop: not ready any more, still serving while that is noticed.
    Leaving,
    /// New connections no longer come; idle ones are closed.
    Closing,
}

/// Roll-outs whose sessions are remembered.
const MAX_ROLLOUT_ORDERS: usize = 8;

/// What the event loop shows the control thread.
#[derive(Debug, Default)]
struct Published {
    evidence: BTreeMap<Arc<str>, Evidence>,
    staying: BTreeMap<u64, BTreeSet<u32>>,
    loads: Vec<SharedLoad>,
    rate_limits: Vec<Advertisement>,
}

/// What the event loop shows the control thread: evidence on roll-outs and its loads.
#[derive(Debug, Clone, Default)]
pub struct Seen(Arc<Mutex<Published>>);

impl Seen {
    fn lock(&self) -> MutexGuard<'_, Published> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What was seen of roll-outs, by service.
    #[must_use]
    pub fn evidence(&self) -> BTreeMap<Arc<str>, Evidence> {
        self.lock().evidence.clone()
    }

    /// Sessions seen at work on another version than an order's, by the order's revision.
    #[must_use]
    pub fn staying(&self, order: u64) -> BTreeSet<u32> {
        self.lock().staying.get(&order).cloned().unwrap_or_default()
    }

    pub(crate) fn add_staying(&self, order: u64, sessions: impl IntoIterator<Item = u32>) {
        let mut published = self.lock();
        // Orders before the last few are over.
        while published.staying.len() > MAX_ROLLOUT_ORDERS {
            published.staying.pop_first();
        }
        published.staying.entry(order).or_default().extend(sessions);
    }

    /// What is out at upstreams.
    #[must_use]
    pub fn loads(&self) -> Vec<SharedLoad> {
        self.lock().loads.clone()
    }

    /// Rate limits of upstreams, as other daemons are to be told.
    #[must_use]
    pub fn rate_limits(&self) -> Vec<Advertisement> {
        self.lock().rate_limits.clone()
    }

    pub(crate) fn set_rate_limits(&self, rate_limits: Vec<Advertisement>) {
        self.lock().rate_limits = rate_limits;
    }

    pub(crate) fn set_loads(&self, loads: Vec<SharedLoad>) {
        self.lock().loads = loads;
    }

    pub(crate) fn update_evidence(
        &self,
        service: &Arc<str>,
        order: u64,
        f: impl FnOnce(&mut Evidence),
    ) {
        let mut published = self.lock();
        let evidence = published.evidence.entry(service.clone()).or_default();
        if evidence.order != order {
            *evidence = Evidence {
                order,
                ..Evidence::default()
            };
        }
        f(evidence);
    }
}

/// State of the event loop. Borrows never last over a wait.
pub(crate) struct Shared<T> {
    pub(crate) cfg: Config,
    pub(crate) translator: T,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) plan: RefCell<Arc<Plan>>,
    /// How current the configuration is known to be.
    pub(crate) proof: Cell<Option<Proof>>,
    pub(crate) upstreams: RefCell<Upstreams>,
    pub(crate) pool: RefCell<Pool<UpstreamIndex>>,
    /// What is or was under way at each upstream.
    pub(crate) runs: RefCell<Runs<UpstreamIndex>>,
    /// Answers that broke off and are not counted yet in a roll-out.
    pub(crate) broken_answers: RefCell<Vec<BrokenAnswer>>,
    /// Upstreams that are being asked whether they still listen.
    pub(crate) probing: RefCell<BTreeSet<UpstreamIndex>>,
    /// Upstreams that may have ended, for [`crate::ends::watch`].
    pub(crate) probe_tx: UnboundedSender<LastSeen>,
    pub(crate) pins: RefCell<Pins>,
    pub(crate) budgets: RefCell<HashMap<Arc<str>, RetryBudget>>,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) seen: Seen,
    pub(crate) stage: watch::Sender<Stage>,
    /// Requests in hand.
    pub(crate) requests_in_flight: Cell<usize>,
    /// Connections of callers.
    pub(crate) caller_connections: Cell<usize>,
    /// Bytes of callers' bodies held.
    pub(crate) held_body_bytes: Cell<u64>,
}

impl<T> Shared<T> {
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn plan(&self) -> Arc<Plan> {
        Arc::clone(&self.plan.borrow())
    }

    /// Whether a change that was to be in force by now may be missing in the configuration.
    pub(crate) fn may_be_stale(&self) -> bool {
        let bound = self.cfg.current_within;
        let proven_at = self.plan.borrow().proven_at(self.proof.get());
        proven_at.is_none_or(|at| self.now().since(at) > bound)
    }

    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Takes what the control thread knows.
    pub(crate) fn set_plan(&self, plan: Arc<Plan>) {
        let now = self.now();
        self.log_table_version(now, &plan);
        let mut upstreams = self.upstreams.borrow_mut();
        let gone = upstreams.configure(&plan.upstreams);
        upstreams.set_fleet(now, &plan.fleet);
        drop(upstreams);
        for gone in gone {
            self.unlisted(gone);
        }
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_daemons(plan.daemons);
        }
        let mut suspects = self.cfg.suspects.lock();
        suspects.set_fleet(plan.daemons, plan.upstreams.len());
        drop(suspects);
        self.publish_staying(&plan);
        let unreadable = i64::try_from(plan.unreadable).unwrap_or(i64::MAX);
        self.metrics.unreadable.set(unreadable);
        *self.plan.borrow_mut() = plan;
    }

    /// Says which configuration is in use, and how old the proof beside the former one was.
    fn log_table_version(&self, now: Time, plan: &Plan) {
        let version_of = |plan: &Plan| plan.table.as_ref().map(|table| table.version.0);
        let former = version_of(&self.plan.borrow());
        let version = version_of(plan);
        if version != former {
            let proven_ms = self.proven_ms(now);
            tracing::info!(version, former, proven_ms, "config: in use");
        }
    }

    /// So long ago the configuration was last known to be current.
    pub(crate) fn proven_ms(&self, now: Time) -> Option<u64> {
        let proven_at = self.plan.borrow().proven_at(self.proof.get());
        proven_at.map(|at| now.since(at).as_millis())
    }

    /// Notes sessions that stay on their version, at the begin of a roll-out.
    fn publish_staying(&self, plan: &Plan) {
        let now = self.now();
        let pins = self.pins.borrow();
        for gate in plan.gates.iter().filter(|gate| gate.share <= 0.0) {
            let active = pins
                .not_on(now, &gate.to)
                .filter(|place| gate.notes(*place));
            self.seen.add_staying(gate.order, active.map(Gate::mark));
        }
    }

    /// Notes a caller's request for a service.
    pub(crate) fn count_request(&self, service: &Arc<str>) {
        let now = self.now();
        self.with_budget(service, |budget| budget.requested(now));
    }

    /// Takes a repeat if there is one left.
    pub(crate) fn take_retry(&self, service: &Arc<str>, what: Use) -> bool {
        let now = self.now();
        self.with_budget(service, |budget| budget.take(now, what))
    }

    fn with_budget<R>(&self, service: &Arc<str>, f: impl FnOnce(&mut RetryBudget) -> R) -> R {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let mut budget = RetryBudget::new(self.cfg.retries, self.cfg.policy.repeats);
            budget.set_daemons(self.plan.borrow().daemons);
            budget
        });
        f(budget)
    }

    /// Until when a content is barred, if it is.
    pub(crate) fn quarantined_until(&self, content: Content) -> Option<Time> {
        let suspects = self.cfg.suspects.lock();
        match suspects.admission(self.now(), content) {
            Admission::Barred { until } => Some(until),
            Admission::Open | Admission::Trial => None,
        }
    }

    /// The moment on the runtime's clock.
    pub(crate) fn instant(&self, at: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.now().until(at).to_duration()
    }
}
