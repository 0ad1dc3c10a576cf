//! What one daemon knows of the upstreams.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use poison::UpstreamRun;
use ratelimit::{RateLimits, RunKey};
use routes::{Upstream, UpstreamState};
use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backlog::Backlog;
use crate::health::{Ending, Health};
use crate::policy::PlacingPolicy;
use crate::prefill::Reading;

/// Prefixes remembered of one upstream; its memory holds some hundred of this length.
const MAX_PREFIXES: usize = 2_048;
/// First guess of a plain service's time, in ms.
const FIRST_PLAIN_MS: f64 = 50.0;
/// Time of an engine that does not depend on the prompt, in ms.
pub(crate) const ENGINE_BASE_MS: f64 = 20.0;
/// A shorter prompt says little of a token's time.
const FEWEST_TOKENS: u32 = 500;
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
    /// Of these, tokens of parts that other requests share.
    pub missing_shared: u32,
    /// Expected time of the upstream's own until it answers, in ms.
    pub expected_ms: f64,
    /// The same if it held nothing of the prompt, in ms.
    pub unheld_ms: f64,
    /// Expected time until the upstream comes to it, in ms.
    pub wait_ms: f64,
}

/// Names a request that was sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub(crate) u64);

/// A request that begins to be answered.
#[derive(Debug)]
pub struct Begun<'a> {
    /// By whom.
    pub index: UpstreamIndex,
    /// Which.
    pub ticket: Ticket,
    /// What was expected of it.
    pub load: &'a Load,
    /// The model, of engines.
    pub model: Option<&'a Arc<str>>,
    /// How long it took, in ms.
    pub ms: f64,
}

/// An upstream as this daemon knew it last.
#[derive(Debug, Clone)]
pub struct LastSeen {
    /// Which.
    pub index: UpstreamIndex,
    /// As it was listed.
    pub spec: Arc<Upstream>,
    /// When anything was last read from it.
    pub heard_at: Time,
}

impl LastSeen {
    /// Names its run.
    #[must_use]
    pub fn run(&self) -> UpstreamRun {
        UpstreamRun {
            id: self.spec.id.clone(),
            started_at: self.spec.started_at,
        }
    }
}

/// What one daemon has out at an upstream, in few bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedLoad {
    /// A hash of the upstream's id.
    pub upstream: u32,
    /// Expected time of what has not begun to answer, in ms.
    pub backlog_ms: u16,
    /// Requests out.
    pub in_flight: u16,
}

/// Names a run in few bytes: what daemons have out at a former run is no load of the next.
#[must_use]
pub fn run_key(id: &UpstreamId, started_at: Option<WallTime>) -> RunKey {
    let started_at = started_at.map_or(0, |at| at.0);
    RunKey(xxh3_64_with_seed(id.as_str().as_bytes(), started_at) as u32)
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) spec: Arc<Upstream>,
    pub(crate) run: RunKey,
    pub(crate) health: Health,
    pub(crate) in_flight: u32,
    /// What was sent from here and has not begun to answer.
    pub(crate) backlog: Backlog,
    /// The same at other daemons, as they last said.
    pub(crate) others: OthersLoad,
    /// When anything was last read from it.
    pub(crate) heard_at: Time,
    /// Since when it has had work from here without a break.
    busy_since: Time,
    /// Prefixes that were sent there, by a hash of model and parts, and when.
    pub(crate) prefixes: HashMap<u64, Time>,
    /// It refused a request and wants none before this.
    pub(crate) busy_until: Time,
    /// Not to be chosen any more: draining or gone, or it said so itself.
    pub(crate) is_leaving: bool,
    /// Another run of a program has its address: this one is over, whatever the list says.
    is_replaced: bool,
    is_listed: bool,
}

impl Entry {
    fn last_seen(&self, index: UpstreamIndex) -> LastSeen {
        LastSeen {
            index,
            spec: Arc::clone(&self.spec),
            heard_at: self.heard_at,
        }
    }

