//! What one daemon knows of the upstreams.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use routes::{Upstream, UpstreamState};
use types::prelude::*;

use crate::health::{Ending, Health};
use crate::pace::Pace;

/// Prefixes remembered of one upstream; its memory holds some hundred of this length.
const MAX_PREFIXES: usize = 2_048;
/// First guess of an engine's time for a token of the prompt, in ms.
const FIRST_TOKEN_MS: f64 = 0.02;
/// First guess of a plain service's time, in ms.
const FIRST_PLAIN_MS: f64 = 50.0;
/// Time of an engine that does not depend on the prompt, in ms.
pub(crate) const ENGINE_BASE_MS: f64 = 20.0;
/// Weight of a new figure in the means of a service.
const MEAN_WEIGHT: f64 = 0.05;

/// One run of an upstream, as long as it is listed or has work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamIndex(u64);

/// What a request means for an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Tokens to be read that the upstream is not known to hold.
    pub missing: u32,
    /// Expected time until it answers, in ms, at an upstream of ordinary pace.
    pub expected_ms: f64,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) spec: Arc<Upstream>,
    pub(crate) health: Health,
    pub(crate) pace: Pace,
    pub(crate) in_flight: u32,
    /// Expected time of what was sent and has not begun to answer, in ms.
    pub(crate) backlog_ms: f64,
    /// Prefixes that were sent there, by a hash of model and parts, and when.
    pub(crate) prefixes: HashMap<u64, Time>,
    /// Not to be chosen any more: draining, gone, or replaced at its address.
    pub(crate) is_leaving: bool,
    is_listed: bool,
}

/// Means over a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceMeans {
    pub(crate) plain_ms: f64,
    good: f64,
    bad: f64,
}

/// What one daemon knows of the upstreams.
#[derive(Debug, Default)]
pub struct Upstreams {
    pub(crate) entries: BTreeMap<UpstreamIndex, Entry>,
    pub(crate) by_service: HashMap<Arc<str>, Vec<UpstreamIndex>>,
    by_id: HashMap<UpstreamId, UpstreamIndex>,
    pub(crate) means: HashMap<Arc<str>, ServiceMeans>,
    /// Time of a prompt's token by model, in ms.
    pub(crate) token_ms: HashMap<Arc<str>, f64>,
    next: u64,
}

impl Upstreams {
    /// Takes the present list. Who is no longer on it gets nothing new.
    pub fn configure(&mut self, listed: &[Arc<Upstream>]) {
        for entry in self.entries.values_mut() {
            entry.is_listed = false;
        }
        for spec in listed {
            self.list(spec);
        }
        for entry in self.entries.values_mut() {
            entry.is_leaving |= !entry.is_listed;
        }
        self.forget_idle();
    }

    fn list(&mut self, spec: &Arc<Upstream>) {
        let is_draining = spec.state == UpstreamState::Draining;
        if let Some(entry) = self
            .by_id
            .get(&spec.id)
            .and_then(|i| self.entries.get_mut(i))
        {
            entry.is_listed = true;
            // An entry that lapsed while the store was away comes back with its upstream,
            // so being listed as ready again lifts what its absence meant.
            entry.is_leaving = is_draining;
            entry.spec = Arc::clone(spec);
            return;
        }
        let index = UpstreamIndex(self.next);
        self.next += 1;
        let entry = Entry {
            spec: Arc::clone(spec),
            health: Health::default(),
            pace: Pace::default(),
            in_flight: 0,
            backlog_ms: 0.0,
            prefixes: HashMap::new(),
            is_leaving: is_draining,
            is_listed: true,
        };
        self.entries.insert(index, entry);
        self.by_id.insert(spec.id.clone(), index);
        let service = self.by_service.entry(spec.service.clone()).or_default();
        service.push(index);
    }

    /// Drops entries that are neither listed nor at work.
    fn forget_idle(&mut self) {
        let entries = &mut self.entries;
        entries.retain(|_, entry| entry.is_listed || entry.in_flight > 0);
        self.by_id.retain(|_, index| entries.contains_key(index));
        for indices in self.by_service.values_mut() {
            indices.retain(|index| entries.contains_key(index));
        }
    }

    /// What is known of an upstream from the list.
    #[must_use]
    pub fn spec(&self, index: UpstreamIndex) -> Option<&Arc<Upstream>> {
        self.entries.get(&index).map(|entry| &entry.spec)
    }

    /// Upstreams of a service that take new work: all, and those of one version.
    #[must_use]
    pub fn ready(&self, service: &str, version: &str) -> (usize, usize) {
        let indices = self.by_service.get(service).into_iter().flatten();
        let entries = indices.filter_map(|index| self.entries.get(index));
        let ready = entries.filter(|entry| !entry.is_leaving);
        ready.fold((0, 0), |(all, of), entry| {
            (all + 1, of + usize::from(*entry.spec.version == *version))
        })
    }

