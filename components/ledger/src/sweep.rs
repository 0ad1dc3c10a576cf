//! Sweep: marks of runs that ended long ago are deleted, so that their number is bounded.
//!
//! A mark must outlive every copy of its origin's charges. Holders seal within minutes of
//! the store's being up; a week covers any outage and any pause of a process that can be
//! thought of. It is counted by calendars, which differ by far less.

use keyvalue::{Compare, KeyValue, Op, Outcome, Range, Reply, Request, Txn};
use types::prelude::*;

use crate::codec;
use crate::keys::Keys;
use crate::seal::Mark;

const PAGE_KEYS: u32 = 100;
const INTERVAL: Span = Span::from_secs(3600);
const MARK_LIFE_MILLIS: u64 = 7 * 24 * 3_600_000;

/// The sweep of one daemon.
#[derive(Debug, Default)]
pub(crate) struct Sweep {
    due: Time,
    after: Option<String>,
    is_under_way: bool,
    wall: WallTime,
}

impl Sweep {
    /// Starts a sweep when one is due.
    pub(crate) fn tick(&mut self, now: Time, wall: WallTime, keys: &Keys) -> Option<Request> {
        self.wall = wall;
        if self.is_under_way || !now.has_reached(self.due) {
            return None;
        }
        self.due = now + INTERVAL;
        self.is_under_way = true;
        self.after = None;
        Some(self.read(keys))
    }

    fn read(&self, keys: &Keys) -> Request {
        Request::Range(Range {
            limit: PAGE_KEYS,
            after: self.after.clone(),
            ..Range::prefix(keys.marks())
        })
    }

    /// Takes a page, or the outcome of its deletion. What fails is left for the next sweep.
    pub(crate) fn on_outcome(&mut self, keys: &Keys, outcome: Outcome) -> Option<Request> {
        self.is_under_way = false;
        let request = match outcome.ok()?.reply {
            Reply::Range(found) => self.delete_old(found)?,
            _ => self.read(keys),
        };
        self.is_under_way = true;
        Some(request)
    }

    fn delete_old(&mut self, found: Vec<KeyValue>) -> Option<Request> {
        self.after = Some(found.last()?.key.clone());
        let old = found.into_iter().filter(|kv| self.is_old(kv));
        let deletes = old.map(|kv| {
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

    fn is_old(&self, kv: &KeyValue) -> bool {
        let mark = codec::decode::<Mark>(&kv.value);
        mark.is_ok_and(|mark| self.wall.0.saturating_sub(mark.at.0) > MARK_LIFE_MILLIS)
    }
}
