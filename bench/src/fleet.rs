//! Simulates a fleet of daemons that choose versions, with simplified gossip and a simplified
//! rater.
//!
//! Only the choice of version is the real component. Facts spread by a push epidemic that loses
//! some messages; ratings arrive after a delay and up to a maximum rate.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;

use quality::{Change, ChoiceInput, Config, Phase, Plan, Quality, Rating};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use types::prelude::*;

const TICK_INTERVAL: Span = Span::from_millis(100);
const GOSSIP_INTERVAL: Span = Span::from_millis(200);
const GOSSIP_FANOUT: usize = 3;
/// Number of rounds that a fact is relayed in addition to the binary logarithm of the fleet's size.
const EXTRA_ROUNDS: u32 = 3;

/// Settings of the simulated fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Number of daemons.
    pub daemons: usize,
    /// Fraction of messages lost.
    pub loss: f64,
    /// Delay from an answer to its rating.
    pub rater_lag: Span,
    /// Maximum rate of ratings that the rater accepts.
    pub rater_rate: Rate,
    /// Settings of the component in every daemon.
    pub config: Config,
}

impl Default for FleetConfig {
    fn default() -> Self {
        let rater_rate = Rate(20.0);
        Self {
            daemons: 8,
            loss: 0.0,
            rater_lag: Span::from_millis(500),
            rater_rate,
            config: Config {
                ratings: rater_rate,
                ..Config::default()
            },
        }
    }
}

/// A published fact that is being relayed.
#[derive(Debug)]
struct Fact {
    origin: usize,
    key: Vec<u8>,
    number: u64,
    value: Vec<u8>,
}

struct Member {
    quality: Quality,
    latest: BTreeMap<(usize, Vec<u8>), u64>,
    relayed: Vec<(Rc<Fact>, u32)>,
}

/// Delivery time and number of a rating that has not been delivered yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PendingRating {
    at: Time,
    number: u64,
}

struct RatedAnswer {
    daemon: usize,
    class: ClassName,
    version: VersionId,
    rating: Rating,
}

/// A simulated fleet with its gossip, its rater and its clock.
pub struct Fleet {
    pub now: Time,
    pub rng: StdRng,
    cfg: FleetConfig,
    members: Vec<Member>,
    next_tick_at: Time,
    next_gossip_at: Time,
    pending_ratings: BinaryHeap<Reverse<PendingRating>>,
    rated_answers: BTreeMap<u64, RatedAnswer>,
    last_number: u64,
    accepted_at: VecDeque<Time>,
    /// Changes of a version's phase, with their time and the daemon's index.
    pub changes: Vec<(Time, usize, Change)>,
    /// Bytes of all published facts, which every daemon must receive once.
    pub bytes: u64,
}

