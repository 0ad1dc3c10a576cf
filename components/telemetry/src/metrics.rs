//! Metrics of the process, in the text format of Prometheus.
//!
//! The number of series is bounded. All labels have a small fixed set of values, except the names
//! of offers, which operators choose: the first [`MAX_OFFERS`] offers get series of their own and
//! all others share one, so that a catalogue with ever new offers cannot fill the daemon's memory.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use types::prelude::*;

use crate::labels::*;

/// Number of offers that get series of their own.
pub const MAX_OFFERS: usize = 256;
/// Label value shared by all offers beyond [`MAX_OFFERS`].
pub const OTHER_OFFER: &str = "other";

const PREFIX: &str = "buckthorncross";
const FIRST_TOKEN_SHORTEST_S: f64 = 0.005;
const FIRST_TOKEN_BUCKETS: u16 = 14;
const BETWEEN_TOKENS_SHORTEST_S: f64 = 0.002;
const BETWEEN_TOKENS_BUCKETS: u16 = 12;
const BUCKET_FACTOR: f64 = 2.0;

type RatioGauge = Gauge<f64, AtomicU64>;
type HistogramFamily<L> = Family<L, Histogram, fn() -> Histogram>;

/// Metrics of one offer. A request looks them up once and keeps them until it ends.
#[derive(Debug, Clone)]
pub struct OfferMetrics {
    requests: Vec<Counter>,
    first_token: Histogram,
    between_tokens: Histogram,
}

impl OfferMetrics {
    /// Counts a finished request by its outcome.
    pub fn ended(&self, outcome: Outcome) {
        self.requests[outcome as usize].inc();
    }

    /// Records the time from a request's arrival to its first token.
    pub fn first_token(&self, wait: Span) {
        self.first_token.observe(wait.as_secs_f64());
    }

    /// Records the time between two consecutive tokens of a stream.
    pub fn between_tokens(&self, wait: Span) {
        self.between_tokens.observe(wait.as_secs_f64());
    }
}

