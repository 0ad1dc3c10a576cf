//! The kinds of admission that are compared.

use std::collections::{BTreeMap, VecDeque};

use limits::bucket::Bucket;
use limits::{
    Admission, AdmissionRequest, Config, DemandFact, Grant, Limiter, Limits, Reach, Ticket, Verdict,
};
use rand::rngs::SmallRng;
use types::prelude::*;

/// Maximum number of requests that queue at a daemon with a static split.
const MAX_QUEUED: usize = 1_024;
/// Retry delay that a static split gives to refused callers.
const RETRY_AFTER: Span = Span::from_secs(1);

/// Kind of admission of an arm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// The router's limiter.
    Ours {
        /// Whether batch requests are cancelled in favor of interactive ones.
        give_way: bool,
    },
    /// No limits: every request goes to an engine at once.
    Open {
        /// Whether the engines know the requests' priorities.
        priorities: bool,
    },
    /// Each daemon gets an even share of slots and limits, first come first served.
    StaticSplit,
}

/// Admission state of one daemon.
#[derive(Debug)]
pub enum Admitter {
    /// The component under test.
    Ours(Box<Limiter>),
    /// Admits everything at once.
    Open,
    /// Even share, first come first served.
    Static(Split),
}

/// A daemon's even share of slots and limits.
#[derive(Debug)]
pub struct Split {
    slots: u32,
    running: u32,
    waiting: VecDeque<u64>,
    buckets: BTreeMap<CustomerId, Bucket>,
}

/// Decision on a request.
#[derive(Debug)]
pub enum Decision {
    /// The request starts, with a grant if the limiter issued one.
    Start(Option<Grant>),
    /// The request waits, with a ticket if the limiter issued one.
    Wait(Option<Ticket>),
    /// The request is refused and may be retried after this time.
    Refuse(Span),
}

/// End of a request's wait.
#[derive(Debug)]
pub enum Resumed {
    /// The static split starts the request with this number.
    Split(u64),
    /// The limiter decided on the request with this ticket.
    Ours(Ticket, Verdict),
}

impl Admitter {
    /// Creates the admission of one of `daemons` daemons in front of `slots` slots.
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
                let even_share = |limit: &Rate| Bucket::new(Time::ZERO, limit.0 / daemons as f64);
                let buckets = limits
                    .iter()
                    .map(|(id, limit)| (id.clone(), even_share(limit)));
                Self::Static(Split {
                    slots: (slots / daemons as u32).max(1),
                    running: 0,
                    waiting: VecDeque::new(),
                    buckets: buckets.collect(),
                })
            }
        }
    }

    /// Decides whether a request starts, waits or is refused.
    pub fn admit(
        &mut self,
        now: Time,
        id: u64,
        ask: AdmissionRequest,
        rng: &mut SmallRng,
    ) -> Decision {
        match self {
            Self::Ours(limiter) => match limiter.admit(now, ask, rng) {
                Admission::Start(grant) => Decision::Start(Some(grant)),
                Admission::Wait(ticket) => Decision::Wait(Some(ticket)),
                Admission::Refuse(refusal) => Decision::Refuse(refusal.retry_after),
            },
            Self::Open => Decision::Start(None),
            Self::Static(split) => split.admit(now, id, &ask),
        }
    }

    /// Releases the resources of a completed request.
    pub fn release(&mut self, now: Time, grant: Option<Grant>, used: Tokens) {
        match (self, grant) {
            (Self::Ours(limiter), Some(grant)) => limiter.release(now, grant, used),
            (Self::Static(split), _) => split.running -= 1,
            _ => (),
        }
    }

    /// Returns a preempted request to the queue; the ticket identifies it.
    pub fn give_way(&mut self, grant: Option<Grant>) -> Option<Ticket> {
        match (self, grant) {
            (Self::Ours(limiter), Some(grant)) => Some(limiter.requeue_preempted(grant)),
            _ => None,
        }
    }

    /// Returns the requests whose wait has ended.
    pub fn pump(&mut self, now: Time, rng: &mut SmallRng) -> Vec<Resumed> {
        match self {
            Self::Ours(limiter) => {
                let ended = limiter.process_queues(now, rng).into_iter();
                ended
                    .map(|(ticket, verdict)| Resumed::Ours(ticket, verdict))
                    .collect()
            }
            Self::Open => Vec::new(),
            Self::Static(split) => split.pump(),
        }
    }

    /// Runs periodic work; returns the demand fact to be sent to the other daemons, if any.
    pub fn tick(&mut self, now: Time) -> Option<DemandFact> {
        match self {
            Self::Ours(limiter) => limiter.tick(now),
            _ => None,
        }
    }

    /// Records another daemon's demand.
    pub fn record_peer_demand(&mut self, daemon: usize, fact: &DemandFact) {
        if let Self::Ours(limiter) = self {
            limiter.update_peer(&daemon_id(daemon), fact.clone());
        }
    }
}

impl Split {
    fn admit(&mut self, now: Time, id: u64, ask: &AdmissionRequest) -> Decision {
        if let Some(bucket) = self.buckets.get_mut(&ask.customer) {
            if !bucket.is_open(now, 1.0) {
                return Decision::Refuse(RETRY_AFTER);
            }
            bucket.take(1.0);
        }
        if self.running < self.slots && self.waiting.is_empty() {
            self.running += 1;
            return Decision::Start(None);
        }
        if self.waiting.len() >= MAX_QUEUED {
            return Decision::Refuse(RETRY_AFTER);
        }
        self.waiting.push_back(id);
        Decision::Wait(None)
    }

    fn pump(&mut self) -> Vec<Resumed> {
        let mut ended = Vec::new();
        while self.running < self.slots {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            self.running += 1;
            ended.push(Resumed::Split(id));
        }
        ended
    }
}

fn daemon_id(number: usize) -> DaemonId {
    format!("daemon-{number}").parse().expect("a name")
}
