//! The lease that lets one daemon drive a roll-out.
//!
//! A key of the store, bound to a store's lease and created only when absent. The revision
//! of its creation is the fencing number: larger for every holder. The holder counts its
//! lease from before it asked, so it stops no later than the store lets another in.

use keyvalue::{
    Answer, CallError, Compare, KeyValue, LeaseId, Op, OpReply, Outcome, Put, Range, Reply,
    Request, Txn,
};
use types::prelude::*;

/// A lease lapses this long after its last renewal.
pub const TTL: Span = Span::from_secs(15);
const RENEW_EVERY: Span = Span::from_secs(5);
const RENEW_AGAIN: Span = Span::from_secs(2);
/// The holder stops this long before its lease lapses: its clock may run a little slow.
const GUARD: Span = Span::from_secs(1);
/// A call whose outcome never comes is given up after.
const CALL_LOST: Span = Span::from_secs(60);

/// A lease that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// The store's lease.
    pub lease: LeaseId,
    /// Larger than that of any earlier holder.
    pub fencing: u64,
    /// Nothing may be done from then on.
    pub deadline: Time,
    renew_at: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Not held; the key is looked at next at this moment.
    Free(Time),
    /// Reads who holds it.
    Looking,
    /// Asks for a lease; it counts from this moment.
    Granting(Time),
    /// Creates the key; the lease would end then.
    Creating(LeaseId, Time),
    /// The reply to the creation was lost; reads whether it took effect.
    Confirming(LeaseId, Time),
    /// Held.
    Held(Hold),
    /// Held, renewed since this moment.
    Renewing(Hold, Time),
}

/// One daemon's part in the contest for a roll-out.
#[derive(Debug)]
pub struct Lease {
    key: String,
    daemon: DaemonId,
    state: State,
    calls: u64,
    give_up_at: Time,
    holder: Option<DaemonId>,
}

/// A call of the store, with the number that its outcome must come back with.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreCall {
    /// Its number.
    pub number: u64,
    /// What is asked.
    pub request: Request,
}

impl Lease {
    /// Not held.
    #[must_use]
    pub fn new(key: String, daemon: DaemonId) -> Self {
        Self {
            key,
            daemon,
            state: State::Free(Time::ZERO),
            calls: 0,
            give_up_at: Time::NEVER,
            holder: None,
        }
    }

    /// The lease, while it is certain that no other daemon holds it.
    ///
    /// Guards against acting after a pause: the deadline lies before the moment at which
    /// the store can let a successor in, so a driver that wakes too late finds it passed.
    #[must_use]
    pub fn held(&self, now: Time) -> Option<Hold> {
        match self.state {
            State::Held(hold) | State::Renewing(hold, _) if now < hold.deadline => Some(hold),
            _ => None,
        }
    }

    /// The daemon last seen to hold it.
    #[must_use]
    pub fn holder(&self) -> Option<&DaemonId> {
        self.holder.as_ref()
    }

    /// What to ask of the store now.
    pub fn tick(&mut self, now: Time, wanted: bool, rank: Option<u32>) -> Option<StoreCall> {
        self.drop_lapsed(now);
        match self.state {
            State::Free(look_at) if wanted && rank.is_some() && now.has_reached(look_at) => {
                self.state = State::Looking;
                let range = Range::key(self.key.clone());
                Some(self.call(now, Request::Range(range)))
            }
            State::Held(hold) if !wanted => {
                self.free(now + TTL);
                Some(self.call(now, Request::LeaseRevoke(hold.lease)))
            }
            State::Held(hold) if now.has_reached(hold.renew_at) => {
                self.state = State::Renewing(hold, now);
                Some(self.call(now, Request::LeaseKeepAlive(hold.lease)))
            }
            _ => None,
        }
    }

    fn drop_lapsed(&mut self, now: Time) {
        let lapsed = match self.state {
            State::Held(hold) | State::Renewing(hold, _) => now.has_reached(hold.deadline),
            State::Free(_) => false,
            _ => now.has_reached(self.give_up_at),
        };
        if lapsed {
            self.free(now);
        }
    }

    fn free(&mut self, look_at: Time) {
        self.state = State::Free(look_at);
        self.holder = None;
    }

    fn call(&mut self, now: Time, request: Request) -> StoreCall {
        self.calls += 1;
        self.give_up_at = now + CALL_LOST;
        let number = self.calls;
        StoreCall { number, request }
    }

