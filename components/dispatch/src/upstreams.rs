//! The upstreams as one daemon knows them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use pace::{Baseline, Pace, Paces};
use poison::UpstreamInstance;
use ratelimit::{InstanceKey, Lenders, RateLimits};
use routes::{Upstream, UpstreamState};
use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backlog::Backlog;
use crate::brittle::{BrittleServices, Window};
use crate::cold::{ColdStarts, ColdUntil, apply_cold_time};
use crate::even_load::{EntryBalance, EvenLoad};
use crate::health::{Health, UpstreamOutcome};
use crate::means::{DEFAULT_PLAIN_MS, MEAN_WEIGHT, ServiceMeans, means_of};
use crate::pace::ANSWER_KINDS;
use crate::policy::PlacingPolicy;
use crate::prefill::PrefillTimes;
use crate::sends::SendCounts;

/// Models that one upstream answered with, or rejected, that are remembered; an engine holds a few.
const MAX_MODELS: usize = 16;
/// How long an upstream that rejected a model is avoided for it.
const MODEL_REJECTION: Span = Span::from_secs(2);
/// Prefixes remembered per upstream; an engine's cache holds some hundred of them.
const MAX_PREFIXES: usize = 2_048;
/// Part of an engine's time to the first event that does not depend on the prompt, in ms.
pub(crate) const ENGINE_BASE_MS: f64 = 20.0;
/// Prefills of fewer tokens are not sampled: they say little about the time per token.
const MIN_SAMPLE_TOKENS: u32 = 500;
/// Identifies one instance of an upstream while it is listed or has outstanding requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamIndex(u64);

/// Load that a request adds to an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Tokens to prefill that the upstream is not known to have cached.
    pub uncached_tokens: u32,
    /// Those of them in parts that other requests share.
    pub uncached_shared_tokens: u32,
    /// Expected time until the first event once the upstream starts on the request, in ms.
    pub expected_ms: f64,
    /// The same if the upstream had nothing of the prompt cached, in ms.
    pub expected_uncached_ms: f64,
    /// Expected time until the upstream starts on the request, in ms.
    pub wait_ms: f64,
    /// Whether the upstream is an engine.
    pub is_engine: bool,
}

/// Identifies a request that was sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub(crate) u64);

/// The start of an answer.
#[derive(Debug)]
pub struct AnswerStart<'a> {
    /// The upstream that answers.
    pub index: UpstreamIndex,
    /// The request that is answered.
    pub ticket: Ticket,
    /// Load that was expected when the request was sent.
    pub load: &'a Load,
    /// The model; `None` for services that are not engines.
    pub model: Option<&'a Arc<str>>,
    /// Time from sending the request to the start of the answer, in ms.
    pub elapsed_ms: f64,
}

/// An upstream as this daemon last knew it.
#[derive(Debug, Clone)]
pub struct LastSeen {
    /// Identifies the upstream's instance.
    pub index: UpstreamIndex,
    /// The upstream's entry in the list.
    pub spec: Arc<Upstream>,
    /// When anything was last read from it.
    pub heard_at: Time,
}

impl LastSeen {
    /// Identifies the upstream's instance to other daemons.
    #[must_use]
    pub fn instance(&self) -> UpstreamInstance {
        UpstreamInstance {
            id: self.spec.id.clone(),
            started_at: self.spec.started_at,
        }
    }
}

/// One daemon's outstanding requests at an upstream, in compact form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedLoad {
    /// Hash of the upstream's id and start, see [`instance_key`].
    pub upstream: u32,
    /// Expected time of the requests whose answers have not started, in ms.
    pub backlog_ms: u16,
    /// Number of outstanding requests.
    pub in_flight: u16,
}

/// Hashes the id and start of an upstream's instance to four bytes. The start is included so
/// that requests outstanding at a former instance do not count as load of the next.
#[must_use]
pub fn instance_key(id: &UpstreamId, started_at: Option<WallTime>) -> InstanceKey {
    let started_at = started_at.map_or(0, |at| at.0);
    InstanceKey(xxh3_64_with_seed(id.as_str().as_bytes(), started_at) as u32)
}

