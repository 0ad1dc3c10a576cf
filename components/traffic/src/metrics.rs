//! Counters and latency histograms of the event loop.

use std::cell::RefCell;
use std::sync::atomic::AtomicU64;

use dispatch::Upstreams;
use overload::ServiceStatus;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use types::prelude::*;

use crate::ending::EndedBy;
use crate::retries::ChargeKind;

const PREFIX: &str = "buckthorncross";
/// Lowest histogram bound, in seconds: a plain answer takes some milliseconds.
const SHORTEST_S: f64 = 0.005;
/// Number of histogram bounds. Each doubles the last; the 13th is 20 s, beyond every objective.
const BUCKETS: u16 = 13;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// A whole answer of an upstream.
    Answered,
    /// An upstream's own failure, relayed.
    UpstreamFailure,
    /// Refused; the request was not processed.
    Refused,
    /// Refused because upstreams crashed under its content.
    Barred,
    /// The request was invalid: unknown route or key, malformed, or too large.
    Rejected,
    /// It is unknown whether an upstream processed the request.
    Unclear,
    /// The deadline passed.
    Timeout,
    /// A stream that broke off before its end.
    CutShort,
    /// The caller disconnected.
    CallerGone,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: Outcome,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ChargeLabel {
    charge: ChargeKind,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndedByLabel {
    by: EndedBy,
}

/// What became of a replacement of a run that was alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum ReplacementResult {
    /// Another upstream took its place.
    Taken,
    /// The run went on before another upstream had begun.
    WentOn,
    /// Another upstream refused the request.
    Refused,
    /// No attempt, retry or other upstream was left.
    Unavailable,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReplacementLabel {
    result: ReplacementResult,
}

/// Counters and histograms, served as text.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<OutcomeLabel, Counter>,
    /// Streams that had begun and did not come to their end.
    cut_streams: Family<EndedByLabel, Counter>,
    /// Replacements of runs that were alive.
    replacements: Family<ReplacementLabel, Counter>,
    /// Further sends of requests, by how the retry budget was charged.
    retries: Family<ChargeLabel, Counter>,
    /// Time from a request's arrival to the first byte of its answer.
    first_byte: Histogram,
    /// Time from a request's arrival to its end.
    whole: Histogram,
    /// Requests sent to upstreams.
    pub attempts: Counter,
    /// Attempts beyond the first of a caller's request.
    pub repeats: Counter,
    /// Connections opened to upstreams.
    pub connects: Counter,
    /// Connections opened to upstreams through peers.
    pub tunnels_opened: Counter,
    /// Connections opened to upstreams for peers.
    pub tunnels_served: Counter,
    /// Upstreams that this daemon reaches only through peers.
    pub lost_paths: Gauge,
    /// Upstreams that crashed while requests were in flight there.
    pub upstream_ends: Counter,
    /// Upstreams that advertise a rate limit.
    pub limited_upstreams: Gauge,
    /// Requests sent to upstreams that advertise a rate limit.
    pub limited_sends: Counter,
    /// Requests refused because every suitable upstream was at its rate limit.
    pub limited_requests: Counter,
    /// Requests for leases by this daemon.
    pub leases_asked: Counter,
    /// Leases granted to this daemon.
    pub leases_taken: Counter,
    /// Leases that it granted.
    pub leases_lent: Counter,
    /// Answers whose status means that the request was not processed, and which do not say so.
    pub unconfirmed_refusals: Counter,
    /// Answers with a rate limit that cannot be read.
    pub invalid_rate_limits: Counter,
    /// Requests refused since their plain service is congested.
    pub overload_refusals: Counter,
    /// Requests a second that callers offer to a plain service, over the fleet.
    overload_offered: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Sends a second to a plain service, while it is congested.
    overload_limit: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Requests in flight for each slot of a plain service, over the fleet.
    overload_load: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Quarantined contents.
    pub barred_contents: Gauge,
    /// Upstream entries that cannot be read.
    pub unreadable: Gauge,
    /// Upstreams in use whose entry disappeared and may only have lapsed.
    pub lapsed_upstreams: Gauge,
    /// Failure domains whose upstreams get no new requests.
    pub evacuated_domains: Gauge,
    /// Upstreams that are cold.
    pub cold_upstreams: Gauge,
    /// The lowest pace of an engine.
    pub lowest_pace: Gauge<f64, AtomicU64>,
    /// The highest pace of an engine.
    pub highest_pace: Gauge<f64, AtomicU64>,
    /// Engines that are slow.
    pub slow_upstreams: Gauge,
    /// Load per slot of a service's busiest upstream over the mean.
    skews: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    avoidable_rejections: Counter,
    dropped_log_lines: Counter,
    scratch: RefCell<String>,
}

