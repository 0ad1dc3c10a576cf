//! State shared by the tasks of the event loop.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use balance::AverageLoad;
use dispatch::{
    Advertisement, BrittleAdvertisement, Evidence, Gate, LastSeen, PaceReport, Paths, Pauses, Pins,
    RetryBudget, SharedLoad, TunnelPeers, UpstreamIndex, Upstreams,
};
use http1::Pool;
use overload::{FleetView, Overload};
use poison::{Admission, Attempts};
use rand::rngs::SmallRng;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use types::prelude::*;

use crate::arm::BrokenAnswer;
use crate::awaited::AwaitedAnswers;
use crate::config::Config;
use crate::durations::Durations;
use crate::exchange::Request;
use crate::held::HeldAnswers;
use crate::metrics::Metrics;
use crate::plan::{Plan, Validation};

/// Stage of this daemon's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serving and ready.
    Serving,
    /// Got the stop command: reports not ready, and still serves while load balancers notice.
    Leaving,
    /// Accepts no new connections and closes idle ones.
    Closing,
    /// The grace period is over: what is left ends.
    Ended,
}

/// Rollout orders whose staying sessions are remembered.
const MAX_ROLLOUT_ORDERS: usize = 8;

/// Values that the event loop publishes to the control thread.
#[derive(Debug, Default)]
struct Published {
    evidence: BTreeMap<Arc<str>, Evidence>,
    staying: BTreeMap<u64, BTreeSet<u32>>,
    loads: Vec<SharedLoad>,
    averages: Vec<AverageLoad>,
    rate_limits: Vec<Advertisement>,
    brittle: Vec<BrittleAdvertisement>,
    overload: Vec<u8>,
    paces: Arc<[PaceReport]>,
}

/// What the event loop publishes to the control thread: evidence on rollouts, and its loads and
/// rate limits.
#[derive(Debug, Clone, Default)]
pub struct Observed(Arc<Mutex<Published>>);

impl Observed {
    fn lock(&self) -> MutexGuard<'_, Published> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the evidence on rollouts, by service.
    #[must_use]
    pub fn evidence(&self) -> BTreeMap<Arc<str>, Evidence> {
        self.lock().evidence.clone()
    }

    /// Returns the sessions seen active on a version other than the order's, for the order with
    /// this revision.
    #[must_use]
    pub fn staying(&self, order: u64) -> BTreeSet<u32> {
        self.lock().staying.get(&order).cloned().unwrap_or_default()
    }

    pub(crate) fn add_staying(&self, order: u64, sessions: impl IntoIterator<Item = u32>) {
        let mut published = self.lock();
        // Only the latest orders can still be in progress.
        while published.staying.len() > MAX_ROLLOUT_ORDERS {
            published.staying.pop_first();
        }
        published.staying.entry(order).or_default().extend(sessions);
    }

    /// Returns the load that this daemon has in flight, by upstream.
    #[must_use]
    pub fn loads(&self) -> Vec<SharedLoad> {
        self.lock().loads.clone()
    }

    /// Returns the averages of this daemon's requests in flight at plain services' upstreams.
    #[must_use]
    pub fn averages(&self) -> Vec<AverageLoad> {
        self.lock().averages.clone()
    }

    /// Returns the rate limits of upstreams to advertise to other daemons.
    #[must_use]
    pub fn rate_limits(&self) -> Vec<Advertisement> {
        self.lock().rate_limits.clone()
    }

    /// Returns the brittle services to advertise to other daemons.
    #[must_use]
    pub fn brittle(&self) -> Vec<BrittleAdvertisement> {
        self.lock().brittle.clone()
    }

    /// Returns this daemon's encoded report on overload; empty while that is switched off.
    #[must_use]
    pub fn overload(&self) -> Vec<u8> {
        self.lock().overload.clone()
    }

    pub(crate) fn set_overload(&self, overload: Vec<u8>) {
        self.lock().overload = overload;
    }

    /// Returns this daemon's samples of upstreams' paces, sorted by upstream.
    #[must_use]
    pub fn paces(&self) -> Arc<[PaceReport]> {
        Arc::clone(&self.lock().paces)
    }

    pub(crate) fn set_paces(&self, paces: Vec<PaceReport>) {
        self.lock().paces = paces.into();
    }

    pub(crate) fn set_brittle(&self, brittle: Vec<BrittleAdvertisement>) {
        self.lock().brittle = brittle;
    }

    pub(crate) fn set_rate_limits(&self, rate_limits: Vec<Advertisement>) {
        self.lock().rate_limits = rate_limits;
    }

    pub(crate) fn set_loads(&self, loads: Vec<SharedLoad>) {
        self.lock().loads = loads;
    }

