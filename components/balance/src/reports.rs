//! Reports of other daemons, summed and scaled to the fleet.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Upstreams in one report at most: an encoded one takes up to eight bytes, and a heartbeat may
/// grow by 256 bytes.
pub const MAX_LOADS: usize = 31;
/// Daemons whose reports are kept at most; a daemon hears from some thirty.
const MAX_REPORTS: usize = 512;
/// How long a report counts: in a large fleet gossip takes some rounds.
pub const REPORT_LIFETIME: Span = Span::from_millis(1_400);
/// Time constant with which a report stops to count for its own upstream.
const DECAY: Span = Span::from_millis(700);
/// How often the mean of the other daemons' loads one daemon's load may count.
const CAP_MEANS: f64 = 4.0;
/// Requests of one daemon that always count: one that takes 60 ms leaves an average of an eighth.
const CAP_REQUESTS: f64 = 0.125;
/// Units of a reported average in one request.
const UNITS: f64 = 64.0;

/// One daemon's average requests in flight at an upstream, in compact form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AverageLoad {
    /// Hash of the upstream's id and start.
    pub upstream: u32,
    /// Average number of requests in flight, in 1/64.
    pub in_flight: u16,
}

impl AverageLoad {
    /// Creates the report on an upstream; none if it rounds to zero.
    #[must_use]
    pub fn new(upstream: u32, in_flight: f64) -> Option<Self> {
        let units = (in_flight * UNITS).round().clamp(0.0, f64::from(u16::MAX));
        (units > 0.0).then_some(Self {
            upstream,
            in_flight: units as u16,
        })
    }

    fn requests(self) -> f64 {
        f64::from(self.in_flight) / UNITS
    }
}

/// Reduces a daemon's loads to the largest ones that fit into a report.
#[must_use]
pub fn select(mut loads: Vec<AverageLoad>) -> Vec<AverageLoad> {
    loads.sort_unstable_by_key(|load| (std::cmp::Reverse(load.in_flight), load.upstream));
    loads.truncate(MAX_LOADS);
    loads
}

/// Requests in flight of all other daemons at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerLoad {
    /// As reported.
    pub total: f64,
    /// The part of it that counts at this upstream; the rest counts at all upstreams of the service.
    pub fresh: f64,
}

#[derive(Debug)]
struct Report {
    at: Time,
    loads: Vec<AverageLoad>,
}

/// Number of daemons in a failure domain.
#[derive(Debug, Default)]
struct Domain {
    present: usize,
    known: usize,
}

/// The latest report of each other daemon.
#[derive(Debug, Default)]
pub struct Reports {
    by_daemon: HashMap<DaemonId, Report>,
}

impl Reports {
    /// Replaces a daemon's report.
    pub fn update(&mut self, now: Time, daemon: DaemonId, mut loads: Vec<AverageLoad>) {
        let is_known = self.by_daemon.contains_key(&daemon);
        if !is_known && self.by_daemon.len() >= MAX_REPORTS {
            return;
        }
        loads.truncate(MAX_LOADS);
        // A repeated entry would count a request twice.
        loads.sort_unstable_by_key(|load| load.upstream);
        loads.dedup_by_key(|load| load.upstream);
        self.by_daemon.insert(daemon, Report { at: now, loads });
    }

    /// Number of daemons whose report counts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_daemon.len()
    }

    /// Whether no daemon's report counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_daemon.is_empty()
    }

    /// Sums the loads by upstream and scales them to all other daemons that are `present`.
    ///
    /// The daemons known in a failure domain stand for all of it, and those known in any for a
    /// failure domain of which none is known. Reports of daemons that are gone don't count.
    pub fn sums<'a>(
        &mut self,
        now: Time,
        present: impl Iterator<Item = (&'a DaemonId, &'a FailureDomain)>,
    ) -> HashMap<u32, PeerLoad> {
        self.by_daemon
            .retain(|_, report| now < report.at + REPORT_LIFETIME);
        let mut domains = BTreeMap::<&FailureDomain, Domain>::new();
        let mut known = Vec::with_capacity(self.by_daemon.len());
        for (daemon, domain) in present {
            let counts = domains.entry(domain).or_default();
            counts.present += 1;
            if let Some(report) = self.by_daemon.get(daemon) {
                counts.known += 1;
                known.push((domain, report));
            }
        }
        let unknown = domains.values().filter(|domain| domain.known == 0);
        let unknown = unknown.map(|domain| domain.present).sum::<usize>();
        let share_of_unknown = unknown as f64 / known.len().max(1) as f64;
        let caps = caps(&known);
        let mut sums = HashMap::<u32, PeerLoad>::new();
        for (domain, report) in known {
            let counts = &domains[domain];
            let scale = counts.present as f64 / counts.known as f64 + share_of_unknown;
            let age = now.since(report.at).as_secs_f64() / DECAY.as_secs_f64();
            let freshness = (-age).exp();
            for load in &report.loads {
                let sum = sums.entry(load.upstream).or_default();
                let requests = load.requests().min(caps[&load.upstream]) * scale;
                sum.total += requests;
                sum.fresh += requests * freshness;
            }
        }
        sums
    }
}

/// The most that one daemon's report counts, by upstream: some times the mean of the others' reports.
/// A single false report would otherwise keep all daemons away from an upstream.
fn caps(known: &[(&FailureDomain, &Report)]) -> HashMap<u32, f64> {
    let mut totals = HashMap::<u32, (f64, f64)>::new();
    for load in known.iter().flat_map(|(_, report)| &report.loads) {
        let (sum, largest) = totals.entry(load.upstream).or_default();
        *sum += load.requests();
        *largest = largest.max(load.requests());
    }
    let others = known.len().saturating_sub(1).max(1) as f64;
    let caps = totals.into_iter().map(|(upstream, (sum, largest))| {
        (
            upstream,
            CAP_MEANS * (sum - largest) / others + CAP_REQUESTS,
        )
    });
    caps.collect()
}