/// All metrics of a daemon, shared by its threads.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    first_token: HistogramFamily<OfferLabels>,
    between_tokens: HistogramFamily<OfferLabels>,
    offers: RwLock<BTreeMap<String, Arc<OfferMetrics>>>,
    attempts: Family<AttemptLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    store_calls: Family<StoreLabels, Counter>,
    peer_bytes: Family<DirectionLabels, Counter>,
    in_flight: Family<PriorityLabels, Gauge>,
    queue_fill: Family<QueueLabels, RatioGauge>,
    members: Family<MemberLabels, Gauge>,
    /// Number of bills that are held by this daemon and its peers but not yet by the store.
    pub bills_waiting: Gauge,
    /// Highest revision of the catalogue in force at this daemon.
    pub catalogue_revision: Gauge,
    /// Seconds since the catalogue was last confirmed to be current, including the age that it
    /// already had when it was received.
    pub freshness_age: RatioGauge,
    /// Number of versions suspended because of bad answers.
    pub suspended_versions: Gauge,
    /// Number of edits that this daemon accepted from operators.
    pub edits: Counter,
    /// Number of orders sent to engines by roll-outs that this daemon drives.
    pub rollout_orders: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics with the value 0.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            first_token: Family::new_with_constructor(first_token_histogram),
            between_tokens: Family::new_with_constructor(between_tokens_histogram),
            offers: RwLock::default(),
            attempts: Family::default(),
            refusals: Family::default(),
            store_calls: Family::default(),
            peer_bytes: Family::default(),
            in_flight: Family::default(),
            queue_fill: Family::default(),
            members: Family::default(),
            bills_waiting: Gauge::default(),
            catalogue_revision: Gauge::default(),
            freshness_age: RatioGauge::default(),
            suspended_versions: Gauge::default(),
            edits: Counter::default(),
            rollout_orders: Counter::default(),
        };
        metrics.register_traffic();
        metrics.register_control();
        metrics
    }

    fn register_traffic(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests",
            "Requests by offer and outcome",
            self.requests.clone(),
        );
        let help = "From a request's arrival to its first token";
        r.register_with_unit("first_token", help, Unit::Seconds, self.first_token.clone());
        let help = "Between two tokens of a stream";
        r.register_with_unit(
            "between_tokens",
            help,
            Unit::Seconds,
            self.between_tokens.clone(),
        );
        r.register(
            "attempts",
            "Attempts at upstreams by outcome",
            self.attempts.clone(),
        );
        r.register(
            "refusals",
            "Refused requests by code",
            self.refusals.clone(),
        );
        r.register(
            "requests_in_flight",
            "Requests being served",
            self.in_flight.clone(),
        );
        let help = "Fill of a bounded queue or table, 1 when full";
        r.register_with_unit("queue_fill", help, Unit::Ratios, self.queue_fill.clone());
        let help = "Bills not yet in the store";
        r.register("bills_waiting", help, self.bills_waiting.clone());
    }

    fn register_control(&mut self) {
        let r = &mut self.registry;
        let help = "Calls of the key-value service by kind and outcome";
        r.register("store_calls", help, self.store_calls.clone());
        let help = "Bytes to and from other daemons";
        r.register_with_unit("peer", help, Unit::Bytes, self.peer_bytes.clone());
        r.register(
            "members",
            "Daemons by state, as held here",
            self.members.clone(),
        );
        let help = "Revision of the catalogue in force here";
        r.register("catalogue_revision", help, self.catalogue_revision.clone());
        let help = "Since the catalogue was last confirmed current";
        r.register_with_unit(
            "freshness_age",
            help,
            Unit::Seconds,
            self.freshness_age.clone(),
        );
        let help = "Versions suspended for their answers";
        r.register("suspended_versions", help, self.suspended_versions.clone());
        r.register(
            "edits",
            "Edits of the catalogue accepted here",
            self.edits.clone(),
        );
        let help = "Orders sent to engines by roll-outs driven here";
        r.register("rollout_orders", help, self.rollout_orders.clone());
    }

    /// Returns the metrics of an offer or service, creating them at the first use.
    #[must_use]
    pub fn offer(&self, name: &str) -> Arc<OfferMetrics> {
        let offers = self.offers.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = offers.get(name) {
            return Arc::clone(known);
        }
        drop(offers);
        self.add_offer(name)
    }

    fn add_offer(&self, name: &str) -> Arc<OfferMetrics> {
        let mut offers = self.offers.write().unwrap_or_else(PoisonError::into_inner);
        let label = if offers.len() < MAX_OFFERS || offers.contains_key(name) {
            name
        } else {
            OTHER_OFFER
        };
        let create = || Arc::new(self.make_offer(label));
        let offer = offers.entry(label.to_owned()).or_insert_with(create);
        Arc::clone(offer)
    }

    fn make_offer(&self, label: &str) -> OfferMetrics {
        let offer = label.to_owned();
        let counter = |outcome: &Outcome| {
            let offer = offer.clone();
            let labels = RequestLabels {
                offer,
                outcome: *outcome,
            };
            self.requests.get_or_create_owned(&labels)
        };
        let requests = Outcome::ALL.iter().map(counter).collect();
        let labels = OfferLabels { offer };
        OfferMetrics {
            requests,
            first_token: self.first_token.get_or_create_owned(&labels),
            between_tokens: self.between_tokens.get_or_create_owned(&labels),
        }
    }

    /// Counts a finished attempt by its outcome.
    pub fn attempt(&self, outcome: AttemptOutcome) {
        self.attempts
            .get_or_create(&AttemptLabels { outcome })
            .inc();
    }

    /// Counts a refused request by its error code.
    pub fn refusal(&self, code: &'static str) {
        self.refusals.get_or_create(&RefusalLabels { code }).inc();
    }

    /// Counts a call of the key-value service by kind and outcome.
    pub fn store_call(&self, call: StoreCall, outcome: StoreOutcome) {
        let labels = StoreLabels { call, outcome };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Sets the total of bytes sent to or received from peers since the start.
    pub fn set_peer_bytes(&self, direction: Direction, bytes: ByteSize) {
        let labels = DirectionLabels { direction };
        let counter = self.peer_bytes.get_or_create(&labels);
        counter.inner().store(bytes.0, Ordering::Relaxed);
    }

    /// Sets the number of requests in flight.
    pub fn set_in_flight(&self, priority: PriorityLabel, count: usize) {
        let labels = PriorityLabels { priority };
        self.in_flight.get_or_create(&labels).set(as_gauge(count));
    }

    /// Sets the fill ratio of a queue or table from its length and capacity.
    pub fn set_queue_fill(&self, queue: &'static str, length: usize, bound: usize) {
        let fill = length as f64 / bound.max(1) as f64;
        self.queue_fill
            .get_or_create(&QueueLabels { queue })
            .set(fill);
    }

    /// Sets the number of daemons that this one sees in a state.
    pub fn set_members(&self, state: MemberState, count: usize) {
        let labels = MemberLabels { state };
        self.members.get_or_create(&labels).set(as_gauge(count));
    }

    /// Encodes all metrics in the text format of Prometheus.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut buf = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut buf, &self.registry);
        buf
    }
}

fn as_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn first_token_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_TOKEN_SHORTEST_S,
        BUCKET_FACTOR,
        FIRST_TOKEN_BUCKETS,
    ))
}

fn between_tokens_histogram() -> Histogram {
    let buckets = BETWEEN_TOKENS_BUCKETS;
    Histogram::new(exponential_buckets(
        BETWEEN_TOKENS_SHORTEST_S,
        BUCKET_FACTOR,
        buckets,
    ))
}