/// Whether two entries of an upstream are of one run of its program, at one address and for one
/// service.
fn is_same_instance(known: &Upstream, listed: &Upstream) -> bool {
    known.started_at == listed.started_at
        && known.address == listed.address
        && known.service == listed.service
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) spec: Arc<Upstream>,
    pub(crate) instance: InstanceKey,
    pub(crate) health: Health,
    pub(crate) in_flight: u32,
    /// Those of them that were sent by other daemons' shares.
    pub(crate) leased: u32,
    /// Requests of other daemons in flight there that were sent by this daemon's share.
    pub(crate) lent: u32,
    /// This daemon's requests there whose answers have not started.
    pub(crate) backlog: Backlog,
    /// The load by other daemons, as last reported.
    pub(crate) remote: RemoteLoad,
    /// What the choice by even load knows of it.
    pub(crate) balance: EntryBalance,
    /// When anything was last read from it.
    pub(crate) heard_at: Time,
    /// Since when this daemon has had requests outstanding there without a break.
    busy_since: Time,
    /// Hashes of the model and the prompt prefixes sent there, with the time of sending.
    pub(crate) prefixes: HashMap<u64, Time>,
    /// It refused a request and asked for no further one before this time.
    pub(crate) backoff_until: Time,
    /// What this daemon may have in flight there while it is brittle.
    pub(crate) window: Window,
    /// Gets no new requests: it is draining or not listed, or announced itself that it leaves.
    pub(crate) is_leaving: bool,
    /// Another instance has its address, so this one is gone even if it is still listed.
    is_replaced: bool,
    /// Models that it has answered with, at most [`MAX_MODELS`].
    answered_models: Vec<Arc<str>>,
    /// Models that it rejected, at most [`MAX_MODELS`], and until when it is avoided for them.
    rejected_models: Vec<(Arc<str>, Time)>,
    is_listed: bool,
    /// Its failure domain gets no new requests.
    pub(crate) is_evacuated: bool,
    /// Sends for admission control.
    pub(crate) sends: SendCounts,
    /// When it stops being cold.
    pub(crate) cold_until: ColdUntil,
    /// Its share of the requests relative to others: its pace while it is slow, or else 1.
    pub(crate) pace: Pace,
    /// When the last answer to a long prompt began there.
    pub(crate) long_prefill_until: Time,
}

impl Entry {
    /// Whether it still runs, as far as is known.
    pub(crate) fn is_current(&self) -> bool {
        self.is_listed && !self.is_replaced
    }

    fn record_health(
        &mut self,
        now: Time,
        outcome: UpstreamOutcome,
        means: &mut HashMap<Arc<str>, ServiceMeans>,
    ) {
        let means = means_of(means, &self.spec.service);
        means.record(outcome);
        self.health.record(now, outcome, means.failure_share());
    }

    fn note_model(&mut self, model: Option<&Arc<str>>) {
        let known = &mut self.answered_models;
        if let Some(model) = model.filter(|model| !known.contains(model))
            && known.len() < MAX_MODELS
        {
            known.push(Arc::clone(model));
        }
    }

    /// Whether it rejected a model a moment ago.
    pub(crate) fn rejects_model(&self, now: Time, model: Option<&Arc<str>>) -> bool {
        let mut rejected = self.rejected_models.iter();
        rejected.any(|(rejected, until)| model == Some(rejected) && now < *until)
    }

    fn last_seen(&self, index: UpstreamIndex) -> LastSeen {
        LastSeen {
            index,
            spec: Arc::clone(&self.spec),
            heard_at: self.heard_at,
        }
    }

    /// How long it has had requests of this daemon outstanding without sending anything on any
    /// connection, in ms.
    pub(crate) fn silent_ms(&self, now: Time) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        let since = self.heard_at.max(self.busy_since);
        now.since(since).as_secs_f64() * 1_000.0
    }
}

/// Requests that other daemons have outstanding at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct RemoteLoad {
    pub(crate) backlog_ms: f64,
    pub(crate) in_flight: u32,
}

/// The upstreams as one daemon knows them.
#[derive(Debug, Default)]
pub struct Upstreams {
    pub(crate) policy: PlacingPolicy,
    pub(crate) entries: BTreeMap<UpstreamIndex, Entry>,
    pub(crate) by_service: HashMap<Arc<str>, Vec<UpstreamIndex>>,
    by_id: HashMap<UpstreamId, UpstreamIndex>,
    pub(crate) means: HashMap<Arc<str>, ServiceMeans>,
    /// Prefill times by model.
    prefill_times: HashMap<Arc<str>, PrefillTimes>,
    /// Rate limits that upstreams advertise.
    pub(crate) limits: RateLimits,
    /// When other daemons may lend requests by their shares.
    pub(crate) lenders: Lenders,
    pub(crate) brittle: BrittleServices,
    pub(crate) cold: ColdStarts,
    pub(crate) paces: Paces,
    /// Ratios of measured to expected times that are usual, by model and kind of answer.
    pub(crate) usual: HashMap<Arc<str>, [Baseline; ANSWER_KINDS]>,
    pub(crate) even_load: EvenLoad,
    pub(crate) evacuated: Arc<BTreeSet<FailureDomain>>,
    next_index: u64,
    next_ticket: u64,
}