impl Fleet {
    pub fn new(cfg: FleetConfig, seed: u64) -> Self {
        let start = |number| Member {
            quality: Quality::new(
                cfg.config.clone(),
                Incarnation(number as u64 + 1),
                Time::ZERO,
            ),
            latest: BTreeMap::new(),
            relayed: Vec::new(),
        };
        Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
            members: (0..cfg.daemons).map(start).collect(),
            cfg,
            next_tick_at: Time::ZERO,
            next_gossip_at: Time::ZERO,
            pending_ratings: BinaryHeap::new(),
            rated_answers: BTreeMap::new(),
            last_number: 0,
            accepted_at: VecDeque::new(),
            changes: Vec::new(),
            bytes: 0,
        }
    }

    /// Advances the clock, delivering ratings, ticks and gossip rounds in order.
    pub fn advance(&mut self, to: Time) {
        loop {
            let rating = self
                .pending_ratings
                .peek()
                .map_or(Time::NEVER, |pending| pending.0.at);
            let next = rating.min(self.next_tick_at).min(self.next_gossip_at);
            if next > to {
                break;
            }
            self.now = next;
            if next == rating {
                self.deliver_rating();
            } else if next == self.next_tick_at {
                self.tick();
            } else {
                self.gossip();
            }
        }
        self.now = to;
    }

    /// Picks a random daemon, like the platform's load balancer.
    pub fn random_daemon(&mut self) -> usize {
        self.rng.random_range(0..self.members.len())
    }

    pub fn choose(&mut self, daemon: usize, input: &ChoiceInput<'_>) -> Option<Plan> {
        let quality = &mut self.members[daemon].quality;
        quality.choose(self.now, input, &mut self.rng)
    }

    /// Submits an answer for rating if the daemon wants it rated and the rater accepts it.
    pub fn offer_rating(
        &mut self,
        daemon: usize,
        class: &ClassName,
        version: &VersionId,
        rating: Rating,
    ) {
        let quality = &mut self.members[daemon].quality;
        let escalated = rating.escalated;
        let should_rate = quality.should_rate(self.now, class, version, escalated, &mut self.rng);
        if !should_rate || !self.rater_accepts() {
            return;
        }
        self.last_number += 1;
        let rated = RatedAnswer {
            daemon,
            class: class.clone(),
            version: version.clone(),
            rating,
        };
        self.rated_answers.insert(self.last_number, rated);
        self.pending_ratings.push(Reverse(PendingRating {
            at: self.now + self.cfg.rater_lag,
            number: self.last_number,
        }));
    }

    fn rater_accepts(&mut self) -> bool {
        let second_ago = self.now - Span::from_secs(1);
        while self.accepted_at.front().is_some_and(|at| *at < second_ago) {
            self.accepted_at.pop_front();
        }
        let free = (self.accepted_at.len() as f64) < 2.0 * self.cfg.rater_rate.0;
        if free {
            self.accepted_at.push_back(self.now);
        }
        free
    }

    fn deliver_rating(&mut self) {
        let Some(Reverse(pending)) = self.pending_ratings.pop() else {
            return;
        };
        let Some(rated) = self.rated_answers.remove(&pending.number) else {
            return;
        };
        let quality = &mut self.members[rated.daemon].quality;
        let recorded = quality.record_rating(
            self.now,
            &rated.class,
            &rated.version,
            rated.rating,
            &mut self.rng,
        );
        debug_assert!(recorded.is_ok());
    }

    fn tick(&mut self) {
        self.next_tick_at = self.now + TICK_INTERVAL;
        let fleet = self.members.len();
        let rounds = fleet.ilog2() + EXTRA_ROUNDS;
        for (origin, member) in self.members.iter_mut().enumerate() {
            let changes = member.quality.tick(self.now, fleet, &mut self.rng);
            let now = self.now;
            self.changes
                .extend(changes.into_iter().map(|change| (now, origin, change)));
            for encoded in member
                .quality
                .take_unpublished_facts(self.now, &mut self.rng)
            {
                self.last_number += 1;
                let fact = Fact {
                    origin,
                    key: encoded.key.to_vec(),
                    number: self.last_number,
                    value: encoded.value.to_vec(),
                };
                self.bytes += (fact.key.len() + fact.value.len()) as u64;
                member
                    .latest
                    .insert((origin, fact.key.clone()), fact.number);
                member.relayed.push((Rc::new(fact), rounds));
            }
        }
    }

    fn gossip(&mut self) {
        self.next_gossip_at = self.now + GOSSIP_INTERVAL;
        let fleet = self.members.len();
        let mut messages: Vec<(usize, Rc<Fact>)> = Vec::new();
        for (sender, member) in self.members.iter_mut().enumerate() {
            for _ in 0..GOSSIP_FANOUT.min(fleet - 1) {
                let peer = self.rng.random_range(0..fleet);
                for (fact, _) in &member.relayed {
                    if peer != sender && !self.rng.random_bool(self.cfg.loss) {
                        messages.push((peer, fact.clone()));
                    }
                }
            }
            for (_, rounds_left) in &mut member.relayed {
                *rounds_left -= 1;
            }
            member.relayed.retain(|(_, rounds_left)| *rounds_left > 0);
        }
        for (peer, fact) in messages {
            self.receive(peer, fact);
        }
    }

    fn receive(&mut self, peer: usize, fact: Rc<Fact>) {
        let member = &mut self.members[peer];
        let latest = member
            .latest
            .entry((fact.origin, fact.key.clone()))
            .or_default();
        if fact.origin == peer || fact.number <= *latest {
            return;
        }
        *latest = fact.number;
        let Ok(origin) = DaemonId::new(&format!("d{}", fact.origin)) else {
            return;
        };
        let (key, value) = (&fact.key, &fact.value);
        let merged = member
            .quality
            .merge_fact(self.now, &origin, key, value, &mut self.rng);
        debug_assert!(merged.is_ok());
        let rounds = self.cfg.daemons.ilog2() + EXTRA_ROUNDS;
        member
            .relayed
            .retain(|(old, _)| old.origin != fact.origin || old.key != fact.key);
        member.relayed.push((fact, rounds));
    }

    /// Number of daemons in which a version is suspended.
    pub fn suspended_daemons(&self, version: &VersionId) -> usize {
        let members = self.members.iter();
        members
            .filter(|member| member.quality.is_suspended(version))
            .count()
    }

    /// Number of suspensions so far in all daemons.
    pub fn suspensions(&self) -> usize {
        let changes = self.changes.iter();
        changes
            .filter(|(_, _, change)| change.to == Phase::Suspended)
            .count()
    }
}
