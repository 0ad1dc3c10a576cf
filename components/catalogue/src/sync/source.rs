//! Reading the store: polls of the head, and the entries that changed.
//!
//! Watchers read the head every few seconds, which validates that the catalogue is
//! current and detects changes that a watch skipped. Other daemons read the store only
//! when peers cannot help: after a start without peers, or when partitioned from them.

use keyvalue::{KeyValue, OpReply, Outcome, Range, Reply, Request, TxnReply, WatchEvent};
use rand::{Rng, RngExt};
use types::prelude::*;

use crate::edit::Snapshot;
use crate::head::{Head, Keys, ReadHead};
use crate::record::{EncodedRecord, WireRecord};
use crate::sync::repair::Repair;
use crate::sync::{Effect, Sync};

/// Largest number of keys read in one call; halved when a call fails, as a reply may be too long.
const MAX_KEYS_PER_READ: u32 = 64;

/// How long a starting daemon with peers waits before it reads the store: a peer delivers the
/// catalogue sooner, and with it the last valid record where the latest breaks rules.
const STARTUP_DELAY: Span = Span::from_secs(2);

/// Factor by which a daemon that is no watcher but has a stale catalogue polls less often
/// than a watcher.
const STALE_POLL_FACTOR: u64 = 10;

/// Timeout for the outcome of a call, after which another call may be made.
const CALL_TIMEOUT: Span = Span::from_secs(60);

/// State of the reads from the store.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) keys: Keys,
    pub(super) in_flight: Option<Call>,
    /// When the last poll of the head was sent.
    polled_at: Time,
    /// When the last call was made.
    called_at: Time,
    next_poll: Time,
    started: Option<Time>,
    /// Head revision and time of the last poll: once the catalogue holds that revision, it is
    /// validated as of that time.
    pending_validation: Option<(Revision, Time)>,
    /// Consecutive polls that found the store behind this daemon.
    pub(super) polls_behind: u32,
    /// Number of keys to read in the next call.
    limit: u32,
}

/// Purpose of a call to the store.
#[derive(Debug)]
pub(super) enum Call {
    /// Reading the head.
    Poll,
    /// Reading entries that changed up to this revision.
    Changed(Revision),
    /// Reading all entries, complete up to this revision of the head read before, with this
    /// many keys in the call.
    Whole(Revision, u32),
    /// Repairing a store that was restored from an older copy.
    Repair(Box<Repair>),
}

impl Source {
    pub(super) fn new(keys: Keys) -> Self {
        Self {
            keys,
            in_flight: None,
            polled_at: Time::ZERO,
            called_at: Time::ZERO,
            next_poll: Time::ZERO,
            started: None,
            pending_validation: None,
            polls_behind: 0,
            limit: MAX_KEYS_PER_READ,
        }
    }

    /// Advances `validated_at` if the catalogue, now at `revision`, has caught up with the last
    /// head polled.
    pub(super) fn apply_pending_validation(
        &mut self,
        revision: Revision,
        validated_at: &mut Option<Time>,
    ) {
        let reached = self
            .pending_validation
            .take_if(|(head, _)| *head <= revision);
        if let Some((_, at)) = reached {
            *validated_at = (*validated_at).max(Some(at));
        }
    }

    pub(super) fn poll_at(&mut self, at: Time) {
        self.next_poll = self.next_poll.min(at);
    }

    pub(super) fn call(&mut self, now: Time, call: Call, req: Request) -> Effect {
        self.called_at = now;
        self.in_flight = Some(call);
        Effect::Store(req)
    }
}

impl Sync {
    pub(super) fn tick_source(&mut self, now: Time, rng: &mut impl Rng, effects: &mut Vec<Effect>) {
        let started = *self.source.started.get_or_insert(now);
        let has_timed_out = now.since(self.source.called_at) > CALL_TIMEOUT;
        let is_in_flight = self.source.in_flight.is_some() && !has_timed_out;
        if is_in_flight || !now.has_reached(self.source.next_poll) {
            return;
        }
        let has_peers = self.members.len() > 1;
        let is_empty = self.catalogue.revision() == Revision(0);
        let waits_for_peers = has_peers && now.since(started) < STARTUP_DELAY;
        let factor = match (self.watching, is_empty && waits_for_peers) {
            (_, true) => return,
            (true, false) => 1,
            (false, false) if waits_for_peers || !self.is_stale(now) => return,
            (false, false) => STALE_POLL_FACTOR,
        };
        let interval = self.cfg.poll_interval.times(factor).as_micros();
        // Jitter keeps watchers that started together from polling in step.
        let jitter = rng.random_range(interval * 3 / 4..=interval * 5 / 4);
        self.source.next_poll = now + Span::from_micros(jitter);
        self.poll(now, effects);
    }

    /// Whether the last validation is older than it can be while anti-entropy rounds succeed.
    fn is_stale(&self, now: Time) -> bool {
        let max_age = self.cfg.poll_interval.times(5);
        self.validated_at.is_none_or(|at| now.since(at) > max_age)
    }

    fn poll(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let read = self.source.keys.read([]);
        self.source.polled_at = now;
        effects.push(self.source.call(now, Call::Poll, Request::Txn(read)));
    }

    /// Handles the outcome of the last [`Effect::Store`].
    pub fn on_store(&mut self, now: Time, outcome: Outcome, rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(call) = self.source.in_flight.take() else {
            return effects;
        };
        match outcome {
            Ok(answer) => {
                self.store_answered_at = self.store_answered_at.max(Some(self.source.polled_at));
                self.on_reply(now, call, answer.reply, rng, &mut effects);
            }
            Err(e) => {
                tracing::debug!("catalogue: a call to the store failed: {e}");
                // The reply may have been too long.
                if matches!(call, Call::Whole(..)) {
                    self.source.limit = (self.source.limit / 2).max(1);
                }
            }
        }
        effects
    }

