//! The prefix cache: tracks the chat prefixes that need no prefill.

use std::collections::{BTreeMap, VecDeque};

use serde_json::{Value, json};
use types::prelude::*;

use super::text::{Message, prefix_hashes};

/// Events kept for readers that poll late.
const MAX_EVENTS: usize = 4096;

#[derive(Debug)]
struct CachedPrefix {
    tokens: u64,
    last_used: u64,
}

#[derive(Debug)]
struct Event {
    seq: u64,
    prefix: u64,
    stored: bool,
    visible_from: Time,
}

/// A cache bounded in tokens that evicts the least recently used prefix.
#[derive(Debug)]
pub(super) struct PrefixCache {
    max_tokens: u64,
    event_lag: Span,
    event_gap: u64,
    tokens: u64,
    use_count: u64,
    next_seq: u64,
    prefixes: BTreeMap<u64, CachedPrefix>,
    events: VecDeque<Event>,
}

impl PrefixCache {
    pub(super) fn new(max_tokens: u64, event_lag: Span, event_gap: u64) -> Self {
        Self {
            max_tokens,
            event_lag,
            event_gap,
            tokens: 0,
            use_count: 0,
            next_seq: 1,
            prefixes: BTreeMap::new(),
            events: VecDeque::new(),
        }
    }

    /// Counts the tokens in the longest cached prefix of a chat.
    pub(super) fn cached_tokens(&self, messages: &[Message]) -> u64 {
        let mut tokens = 0;
        for (message, hash) in messages.iter().zip(prefix_hashes(messages)) {
            if !self.prefixes.contains_key(&hash) {
                break;
            }
            tokens += message.tokens();
        }
        tokens
    }

    /// Caches every prefix of a chat, evicting older prefixes as needed.
    pub(super) fn store(&mut self, now: Time, messages: &[Message]) {
        self.use_count += 1;
        for (message, hash) in messages.iter().zip(prefix_hashes(messages)) {
            let tokens = message.tokens();
            let last_used = self.use_count;
            let old = self
                .prefixes
                .insert(hash, CachedPrefix { tokens, last_used });
            if old.is_none() {
                self.tokens += tokens;
                self.record_event(now, hash, true);
            }
        }
        while self.tokens > self.max_tokens {
            self.evict(now);
        }
    }

    fn evict(&mut self, now: Time) {
        let oldest = self.prefixes.iter().min_by_key(|(_, c)| c.last_used);
        let Some((hash, tokens)) = oldest.map(|(hash, c)| (*hash, c.tokens)) else {
            return;
        };
        self.prefixes.remove(&hash);
        self.tokens -= tokens;
        self.record_event(now, hash, false);
    }

    fn record_event(&mut self, now: Time, prefix: u64, stored: bool) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.event_gap > 0 && seq.is_multiple_of(self.event_gap) {
            return;
        }
        self.events.push_back(Event {
            seq,
            prefix,
            stored,
            visible_from: now + self.event_lag,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events with a sequence number above `after` whose lag has passed, as JSON.
    pub(super) fn events_after(&self, now: Time, after: u64) -> Value {
        let visible = self
            .events
            .iter()
            .filter(|e| now.has_reached(e.visible_from));
        let visible = visible.filter(|e| e.seq > after).collect::<Vec<_>>();
        let next = visible.last().map_or(after, |e| e.seq);
        let events = visible.iter().map(|e| {
            let kind = if e.stored { "stored" } else { "evicted" };
            json!({ "seq": e.seq, "prefix": format!("{:016x}", e.prefix), "kind": kind })
        });
        json!({ "next": next, "events": events.collect::<Vec<_>>() })
    }
}