impl Upstreams {
    /// Creates an empty table whose choices follow this policy.
    #[must_use]
    pub fn new(policy: PlacingPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Replaces the list of upstreams. Those no longer listed get no new requests. Returns
    /// those that disappeared without having announced that they leave.
    pub fn configure(&mut self, now: Time, listed: &[Arc<Upstream>]) -> Vec<LastSeen> {
        for entry in self.entries.values_mut() {
            entry.is_listed = false;
        }
        for spec in listed {
            self.upsert(now, spec);
        }
        // A run whose entry names another address or service now has not ended: reported as gone,
        // it would count as crashed if one of its connections broke before.
        let starts = listed.iter().map(|spec| (&spec.id, spec.started_at));
        let starts = starts.collect::<HashMap<_, _>>();
        let has_moved = |spec: &Upstream| {
            spec.started_at.is_some() && starts.get(&spec.id) == Some(&spec.started_at)
        };
        let mut gone = Vec::new();
        for (index, entry) in &mut self.entries {
            if !entry.is_listed && !entry.is_leaving && !has_moved(&entry.spec) {
                gone.push(entry.last_seen(*index));
            }
            entry.is_leaving |= !entry.is_listed;
        }
        self.forget_idle();
        self.list_paces();
        gone
    }

    /// Returns what is known of an upstream.
    #[must_use]
    pub fn last_seen(&self, index: UpstreamIndex) -> Option<LastSeen> {
        let entry = self.entries.get(&index)?;
        Some(entry.last_seen(index))
    }

    /// Finds an instance of an upstream by its id and start. Of several, it is the last one listed.
    #[must_use]
    pub fn find(&self, id: &UpstreamId, started_at: Option<WallTime>) -> Option<LastSeen> {
        let is_match = |entry: &Entry| entry.spec.id == *id && entry.spec.started_at == started_at;
        let mut entries = self.entries.iter().rev();
        let (index, entry) = entries.find(|(_, entry)| is_match(entry))?;
        Some(entry.last_seen(*index))
    }

    /// Whether an upstream gets no new requests: it announced that it leaves, or is no longer
    /// listed.
    #[must_use]
    pub fn is_leaving(&self, index: UpstreamIndex) -> bool {
        self.entries
            .get(&index)
            .is_none_or(|entry| entry.is_leaving)
    }

    /// Adds or updates a listed upstream.
    ///
    /// An upstream that restarts under its id gets an entry of its own, since the state of the
    /// former instance does not apply to it: cached prompts, backlog, health, leaving, and pooled
    /// connections, which are stored by index. The same holds for one whose entry names another
    /// address or service: it may tell no start, and is kept in the list of its service.
    fn upsert(&mut self, now: Time, spec: &Arc<Upstream>) {
        let is_draining = spec.state == UpstreamState::Draining;
        let is_evacuated = self.evacuated.contains(&spec.failure_domain);
        let known = self.by_id.get(&spec.id);
        let known = known.and_then(|index| self.entries.get_mut(index));
        if let Some(entry) = known.filter(|entry| is_same_instance(&entry.spec, spec)) {
            entry.is_listed = true;
            // An entry that lapsed while the store was unreachable comes back with its
            // upstream, so being listed as ready again undoes the effect of its absence.
            entry.is_leaving = is_draining || entry.is_replaced;
            entry.is_evacuated = is_evacuated;
            let is_new_spec = !Arc::ptr_eq(&entry.spec, spec);
            entry.spec = Arc::clone(spec);
            if is_new_spec {
                apply_cold_time(&mut self.limits, &self.cold, now, entry, !is_evacuated);
            }
            return;
        }
        let index = UpstreamIndex(self.next_index);
        self.next_index += 1;
        let mut entry = Entry {
            spec: Arc::clone(spec),
            instance: instance_key(&spec.id, spec.started_at),
            health: Health::default(),
            in_flight: 0,
            leased: 0,
            lent: 0,
            backlog: Backlog::default(),
            remote: RemoteLoad::default(),
            balance: EntryBalance::new(now),
            heard_at: Time::ZERO,
            busy_since: Time::ZERO,
            prefixes: HashMap::new(),
            backoff_until: Time::ZERO,
            window: Window::default(),
            is_leaving: is_draining,
            is_replaced: false,
            answered_models: Vec::new(),
            rejected_models: Vec::new(),
            is_listed: true,
            is_evacuated,
            sends: SendCounts::default(),
            cold_until: ColdUntil::default(),
            pace: Pace::USUAL,
            long_prefill_until: Time::ZERO,
        };
        apply_cold_time(&mut self.limits, &self.cold, now, &mut entry, false);
        self.entries.insert(index, entry);
        self.by_id.insert(spec.id.clone(), index);
        let service = self.by_service.entry(spec.service.clone()).or_default();
        service.push(index);
    }

    /// Drops entries that are neither listed nor have outstanding requests.
    fn forget_idle(&mut self) {
        let entries = &mut self.entries;
        entries.retain(|_, entry| entry.is_listed || entry.in_flight > 0);
        self.by_id.retain(|_, index| entries.contains_key(index));
        for indices in self.by_service.values_mut() {
            indices.retain(|index| entries.contains_key(index));
        }
    }

    /// Returns an upstream's entry in the list.
    #[must_use]
    pub fn spec(&self, index: UpstreamIndex) -> Option<&Arc<Upstream>> {
        self.entries.get(&index).map(|entry| &entry.spec)
    }

    /// Records that a request is sent to an upstream by this daemon's share; the returned ticket
    /// identifies it from then on.
    pub fn record_start(
        &mut self,
        now: Time,
        index: UpstreamIndex,
        load: &Load,
        prefixes: &[u64],
    ) -> Ticket {
        if let Some(entry) = self.entries.get(&index) {
            self.limits.take(now, entry.instance);
        }
        self.add_in_flight(now, index, load, prefixes)
    }

    pub(crate) fn add_in_flight(
        &mut self,
        now: Time,
        index: UpstreamIndex,
        load: &Load,
        prefixes: &[u64],
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let Some(entry) = self.entries.get_mut(&index) else {
            return ticket;
        };
        if entry.in_flight == 0 {
            entry.busy_since = now;
        }
        entry.sends.count_in_flight(now, entry.in_flight);
        entry.in_flight += 1;
        let known = prefixes.last();
        let is_cache_known = known.is_none_or(|prefix| entry.prefixes.contains_key(prefix));
        entry
            .backlog
            .push(now, ticket.0, load.expected_ms, is_cache_known);
        entry
            .balance
            .record_start(now, entry.in_flight, load.is_engine);
        entry.health.note_chosen();
        if entry.prefixes.len() + prefixes.len() > MAX_PREFIXES {
            entry.prefixes.clear();
        }
        entry
            .prefixes
            .extend(prefixes.iter().map(|hash| (*hash, now)));
        ticket
    }

    /// Records that something was read from an upstream.
    pub fn record_received(&mut self, now: Time, index: UpstreamIndex) {
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.heard_at = now;
        }
    }

