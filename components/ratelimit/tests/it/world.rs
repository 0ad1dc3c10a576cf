//! A fleet of daemons before upstreams with limits, in simulated time.
//!
//! Each daemon has the product's table and knows what its own answers and its peers say. Daemons
//! that come and go are learnt of late, messages are delayed and lost, and answers begin up to some
//! seconds after their requests were sent, so that they overtake each other.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ratelimit::{Admission, Advertised, Advertisement, Fleet, RateLimits, RunKey};
use types::prelude::*;

/// Requests are counted over.
const WINDOW: Span = Span::from_secs(4);
const STEP: Span = Span::from_millis(10);
/// Daemons tell each other this often.
const TELL: Span = Span::from_millis(200);
/// A fleet of up to so many tells everybody, a larger one a few.
const SMALL: usize = 16;
const TOLD: usize = 4;

/// What is played.
#[derive(Debug, Clone)]
pub struct Day {
    pub seed: u64,
    pub daemons: usize,
    pub seconds: u64,
    /// Requests a second over all daemons.
    pub requests_per_s: f64,
    /// The limit of each upstream; none for one that takes everything.
    pub limits: Vec<Option<f64>>,
    /// Limits are named in this span of seconds.
    pub named: (u64, u64),
    /// Part of the messages that is lost.
    pub lost: f64,
    /// A daemon is killed every so often, and back two seconds later.
    pub kill_every: Option<Span>,
    /// Daemons are cut in halves in this span of seconds.
    pub cut: Option<(u64, u64)>,
    /// A new daemon joins every so often.
    pub join_every: Option<Span>,
    /// All daemons are killed at this second.
    pub killed_all_at: Option<u64>,
}

impl Default for Day {
    fn default() -> Self {
        Self {
            seed: 1,
            daemons: 6,
            seconds: 40,
            requests_per_s: 120.0,
            limits: vec![Some(2.1), Some(1.3), None, None],
            named: (5, 30),
            lost: 0.0,
            kill_every: None,
            cut: None,
            join_every: None,
            killed_all_at: None,
        }
    }
}

/// What came of a day, by upstream.
#[derive(Debug, Default, Clone)]
pub struct Got {
    /// Arrivals by everybody in the worst window, from three seconds after the first naming on.
    pub worst: usize,
    /// The same by daemons that an answer had told half a second before.
    pub worst_told: usize,
    /// Arrivals while the limit was named, from three seconds on.
    pub limited: usize,
    /// How long after the limit's end the first request came.
    pub idle_after: Option<Span>,
}

impl Got {
    pub fn allowed(limit: f64) -> usize {
        (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
    }
}

struct Daemon {
    id: DaemonId,
    limits: RateLimits,
    started_at: Time,
    is_up: bool,
    /// Others whose coming this one has learnt of, and when it learns of more.
    knows: BTreeSet<usize>,
    learns: Vec<(Time, usize)>,
    told_at: BTreeMap<usize, Time>,
}

impl Daemon {
    /// This daemon's own clock.
    fn own(&self, now: Time) -> Time {
        Time(now.since(self.started_at).as_micros())
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The answer's head comes back to a daemon's run that sent it then.
    Answer {
        daemon: usize,
        run_at: Time,
        upstream: usize,
        sent_at: Time,
    },
    Message {
        to: usize,
        place: usize,
    },
}

struct Play<'a> {
    day: &'a Day,
    rng: ChaCha8Rng,
    daemons: Vec<Daemon>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    messages: Vec<Vec<Advertisement>>,
    next_event: u64,
    arrivals: Vec<Vec<(Time, bool)>>,
}

fn secs(seconds: u64) -> Time {
    Time::ZERO + Span::from_secs(seconds)
}

/// Plays a day.
pub fn play(day: &Day) -> Vec<Got> {
    let mut play = Play {
        day,
        rng: ChaCha8Rng::seed_from_u64(day.seed),
        daemons: Vec::new(),
        events: BinaryHeap::new(),
        messages: Vec::new(),
        next_event: 0,
        arrivals: vec![Vec::new(); day.limits.len()],
    };
    for _ in 0..day.daemons {
        play.join(Time::ZERO);
    }
    let mut now = Time::ZERO;
    let mut tell_at = Time::ZERO;
    let mut kill_at = day.kill_every.map(|every| secs(6) + every);
    let mut join_at = day.join_every.map(|every| secs(6) + every);
    let mut back = Vec::<(Time, usize)>::new();
    while now < secs(day.seconds) {
        play.deliver(now);
        for (_, daemon) in back.extract_if(.., |(at, _)| *at <= now) {
            play.restart(now, daemon);
        }
        if day.killed_all_at.is_some_and(|at| now == secs(at)) {
            for daemon in 0..play.daemons.len() {
                play.restart(now, daemon);
            }
        }
        if kill_at.is_some_and(|at| now >= at) {
            let daemon = play.rng.random_range(0..play.daemons.len());
            play.daemons[daemon].is_up = false;
            back.push((now + Span::from_secs(2), daemon));
            kill_at = day.kill_every.map(|every| now + every);
        }
        if join_at.is_some_and(|at| now >= at) {
            play.join(now);
            join_at = day.join_every.map(|every| now + every);
        }
        if now >= tell_at {
            play.tell(now);
            tell_at = now + TELL;
        }
        play.requests(now);
        now = now + STEP;
    }
    let limits = day.limits.iter().zip(&play.arrivals);
    limits.map(|(_, arrivals)| got(day, arrivals)).collect()
}

impl Play<'_> {
    fn learns(&mut self, now: Time) -> Time {
        let most = if self.daemons.len() > SMALL {
            4_500
        } else {
            800
        };
        now + Span::from_millis(self.rng.random_range(50..most))
    }

