//! The paces of all upstreams as one daemon knows them.

use std::collections::{BTreeMap, HashMap};

use types::prelude::*;

use crate::estimate::{Estimate, Pace};
use crate::report::{MAX_REPORTS, PaceReport, PaceUpdate, ReporterKey, UpdateVersion, UpstreamKey};

/// Upstreams that are remembered; a third more than the design size.
const MAX_UPSTREAMS: usize = 16_384;
/// Other daemons whose reports on one upstream are kept. In large fleets each has a sample or two,
/// and sixteen of them are enough to tell 0.55 from 1 through noise of a factor of 1.5.
const MAX_REPORTERS: usize = 16;
/// Daemons whose latest update is remembered; twice the design size.
const MAX_DAEMONS: usize = 1_024;
/// Reports are dropped after this time, three half-lives.
const REPORT_LIFETIME: Span = Span::from_secs(60);
/// Factor by which a daemon's own samples count more than those reported to it: its own can't be
/// false or late.
const OWN_FACTOR: f64 = 2.0;
/// Samples of the usual pace that are assumed of each upstream, so that a single late answer does
/// not make it slow.
const PRIOR_WEIGHT: f64 = 4.0;
/// Weight at which one report is capped. With 8, one daemon that reported all engines at the lowest
/// pace made every engine look slow to some of 57 others.
const MAX_REPORT_WEIGHT: f64 = 2.0;
/// Own samples below this weight are not reported.
const MIN_REPORTED_WEIGHT: f64 = 0.25;
/// Weight below which an upstream is not taken as slow: fewer samples may all be of one burst of late
/// answers.
const MIN_SLOW_WEIGHT: f64 = 8.0;
/// Pace below which an upstream turns slow. In simulated fleets in front of even engines, those with
/// a queue seemed to run at 0.7 to 0.8 for some seconds.
const SLOW_BELOW: f64 = 0.68;
/// Pace above which a slow upstream has recovered. The gap keeps an estimate near the bound from
/// moving prompts back and forth.
const RECOVERED_ABOVE: f64 = 0.8;
/// Difference from the usual pace from which reports are sent at all, so that a fleet in front of
/// even upstreams sends nothing.
const SENT_FROM_DIFFERENCE: f64 = 0.1;
/// Interval at which the merged paces are computed. Doing it for each request would cost a power of
/// two for each of up to 16 reports on every candidate.
const REFRESH_INTERVAL: Span = Span::from_millis(500);

/// An upstream has turned slow or recovered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceChange {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its pace now.
    pub pace: Pace,
    /// Whether it is slow now.
    pub is_slow: bool,
}

/// The paces known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PaceSummary {
    /// The lowest one.
    pub lowest: Pace,
    /// The highest one.
    pub highest: Pace,
    /// Number of upstreams that are slow.
    pub slow: usize,
}

#[derive(Debug, Clone, Copy)]
struct Reported {
    by: ReporterKey,
    received_at: Time,
    estimate: Estimate,
}

#[derive(Debug, Clone, Default)]
struct Known {
    own: Estimate,
    reported: Vec<Reported>,
    pace: Pace,
    is_slow: bool,
}

impl Known {
    fn merge(&mut self, now: Time, by: ReporterKey, estimate: Estimate) {
        let reported = Reported {
            by,
            received_at: now,
            estimate,
        };
        if let Some(former) = self.reported.iter_mut().find(|former| former.by == by) {
            *former = reported;
        } else if self.reported.len() < MAX_REPORTERS {
            self.reported.push(reported);
        } else {
            let weight = |held: &Reported| held.estimate.weight(now);
            let lightest = self.reported.iter_mut();
            let lightest = lightest.min_by(|a, b| weight(a).total_cmp(&weight(b)));
            if let Some(lightest) = lightest.filter(|held| weight(held) < weight(&reported)) {
                *lightest = reported;
            }
        }
    }

    fn refresh(&mut self, now: Time) {
        // Without samples the pace is the usual one already. This runs on the event loop for all
        // listed upstreams, and a daemon of a large fleet has samples of few of them.
        if self.reported.is_empty() && self.own.is_empty() {
            return;
        }
        self.reported
            .retain(|held| now.since(held.received_at) < REPORT_LIFETIME);
        let (own_sum, own_weight) = self.own.sums(now);
        let others = self.reported.iter().map(|held| held.estimate.sums(now));
        let (sum, weight) = others.fold((0.0, 0.0), |(sum, weight), held| {
            (sum + held.0, weight + held.1)
        });
        let total = own_weight * OWN_FACTOR + weight + PRIOR_WEIGHT;
        self.pace = Pace::from_log((own_sum * OWN_FACTOR + sum) / total);
        self.is_slow = match self.is_slow {
            true => self.pace.get() <= RECOVERED_ABOVE,
            false => self.pace.get() < SLOW_BELOW && own_weight + weight >= MIN_SLOW_WEIGHT,
        };
    }
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    version: UpdateVersion,
    at: Time,
}