    /// When anything was last read from an upstream.
    #[must_use]
    pub fn heard_at(&self, index: UpstreamIndex) -> Time {
        let entry = self.entries.get(&index);
        entry.map_or(Time::ZERO, |entry| entry.heard_at)
    }

    /// How long an upstream has sent nothing on any connection, counted from `since` at the
    /// earliest.
    #[must_use]
    pub fn silent_for(&self, now: Time, index: UpstreamIndex, since: Time) -> Span {
        let heard_at = self.entries.get(&index).map(|entry| entry.heard_at);
        now.since(heard_at.unwrap_or_default().max(since))
    }

    /// Records that an upstream does not take requests for this model, or for none where none is
    /// named; returns how the request ended. One that never answered with the model may only lack
    /// it, and is avoided for it for a while; any other has another instance at its address.
    pub fn record_misdirected(
        &mut self,
        now: Time,
        index: UpstreamIndex,
        model: Option<&Arc<str>>,
    ) -> UpstreamOutcome {
        let Some(entry) = self.entries.get_mut(&index) else {
            return UpstreamOutcome::Replaced;
        };
        let Some(model) = model.filter(|model| !entry.answered_models.contains(model)) else {
            return UpstreamOutcome::Replaced;
        };
        let rejected = &mut entry.rejected_models;
        rejected.retain(|(known, until)| known != model && now < *until);
        if rejected.len() < MAX_MODELS {
            rejected.push((Arc::clone(model), now + MODEL_REJECTION));
        }
        UpstreamOutcome::Refused
    }

