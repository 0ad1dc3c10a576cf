//! Bars as they stand in the store: for daemons that start, and for operators.
//!
//! Daemons tell each other of a bar within some hundred ms, but what they know goes with them.
//! So each bar stands in the store as well, under its content: a daemon that starts reads it with
//! everything else before it serves, also when all were lost at one moment. Operators see there what
//! is barred and why, and lift a bar by deleting its key.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use keyvalue::{Compare, ModRevision, Op, Put, Request, Txn};
use mirror::Mirror;
use poison::{Barred, Content, UpstreamRun};
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::event::Purpose;

/// Who is second, third … by name waits this much longer each before it writes: one write is
/// enough, and the store's condition makes more of them harmless.
const TURN: Span = Span::from_secs(1);
/// Next try after a call.
const RETRY: Span = Span::from_secs(1);
/// Bars that are kept in the store at most, some 300 bytes each.
const MAX_STORED: usize = 256;

/// A bar as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuarantineEntry {
    /// Whose requests they are.
    pub customer: Option<Arc<str>>,
    /// Since when, by the clock of who wrote it, in Unix milliseconds.
    pub since: WallTime,
    /// The upstreams that ended, and how long the content had run there.
    pub ends: Vec<QuarantineCrash>,
}

/// An upstream that ended under a content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuarantineCrash {
    /// Which.
    pub upstream: UpstreamRun,
    /// How long the content had run there.
    pub ran_ms: u64,
}

/// Bytes that are no bar.
#[derive(Debug, thiserror::Error)]
#[error("a bar in the store cannot be read: {0}")]
pub struct QuarantineEntryError(#[from] serde_json::Error);

impl QuarantineEntry {
    fn of(bar: &Barred, since: WallTime) -> Self {
        let ends = bar.ends.iter().map(|(upstream, ran)| QuarantineCrash {
            upstream: upstream.clone(),
            ran_ms: ran.as_millis(),
        });
        Self {
            customer: bar.customer.clone(),
            since,
            ends: ends.collect(),
        }
    }

    /// From a value of the store.
    ///
    /// # Errors
    /// When it is no bar: another writer may have put it there.
    pub fn decode(value: &[u8]) -> Result<Self, QuarantineEntryError> {
        Ok(serde_json::from_slice(value)?)
    }

    fn encode(&self) -> Result<Bytes, QuarantineEntryError> {
        Ok(serde_json::to_vec(self)?.into())
    }
}

/// What a bar's key lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wanted {
    Written,
    Deleted,
}

/// Bars that differ between here and the store.
#[derive(Debug, Default)]
pub(crate) struct QuarantineSync {
    /// Since when each differs.
    mismatches: BTreeMap<Content, (Wanted, Time)>,
    /// Contents whose calls were made, and when they may be made again.
    retry_at: BTreeMap<Content, Time>,
}

impl QuarantineSync {
    /// Calls of the store that are due; `rank` is this daemon's place by name and `prefix` begins
    /// the keys.
    pub(crate) fn calls(
        &mut self,
        now: Time,
        wall: WallTime,
        rank: u64,
        prefix: &str,
        barred: &[Barred],
        mirror: &Mirror,
    ) -> Vec<(Purpose, Request)> {
        self.compare(now, prefix, barred, mirror);
        self.retry_at.retain(|_, again_at| now < *again_at);
        let due = self.mismatches.iter().filter(|(content, (_, since))| {
            let is_turn = now.has_reached(*since + TURN.times(rank));
            is_turn && !self.retry_at.contains_key(*content)
        });
        let due = due.map(|(content, (wanted, _))| (*content, *wanted));
        let due = due.collect::<Vec<_>>();
        let mut calls = Vec::new();
        for (content, wanted) in due {
            self.retry_at.insert(content, now + RETRY);
            let key = format!("{prefix}{content}");
            let bar = barred.iter().find(|bar| bar.content == content);
            let op = match (wanted, bar) {
                (Wanted::Written, Some(bar)) => {
                    let age = now.since(bar.since).as_millis();
                    let since = WallTime(wall.0.saturating_sub(age));
                    put(&key, &QuarantineEntry::of(bar, since))
                }
                _ => Some(Op::Delete(key.clone())),
            };
            calls.extend(op.map(|op| call(key, op, mirror)));
        }
        calls
    }

    /// Notes what differs, and since when.
    fn compare(&mut self, now: Time, prefix: &str, barred: &[Barred], mirror: &Mirror) {
        let here = barred.iter().map(|bar| bar.content);
        let here = here.collect::<BTreeSet<_>>();
        let keys = mirror
            .prefixed(prefix)
            .map(|(key, ..)| &key[prefix.len()..]);
        let there = keys.filter_map(|name| name.parse::<Content>().ok());
        let there = there.collect::<BTreeSet<_>>();
        let room = MAX_STORED.saturating_sub(there.len());
        let written = here.difference(&there).take(room);
        let written = written.map(|content| (*content, Wanted::Written));
        let deleted = there.difference(&here);
        let deleted = deleted.map(|content| (*content, Wanted::Deleted));
        let wanted = written.chain(deleted).collect::<BTreeMap<_, _>>();
        let mismatches = &mut self.mismatches;
        mismatches.retain(|content, (held, _)| wanted.get(content) == Some(held));
        for (content, wanted) in wanted {
            mismatches.entry(content).or_insert((wanted, now));
        }
    }
}

fn put(key: &str, entry: &QuarantineEntry) -> Option<Op> {
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

/// A write under the condition that the key is as it is known here: one that comes late or twice
/// does nothing.
fn call(key: String, op: Op, mirror: &Mirror) -> (Purpose, Request) {
    let held = mirror.get(&key).map_or(0, |(revision, _)| revision.0);
    let held = ModRevision(i64::try_from(held).unwrap_or_default());
    let txn = Txn {
        compare: vec![Compare::ModRevision(key, held)],
        success: vec![op],
        failure: Vec::new(),
    };
    (Purpose::Bar, Request::Txn(txn))
}
