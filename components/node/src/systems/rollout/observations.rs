//! A driver's observations: engines' reports, and how many requests each version was given.

use std::collections::{BTreeMap, VecDeque};

use ::catalogue::entry::{Rollout, Upstream};
use ::quality::{Dump, Phase};
use ::rollout::observed::{Demand, Engine, Evidence};
use adminapi::rollout::UpstreamCounts;
use engine::LoadReport;
use types::prelude::*;

/// Delay before an engine that refused a load because it had no room may get another.
const FULL_RETRY_PAUSE: Span = Span::from_secs(60);
/// The demand is divided between the versions like the requests given to them in this window.
const SERVED_WINDOW: Span = Span::from_secs(60);
const SERVED_SAMPLE_INTERVAL: Span = Span::from_secs(5);

/// Engines' reports and request counts for one model's roll-out.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    engines: BTreeMap<UpstreamId, EngineState>,
    served: VecDeque<ServedSample>,
}

#[derive(Debug)]
struct EngineState {
    failure_domain: FailureDomain,
    slots: u32,
    report: Option<(Time, LoadReport)>,
    full_until: Time,
}

/// Requests given to the two versions up to a time.
#[derive(Debug, Clone, Copy)]
struct ServedSample {
    at: Time,
    from: u64,
    to: u64,
}

impl Observations {
    /// Updates the engines to those of the catalogue, keeping what is known of them.
    pub(crate) fn set_upstreams(&mut self, upstreams: &[Upstream]) {
        if self.engines.len() == upstreams.len()
            && upstreams.iter().all(|u| self.engines.contains_key(&u.id))
        {
            return;
        }
        let mut before = std::mem::take(&mut self.engines);
        for upstream in upstreams {
            let state = before.remove(&upstream.id).unwrap_or_else(|| EngineState {
                failure_domain: upstream.failure_domain.clone(),
                slots: upstream.slots,
                report: None,
                full_until: Time::ZERO,
            });
            self.engines.insert(upstream.id.clone(), state);
        }
    }

    /// Records an engine's report.
    pub(crate) fn report(&mut self, now: Time, id: UpstreamId, report: LoadReport) {
        if let Some(state) = self.engines.get_mut(&id) {
            state.report = Some((now, report));
        }
    }

    /// Records that an engine has no room for another version.
    pub(crate) fn full(&mut self, now: Time, id: UpstreamId) {
        if let Some(state) = self.engines.get_mut(&id) {
            state.full_until = now + FULL_RETRY_PAUSE;
        }
    }

    /// The engines in the form that the driver takes.
    pub(crate) fn engines(&self, now: Time, model: &ModelName) -> Vec<Engine> {
        let engines = self.engines.iter();
        engines
            .map(|(id, state)| engine(now, model, id, state))
            .collect()
    }

    /// Requests that run and wait. The total comes from the engines' reports; the versions' shares
    /// follow the requests that this daemon recently gave to each.
    pub(crate) fn demand(&self, now: Time) -> Demand {
        let reports = self
            .engines
            .values()
            .filter_map(|state| state.report.as_ref());
        let work = reports.map(|(_, report)| f64::from(report.running + report.waiting));
        let total: f64 = work.sum();
        let first = self.served.front();
        let Some((first, last)) = first.zip(self.served.back()) else {
            return Demand {
                from: total,
                to: 0.0,
            };
        };
        let to = last.to.saturating_sub(first.to) as f64;
        let from = last.from.saturating_sub(first.from) as f64;
        // Nothing was served here recently: all that runs counts for both, to be on the safe side.
        if to + from == 0.0 || now.since(last.at) > SERVED_WINDOW {
            return Demand {
                from: total,
                to: total,
            };
        }
        let part = to / (to + from);
        Demand {
            from: total * (1.0 - part),
            to: total * part,
        }
    }

    /// Samples how many requests the versions were given, every [`SERVED_SAMPLE_INTERVAL`].
    pub(crate) fn note_served(
        &mut self,
        now: Time,
        model: &ModelName,
        rollout: &Rollout,
        quality: &Dump,
    ) {
        if self
            .served
            .back()
            .is_some_and(|last| now.since(last.at) < SERVED_SAMPLE_INTERVAL)
        {
            return;
        }
        let count_served = |version: &VersionName| {
            let version = VersionId::new(model.clone(), version.clone());
            let streams = quality.streams.iter().filter(|s| s.version == version);
            streams.map(|stream| stream.served).sum()
        };
        self.served.push_back(ServedSample {
            at: now,
            from: count_served(&rollout.from),
            to: count_served(&rollout.to),
        });
        let old = |served: &ServedSample| now.since(served.at) > SERVED_WINDOW;
        while self.served.front().is_some_and(old) {
            self.served.pop_front();
        }
    }

    /// Counts the engines by the versions of a roll-out that they have ready or are loading.
    pub(crate) fn counts(&self, model: &ModelName, rollout: &Rollout) -> UpstreamCounts {
        let reports = || {
            self.engines
                .values()
                .filter_map(|state| state.report.as_ref())
        };
        let version = |name: &VersionName| VersionId::new(model.clone(), name.clone());
        let (old, new) = (version(&rollout.from), version(&rollout.to));
        UpstreamCounts {
            total: self.engines.len(),
            new_ready: reports().filter(|(_, r)| r.versions.contains(&new)).count(),
            loading: reports().filter(|(_, r)| r.loading.contains(&new)).count(),
            old_ready: reports().filter(|(_, r)| r.versions.contains(&old)).count(),
        }
    }

    /// The engines' state, for the dump.
    pub(crate) fn dump(&self, now: Time) -> serde_json::Value {
        let engines = self.engines.iter().map(|(id, state)| {
            let report = state.report.as_ref();
            let dumped = serde_json::json!({
                "report_age": report.map(|(at, _)| now.since(*at)),
                "versions": report.map(|(_, r)| &r.versions),
                "loading": report.map(|(_, r)| &r.loading),
            });
            (id.to_string(), dumped)
        });
        serde_json::Value::Object(engines.collect())
    }
}

fn engine(now: Time, model: &ModelName, id: &UpstreamId, state: &EngineState) -> Engine {
    let report = state.report.as_ref().map(|(_, report)| report);
    let names = |versions: &Vec<VersionId>| {
        let ours = versions.iter().filter(|v| v.model == *model);
        ours.map(|v| v.version.clone()).collect::<Vec<_>>()
    };
    Engine {
        id: id.clone(),
        failure_domain: state.failure_domain.clone(),
        slots: report.map_or(state.slots, |r| r.slots),
        read_at: state.report.as_ref().map(|(at, _)| *at),
        ready: report.map_or_else(Vec::new, |r| names(&r.versions)),
        loading: report.map_or_else(Vec::new, |r| names(&r.loading)),
        leaving: report.is_some_and(|r| r.leaving),
        is_full: !now.has_reached(state.full_until),
    }
}

/// The evidence on the answers of a roll-out's versions.
pub(crate) fn evidence(model: &ModelName, rollout: &Rollout, quality: &Dump) -> Evidence {
    let streams = |version: &VersionName| {
        let version = VersionId::new(model.clone(), version.clone());
        quality.streams.iter().filter(move |s| s.version == version)
    };
    let suspended = |version| streams(version).any(|s| s.phase == Phase::Suspended);
    let ratings: f64 = streams(&rollout.to).map(|s| s.ratings).sum();
    Evidence {
        ratings: ratings as u64,
        new_suspended: suspended(&rollout.to),
        old_suspended: suspended(&rollout.from),
    }
}