    /// Records the start of an answer.
    pub fn record_answer_start(&mut self, now: Time, start: &AnswerStart<'_>) {
        let Some(entry) = self.entries.get_mut(&start.index) else {
            return;
        };
        let is_cache_known = entry.backlog.is_cache_known(start.ticket.0);
        entry.note_model(start.model);
        entry.backlog.remove(now, start.ticket.0);
        entry.heard_at = now;
        let load = start.load;
        let service = entry.spec.service.clone();
        if entry.is_cold(now) {
            let expected_ms = (load.wait_ms + load.expected_ms).max(1.0);
            self.record_cold_sample(&service, start.elapsed_ms / expected_ms);
            return;
        }
        self.record_pace(now, start, is_cache_known);
        match start.model {
            Some(model)
                if load.uncached_tokens >= MIN_SAMPLE_TOKENS && load.wait_ms < ENGINE_BASE_MS =>
            {
                let prefill_times = self.prefill_times.entry(model.clone()).or_default();
                prefill_times.record(
                    load.uncached_tokens,
                    (start.elapsed_ms - ENGINE_BASE_MS).max(1.0),
                );
            }
            Some(_) => {}
            None => {
                let mean = &mut means_of(&mut self.means, &service).plain_ms;
                *mean += MEAN_WEIGHT * (start.elapsed_ms.min(*mean * 4.0) - *mean);
            }
        }
    }

    /// Records the end of a request.
    pub fn record_end(
        &mut self,
        now: Time,
        index: UpstreamIndex,
        ticket: Ticket,
        outcome: UpstreamOutcome,
    ) {
        let Some(entry) = self.entries.get_mut(&index) else {
            return;
        };
        entry.sends.count_in_flight(now, entry.in_flight);
        entry.sends.count_end(outcome);
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.balance.record_end(now, entry.in_flight);
        if outcome == UpstreamOutcome::Good {
            entry.window.record_answer();
        }
        entry.backlog.remove(now, ticket.0);
        entry.record_health(now, outcome, &mut self.means);
        entry.is_replaced |= outcome == UpstreamOutcome::Replaced;
        entry.is_leaving |= entry.is_replaced;
        if entry.in_flight == 0 && !entry.is_listed {
            self.forget_idle();
        }
    }

    /// Records that an upstream has been silent for too long on a request, which goes on.
    pub fn record_silence(&mut self, now: Time, index: UpstreamIndex) {
        let Some(entry) = self.entries.get_mut(&index) else {
            return;
        };
        entry.record_health(now, UpstreamOutcome::Silent, &mut self.means);
    }

    /// Returns this daemon's outstanding requests for the other daemons; idle upstreams are
    /// left out.
    #[must_use]
    pub fn own_loads(&self, now: Time) -> Vec<SharedLoad> {
        let busy = self.entries.values().filter(|entry| entry.in_flight > 0);
        let loads = busy.map(|entry| SharedLoad {
            upstream: entry.instance.0,
            backlog_ms: entry.backlog.wait_ms(now).min(f64::from(u16::MAX)) as u16,
            in_flight: u16::try_from(entry.in_flight).unwrap_or(u16::MAX),
        });
        loads.collect()
    }

    /// Sets the sums of all other daemons' backlogs, in ms, and outstanding requests, by
    /// instance key.
    pub fn set_remote_loads(&mut self, loads: &HashMap<u32, (f64, u32)>) {
        if !self.policy.counts_others {
            return;
        }
        for entry in self.entries.values_mut() {
            let load = loads.get(&entry.instance.0).copied();
            let (backlog_ms, in_flight) = load.unwrap_or_default();
            entry.remote = RemoteLoad {
                backlog_ms,
                in_flight,
            };
        }
    }

    /// Expected time to prefill `tokens` tokens, in ms.
    pub(crate) fn prefill_ms(&self, model: Option<&Arc<str>>, tokens: f64) -> f64 {
        let learned = model.and_then(|model| self.prefill_times.get(model).copied());
        tokens * learned.unwrap_or_default().token_ms(tokens as u32)
    }

    /// Expected time of a plain service's answer, in ms.
    pub(crate) fn plain_ms(&self, service: &str) -> f64 {
        let means = self.means.get(service);
        means.map_or(DEFAULT_PLAIN_MS, |means| means.plain_ms)
    }
}
