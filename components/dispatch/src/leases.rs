//! Requests that are sent by another daemon's share of a bound.
//!
//! A bound that holds for the whole fleet is divided among the daemons: the rate of an upstream that
//! advertises one or is cold, and the room of a brittle one. Where this daemon has no share left, a
//! daemon that has one may lend it for a single request ([`ratelimit::Lenders`]). A share of a rate
//! is used up by that; a share of the room is free again when the request has ended.

use rand::Rng;
use rand::seq::IteratorRandom;
use ratelimit::{Admission, DaemonKey, LeaseReply};
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::brittle::{BUSY_PAUSE, LIFTED_AFTER, RoomShares};
use crate::choose::Choice;
use crate::requirements::Requirements;
use crate::upstreams::{Entry, Load, Ticket, UpstreamIndex, Upstreams};

/// Time for which a daemon that lends nothing at an upstream is not asked for it.
const NO_SHARE_PAUSE: Span = Span::from_secs(1);

/// The bound by whose share a request is lent.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum LeasedBound {
    /// The rate that an upstream advertises, or tolerates while it is cold.
    Rate,
    /// The room of an upstream that falls over when it rejects more than this many requests in a
    /// second.
    Room(Rate),
}

/// A lease that another daemon may grant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseOffer {
    /// The daemon to ask.
    pub lender: DaemonKey,
    /// The bound that this daemon has reached.
    pub bound: LeasedBound,
}

/// A request that this daemon lets another one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LentRequest {
    /// The upstream.
    pub index: UpstreamIndex,
    /// Whether the share is in use until the request has ended.
    pub is_held: bool,
}

impl Upstreams {
    /// Chooses an upstream to which another daemon may lend a request; `None` if none of the daemons
    /// that `can_ask` accepts may.
    pub fn choose_leased(
        &self,
        now: Time,
        requirements: &Requirements<'_>,
        can_ask: impl Fn(DaemonKey) -> bool,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let mut untried = self.untried(requirements).ok()?;
        let room = self.room_shares(requirements.service);
        let offers = |index: UpstreamIndex, entry: &Entry| {
            let offers = self.lease_offers(now, room.as_ref(), index, entry);
            let is_ready = |offer: &LeaseOffer| {
                self.lenders.is_ready(now, offer.lender, entry.instance) && can_ask(offer.lender)
            };
            offers.into_iter().filter(is_ready).collect::<Vec<_>>()
        };
        let has_slot = |entry: &Entry| {
            let mut room = room.iter();
            room.all(|room| room.has_slot_elsewhere(now, entry))
        };
        let upstreams = &mut untried.upstreams;
        upstreams.retain(|(_, entry)| has_slot(entry));
        upstreams.retain(|(index, entry)| !offers(*index, entry).is_empty());
        if upstreams.is_empty() {
            return None;
        }
        let choice = self.choose_among(now, untried, requirements, rng);
        let offers = offers(choice.index, self.entries.get(&choice.index)?);
        let lease = offers.into_iter().choose(rng);
        Some(Choice { lease, ..choice })
    }

    /// The leases by shares of the bound that this daemon has reached at an upstream.
    fn lease_offers(
        &self,
        now: Time,
        room: Option<&RoomShares<'_>>,
        index: UpstreamIndex,
        entry: &Entry,
    ) -> Vec<LeaseOffer> {
        if self.limits.admission(now, entry.instance) != Admission::Open {
            let bound = LeasedBound::Rate;
            let senders = self.limits.other_senders(now, entry.instance).iter();
            let offers = senders.map(|lender| LeaseOffer {
                lender: *lender,
                bound,
            });
            return offers.collect();
        }
        let Some(room) = room else {
            return Vec::new();
        };
        let me = self.limits.fleet_key();
        let bound = LeasedBound::Room(room.max_rejections());
        let owners = room.owners(index).filter(|owner| *owner != me);
        owners.map(|lender| LeaseOffer { lender, bound }).collect()
    }

    /// Records when a lender may grant the next request to an upstream.
    pub fn record_lease_reply(
        &mut self,
        now: Time,
        index: UpstreamIndex,
        lender: DaemonKey,
        ready_at: Time,
    ) {
        if let Some(entry) = self.entries.get(&index) {
            let instance = entry.instance;
            self.lenders.record_reply(now, lender, instance, ready_at);
        }
    }

    /// Asks a daemon for nothing until then.
    pub fn eject_lender(&mut self, now: Time, lender: DaemonKey, until: Time) {
        self.lenders.eject(now, lender, until);
    }

    /// Lets another daemon send one request by this daemon's share, if there is room in it.
    pub fn lend(
        &mut self,
        now: Time,
        id: &UpstreamId,
        started_at: Option<WallTime>,
        bound: LeasedBound,
    ) -> (LeaseReply, Option<LentRequest>) {
        let found = self.find(id, started_at).map(|found| found.index);
        let Some(index) = found.filter(|index| self.takes_requests(*index)) else {
            return (denied(now + NO_SHARE_PAUSE), None);
        };
        let reply = match bound {
            LeasedBound::Rate => self.lend_rate(now, index),
            LeasedBound::Room(max_rejections) => {
                if let Some(spec) = self.spec(index).cloned() {
                    // An answer that this daemon gets from now on may show otherwise.
                    self.learn_brittleness(&spec.service, now - LIFTED_AFTER, max_rejections);
                }
                self.lend_room(now, index)
            }
        };
        let is_held = bound != LeasedBound::Rate;
        let lent = reply.is_granted.then_some(LentRequest { index, is_held });
        (reply, lent)
    }

    fn lend_rate(&mut self, now: Time, index: UpstreamIndex) -> LeaseReply {
        let entry = self.entries.get(&index);
        let instance = entry.map(|entry| entry.instance);
        instance.map_or(denied(now + NO_SHARE_PAUSE), |instance| {
            self.limits.lend(now, instance)
        })
    }

    fn lend_room(&mut self, now: Time, index: UpstreamIndex) -> LeaseReply {
        let Some(entry) = self.entries.get(&index) else {
            return denied(now + NO_SHARE_PAUSE);
        };
        let room = self.room_shares(&entry.spec.service);
        let has_room = room.is_some_and(|room| room.can_lend(now, index, entry));
        let is_open = self.limits.admission(now, entry.instance) == Admission::Open;
        if !has_room || !is_open {
            return denied(now + BUSY_PAUSE);
        }
        self.limits.take(now, entry.instance);
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.lent += 1;
        }
        LeaseReply {
            is_granted: true,
            ready_at: now,
        }
    }

    /// Records that a request is sent to an upstream by another daemon's share.
    pub fn record_leased_start(
        &mut self,
        now: Time,
        index: UpstreamIndex,
        load: &Load,
        prefixes: &[u64],
    ) -> Ticket {
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.leased += 1;
        }
        self.add_in_flight(now, index, load, prefixes)
    }

    /// Records the end of a request that was sent by another daemon's share, before its end as any
    /// request.
    pub fn record_leased_end(&mut self, index: UpstreamIndex) {
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.leased = entry.leased.saturating_sub(1);
        }
    }

    /// Records the end of a request that another daemon sent by this daemon's share of an upstream's
    /// room.
    pub fn record_lent_end(&mut self, index: UpstreamIndex) {
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.lent = entry.lent.saturating_sub(1);
        }
    }
}

fn denied(ready_at: Time) -> LeaseReply {
    LeaseReply {
        is_granted: false,
        ready_at,
    }
}
