//! What a driver sees: engines' reports, and who serves how much.

use std::collections::{BTreeMap, VecDeque};

use ::catalogue::entry::{Rollout, Upstream};
use ::quality::{Dump, Phase};
use ::rollout::observed::{Demand, Engine, Evidence};
use adminapi::rollout::UpstreamCounts;
use engine::LoadReport;
use types::prelude::*;

/// An engine without room is not asked again for so long.
const FULL_FOR: Span = Span::from_secs(60);
/// The versions' parts of the demand are those of the requests of so long.
const SERVED_WINDOW: Span = Span::from_secs(60);
const SERVED_EVERY: Span = Span::from_secs(5);

/// Reports and counts of one model's roll-out.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    engines: BTreeMap<UpstreamId, Known>,
    served: VecDeque<Served>,
}

#[derive(Debug)]
struct Known {
    failure_domain: FailureDomain,
    slots: u32,
    report: Option<(Time, LoadReport)>,
    full_until: Time,
}

/// Requests given to the two versions so far.
#[derive(Debug, Clone, Copy)]
struct Served {
    at: Time,
    from: u64,
    to: u64,
}

impl Seen {
    /// Follows the catalogue's list of engines.
    pub(crate) fn set_upstreams(&mut self, upstreams: &[Upstream]) {
        if self.engines.len() == upstreams.len()
            && upstreams.iter().all(|u| self.engines.contains_key(&u.id))
        {
            return;
        }
        let mut before = std::mem::take(&mut self.engines);
        for upstream in upstreams {
            let known = before.remove(&upstream.id).unwrap_or_else(|| Known {
                failure_domain: upstream.failure_domain.clone(),
                slots: upstream.slots,
                report: None,
                full_until: Time::ZERO,
            });
            self.engines.insert(upstream.id.clone(), known);
        }
    }

    /// Takes an engine's report.
    pub(crate) fn report(&mut self, now: Time, id: UpstreamId, report: LoadReport) {
        if let Some(known) = self.engines.get_mut(&id) {
            known.report = Some((now, report));
        }
    }

    /// An engine has no room for another version.
    pub(crate) fn full(&mut self, now: Time, id: UpstreamId) {
        if let Some(known) = self.engines.get_mut(&id) {
            known.full_until = now + FULL_FOR;
        }
    }

    /// The engines as the driver takes them.
    pub(crate) fn engines(&self, now: Time, model: &ModelName) -> Vec<Engine> {
        let engines = self.engines.iter();
        engines
            .map(|(id, known)| engine(now, model, id, known))
            .collect()
    }

    /// What runs and waits: all of it by the engines' reports, the versions' parts by what
    /// this daemon gave them of late.
    pub(crate) fn demand(&self, now: Time) -> Demand {
        let reports = self
            .engines
            .values()
            .filter_map(|known| known.report.as_ref());
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
        // Nothing served here of late: what runs is counted for both, to be on the safe side.
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

    /// Notes now and then how many requests the versions were given.
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
            .is_some_and(|last| now.since(last.at) < SERVED_EVERY)
        {
            return;
        }
        let given = |version: &VersionName| {
            let version = VersionId::new(model.clone(), version.clone());
            let streams = quality.streams.iter().filter(|s| s.version == version);
            streams.map(|stream| stream.served).sum()
        };
        self.served.push_back(Served {
            at: now,
            from: given(&rollout.from),
            to: given(&rollout.to),
        });
        let old = |served: &Served| now.since(served.at) > SERVED_WINDOW;
        while self.served.front().is_some_and(old) {
            self.served.pop_front();
        }
    }

    /// Engines by what they have of a roll-out's versions.
    pub(crate) fn counts(&self, model: &ModelName, rollout: &Rollout) -> UpstreamCounts {
        let reports = || {
            self.engines
                .values()
                .filter_map(|known| known.report.as_ref())
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
        let engines = self.engines.iter().map(|(id, known)| {
            let report = known.report.as_ref();
            let state = serde_json::json!({
                "report_age": report.map(|(at, _)| now.since(*at)),
                "versions": report.map(|(_, r)| &r.versions),
                "loading": report.map(|(_, r)| &r.loading),
            });
            (id.to_string(), state)
        });
        serde_json::Value::Object(engines.collect())
    }
}

fn engine(now: Time, model: &ModelName, id: &UpstreamId, known: &Known) -> Engine {
    let report = known.report.as_ref().map(|(_, report)| report);
    let names = |versions: &Vec<VersionId>| {
        let ours = versions.iter().filter(|v| v.model == *model);
        ours.map(|v| v.version.clone()).collect::<Vec<_>>()
    };
    Engine {
        id: id.clone(),
        failure_domain: known.failure_domain.clone(),
        slots: report.map_or(known.slots, |r| r.slots),
        read_at: known.report.as_ref().map(|(at, _)| *at),
        ready: report.map_or_else(Vec::new, |r| names(&r.versions)),
        loading: report.map_or_else(Vec::new, |r| names(&r.loading)),
        leaving: report.is_some_and(|r| r.leaving),
        is_full: !now.has_reached(known.full_until),
    }
}

/// What is known of the answers of a roll-out's versions.
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