    fn join(&mut self, now: Time) {
        let new = self.daemons.len();
        for other in 0..new {
            let at = self.learns(now);
            self.daemons[other].learns.push((at, new));
        }
        self.daemons.push(Daemon {
            id: DaemonId::new(&format!("daemon-{new}")).expect("a name"),
            limits: RateLimits::default(),
            started_at: now,
            is_up: true,
            knows: BTreeSet::new(),
            learns: Vec::new(),
            told_at: BTreeMap::new(),
        });
        self.learn_all(now, new);
    }

    /// A daemon without a memory learns of all others, one after the other.
    fn learn_all(&mut self, now: Time, daemon: usize) {
        for other in (0..self.daemons.len()).filter(|other| *other != daemon) {
            let at = self.learns(now);
            self.daemons[daemon].learns.push((at, other));
        }
        self.set_fleet(now, daemon);
    }

    fn restart(&mut self, now: Time, daemon: usize) {
        let it = &mut self.daemons[daemon];
        it.limits = RateLimits::default();
        it.started_at = now;
        it.is_up = true;
        it.knows.clear();
        it.learns.clear();
        it.told_at.clear();
        self.learn_all(now, daemon);
    }

    fn set_fleet(&mut self, now: Time, daemon: usize) {
        let it = &self.daemons[daemon];
        let others = it.knows.iter().map(|other| &self.daemons[*other].id);
        let fleet = Arc::new(Fleet::new(&it.id, others));
        let it = &mut self.daemons[daemon];
        let own = it.own(now);
        it.limits.set_fleet(own, &fleet);
    }

    fn is_cut(&self, now: Time, a: usize, b: usize) -> bool {
        let cut = self.day.cut;
        cut.is_some_and(|(from, to)| now >= secs(from) && now < secs(to)) && a % 2 != b % 2
    }

