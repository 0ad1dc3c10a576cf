//! Instances of the decisions in fast time, with fakes of the gossip and of the rater.
//!
//! No cluster is simulated: instances exchange their facts by a push epidemic that loses some,
//! and ratings come back after a lag, up to a rate.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;

use quality::{Change, ChoiceInput, Config, Phase, Plan, Quality, Rating};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use types::prelude::*;

const TICK: Span = Span::from_millis(100);
const ROUND: Span = Span::from_millis(200);
const FANOUT: usize = 3;
/// Rounds that a fact is passed on beyond the logarithm of the fleet.
const EXTRA_ROUNDS: u32 = 3;

/// How the fakes behave.
#[derive(Debug, Clone)]
pub struct Surroundings {
    /// Instances.
    pub daemons: usize,
    /// Share of messages lost.
    pub loss: f64,
    /// From an answer to its rating.
    pub rater_lag: Span,
    /// Ratings that the rater takes.
    pub rater_rate: Rate,
    /// Settings of every instance.
    pub config: Config,
}

impl Default for Surroundings {
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

/// One fact on its way: who said it, its key, its number and its value.
#[derive(Debug)]
struct Fact {
    origin: usize,
    key: Vec<u8>,
    number: u64,
    value: Vec<u8>,
}

struct Member {
    quality: Quality,
    held: BTreeMap<(usize, Vec<u8>), u64>,
    passing_on: Vec<(Rc<Fact>, u32)>,
}

/// A rating on its way back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Time,
    number: u64,
}

struct Rated {
    daemon: usize,
    class: ClassName,
    version: VersionId,
    rating: Rating,
}

/// Instances, gossip, rater and the time.
pub struct Fleet {
    pub now: Time,
    pub rng: StdRng,
    surroundings: Surroundings,
    members: Vec<Member>,
    next_tick: Time,
    next_round: Time,
    due: BinaryHeap<Reverse<Due>>,
    rated: BTreeMap<u64, Rated>,
    counter: u64,
    rater_busy: VecDeque<Time>,
    /// Changes of standing, with their moment.
    pub changes: Vec<(Time, usize, Change)>,
    /// Bytes of facts published, all instances: what each must hear once.
    pub bytes: u64,
}

