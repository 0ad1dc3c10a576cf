//! Reading the store: the head now and then, and what changed since.
//!
//! Watchers read the head every few seconds, which confirms that the catalogue is
//! current and finds what a watch skipped. Other daemons read only when peers do not
//! help: at a start without peers, or cut off from them.

use keyvalue::{KeyValue, OpReply, Outcome, Range, Reply, Request, TxnReply, WatchEvent};
use rand::{Rng, RngExt};
use types::prelude::*;

use crate::edit::Reading;
use crate::head::{Head, Keys, ReadHead};
use crate::record::{Held, WireRecord};
use crate::sync::repair::Repair;
use crate::sync::{Effect, Sync};

/// Keys read in one call; halved when a reply is too long.
const FIRST_LIMIT: u32 = 64;

/// A daemon that starts leaves the store alone for so long, since a peer gives it the
/// catalogue sooner, and with it the last good record where the latest is bad.
const START_PATIENCE: Span = Span::from_secs(2);

/// One that is no watcher and hears nothing fresh reads so many times less often.
const STARVING_FACTOR: u64 = 10;

/// An outcome that never comes back is given up after.
const LOST: Span = Span::from_secs(60);

/// What is read from the store and how far that is.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) keys: Keys,
    pub(super) task: Option<Task>,
    /// When the head was last asked for.
    sent: Time,
    /// When the call under way was made.
    called: Time,
    next_poll: Time,
    started: Option<Time>,
    /// Current as of this moment, once the catalogue holds this revision.
    unconfirmed: Option<(Revision, Time)>,
    /// Polls in a row that found the store behind this daemon.
    pub(super) behind: u32,
    limit: u32,
}

/// What the call under way is for.
#[derive(Debug)]
pub(super) enum Task {
    /// Reading the head.
    Poll,
    /// Reading entries that changed up to a revision.
    Changed(Revision),
    /// Reading all entries, so many a call, complete to the revision of the head read
    /// before.
    Whole(Revision, u32),
    /// Putting back what a restored store lost.
    Repair(Box<Repair>),
}

impl Source {
    pub(super) fn new(keys: Keys) -> Self {
        Self {
            keys,
            task: None,
            sent: Time::ZERO,
            called: Time::ZERO,
            next_poll: Time::ZERO,
            started: None,
            unconfirmed: None,
            behind: 0,
            limit: FIRST_LIMIT,
        }
    }

    /// The catalogue now holds `revision`: a head read before may confirm it.
    pub(super) fn confirm(&mut self, revision: Revision, confirmed: &mut Option<Time>) {
        let held = self.unconfirmed.take_if(|(head, _)| *head <= revision);
        if let Some((_, at)) = held {
            *confirmed = (*confirmed).max(Some(at));
        }
    }

    pub(super) fn poll_at(&mut self, at: Time) {
        self.next_poll = self.next_poll.min(at);
    }

    pub(super) fn call(&mut self, now: Time, task: Task, req: Request) -> Effect {
        self.called = now;
        self.task = Some(task);
        Effect::Store(req)
    }
}

impl Sync {
    pub(super) fn tick_source(&mut self, now: Time, rng: &mut impl Rng, effects: &mut Vec<Effect>) {
        let started = *self.source.started.get_or_insert(now);
        let lost = now.since(self.source.called) > LOST;
        let busy = self.source.task.is_some() && !lost;
        if busy || !now.has_reached(self.source.next_poll) {
            return;
        }
        let has_peers = self.members.len() > 1;
        let holds_none = self.catalogue.revision() == Revision(0);
        let waits_for_peers = has_peers && now.since(started) < START_PATIENCE;
        let factor = match (self.watching, holds_none && waits_for_peers) {
            (_, true) => return,
            (true, false) => 1,
            (false, false) if waits_for_peers || !self.is_starving(now) => return,
            (false, false) => STARVING_FACTOR,
        };
        let interval = self.cfg.poll_interval.times(factor).as_micros();
        // Spread out, so that watchers that began together do not stay in step.
        let jitter = rng.random_range(interval * 3 / 4..=interval * 5 / 4);
        self.source.next_poll = now + Span::from_micros(jitter);
        self.poll(now, effects);
    }

    /// Nothing fresh came for longer than rounds of asking take.
    fn is_starving(&self, now: Time) -> bool {
        let patience = self.cfg.poll_interval.times(5);
        self.confirmed.is_none_or(|at| now.since(at) > patience)
    }