/// The paces of the listed upstreams, from a daemon's own samples and the reports of others.
#[derive(Debug, Clone, Default)]
pub struct Paces {
    upstreams: BTreeMap<UpstreamKey, Known>,
    heard: HashMap<ReporterKey, Heard>,
    refreshed_at: Option<Time>,
}

impl Paces {
    /// Replaces the list of upstreams. What is known of the others is forgotten; an upstream that
    /// restarted has another key.
    pub fn set_listed(&mut self, listed: impl Iterator<Item = UpstreamKey>) {
        let mut former = std::mem::take(&mut self.upstreams);
        let listed = listed.take(MAX_UPSTREAMS);
        self.upstreams = listed
            .map(|key| (key, former.remove(&key).unwrap_or_default()))
            .collect();
    }

    /// Adds a sample of this daemon: the ratio of a measured time to the usual one.
    pub fn record(&mut self, now: Time, upstream: UpstreamKey, ratio: f64) {
        if let Some(known) = self.upstreams.get_mut(&upstream) {
            known.own.record(now, ratio);
        }
    }

    /// Merges the reports of another daemon. An update that is not newer than the last one of the
    /// same daemon is dropped, and so are reports of upstreams that are not listed.
    pub fn merge(&mut self, now: Time, update: &PaceUpdate) {
        self.heard
            .retain(|_, heard| now.since(heard.at) < REPORT_LIFETIME);
        let former = self.heard.get(&update.reporter);
        let is_stale = former.is_some_and(|heard| heard.version >= update.version);
        if is_stale || (former.is_none() && self.heard.len() >= MAX_DAEMONS) {
            return;
        }
        let version = update.version;
        self.heard
            .insert(update.reporter, Heard { version, at: now });
        for report in update.reports.iter().take(MAX_REPORTS) {
            if let Some(known) = self.upstreams.get_mut(&report.upstream) {
                let mut estimate = report.estimate(now);
                estimate.cap_weight(MAX_REPORT_WEIGHT);
                known.merge(now, update.reporter, estimate);
            }
        }
    }

    /// Computes the merged paces, unless that was done a moment ago. Returns the upstreams that have
    /// turned slow or recovered, or `None` if nothing was computed.
    pub fn refresh(&mut self, now: Time) -> Option<Vec<PaceChange>> {
        let is_due = |at: Time| now.since(at) >= REFRESH_INTERVAL;
        if !self.refreshed_at.is_none_or(is_due) {
            return None;
        }
        self.refreshed_at = Some(now);
        let mut changes = Vec::new();
        for (upstream, known) in &mut self.upstreams {
            let was_slow = known.is_slow;
            known.refresh(now);
            if known.is_slow != was_slow {
                changes.push(PaceChange {
                    upstream: *upstream,
                    pace: known.pace,
                    is_slow: known.is_slow,
                });
            }
        }
        Some(changes)
    }

    /// The merged pace of an upstream, as last computed.
    #[must_use]
    pub fn pace(&self, upstream: UpstreamKey) -> Pace {
        let known = self.upstreams.get(&upstream);
        known.map_or(Pace::USUAL, |known| known.pace)
    }

    /// Whether an upstream is slow, as last computed.
    #[must_use]
    pub fn is_slow(&self, upstream: UpstreamKey) -> bool {
        let known = self.upstreams.get(&upstream);
        known.is_some_and(|known| known.is_slow)
    }

    /// Requests that an upstream should get relative to one that is not slow: its pace while it is
    /// slow, or else 1. A fast one gets no more than usual, so a pace that is overstated attracts
    /// nothing.
    #[must_use]
    pub fn share(&self, upstream: UpstreamKey) -> Pace {
        match self.is_slow(upstream) {
            true => self.pace(upstream),
            false => Pace::USUAL,
        }
    }

    /// This daemon's own samples for the other daemons, sorted by upstream. Empty unless some
    /// upstream's pace is known to differ from the usual one.
    #[must_use]
    pub fn reports(&self, now: Time) -> Vec<PaceReport> {
        let differs = |known: &Known| (known.pace.get() - 1.0).abs() > SENT_FROM_DIFFERENCE;
        if !self.upstreams.values().any(differs) {
            return Vec::new();
        }
        let sampled = self.upstreams.iter().filter_map(|(upstream, known)| {
            let weight = known.own.weight(now);
            let report = PaceReport::new(*upstream, known.own.pace(), weight);
            (weight >= MIN_REPORTED_WEIGHT).then_some(report)
        });
        sampled.collect()
    }

    /// The range of the paces, as last computed.
    #[must_use]
    pub fn summary(&self) -> PaceSummary {
        let mut summary = PaceSummary::default();
        for known in self.upstreams.values() {
            if known.pace < summary.lowest {
                summary.lowest = known.pace;
            }
            if known.pace > summary.highest {
                summary.highest = known.pace;
            }
            summary.slow += usize::from(known.is_slow);
        }
        summary
    }
}