    pub(crate) fn set_averages(&self, averages: Vec<AverageLoad>) {
        self.lock().averages = averages;
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

/// State of the event loop. No `RefCell` borrow is held across an await.
pub(crate) struct Shared<T> {
    pub(crate) cfg: Config,
    pub(crate) translator: T,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) plan: RefCell<Arc<Plan>>,
    /// The version last validated as the newest, and when.
    pub(crate) validation: Cell<Option<Validation>>,
    pub(crate) upstreams: RefCell<Upstreams>,
    pub(crate) paths: RefCell<Paths>,
    pub(crate) tunnel_peers: RefCell<TunnelPeers>,
    /// Tunnels open for peers.
    pub(crate) served_tunnels: Cell<usize>,
    /// Requests that peers have in flight by this daemon's shares of upstreams' room.
    pub(crate) lent: Cell<usize>,
    pub(crate) pool: RefCell<Pool<UpstreamIndex>>,
    /// Attempts in flight at each upstream, and recent ones.
    pub(crate) attempts: RefCell<Attempts<UpstreamIndex>>,
    /// Answers on a rollout that have not begun.
    pub(crate) awaited: RefCell<AwaitedAnswers>,
    /// Broken answers that are not counted yet in a rollout.
    pub(crate) broken_answers: RefCell<Vec<BrokenAnswer>>,
    /// Upstreams that are being probed for whether they still listen.
    pub(crate) probing: RefCell<BTreeSet<UpstreamIndex>>,
    /// Sends upstreams that may have crashed to [`crate::crashes::probe_doubtful`].
    pub(crate) probe_tx: UnboundedSender<LastSeen>,
    pub(crate) pins: RefCell<Pins>,
    pub(crate) budgets: RefCell<HashMap<Arc<str>, RetryBudget>>,
    pub(crate) pauses: RefCell<Pauses>,
    /// Admission to plain services.
    pub(crate) overload: RefCell<Overload>,
    /// What other daemons report for it.
    pub(crate) overload_view: RefCell<FleetView>,
    /// When these arrived.
    pub(crate) overload_view_at: Cell<Time>,
    /// When sends were last counted for it.
    pub(crate) overload_updated_at: Cell<Time>,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) observed: Observed,
    pub(crate) stage: watch::Sender<Stage>,
    /// When the event loop ends; never, as long as it serves.
    pub(crate) ends_at: Cell<Time>,
    /// How long callers' requests lately took.
    pub(crate) durations: RefCell<Durations>,
    /// Callers' requests in flight.
    pub(crate) requests_in_flight: Cell<usize>,
    /// Open connections from callers.
    pub(crate) caller_connections: Cell<usize>,
    /// Bytes of request bodies held in memory.
    pub(crate) held_body_bytes: Cell<u64>,
    pub(crate) held_answers: Rc<HeldAnswers>,
}

impl<T> Shared<T> {
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn plan(&self) -> Arc<Plan> {
        Arc::clone(&self.plan.borrow())
    }

    /// Version of the configuration in use.
    pub(crate) fn table_version(&self) -> Option<u64> {
        let plan = self.plan.borrow();
        plan.table.as_ref().map(|table| table.version.0)
    }

    /// Whether the configuration may lack a change that should be in force by now.
    pub(crate) fn may_be_stale(&self) -> bool {
        let bound = self.cfg.max_staleness;
        let validated_at = self.plan.borrow().validated_at(self.validation.get());
        validated_at.is_none_or(|at| self.now().since(at) > bound)
    }

    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Applies a new plan from the control thread.
    pub(crate) fn set_plan(&self, plan: Arc<Plan>) {
        let now = self.now();
        self.log_table_version(now, &plan);
        let mut upstreams = self.upstreams.borrow_mut();
        if let Some(table) = &plan.table {
            upstreams.set_cold_starts(table.services());
        }
        upstreams.set_evacuated(now, &plan.evacuated);
        let gone = upstreams.configure(now, &plan.upstreams);
        upstreams.set_fleet(now, &plan.fleet);
        upstreams.set_daemons(plan.daemons);
        drop(upstreams);
        for gone in gone {
            self.unlisted(gone);
        }
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_daemons(plan.sharing_daemons);
        }
        let mut suspects = self.cfg.suspects.lock();
        suspects.set_fleet(plan.daemons, plan.upstreams.len());
        drop(suspects);
        self.publish_staying(&plan);
        let unreadable = i64::try_from(plan.unreadable_upstreams).unwrap_or(i64::MAX);
        self.metrics.unreadable.set(unreadable);
        let lapsed = i64::try_from(plan.lapsed_upstreams).unwrap_or(i64::MAX);
        self.metrics.lapsed_upstreams.set(lapsed);
        let evacuated = i64::try_from(plan.evacuated.len()).unwrap_or(i64::MAX);
        self.metrics.evacuated_domains.set(evacuated);
        *self.plan.borrow_mut() = plan;
    }

    /// Logs the configuration now in use, and the age of the validation that went with the
    /// former one.
    fn log_table_version(&self, now: Time, plan: &Plan) {
        let version_of = |plan: &Plan| plan.table.as_ref().map(|table| table.version.0);
        let former = version_of(&self.plan.borrow());
        let version = version_of(plan);
        if version != former {
            let proven_ms = self.proven_ms(now);
            tracing::info!(version, former, proven_ms, "config: in use");
        }
    }

    /// Milliseconds since the configuration was last known to be current.
    pub(crate) fn proven_ms(&self, now: Time) -> Option<u64> {
        let validated_at = self.plan.borrow().validated_at(self.validation.get());
        validated_at.map(|at| now.since(at).as_millis())
    }

    /// At the start of a rollout, publishes the active sessions that stay on another version.
    fn publish_staying(&self, plan: &Plan) {
        let now = self.now();
        let pins = self.pins.borrow();
        for gate in plan.gates.iter().filter(|gate| gate.share <= 0.0) {
            let active = pins
                .on_other_versions(now, &gate.to)
                .filter(|session| gate.should_note(*session));
            self.observed
                .add_staying(gate.order, active.map(Gate::mark));
        }
    }

    /// Whether one of a request's contents is quarantined.
    pub(crate) fn is_quarantined(&self, request: &Request<T>) -> bool {
        let (contents, customer) = (&request.contents, request.customer_name());
        let suspects = self.cfg.suspects.lock();
        let admission = suspects.admission_of(self.now(), contents, customer);
        matches!(admission, Admission::Quarantined { .. })
    }

    /// Converts a time to the runtime's clock.
    pub(crate) fn instant(&self, at: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.now().until(at).to_duration()
    }
}