    /// Requests out at a service, and how many its upstreams can run.
    #[must_use]
    pub fn fill(&self, service: &str) -> (u32, u32) {
        let indices = self.by_service.get(service).into_iter().flatten();
        let entries = indices.filter_map(|index| self.entries.get(index));
        entries.fold((0, 0), |(out, slots), entry| {
            (out + entry.in_flight, slots + entry.spec.slots)
        })
    }

    /// Notes that a request goes to an upstream.
    pub fn started(&mut self, now: Time, index: UpstreamIndex, load: &Load, prefixes: &[u64]) {
        let Some(entry) = self.entries.get_mut(&index) else {
            return;
        };
        entry.in_flight += 1;
        entry.backlog_ms += load.expected_ms;
        entry.health.chosen();
        if entry.prefixes.len() + prefixes.len() > MAX_PREFIXES {
            entry.prefixes.clear();
        }
        entry
            .prefixes
            .extend(prefixes.iter().map(|hash| (*hash, now)));
    }

    /// Notes that a request begins to be answered.
    pub fn answering(
        &mut self,
        index: UpstreamIndex,
        load: &Load,
        model: Option<&Arc<str>>,
        ms: f64,
    ) {
        let Some(entry) = self.entries.get_mut(&index) else {
            return;
        };
        entry.backlog_ms = (entry.backlog_ms - load.expected_ms).max(0.0);
        entry.pace.note(ms, load.expected_ms);
        match model {
            Some(model) => {
                let per_token = (ms - ENGINE_BASE_MS).max(1.0) / f64::from(load.missing.max(200));
                let mean = self.token_ms.entry(model.clone()).or_insert(FIRST_TOKEN_MS);
                // One that waited behind others says little of the token's own time.
                *mean += MEAN_WEIGHT * (per_token.min(*mean * 4.0) - *mean);
            }
            None => {
                let service = entry.spec.service.clone();
                let mean = &mut means_of(&mut self.means, &service).plain_ms;
                *mean += MEAN_WEIGHT * (ms.min(*mean * 4.0) - *mean);
            }
        }
    }

    /// Notes a request's end. `began` says whether [`Upstreams::answering`] was noted.
    pub fn ended(
        &mut self,
        now: Time,
        index: UpstreamIndex,
        load: &Load,
        began: bool,
        ending: Ending,
    ) {
        let Some(entry) = self.entries.get_mut(&index) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        if !began {
            entry.backlog_ms = (entry.backlog_ms - load.expected_ms).max(0.0);
        }
        let service = entry.spec.service.clone();
        let means = means_of(&mut self.means, &service);
        means.note(ending);
        let peers_share = means.bad_share();
        entry.health.note(now, ending, peers_share);
        entry.is_leaving |= ending == Ending::Replaced;
        if entry.in_flight == 0 && !entry.is_listed {
            self.forget_idle();
        }
    }

    /// Notes an upstream's own sign that it leaves, before the list says so.
    pub fn leaving(&mut self, index: UpstreamIndex) {
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.is_leaving = true;
        }
    }

    /// Expected time of a token of the prompt, in ms.
    pub(crate) fn token_ms(&self, model: Option<&Arc<str>>) -> f64 {
        let learnt = model.and_then(|model| self.token_ms.get(model));
        learnt.copied().unwrap_or(FIRST_TOKEN_MS)
    }

    /// Expected time of a plain service, in ms.
    pub(crate) fn plain_ms(&self, service: &str) -> f64 {
        let means = self.means.get(service);
        means.map_or(FIRST_PLAIN_MS, |means| means.plain_ms)
    }
}

fn means_of<'a>(
    means: &'a mut HashMap<Arc<str>, ServiceMeans>,
    service: &Arc<str>,
) -> &'a mut ServiceMeans {
    means.entry(service.clone()).or_insert(ServiceMeans {
        plain_ms: FIRST_PLAIN_MS,
        good: 1.0,
        bad: 0.0,
    })
}

impl ServiceMeans {
    fn note(&mut self, ending: Ending) {
        let (good, bad) = match ending {
            Ending::Good => (1.0, 0.0),
            Ending::Failed | Ending::Broken | Ending::Silent => (0.0, 1.0),
            _ => return,
        };
        self.good += MEAN_WEIGHT * (good - self.good);
        self.bad += MEAN_WEIGHT * (bad - self.bad);
    }

    fn bad_share(&self) -> f64 {
        self.bad / (self.good + self.bad).max(f64::EPSILON)
    }
}
