//! The ways of admitting requests that are compared.

use std::collections::{BTreeMap, VecDeque};

use limits::bucket::Bucket;
use limits::{
    Admission, AdmissionRequest, Config, DemandFact, Grant, Limiter, Limits, Reach, Ticket, Verdict,
};
use rand::rngs::SmallRng;
use types::prelude::*;

/// Requests that wait at a daemon with a static split, at most.
const MAX_QUEUE: usize = 1_024;
/// What callers are told by a static split.
const FIXED_RETRY: Span = Span::from_secs(1);

/// Which way an arm uses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// Ours; batch gives way when told so.
    Ours {
        /// Cancel own batch work for interactive work.
        give_way: bool,
    },
    /// Everything goes to the engines at once; they know priorities or not.
    Open {
        /// Engines are told priorities.
        priorities: bool,
    },
    /// An even part of slots and limits for each daemon, first come first served.
    StaticSplit,
}

/// How one daemon admits.
#[derive(Debug)]
pub enum Admitter {
    /// The component that is measured.
    Ours(Box<Limiter>),
    /// Everything at once.
    Open,
    /// An even part, first come first served.
    Static(Split),
}

/// An even part of slots and limits.
#[derive(Debug)]
pub struct Split {
    slots: u32,
    running: u32,
    waiting: VecDeque<u64>,
    buckets: BTreeMap<CustomerId, Bucket>,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Answer {
    /// It starts, with a grant if ours gave one.
    Start(Option<Grant>),
    /// It waits; ours names it by a ticket.
    Wait(Option<Ticket>),
    /// It is refused.
    Refuse(Span),
}

/// The end of a wait: by request's number or ticket.
#[derive(Debug)]
pub enum Ended {
    /// A request of the static split starts.
    Split(u64),
    /// A verdict of ours.
    Ours(Ticket, Verdict),
}

impl Admitter {
    /// One of so many daemons before so many slots.
    pub fn new(
        kind: Kind,
        daemon: usize,
        daemons: usize,
        slots: u32,
        pool: &EntryName,
        limits: &[(CustomerId, Rate)],
    ) -> Self {
        match kind {
            Kind::Ours { .. } => {
                let mut limiter = Limiter::new(daemon_id(daemon), Config::default());
                for (customer, limit) in limits {
                    let bounds = Limits {
                        requests: Some(*limit),
                        ..Limits::default()
                    };
                    limiter.set_customer(Time::ZERO, customer, bounds, 1);
                }
                let live = (0..daemons).map(daemon_id).collect();
                let reach = Reach {
                    reached: daemons,
                    known: daemons,
                };
                limiter.update_fleet(Time::ZERO, &live, reach);
                limiter.set_slots(Time::ZERO, pool, slots);
                Self::Ours(Box::new(limiter))
            }
            Kind::Open { .. } => Self::Open,
            Kind::StaticSplit => {
                let part = |limit: &Rate| Bucket::new(Time::ZERO, limit.0 / daemons as f64);
                let buckets = limits.iter().map(|(id, limit)| (id.clone(), part(limit)));
                Self::Static(Split {
                    slots: (slots / daemons as u32).max(1),
                    running: 0,
                    waiting: VecDeque::new(),
                    buckets: buckets.collect(),
                })
            }
        }
    }

    /// Decides on a request.
    pub fn admit(
        &mut self,
        now: Time,
        id: u64,
        ask: AdmissionRequest,
        rng: &mut SmallRng,
    ) -> Answer {
        match self {
            Self::Ours(limiter) => match limiter.admit(now, ask, rng) {
                Admission::Start(grant) => Answer::Start(Some(grant)),
                Admission::Wait(ticket) => Answer::Wait(Some(ticket)),
                Admission::Refuse(refusal) => Answer::Refuse(refusal.retry_after),
            },
            Self::Open => Answer::Start(None),
            Self::Static(split) => split.admit(now, id, &ask),
        }
    }

    /// Ends a request.
    pub fn release(&mut self, now: Time, grant: Option<Grant>, used: Tokens) {
        match (self, grant) {
            (Self::Ours(limiter), Some(grant)) => limiter.release(now, grant, used),
            (Self::Static(split), _) => split.running -= 1,
            _ => (),
        }
    }

    /// A running request gives way; it waits by the ticket.
    pub fn give_way(&mut self, grant: Option<Grant>) -> Option<Ticket> {
        match (self, grant) {
            (Self::Ours(limiter), Some(grant)) => Some(limiter.requeue_preempted(grant)),
            _ => None,
        }
    }

    /// What no longer waits.
    pub fn pump(&mut self, now: Time, rng: &mut SmallRng) -> Vec<Ended> {
        match self {
            Self::Ours(limiter) => {
                let ended = limiter.process_queues(now, rng).into_iter();
                ended
                    .map(|(ticket, verdict)| Ended::Ours(ticket, verdict))
                    .collect()
            }
            Self::Open => Vec::new(),
            Self::Static(split) => split.pump(),
        }
    }

    /// A tick; returns what the other daemons are to hear.
    pub fn tick(&mut self, now: Time) -> Option<DemandFact> {
        match self {
            Self::Ours(limiter) => limiter.tick(now),
            _ => None,
        }
    }

    /// Takes another daemon's demand.
    pub fn hear(&mut self, daemon: usize, fact: &DemandFact) {
        if let Self::Ours(limiter) = self {
            limiter.update_peer(&daemon_id(daemon), fact.clone());
        }
    }
}

impl Split {
    fn admit(&mut self, now: Time, id: u64, ask: &AdmissionRequest) -> Answer {
        if let Some(bucket) = self.buckets.get_mut(&ask.customer) {
            if !bucket.is_open(now, 1.0) {
                return Answer::Refuse(FIXED_RETRY);
            }
            bucket.take(1.0);
        }
        if self.running < self.slots && self.waiting.is_empty() {
            self.running += 1;
            return Answer::Start(None);
        }
        if self.waiting.len() >= MAX_QUEUE {
            return Answer::Refuse(FIXED_RETRY);
        }
        self.waiting.push_back(id);
        Answer::Wait(None)
    }

    fn pump(&mut self) -> Vec<Ended> {
        let mut ended = Vec::new();
        while self.running < self.slots {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            self.running += 1;
            ended.push(Ended::Split(id));
        }
        ended
    }
}

fn daemon_id(number: usize) -> DaemonId {
    format!("daemon-{number}").parse().expect("a name")
}