impl Metrics {
    /// Creates and registers all metrics, at zero.
    #[must_use]
    pub fn new() -> Self {
        let buckets = || exponential_buckets(SHORTEST_S, 2.0, BUCKETS);
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            cut_streams: Family::default(),
            replacements: Family::default(),
            retries: Family::default(),
            first_byte: Histogram::new(buckets()),
            whole: Histogram::new(buckets()),
            attempts: Counter::default(),
            repeats: Counter::default(),
            connects: Counter::default(),
            tunnels_opened: Counter::default(),
            tunnels_served: Counter::default(),
            lost_paths: Gauge::default(),
            upstream_ends: Counter::default(),
            limited_upstreams: Gauge::default(),
            limited_sends: Counter::default(),
            limited_requests: Counter::default(),
            leases_asked: Counter::default(),
            leases_taken: Counter::default(),
            leases_lent: Counter::default(),
            unconfirmed_refusals: Counter::default(),
            invalid_rate_limits: Counter::default(),
            overload_refusals: Counter::default(),
            overload_offered: Family::default(),
            overload_limit: Family::default(),
            overload_load: Family::default(),
            in_flight: Gauge::default(),
            barred_contents: Gauge::default(),
            unreadable: Gauge::default(),
            lapsed_upstreams: Gauge::default(),
            evacuated_domains: Gauge::default(),
            cold_upstreams: Gauge::default(),
            lowest_pace: Gauge::default(),
            highest_pace: Gauge::default(),
            slow_upstreams: Gauge::default(),
            skews: Family::default(),
            avoidable_rejections: Counter::default(),
            dropped_log_lines: Counter::default(),
            scratch: RefCell::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests",
            "Requests ended, by outcome",
            self.requests.clone(),
        );
        r.register(
            "first_byte_seconds",
            "Until an answer begins",
            self.first_byte.clone(),
        );
        r.register(
            "cut_streams",
            "Streams that had begun and did not come to their end, by who ended them",
            self.cut_streams.clone(),
        );
        r.register("whole_seconds", "Until an answer ends", self.whole.clone());
        r.register(
            "attempts",
            "Requests sent to upstreams",
            self.attempts.clone(),
        );
        r.register(
            "connects",
            "Connections opened to upstreams",
            self.connects.clone(),
        );
        r.register(
            "upstream_ends",
            "Upstreams that ended while requests of this daemon ran there",
            self.upstream_ends.clone(),
        );
        r.register(
            "unconfirmed_refusals",
            "Answers of upstreams that mean not processed by their status and do not say so",
            self.unconfirmed_refusals.clone(),
        );
        self.register_retries();
        self.register_rate_limits();
        self.register_leases();
        self.register_overload();
        self.register_tunnels();
        self.register_paces();
        self.register_balance();
        self.register_state();
    }

    fn register_state(&mut self) {
        let r = &mut self.registry;
        r.register("in_flight", "Requests in hand", self.in_flight.clone());
        r.register(
            "barred_contents",
            "Contents that are sent to no upstream, since upstreams ended under them",
            self.barred_contents.clone(),
        );
        r.register(
            "unreadable_upstreams",
            "Entries of upstreams that cannot be read and are left out",
            self.unreadable.clone(),
        );
        r.register(
            "lapsed_upstreams",
            "Upstreams in use whose entry disappeared and may only have lapsed",
            self.lapsed_upstreams.clone(),
        );
        r.register(
            "evacuated_domains",
            "Failure domains whose upstreams get no new requests",
            self.evacuated_domains.clone(),
        );
        r.register(
            "cold_upstreams",
            "Upstreams that are cold",
            self.cold_upstreams.clone(),
        );
        r.register(
            "dropped_log_lines",
            "Log lines that found no room to wait in",
            self.dropped_log_lines.clone(),
        );
    }

    fn register_retries(&mut self) {
        let r = &mut self.registry;
        r.register("repeats", "Attempts beyond the first", self.repeats.clone());
        r.register(
            "retries",
            "Further sends of requests, by how the retry budget was charged",
            self.retries.clone(),
        );
        r.register(
            "replacements",
            "Replacements of silent runs and drafts by another upstream, by result",
            self.replacements.clone(),
        );
    }

    fn register_overload(&mut self) {
        let r = &mut self.registry;
        r.register(
            "overload_refusals",
            "Requests refused since their plain service is congested",
            self.overload_refusals.clone(),
        );
        r.register(
            "overload_offered",
            "Requests a second that the fleet's callers send to a plain service",
            self.overload_offered.clone(),
        );
        r.register(
            "overload_limit",
            "Requests a second that the fleet sends to a congested plain service",
            self.overload_limit.clone(),
        );
        r.register(
            "overload_load",
            "Requests in flight for each slot of a plain service",
            self.overload_load.clone(),
        );
    }

    /// Sets the fleet's load on each plain service.
    pub(crate) fn set_overload<'a>(
        &self,
        services: impl Iterator<Item = (&'a str, ServiceStatus)>,
    ) {
        // A service that gets no requests any more is left out.
        self.overload_offered.clear();
        self.overload_limit.clear();
        self.overload_load.clear();
        for (name, status) in services {
            let label = ServiceLabel {
                service: name.to_owned(),
            };
            let load = status.in_flight / f64::from(status.slots.max(1));
            let offered = self.overload_offered.get_or_create(&label);
            offered.set(status.offered.0);
            self.overload_load.get_or_create(&label).set(load);
            if let Some(limit) = status.limit {
                self.overload_limit.get_or_create(&label).set(limit.0);
            }
        }
    }

    fn register_paces(&mut self) {
        let r = &mut self.registry;
        r.register(
            "lowest_pace",
            "Lowest pace of an engine relative to others; 1 is usual",
            self.lowest_pace.clone(),
        );
        r.register(
            "highest_pace",
            "Highest pace of an engine relative to others; 1 is usual",
            self.highest_pace.clone(),
        );
        r.register(
            "slow_upstreams",
            "Engines that are slow and get fewer requests",
            self.slow_upstreams.clone(),
        );
    }

    fn register_leases(&mut self) {
        let r = &mut self.registry;
        r.register(
            "leases_asked",
            "Requests for which another daemon's share of a bound was asked for",
            self.leases_asked.clone(),
        );
        r.register(
            "leases_taken",
            "Requests sent by other daemons' shares",
            self.leases_taken.clone(),
        );
        r.register(
            "leases_lent",
            "Requests that other daemons sent by this daemon's shares",
            self.leases_lent.clone(),
        );
    }

    fn register_tunnels(&mut self) {
        let r = &mut self.registry;
        r.register(
            "tunnels_opened",
            "Connections opened to upstreams through peers",
            self.tunnels_opened.clone(),
        );
        r.register(
            "tunnels_served",
            "Connections opened to upstreams for peers",
            self.tunnels_served.clone(),
        );
        r.register(
            "lost_paths",
            "Upstreams that are reached only through peers",
            self.lost_paths.clone(),
        );
    }

    fn register_balance(&mut self) {
        let r = &mut self.registry;
        r.register(
            "load_skew",
            "Load per slot of a plain service's busiest upstream over the mean",
            self.skews.clone(),
        );
        r.register(
            "avoidable_rejections",
            "Requests rejected for lack of capacity while another upstream was believed to have some",
            self.avoidable_rejections.clone(),
        );
    }

    /// Sets the metrics of even load; services without load are left out.
    pub(crate) fn set_balance(&self, upstreams: &Upstreams, now: Time) {
        self.skews.clear();
        for (service, skew) in upstreams.skews(now) {
            let service = service.to_string();
            self.skews
                .get_or_create(&ServiceLabel { service })
                .set(skew);
        }
        let counted = self.avoidable_rejections.get();
        let rejections = upstreams.avoidable_rejections();
        self.avoidable_rejections
            .inc_by(rejections.saturating_sub(counted));
    }

    fn register_rate_limits(&mut self) {
        let r = &mut self.registry;
        r.register(
            "limited_upstreams",
            "Upstreams that advertise a rate limit",
            self.limited_upstreams.clone(),
        );
        r.register(
            "limited_sends",
            "Requests sent to upstreams that advertise a rate limit",
            self.limited_sends.clone(),
        );
        r.register(
            "limited_requests",
            "Requests refused since every upstream for them was at its rate limit",
            self.limited_requests.clone(),
        );
        r.register(
            "invalid_rate_limits",
            "Answers with a rate limit that cannot be read",
            self.invalid_rate_limits.clone(),
        );
    }

    /// Records how a request ended and how long it took.
    pub fn ended(&self, outcome: Outcome, first_byte: Option<Span>, whole: Span) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
        if let Some(wait) = first_byte {
            self.first_byte.observe(wait.as_secs_f64());
        }
        self.whole.observe(whole.as_secs_f64());
    }

    /// Records that a stream did not come to its end.
    pub(crate) fn record_cut_stream(&self, by: EndedBy) {
        self.cut_streams.get_or_create(&EndedByLabel { by }).inc();
    }

    /// Records what became of a replacement.
    pub(crate) fn record_replacement(&self, result: ReplacementResult) {
        let label = ReplacementLabel { result };
        self.replacements.get_or_create(&label).inc();
    }

    /// Records how a further send of a request was charged.
    pub(crate) fn record_charge(&self, charge: ChargeKind) {
        self.retries.get_or_create(&ChargeLabel { charge }).inc();
    }

    /// Encodes the metrics in the Prometheus text format; `dropped_log_lines` is the logger's
    /// total.
    pub fn text(&self, dropped_log_lines: u64) -> String {
        let counted = self.dropped_log_lines.get();
        self.dropped_log_lines
            .inc_by(dropped_log_lines.saturating_sub(counted));
        let mut text = self.scratch.borrow_mut();
        text.clear();
        if let Err(e) = text::encode(&mut *text, &self.registry) {
            tracing::warn!("metrics: cannot encode the metrics as text: {e}");
        }
        text.clone()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
