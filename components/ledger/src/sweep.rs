//! Deletion of the marks of incarnations that ended long ago, which bounds their number.
//!
//! A mark must outlive every copy of its origin's charges. Holders seal within minutes once
//! the store is up, so a week covers any conceivable outage or pause of a process. The age is
//! measured by wall clocks, whose differences are far smaller.

use keyvalue::{Compare, KeyValue, Op, Outcome, Range, Reply, Request, Txn};
use types::prelude::*;

use crate::codec;
use crate::keys::Keys;
use crate::seal::Mark;

const PAGE_KEYS: u32 = 100;
const SWEEP_INTERVAL: Span = Span::from_secs(3600);
const MARK_RETENTION_MS: u64 = 7 * 24 * 3_600_000;

/// State of the sweeps of one daemon.
#[derive(Debug, Default)]
pub(crate) struct Sweep {
    due: Time,
    after: Option<String>,
    is_running: bool,
    wall: WallTime,
}

impl Sweep {
    /// Starts a sweep if one is due.
    pub(crate) fn tick(&mut self, now: Time, wall: WallTime, keys: &Keys) -> Option<Request> {
        self.wall = wall;
        if self.is_running || !now.has_reached(self.due) {
            return None;
        }
        self.due = now + SWEEP_INTERVAL;
        self.is_running = true;
        self.after = None;
        Some(self.page_request(keys))
    }

    fn page_request(&self, keys: &Keys) -> Request {
        Request::Range(Range {
            limit: PAGE_KEYS,
            after: self.after.clone(),
            ..Range::prefix(keys.marks_prefix())
        })
    }

    /// Processes a page of marks or the outcome of its deletion. A failure ends the sweep; the
    /// next one retries.
    pub(crate) fn on_outcome(&mut self, keys: &Keys, outcome: Outcome) -> Option<Request> {
        self.is_running = false;
        let request = match outcome.ok()?.reply {
            Reply::Range(found) => self.delete_expired(found)?,
            _ => self.page_request(keys),
        };
        self.is_running = true;
        Some(request)
    }

    fn delete_expired(&mut self, found: Vec<KeyValue>) -> Option<Request> {
        self.after = Some(found.last()?.key.clone());
        let expired = found.into_iter().filter(|kv| self.is_expired(kv));
        let deletes = expired.map(|kv| {
            Op::Txn(Txn {
                compare: vec![Compare::ModRevision(kv.key.clone(), kv.mod_revision)],
                success: vec![Op::Delete(kv.key)],
                failure: Vec::new(),
            })
        });
        Some(Request::Txn(Txn {
            success: deletes.collect(),
            ..Txn::default()
        }))
    }

    fn is_expired(&self, kv: &KeyValue) -> bool {
        let mark = codec::decode::<Mark>(&kv.value);
        mark.is_ok_and(|mark| self.wall.0.saturating_sub(mark.at.0) > MARK_RETENTION_MS)
    }
}
