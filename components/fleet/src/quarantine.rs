//! Quarantine entries in the store, for daemons that start and for operators.
//!
//! Daemons gossip a quarantined request content within some hundred ms, but what they know is lost
//! when they stop. Each quarantine is therefore also written to the store under its content: a
//! daemon that starts reads it with all other keys before it serves, even if the whole fleet was
//! lost at one moment. Operators see there what is quarantined and why, and lift a quarantine by
//! deleting its key.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use keyvalue::{Compare, ModRevision, Op, Put, Request, Txn};
use mirror::Mirror;
use poison::{Content, Quarantine, UpstreamInstance};
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::event::Purpose;

/// Delay per rank by name before a daemon writes: one write is enough, and the condition on the key
/// makes further ones harmless.
const WRITE_DELAY_PER_RANK: Span = Span::from_secs(1);
/// Delay before a call for the same content is retried.
const RETRY_DELAY: Span = Span::from_secs(1);
/// Quarantine entries in the store at most, of some 300 bytes each.
const MAX_STORED: usize = 256;

/// A quarantine entry as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuarantineEntry {
    /// The customer whose requests they are.
    pub customer: Option<Arc<str>>,
    /// Start of the quarantine by the writer's clock, in Unix milliseconds.
    pub since: WallTime,
    /// The upstreams that crashed, each with the time for which it had been processing the content.
    #[serde(rename = "ends")]
    pub crashes: Vec<QuarantineCrash>,
    /// For a part of prompts: other parts without which requests are not refused.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub companions: Vec<Content>,
}

/// An upstream that crashed while it was processing a content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuarantineCrash {
    /// The instance of the upstream that crashed.
    pub upstream: UpstreamInstance,
    /// Time for which it had been processing the content.
    pub ran_ms: u64,
}

/// The bytes are not a valid quarantine entry.
#[derive(Debug, thiserror::Error)]
#[error("a quarantine entry in the store cannot be read: {0}")]
pub struct QuarantineEntryError(#[from] serde_json::Error);

impl QuarantineEntry {
    fn of(entry: &Quarantine, since: WallTime) -> Self {
        let crashes = entry.crashes.iter().map(|(upstream, ran)| QuarantineCrash {
            upstream: upstream.clone(),
            ran_ms: ran.as_millis(),
        });
        Self {
            customer: entry.customer.clone(),
            since,
            crashes: crashes.collect(),
            companions: entry.companions.clone(),
        }
    }

    /// Decodes the entry from a value of the store.
    ///
    /// # Errors
    /// When the value is not a quarantine entry: another writer may have put it there.
    pub fn decode(value: &[u8]) -> Result<Self, QuarantineEntryError> {
        Ok(serde_json::from_slice(value)?)
    }

    fn encode(&self) -> Result<Bytes, QuarantineEntryError> {
        Ok(serde_json::to_vec(self)?.into())
    }
}

/// The state that a key in the store should have and does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wanted {
    Written,
    Deleted,
}

/// Quarantine entries that differ between this daemon and the store.
#[derive(Debug, Default)]
pub(crate) struct QuarantineSync {
    /// Contents whose entry differs, and since when.
    mismatches: BTreeMap<Content, (Wanted, Time)>,
    /// Contents whose calls were made, and when they may be retried.
    retry_at: BTreeMap<Content, Time>,
}

impl QuarantineSync {
    /// Calls of the store that are due; `rank` is this daemon's rank by name and `prefix` that of
    /// the keys.
    pub(crate) fn calls(
        &mut self,
        now: Time,
        wall: WallTime,
        rank: u64,
        prefix: &str,
        quarantined: &[Quarantine],
        mirror: &Mirror,
    ) -> Vec<(Purpose, Request)> {
        self.compare(now, prefix, quarantined, mirror);
        self.retry_at.retain(|_, next_at| now < *next_at);
        let due = self.mismatches.iter().filter(|(content, (_, since))| {
            let is_turn = now.has_reached(*since + WRITE_DELAY_PER_RANK.times(rank));
            is_turn && !self.retry_at.contains_key(*content)
        });
        let due = due.map(|(content, (wanted, _))| (*content, *wanted));
        let due = due.collect::<Vec<_>>();
        let mut calls = Vec::new();
        for (content, wanted) in due {
            self.retry_at.insert(content, now + RETRY_DELAY);
            let key = format!("{prefix}{content}");
            let entry = quarantined.iter().find(|entry| entry.content == content);
            let op = match (wanted, entry) {
                (Wanted::Written, Some(entry)) => {
                    let age = now.since(entry.since).as_millis();
                    let since = WallTime(wall.0.saturating_sub(age));
                    write_op(&key, &QuarantineEntry::of(entry, since))
                }
                _ => Some(Op::Delete(key.clone())),
            };
            calls.extend(op.map(|op| conditional_write(key, op, mirror)));
        }
        calls
    }

    /// Updates the differing entries; each keeps the time since when it differs.
    fn compare(&mut self, now: Time, prefix: &str, quarantined: &[Quarantine], mirror: &Mirror) {
        let local = quarantined.iter().map(|entry| entry.content);
        let local = local.collect::<BTreeSet<_>>();
        let keys = mirror
            .prefixed(prefix)
            .map(|(key, ..)| &key[prefix.len()..]);
        let stored = keys.filter_map(|name| name.parse::<Content>().ok());
        let stored = stored.collect::<BTreeSet<_>>();
        let room = MAX_STORED.saturating_sub(stored.len());
        let written = local.difference(&stored).take(room);
        let written = written.map(|content| (*content, Wanted::Written));
        let deleted = stored.difference(&local);
        let deleted = deleted.map(|content| (*content, Wanted::Deleted));
        let wanted = written.chain(deleted).collect::<BTreeMap<_, _>>();
        let mismatches = &mut self.mismatches;
        mismatches.retain(|content, (held, _)| wanted.get(content) == Some(held));
        for (content, wanted) in wanted {
            mismatches.entry(content).or_insert((wanted, now));
        }
    }
}

fn write_op(key: &str, entry: &QuarantineEntry) -> Option<Op> {
    match entry.encode() {
        Ok(value) => Some(Op::Put(Put {
            key: key.to_owned(),
            value,
            lease: None,
        })),
        Err(e) => {
            tracing::error!("poison: {e}");
            None
        }
    }
}

/// A write on condition that the key is as in the mirror, so that one that arrives late or twice
/// has no effect.
fn conditional_write(key: String, op: Op, mirror: &Mirror) -> (Purpose, Request) {
    let held = mirror.get(&key).map_or(0, |(revision, _)| revision.0);
    let held = ModRevision(i64::try_from(held).unwrap_or_default());
    let txn = Txn {
        compare: vec![Compare::ModRevision(key, held)],
        success: vec![op],
        failure: Vec::new(),
    };
    (Purpose::Bar, Request::Txn(txn))
}