    /// How long it has had work from here and said nothing on any connection, in ms.
    pub(crate) fn silent_ms(&self, now: Time) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        let since = self.heard_at.max(self.busy_since);
        now.since(since).as_secs_f64() * 1_000.0
    }
}

/// What other daemons have out at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct OthersLoad {
    pub(crate) backlog_ms: f64,
    pub(crate) in_flight: u32,
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
    pub(crate) policy: PlacingPolicy,
    pub(crate) entries: BTreeMap<UpstreamIndex, Entry>,
    pub(crate) by_service: HashMap<Arc<str>, Vec<UpstreamIndex>>,
    by_id: HashMap<UpstreamId, UpstreamIndex>,
    pub(crate) means: HashMap<Arc<str>, ServiceMeans>,
    /// How long engines read, by model.
    reading: HashMap<Arc<str>, Reading>,
    /// Rate limits that upstreams advertise.
    pub(crate) limits: RateLimits,
    next: u64,
    next_ticket: u64,
}

impl Upstreams {
    /// Knows none yet; chooses by this policy.
    #[must_use]
    pub fn new(policy: PlacingPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Takes the present list. Who is no longer on it gets nothing new; says who went from it
    /// without having said before that it would leave.
    pub fn configure(&mut self, listed: &[Arc<Upstream>]) -> Vec<LastSeen> {
        for entry in self.entries.values_mut() {
            entry.is_listed = false;
        }
        for spec in listed {
            self.list(spec);
        }
        let mut gone = Vec::new();
        for (index, entry) in &mut self.entries {
            if !entry.is_listed && !entry.is_leaving {
                gone.push(entry.last_seen(*index));
            }
            entry.is_leaving |= !entry.is_listed;
        }
        self.forget_idle();
        gone
    }

    /// An upstream as it is known now.
    #[must_use]
    pub fn last_seen(&self, index: UpstreamIndex) -> Option<LastSeen> {
        let entry = self.entries.get(&index)?;
        Some(entry.last_seen(index))
    }

    /// A run of an upstream's program by its id and start.
    #[must_use]
    pub fn find(&self, id: &UpstreamId, started_at: Option<WallTime>) -> Option<LastSeen> {
        let is_it = |entry: &Entry| entry.spec.id == *id && entry.spec.started_at == started_at;
        let mut entries = self.entries.iter();
        let (index, entry) = entries.find(|(_, entry)| is_it(entry))?;
        Some(entry.last_seen(*index))
    }

    /// Whether an upstream gets nothing new: it said that it leaves, or is gone from the list.
    #[must_use]
    pub fn is_leaving(&self, index: UpstreamIndex) -> bool {
        self.entries
            .get(&index)
            .is_none_or(|entry| entry.is_leaving)
    }

    /// Guards against an upstream that starts again under its id: what was believed of the
    /// former run (prompts held, backlog, health, leaving, kept connections, which go by index)
    /// is not so of the next, which therefore gets an entry of its own.
    fn list(&mut self, spec: &Arc<Upstream>) {
        let is_draining = spec.state == UpstreamState::Draining;
        let held = self.by_id.get(&spec.id);
        let held = held.and_then(|index| self.entries.get_mut(index));
        if let Some(entry) = held.filter(|entry| entry.spec.started_at == spec.started_at) {
            entry.is_listed = true;
            // An entry that lapsed while the store was away comes back with its upstream,
            // so being listed as ready again lifts what its absence meant.
            entry.is_leaving = is_draining || entry.is_replaced;
            entry.spec = Arc::clone(spec);
            return;
        }
        let index = UpstreamIndex(self.next);
        self.next += 1;
        let entry = Entry {
            spec: Arc::clone(spec),
            run: run_key(&spec.id, spec.started_at),
            health: Health::default(),
            in_flight: 0,
            backlog: Backlog::default(),
            others: OthersLoad::default(),
            heard_at: Time::ZERO,
            busy_since: Time::ZERO,
            prefixes: HashMap::new(),
            busy_until: Time::ZERO,
            is_leaving: is_draining,
            is_replaced: false,
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

    /// Notes that a request goes to an upstream; the ticket names it from then on.
    pub fn started(
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
        self.limits.take(now, entry.run);
        entry.in_flight += 1;
        entry.backlog.push(now, ticket.0, load.expected_ms);
        entry.health.chosen();
        if entry.prefixes.len() + prefixes.len() > MAX_PREFIXES {
            entry.prefixes.clear();
        }
        entry
            .prefixes
            .extend(prefixes.iter().map(|hash| (*hash, now)));
        ticket
    }

    /// Notes that something was read from an upstream.
    pub fn heard(&mut self, now: Time, index: UpstreamIndex) {
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.heard_at = now;
        }
    }

    /// How long an upstream with work has said nothing on any connection, counted from
    /// `since` at the earliest.
    #[must_use]
    pub fn mute_for(&self, now: Time, index: UpstreamIndex, since: Time) -> Span {
        let heard_at = self.entries.get(&index).map(|entry| entry.heard_at);
        now.since(heard_at.unwrap_or_default().max(since))
    }

    /// Notes that a request begins to be answered.
    pub fn answering(&mut self, now: Time, begun: &Begun<'_>) {
        let Some(entry) = self.entries.get_mut(&begun.index) else {
            return;
        };
        entry.backlog.remove(now, begun.ticket.0);
        entry.heard_at = now;
        let load = begun.load;
        let service = entry.spec.service.clone();
        match begun.model {
            Some(model) if load.missing >= FEWEST_TOKENS && load.wait_ms < ENGINE_BASE_MS => {
                let reading = self.reading.entry(model.clone()).or_default();
                reading.note(load.missing, (begun.ms - ENGINE_BASE_MS).max(1.0));
            }
            Some(_) => {}
            None => {
                let mean = &mut means_of(&mut self.means, &service).plain_ms;
                *mean += MEAN_WEIGHT * (begun.ms.min(*mean * 4.0) - *mean);
            }
        }
    }

    /// Notes a request's end.
    pub fn ended(&mut self, now: Time, index: UpstreamIndex, ticket: Ticket, ending: Ending) {
        let Some(entry) = self.entries.get_mut(&index) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.backlog.remove(now, ticket.0);
        let service = entry.spec.service.clone();
        let means = means_of(&mut self.means, &service);
        means.note(ending);
        let peers_share = means.bad_share();
        entry.health.note(now, ending, peers_share);
        entry.is_replaced |= ending == Ending::Replaced;
        entry.is_leaving |= entry.is_replaced;
        if entry.in_flight == 0 && !entry.is_listed {
            self.forget_idle();
        }
    }

    /// What this daemon has out, for the other daemons: busy upstreams only.
    #[must_use]
    pub fn own_loads(&self, now: Time) -> Vec<SharedLoad> {
        let busy = self.entries.values().filter(|entry| entry.in_flight > 0);
        let loads = busy.map(|entry| SharedLoad {
            upstream: entry.run.0,
            backlog_ms: entry.backlog.ms(now).min(f64::from(u16::MAX)) as u16,
            in_flight: u16::try_from(entry.in_flight).unwrap_or(u16::MAX),
        });
        loads.collect()
    }

    /// Takes what all other daemons have out.
    pub fn set_others(&mut self, loads: &HashMap<u32, (f64, u32)>) {
        if !self.policy.counts_others {
            return;
        }
        for entry in self.entries.values_mut() {
            let load = loads.get(&entry.run.0).copied();
            let (backlog_ms, in_flight) = load.unwrap_or_default();
            entry.others = OthersLoad {
                backlog_ms,
                in_flight,
            };
        }
    }

    /// Expected time to read so many tokens of a prompt, in ms.
    pub(crate) fn reading_ms(&self, model: Option<&Arc<str>>, tokens: f64) -> f64 {
        let learnt = model.and_then(|model| self.reading.get(model).copied());
        tokens * learnt.unwrap_or_default().token_ms(tokens as u32)
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