    fn poll(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let read = self.source.keys.read([]);
        self.source.sent = now;
        effects.push(self.source.call(now, Task::Poll, Request::Txn(read)));
    }

    /// Takes the outcome of the last [`Effect::Store`].
    pub fn on_store(&mut self, now: Time, outcome: Outcome, rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(task) = self.source.task.take() else {
            return effects;
        };
        match outcome {
            Ok(answer) => {
                self.store_answered = self.store_answered.max(Some(self.source.sent));
                self.on_reply(now, task, answer.reply, rng, &mut effects);
            }
            Err(e) => {
                tracing::debug!("catalogue: the store gave nothing: {e}");
                // Perhaps the reply was too long.
                if matches!(task, Task::Whole(..)) {
                    self.source.limit = (self.source.limit / 2).max(1);
                }
            }
        }
        effects
    }

    fn on_reply(
        &mut self,
        now: Time,
        task: Task,
        reply: Reply,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        match (task, reply) {
            (Task::Poll, Reply::Txn(reply)) => self.on_poll(now, &reply, effects),
            (Task::Changed(head), Reply::Txn(reply)) => {
                self.on_changed(now, head, &reply, rng, effects);
            }
            (Task::Whole(head, limit), Reply::Range(found)) => {
                let is_last = found.len() < limit as usize;
                self.source.limit = (limit * 2).min(FIRST_LIMIT);
                self.on_whole(now, head, is_last, &found, rng, effects);
            }
            (Task::Repair(repair), reply) => self.on_repair(now, *repair, reply, effects),
            (task, _) => tracing::warn!("catalogue: a reply that does not fit {task:?}"),
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

    /// Compares the head with what is held: confirm, catch up or repair.
    fn on_head(&mut self, now: Time, head: &Head, effects: &mut Vec<Effect>) {
        let own = self.catalogue.revision();
        if head.revision < own {
            self.source.behind += 1;
            self.consider_repair(now, effects);
            return;
        }
        self.source.behind = 0;
        // Current as of the moment of asking: nothing that happened later is counted.
        self.source.unconfirmed = Some((head.revision, self.source.sent));
        if head.revision == own {
            self.source.confirm(own, &mut self.confirmed);
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
                effects.push(self.source.call(now, Task::Changed(head.revision), req));
            }
            None => self.read_whole(now, head.revision, None, effects),
        }
    }

    fn on_changed(
        &mut self,
        now: Time,
        head: Revision,
        reply: &TxnReply,
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        match Reading::parse(&self.source.keys, reply) {
            Ok(reading) => {
                // Read after the head was: all that changed up to it is among them.
                let entries = reading.entries.into_iter();
                let records = entries.map(|(name, (_, held))| (name, held)).collect();
                self.apply(records, Some(head), rng, effects);
                if reading.head.head.revision > head {
                    self.source.poll_at(now);
                }
            }
            // One record that cannot be read must not hold back the others.
            Err(e) => {
                tracing::warn!("catalogue: {e}");
                self.read_whole(now, head, None, effects);
            }
        }
    }

    fn read_whole(
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
        effects.push(self.source.call(now, Task::Whole(head, limit), req));
    }

    fn on_whole(
        &mut self,
        now: Time,
        head: Revision,
        is_last: bool,
        found: &[KeyValue],
        rng: &mut impl Rng,
        effects: &mut Vec<Effect>,
    ) {
        let records = parse_all(&self.source.keys, found);
        if is_last {
            self.apply(records, Some(head), rng, effects);
            self.source.poll_at(now);
            return;
        }
        self.catalogue.gather(records);
        let last = found.last().map(|pair| pair.key.clone());
        self.read_whole(now, head, last, effects);
    }

    /// Takes changes that the watch told of. Empty ones say that a watch began: the head
    /// is read, since nothing from before is told.
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
        let records = parse_all(&self.source.keys, &values);
        self.apply(records, None, rng, &mut effects);
        let head_key = self.source.keys.head();
        let heads = values.iter().filter(|pair| pair.key == head_key);
        let heads = heads.filter_map(|pair| serde_json::from_slice::<Head>(&pair.value).ok());
        let newest = heads.map(|head| head.revision).max();
        // A gap: the watch skipped something, or a record could not be read.
        let has_gap = newest.is_some_and(|head| head > self.catalogue.revision());
        if has_gap || events.is_empty() {
            self.source.poll_at(now);
        }
        effects
    }
}

/// Records among keys; one that cannot be read is left out and said so.
pub(super) fn parse_all(keys: &Keys, found: &[KeyValue]) -> Vec<(EntryName, Held)> {
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