    fn push(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn deliver(&mut self, now: Time) {
        while self
            .events
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= now)
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                return;
            };
            match event {
                Event::Answer {
                    daemon,
                    run_at,
                    upstream,
                    sent_at,
                } => self.answer(at, daemon, run_at, upstream, sent_at),
                Event::Message { to, place } => {
                    let told = std::mem::take(&mut self.messages[place]);
                    let daemon = &mut self.daemons[to];
                    if daemon.is_up {
                        let own = daemon.own(at);
                        for ad in &told {
                            daemon.limits.merge(own, ad);
                        }
                    }
                }
            }
        }
        for daemon in 0..self.daemons.len() {
            let it = &mut self.daemons[daemon];
            let due = it.learns.extract_if(.., |(at, _)| *at <= now);
            let due = due.map(|(_, other)| other).collect::<Vec<_>>();
            if !due.is_empty() {
                it.knows.extend(due);
                self.set_fleet(now, daemon);
            }
        }
    }

    fn limit_named(&self, at: Time, upstream: usize) -> Option<f64> {
        let (from, to) = self.day.named;
        let is_named = at >= secs(from) && at < secs(to);
        self.day.limits[upstream].filter(|_| is_named)
    }

    fn answer(&mut self, at: Time, daemon: usize, run_at: Time, upstream: usize, sent_at: Time) {
        let limit = self.limit_named(at, upstream);
        let it = &mut self.daemons[daemon];
        if !it.is_up || it.started_at != run_at {
            return;
        }
        let said = match limit {
            Some(limit) => {
                it.told_at.entry(upstream).or_insert(at);
                Advertised::Limit(Rate(limit))
            }
            None => Advertised::Nothing,
        };
        let (own, own_sent) = (it.own(at), it.own(sent_at));
        it.limits.observe(own, run(upstream), own_sent, said);
    }

    fn tell(&mut self, now: Time) {
        for from in 0..self.daemons.len() {
            if !self.daemons[from].is_up {
                continue;
            }
            let own = self.daemons[from].own(now);
            let told = self.daemons[from].limits.advertise(own);
            let known = self.daemons[from].knows.iter().copied().collect::<Vec<_>>();
            if told.is_empty() || known.is_empty() {
                continue;
            }
            let count = if known.len() < SMALL {
                known.len()
            } else {
                TOLD
            };
            for n in 0..count {
                let to = match known.len() < SMALL {
                    true => known[n],
                    false => known[self.rng.random_range(0..known.len())],
                };
                let is_lost = self.day.lost > 0.0 && self.rng.random_bool(self.day.lost);
                if is_lost || self.is_cut(now, from, to) {
                    continue;
                }
                let place = self.messages.len();
                self.messages.push(told.clone());
                let at = now + Span::from_millis(self.rng.random_range(1..250));
                self.push(at, Event::Message { to, place });
            }
        }
    }

    fn requests(&mut self, now: Time) {
        let mean = self.day.requests_per_s * STEP.as_secs_f64();
        let mut count = mean as usize;
        count += usize::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            let daemon = self.rng.random_range(0..self.daemons.len());
            let it = &self.daemons[daemon];
            if !it.is_up {
                continue;
            }
            let own = it.own(now);
            let open = (0..self.day.limits.len())
                .filter(|u| it.limits.admission(own, run(*u)) == Admission::Open)
                .collect::<Vec<_>>();
            if open.is_empty() {
                continue;
            }
            let upstream = open[self.rng.random_range(0..open.len())];
            let it = &mut self.daemons[daemon];
            it.limits.take(own, run(upstream));
            let told = it.told_at.get(&upstream);
            let is_told = told.is_some_and(|at| now.since(*at) >= Span::from_millis(500));
            let run_at = it.started_at;
            self.arrivals[upstream].push((now, is_told));
            let slow = self.rng.random_bool(0.1);
            let most = if slow { 3_000 } else { 100 };
            let at = now + Span::from_millis(self.rng.random_range(5..most));
            self.push(
                at,
                Event::Answer {
                    daemon,
                    run_at,
                    upstream,
                    sent_at: now,
                },
            );
        }
    }
}

fn run(upstream: usize) -> RunKey {
    RunKey(upstream as u32 * 7_919 + 13)
}

fn got(day: &Day, arrivals: &[(Time, bool)]) -> Got {
    let (from, to) = (secs(day.named.0 + 3), secs(day.named.1));
    let mut got = Got::default();
    let worst = |is_counted: &dyn Fn(bool) -> bool| {
        let mut window = VecDeque::new();
        let mut worst = 0;
        for (at, is_told) in arrivals {
            if !is_counted(*is_told) || *at < secs(day.named.0) || *at >= to {
                continue;
            }
            window.push_back(*at);
            while window
                .front()
                .is_some_and(|first| at.since(*first) > WINDOW)
            {
                window.pop_front();
            }
            if *at >= from + WINDOW {
                worst = worst.max(window.len());
            }
        }
        worst
    };
    got.worst = worst(&|_| true);
    got.worst_told = worst(&|is_told| is_told);
    let limited = arrivals.iter().filter(|(at, _)| *at >= from && *at < to);
    got.limited = limited.count();
    let after = arrivals.iter().find(|(at, _)| *at >= to);
    got.idle_after = after.map(|(at, _)| at.since(to));
    got
}