impl Fleet {
    pub fn new(surroundings: Surroundings, seed: u64) -> Self {
        let start = |number| Member {
            quality: Quality::new(
                surroundings.config.clone(),
                Incarnation(number as u64 + 1),
                Time::ZERO,
            ),
            held: BTreeMap::new(),
            passing_on: Vec::new(),
        };
        Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
            members: (0..surroundings.daemons).map(start).collect(),
            surroundings,
            next_tick: Time::ZERO,
            next_round: Time::ZERO,
            due: BinaryHeap::new(),
            rated: BTreeMap::new(),
            counter: 0,
            rater_busy: VecDeque::new(),
            changes: Vec::new(),
            bytes: 0,
        }
    }

    /// Goes on to a moment: ratings, ticks and gossip in their order.
    pub fn advance(&mut self, to: Time) {
        loop {
            let rating = self.due.peek().map_or(Time::NEVER, |due| due.0.at);
            let next = rating.min(self.next_tick).min(self.next_round);
            if next > to {
                break;
            }
            self.now = next;
            if next == rating {
                self.deliver_rating();
            } else if next == self.next_tick {
                self.tick();
            } else {
                self.gossip();
            }
        }
        self.now = to;
    }

    /// A random instance, as the balancer picks.
    pub fn any_daemon(&mut self) -> usize {
        self.rng.random_range(0..self.members.len())
    }

    pub fn choose(&mut self, daemon: usize, input: &ChoiceInput<'_>) -> Option<Plan> {
        let quality = &mut self.members[daemon].quality;
        quality.choose(self.now, input, &mut self.rng)
    }

    /// Has an answer rated if the instance wants to and the rater takes it.
    pub fn offer_rating(
        &mut self,
        daemon: usize,
        class: &ClassName,
        version: &VersionId,
        rating: Rating,
    ) {
        let quality = &mut self.members[daemon].quality;
        let escalated = rating.escalated;
        let wanted = quality.should_rate(self.now, class, version, escalated, &mut self.rng);
        if !wanted || !self.rater_takes() {
            return;
        }
        self.counter += 1;
        let rated = Rated {
            daemon,
            class: class.clone(),
            version: version.clone(),
            rating,
        };
        self.rated.insert(self.counter, rated);
        self.due.push(Reverse(Due {
            at: self.now + self.surroundings.rater_lag,
            number: self.counter,
        }));
    }

    fn rater_takes(&mut self) -> bool {
        let second_ago = self.now - Span::from_secs(1);
        while self.rater_busy.front().is_some_and(|at| *at < second_ago) {
            self.rater_busy.pop_front();
        }
        let free = (self.rater_busy.len() as f64) < 2.0 * self.surroundings.rater_rate.0;
        if free {
            self.rater_busy.push_back(self.now);
        }
        free
    }

    fn deliver_rating(&mut self) {
        let Some(Reverse(due)) = self.due.pop() else {
            return;
        };
        let Some(rated) = self.rated.remove(&due.number) else {
            return;
        };
        let quality = &mut self.members[rated.daemon].quality;
        let taken = quality.record_rating(
            self.now,
            &rated.class,
            &rated.version,
            rated.rating,
            &mut self.rng,
        );
        debug_assert!(taken.is_ok());
    }

    fn tick(&mut self) {
        self.next_tick = self.now + TICK;
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
                self.counter += 1;
                let fact = Fact {
                    origin,
                    key: encoded.key.to_vec(),
                    number: self.counter,
                    value: encoded.value.to_vec(),
                };
                self.bytes += (fact.key.len() + fact.value.len()) as u64;
                member.held.insert((origin, fact.key.clone()), fact.number);
                member.passing_on.push((Rc::new(fact), rounds));
            }
        }
    }

    fn gossip(&mut self) {
        self.next_round = self.now + ROUND;
        let fleet = self.members.len();
        let mut mail: Vec<(usize, Rc<Fact>)> = Vec::new();
        for (sender, member) in self.members.iter_mut().enumerate() {
            for _ in 0..FANOUT.min(fleet - 1) {
                let peer = self.rng.random_range(0..fleet);
                for (fact, _) in &member.passing_on {
                    if peer != sender && !self.rng.random_bool(self.surroundings.loss) {
                        mail.push((peer, fact.clone()));
                    }
                }
            }
            for (_, rounds_left) in &mut member.passing_on {
                *rounds_left -= 1;
            }
            member
                .passing_on
                .retain(|(_, rounds_left)| *rounds_left > 0);
        }
        for (peer, fact) in mail {
            self.receive(peer, fact);
        }
    }

    fn receive(&mut self, peer: usize, fact: Rc<Fact>) {
        let member = &mut self.members[peer];
        let held = member
            .held
            .entry((fact.origin, fact.key.clone()))
            .or_default();
        if fact.origin == peer || fact.number <= *held {
            return;
        }
        *held = fact.number;
        let Ok(origin) = DaemonId::new(&format!("d{}", fact.origin)) else {
            return;
        };
        let (key, value) = (&fact.key, &fact.value);
        let merged = member
            .quality
            .merge_fact(self.now, &origin, key, value, &mut self.rng);
        debug_assert!(merged.is_ok());
        let rounds = self.surroundings.daemons.ilog2() + EXTRA_ROUNDS;
        member
            .passing_on
            .retain(|(old, _)| old.origin != fact.origin || old.key != fact.key);
        member.passing_on.push((fact, rounds));
    }

    /// Instances in which a version is suspended.
    pub fn suspended_in(&self, version: &VersionId) -> usize {
        let held = self.members.iter();
        held.filter(|member| member.quality.is_suspended(version))
            .count()
    }

    /// Suspensions begun, over all instances.
    pub fn suspensions(&self) -> usize {
        let changes = self.changes.iter();
        changes
            .filter(|(_, _, change)| change.to == Phase::Suspended)
            .count()
    }
}
