//! How a daemon stands: what it tells a few others several times a second.
//!
//! Only a few daemons watch the store, since every change costs a call for each watcher.
//! The others must notice at once when no watcher is left that reaches both the store and
//! them, so watchers say with every message that their watch works.

use std::collections::HashMap;

use bytes::Bytes;
use dispatch::SharedLoad;
use mirror::Revision;
use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Upstreams named in one message at most; the busiest daemons have some hundred out.
const MAX_LOADS: usize = 1_024;
/// A daemon whose last message is older has fallen silent: five messages are missing.
const FRESH: Span = Span::from_millis(550);

/// How a daemon stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Standing {
    /// The store's revision that it holds.
    pub(crate) held: Revision,
    /// Whether it watches the store, and lately heard from it.
    pub(crate) watches: bool,
    /// What it has out.
    pub(crate) loads: Vec<SharedLoad>,
}

/// Bytes that are no standing.
#[derive(Debug, thiserror::Error)]
#[error("a peer's standing cannot be read: {0}")]
pub(crate) struct StandingError(#[from] postcard::Error);

impl Standing {
    pub(crate) fn encode(&self) -> Result<Bytes, StandingError> {
        Ok(postcard::to_allocvec(self)?.into())
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, StandingError> {
        let mut standing = postcard::from_bytes::<Self>(bytes)?;
        standing.loads.truncate(MAX_LOADS);
        Ok(standing)
    }
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Time,
    held: Revision,
    watches: bool,
}

/// How the others stand, as far as they spoke lately.
#[derive(Debug, Default)]
pub(crate) struct Standings {
    heard: HashMap<DaemonId, Heard>,
}

impl Standings {
    pub(crate) fn take(&mut self, now: Time, daemon: &DaemonId, standing: &Standing) {
        let heard = Heard {
            at: now,
            held: standing.held,
            watches: standing.watches,
        };
        self.heard.insert(daemon.clone(), heard);
    }

    /// Drops who is silent.
    pub(crate) fn expire(&mut self, now: Time) {
        self.heard.retain(|_, heard| now.since(heard.at) < FRESH);
    }

    /// Daemons before `me` in the order of watchers whose watch works.
    pub(crate) fn watchers_before(&self, me: &DaemonId) -> usize {
        let watchers = self.heard.iter().filter(|(_, heard)| heard.watches);
        watch_rank(me, watchers.map(|(daemon, _)| daemon))
    }

    /// The daemon that is furthest ahead of a revision.
    pub(crate) fn ahead_of(&self, held: Revision) -> Option<&DaemonId> {
        let ahead = self.heard.iter().filter(|(_, heard)| heard.held > held);
        let furthest = ahead.max_by_key(|(_, heard)| heard.held);
        furthest.map(|(daemon, _)| daemon)
    }
}

/// Place of `me` among daemons in an order that spreads over hosts and that all share.
pub(crate) fn watch_rank<'a>(me: &DaemonId, others: impl Iterator<Item = &'a DaemonId>) -> usize {
    let order = |daemon: &DaemonId| (xxh3_64(daemon.as_str().as_bytes()), daemon.clone());
    let mine = order(me);
    others.filter(|other| order(other) < mine).count()
}