    fn on_reply(
        &mut self,
        now: Time,
        call: Call,
        reply: Reply,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        match (call, reply) {
            (Call::Poll, Reply::Txn(reply)) => self.on_poll(now, &reply, effects),
            (Call::Changed(head), Reply::Txn(reply)) => {
                self.on_changed_entries(now, head, &reply, rng, effects);
            }
            (Call::Whole(head, limit), Reply::Range(found)) => {
                let is_last = found.len() < limit as usize;
                self.source.limit = (limit * 2).min(MAX_KEYS_PER_READ);
                self.on_all_entries(now, head, is_last, &found, rng, effects);
            }
            (Call::Repair(repair), reply) => self.on_repair(now, *repair, reply, effects),
            (call, _) => {
                tracing::warn!("catalogue: the store's reply does not match the call {call:?}")
            }
        }
    }

    fn on_poll(&mut self, now: Time, reply: &TxnReply, effects: &mut Vec<Effect>) {
        let Some(OpReply::Range(found)) = reply.replies.first() else {
            return;
        };
        match ReadHead::from_range(found) {
            Ok(read) => self.on_head(now, &read.head, effects),
            Err(e) => tracing::warn!("catalogue: {e}"),
        }
    }

    /// Compares the head with the catalogue held: validates it, catches up or repairs the store.
    fn on_head(&mut self, now: Time, head: &Head, effects: &mut Vec<Effect>) {
        let own = self.catalogue.revision();
        if head.revision < own {
            self.source.polls_behind += 1;
            self.start_repair_if_due(now, effects);
            return;
        }
        self.source.polls_behind = 0;
        // Valid as of the time the poll was sent: the reply does not cover later changes.
        self.source.pending_validation = Some((head.revision, self.source.polled_at));
        if head.revision == own {
            self.source
                .apply_pending_validation(own, &mut self.validated_at);
            return;
        }
        let names = head.since(own);
        let names = names.map(|changes| changes.iter().map(|change| &change.name));
        match names {
            Some(names) => {
                let mut names: Vec<EntryName> = names.cloned().collect();
                names.sort();
                names.dedup();
                let req = Request::Txn(self.source.keys.read(&names));
                effects.push(self.source.call(now, Call::Changed(head.revision), req));
            }
            None => self.read_all(now, head.revision, None, effects),
        }
    }

    fn on_changed_entries(
        &mut self,
        now: Time,
        head: Revision,
        reply: &TxnReply,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        match Snapshot::parse(&self.source.keys, reply) {
            Ok(snapshot) => {
                // The entries were read after the head, so they include every change up to it.
                let entries = snapshot.entries.into_iter();
                let records = entries.map(|(name, (_, held))| (name, held)).collect();
                self.apply(records, Some(head), rng, effects);
                if snapshot.head.head.revision > head {
                    self.source.poll_at(now);
                }
            }
            // One unreadable record must not hold back the others.
            Err(e) => {
                tracing::warn!("catalogue: {e}");
                self.read_all(now, head, None, effects);
            }
        }
    }

    fn read_all(
        &mut self,
        now: Time,
        head: Revision,
        after: Option<String>,
        effects: &mut Vec<Effect>,
    ) {
        let limit = self.source.limit;
        let range = Range {
            limit,
            after,
            ..Range::prefix(self.source.keys.entries())
        };
        let req = Request::Range(range);
        effects.push(self.source.call(now, Call::Whole(head, limit), req));
    }

    fn on_all_entries(
        &mut self,
        now: Time,
        head: Revision,
        is_last: bool,
        found: &[KeyValue],
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        let records = parse_records(&self.source.keys, found);
        if is_last {
            self.apply(records, Some(head), rng, effects);
            self.source.poll_at(now);
            return;
        }
        self.catalogue.apply_partial(records);
        let last = found.last().map(|pair| pair.key.clone());
        self.read_all(now, head, last, effects);
    }

    /// Handles changes reported by the watch. An empty list means that a watch has begun; the
    /// head is then polled, since the watch does not report earlier changes.
    pub fn on_watch(
        &mut self,
        now: Time,
        events: &[WatchEvent],
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let values: Vec<KeyValue> = events
            .iter()
            .filter_map(|event| event.value.clone())
            .collect();
        let records = parse_records(&self.source.keys, &values);
        self.apply(records, None, rng, &mut effects);
        let head_key = self.source.keys.head();
        let heads = values.iter().filter(|pair| pair.key == head_key);
        let heads = heads.filter_map(|pair| serde_json::from_slice::<Head>(&pair.value).ok());
        let newest = heads.map(|head| head.revision).max();
        // A gap means that the watch skipped a change or that a record could not be read.
        let has_gap = newest.is_some_and(|head| head > self.catalogue.revision());
        if has_gap || events.is_empty() {
            self.source.poll_at(now);
        }
        effects
    }
}

/// Parses the records among keys; logs and leaves out any that cannot be read.
pub(super) fn parse_records(keys: &Keys, found: &[KeyValue]) -> Vec<(EntryName, EncodedRecord)> {
    let named = found.iter().filter_map(|pair| {
        let name = keys.name_of(&pair.key)?;
        let json = pair.value.clone();
        Some(WireRecord { name, json })
    });
    let parsed = named.filter_map(|wire| match wire.parse() {
        Ok(held) => Some((wire.name, held)),
        Err(e) => {
            tracing::warn!("catalogue: {e}");
            None
        }
    });
    parsed.collect()
}
