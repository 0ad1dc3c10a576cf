//! Heartbeats: what this daemon tells a few others several times a second, and how current copies are.

use bytes::Bytes;
use dispatch::{Advertisement, SharedLoad};
use mirror::Revision;
use peers::{Part, Payload};
use types::prelude::*;

use super::{OwnCopy, Peering, TICKS_AFAR};
use crate::freshness::Claim;
use crate::gossip::Word;
use crate::heartbeat::{SentAt, Standing, Vouched};

impl Peering {
    pub(super) fn take_claims(&mut self, now: Time, from: &DaemonId, standing: &Standing) {
        let Some(told) = &standing.freshness else {
            return;
        };
        let dropped = self.claims.take(now, self.handle.run(), told);
        if dropped > 0 {
            tracing::debug!(peer = %from, dropped, "peers: claims of another clock");
        }
    }

    /// Notes what an answer of the store says.
    pub(crate) fn note_claim(&mut self, claim: Claim) {
        self.claims.add(claim);
    }

    /// When a copy of a revision was last known to be current.
    pub(crate) fn proof(&self, held: Revision) -> Option<Time> {
        self.claims.proof(held)
    }

    /// Tells how this daemon stands to a few others; `watches` says whether it watches the
    /// store with success.
    pub(crate) fn show_standing(
        &mut self,
        now: Time,
        copy: OwnCopy,
        watches: bool,
        loads: Vec<SharedLoad>,
        rate_limits: Vec<Advertisement>,
    ) {
        self.ticks = self.ticks.wrapping_add(1);
        let is_turn = self.ticks.is_multiple_of(TICKS_AFAR) || std::mem::take(&mut self.must_tell);
        let word = match is_turn {
            true => Word::Everywhere,
            false if self.is_small() => Word::Near,
            false => return,
        };
        let me = &self.members.me().id;
        let mut watchers = self.standings.vouched(now);
        watchers.retain(|vouched| vouched.daemon != *me);
        if watches {
            watchers.push(self.own_word(now, copy));
        }
        let standing = Standing {
            held: copy.held,
            watchers,
            unanswered: self.standings.unanswered(now),
            rollouts: self.gathering.words(),
            loads,
            rate_limits,
            sent_at: Some(self.sent_at(now)),
            freshness: None,
        };
        match standing.encode() {
            Ok(body) => self.tell_standing(now, &body, word),
            Err(e) => tracing::error!("peers: {e}"),
        }
    }

    /// Tells a few others how this daemon stands, and how current its copy is by the clock of each.
    fn tell_standing(&mut self, now: Time, standing: &Bytes, word: Word) {
        for address in self.told(now, word) {
            let clock = self.handle.clock_of(address);
            let freshness = clock.and_then(|clock| self.claims.for_peer(&clock));
            let body = match freshness {
                Some(freshness) => Standing::encode_for(standing, &freshness),
                None => Ok(standing.clone()),
            };
            match body {
                Ok(body) => {
                    let part = Part::Standing;
                    self.handle.send(address, Payload::Part { part, body });
                }
                Err(e) => tracing::error!("peers: {e}"),
            }
        }
    }

    fn sent_at(&self, now: Time) -> SentAt {
        SentAt {
            run: self.members.me().stamp.incarnation,
            clock_ms: now.since(Time::ZERO).as_millis(),
        }
    }

    /// What this daemon says of itself and the store.
    pub(super) fn own_word(&self, now: Time, copy: OwnCopy) -> Vouched {
        let proven_ms = copy.proven_at.map(|at| now.since(at).as_millis());
        let SentAt { run, clock_ms } = self.sent_at(now);
        Vouched {
            daemon: self.members.me().id.clone(),
            age_ms: 0,
            run,
            clock_ms,
            held: copy.held,
            proven_ms: proven_ms.and_then(|ms| u16::try_from(ms).ok()),
        }
    }
}