    /// Takes a call's outcome; gives the call that follows. Outcomes of calls given up
    /// meanwhile are ignored.
    pub fn on_outcome(
        &mut self,
        now: Time,
        number: u64,
        outcome: Outcome,
        rank: Option<u32>,
    ) -> Option<StoreCall> {
        if number != self.calls {
            return None;
        }
        let wait = TTL.times(1 + u64::from(rank.unwrap_or(0)));
        match (self.state, outcome) {
            (State::Looking, Ok(answer)) => self.looked(now, &answer, wait),
            (State::Granting(since), Ok(answer)) => self.granted(now, since, &answer, wait),
            (State::Creating(lease, end), Ok(answer)) => {
                self.created(now, (lease, end), &answer, wait);
                None
            }
            (State::Creating(lease, end), Err(CallError::Unknown(_))) => {
                self.state = State::Confirming(lease, end);
                let range = Range::key(self.key.clone());
                Some(self.call(now, Request::Range(range)))
            }
            (State::Confirming(lease, end), Ok(answer)) => {
                self.confirmed(now, (lease, end), &answer, wait);
                None
            }
            (State::Renewing(hold, since), outcome) => {
                self.renewed(now, hold, since, &outcome);
                None
            }
            (State::Held(_) | State::Free(_), _) => None,
            (_, Err(_)) => {
                self.free(now + wait);
                None
            }
        }
    }

    fn looked(&mut self, now: Time, answer: &Answer, wait: Span) -> Option<StoreCall> {
        match &answer.reply {
            Reply::Range(found) if found.is_empty() => {
                self.state = State::Granting(now);
                Some(self.call(now, Request::LeaseGrant { ttl: TTL }))
            }
            Reply::Range(found) => {
                self.lost_to(found.first(), now + wait);
                None
            }
            _ => {
                self.free(now + wait);
                None
            }
        }
    }

    fn lost_to(&mut self, found: Option<&KeyValue>, look_at: Time) {
        self.free(look_at);
        self.holder = found.and_then(|kv| {
            let text = std::str::from_utf8(&kv.value).ok()?;
            text.split_once(' ')?.1.parse().ok()
        });
    }

    fn granted(
        &mut self,
        now: Time,
        since: Time,
        answer: &Answer,
        wait: Span,
    ) -> Option<StoreCall> {
        let Reply::LeaseGranted(lease) = answer.reply else {
            self.free(now + wait);
            return None;
        };
        self.state = State::Creating(lease, since + TTL - GUARD);
        let put = Put {
            key: self.key.clone(),
            value: self.value(lease).into(),
            lease: Some(lease),
        };
        let txn = Txn {
            compare: vec![Compare::Absent(self.key.clone())],
            success: vec![Op::Put(put)],
            failure: vec![Op::Range(Range::key(self.key.clone()))],
        };
        Some(self.call(now, Request::Txn(txn)))
    }

    /// The key's value: the lease makes it this contest's own, the daemon is for people.
    fn value(&self, lease: LeaseId) -> String {
        format!("{} {}", lease.0, self.daemon)
    }

    fn created(&mut self, now: Time, (lease, end): (LeaseId, Time), answer: &Answer, wait: Span) {
        match &answer.reply {
            Reply::Txn(reply) if reply.succeeded => {
                self.hold(lease, fencing(answer.revision.0), end, now);
            }
            Reply::Txn(reply) => {
                let found = reply.replies.iter().find_map(|reply| match reply {
                    OpReply::Range(found) => found.first(),
                    _ => None,
                });
                self.lost_to(found, now + wait);
            }
            _ => self.free(now + wait),
        }
    }

    fn confirmed(&mut self, now: Time, (lease, end): (LeaseId, Time), answer: &Answer, wait: Span) {
        let found = match &answer.reply {
            Reply::Range(found) => found.first(),
            _ => None,
        };
        let mine = self.value(lease);
        match found {
            Some(kv) if kv.value == mine.as_bytes() => {
                self.hold(lease, fencing(kv.mod_revision.0), end, now);
            }
            found => self.lost_to(found, now + wait),
        }
    }

    fn hold(&mut self, lease: LeaseId, fencing: u64, deadline: Time, now: Time) {
        self.state = State::Held(Hold {
            lease,
            fencing,
            deadline,
            renew_at: now + RENEW_EVERY,
        });
        self.holder = Some(self.daemon.clone());
    }

    fn renewed(&mut self, now: Time, hold: Hold, since: Time, outcome: &Outcome) {
        let kept = match outcome {
            Ok(Answer {
                reply: Reply::LeaseKept(left),
                ..
            }) => Some(left.is_some()),
            _ => None,
        };
        match kept {
            Some(true) => {
                self.state = State::Held(Hold {
                    deadline: since + TTL - GUARD,
                    renew_at: since + RENEW_EVERY,
                    ..hold
                });
            }
            Some(false) => self.free(now),
            // Not renewed, but the lease runs on until its deadline.
            None => {
                let renew_at = now + RENEW_AGAIN;
                self.state = State::Held(Hold { renew_at, ..hold });
            }
        }
    }
}

fn fencing(revision: i64) -> u64 {
    u64::try_from(revision).unwrap_or(0)
}
