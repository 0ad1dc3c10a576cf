//! Freshness claims over slow links and between clocks that differ.

use fleet::{Claim, Claims, Freshness};
use mirror::Revision;
use peers::{ClockReading, PeerClocks};
use proptest::prelude::*;
use types::prelude::*;

/// Daemons in the simulated fleet.
const FLEET: usize = 5;

/// A daemon's clock: when its process started, and how much faster than true time it advances.
#[derive(Debug, Clone, Copy)]
struct DaemonClock {
    began_ms: u64,
    parts_per_million: i64,
}

impl DaemonClock {
    fn reads(&self, true_ms: u64) -> Time {
        let ran_us = true_ms.saturating_sub(self.began_ms) as i64 * 1_000;
        let fast_us = ran_us * self.parts_per_million / 1_000_000;
        Time((ran_us + fast_us) as u64)
    }
}

/// A step of the simulation; each follows the previous one after a pause.
#[derive(Debug, Clone)]
enum Step {
    /// The store takes a change.
    Write,
    /// The store answers a daemon's request, `took_ms` after it was sent.
    Answer { daemon: usize, took_ms: u64 },
    /// A daemon asks another for its clock, with the transit times of request and answer.
    Measure {
        from: usize,
        to: usize,
        there_ms: u64,
        back_ms: u64,
    },
    /// A daemon sends its claims to another, which receives them `delay_ms` later.
    Tell {
        from: usize,
        to: usize,
        delay_ms: u64,
    },
    /// A daemon restarts.
    Restart { daemon: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..FLEET;
    let delay = || prop_oneof![0..5_u64, 0..300_u64, 0..6_000_u64];
    prop_oneof![
        2 => Just(Step::Write),
        2 => (daemon(), delay()).prop_map(|(daemon, took_ms)| Step::Answer { daemon, took_ms }),
        4 => (daemon(), daemon(), delay(), delay()).prop_map(|(from, to, there_ms, back_ms)| {
            Step::Measure { from, to, there_ms, back_ms }
        }),
        8 => (daemon(), daemon(), delay()).prop_map(|(from, to, delay_ms)| {
            Step::Tell { from, to, delay_ms }
        }),
        1 => daemon().prop_map(|daemon| Step::Restart { daemon }),
    ]
}

/// A message in transit.
enum Delivery {
    Measured {
        from: usize,
        run: u64,
        to: usize,
        reading: ClockReading,
        asked_at: Time,
    },
    Claims {
        to: usize,
        freshness: Freshness,
    },
}

struct Daemon {
    clock: DaemonClock,
    run: u64,
    claims: Claims,
    clocks: PeerClocks,
}

struct World {
    now_ms: u64,
    /// When each revision was written, in order.
    written_ms: Vec<u64>,
    daemons: Vec<Daemon>,
    deliveries: Vec<(u64, Delivery)>,
}

fn address(daemon: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1_000 + daemon as u16).into()
}

impl World {
    fn new(clocks: Vec<DaemonClock>) -> Self {
        let daemon = |clock| Daemon {
            clock,
            run: 1,
            claims: Claims::default(),
            clocks: PeerClocks::default(),
        };
        Self {
            now_ms: 100_000,
            written_ms: vec![0],
            daemons: clocks.into_iter().map(daemon).collect(),
            deliveries: Vec::new(),
        }
    }

    /// The store's revision at a moment.
    fn held_at(&self, true_ms: u64) -> Revision {
        let written = self.written_ms.iter().filter(|at| **at <= true_ms);
        Revision(written.count() as u64)
    }

    fn run_step(&mut self, pause_ms: u64, step: &Step) {
        self.now_ms += pause_ms;
        self.deliver_due();
        let now_ms = self.now_ms;
        match *step {
            Step::Write => self.written_ms.push(now_ms),
            Step::Answer { daemon, took_ms } => {
                let asked_ms = now_ms - took_ms;
                let held = self.held_at(now_ms - took_ms / 2);
                let daemon = &mut self.daemons[daemon];
                if asked_ms >= daemon.clock.began_ms {
                    let at = daemon.clock.reads(asked_ms);
                    daemon.claims.add(Claim { held, at });
                }
            }
            Step::Measure { from, to, .. } if from == to => {}
            Step::Measure {
                from,
                to,
                there_ms,
                back_ms,
            } => {
                let read_at = self.daemons[to].clock.reads(now_ms + there_ms);
                let reading = ClockReading {
                    run: Incarnation(self.daemons[to].run),
                    clock_ms: read_at.since(Time::ZERO).as_millis(),
                };
                let delivery = Delivery::Measured {
                    from,
                    run: self.daemons[from].run,
                    to,
                    reading,
                    asked_at: self.daemons[from].clock.reads(now_ms),
                };
                self.deliveries
                    .push((now_ms + there_ms + back_ms, delivery));
            }
            Step::Tell { from, to, delay_ms } => {
                let sender = &self.daemons[from];
                let bound = sender.clocks.get(address(to));
                if let Some(freshness) = bound.and_then(|bound| sender.claims.for_peer(&bound)) {
                    let delivery = Delivery::Claims { to, freshness };
                    self.deliveries.push((now_ms + delay_ms, delivery));
                }
            }
            Step::Restart { daemon } => {
                let daemon = &mut self.daemons[daemon];
                daemon.clock.began_ms = now_ms;
                daemon.run += 1;
                daemon.claims = Claims::default();
                daemon.clocks = PeerClocks::default();
            }
        }
    }

    fn deliver_due(&mut self) {
        let deliveries = std::mem::take(&mut self.deliveries);
        let (mut deliveries, later) = deliveries
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= self.now_ms);
        self.deliveries = later;
        deliveries.sort_by_key(|(at, _)| *at);
        for (at_ms, delivery) in deliveries {
            match delivery {
                Delivery::Measured {
                    from,
                    run,
                    to,
                    reading,
                    asked_at,
                } => {
                    let daemon = &mut self.daemons[from];
                    let is_of_now = daemon.run == run && self.daemons_run(to) == reading.run;
                    let daemon = &mut self.daemons[from];
                    if is_of_now {
                        let answered_at = daemon.clock.reads(at_ms);
                        let clocks = &mut daemon.clocks;
                        clocks.note(address(to), reading, asked_at, answered_at);
                    }
                }
                Delivery::Claims { to, freshness } => {
                    let daemon = &mut self.daemons[to];
                    let now = daemon.clock.reads(at_ms);
                    let run = Incarnation(daemon.run);
                    daemon.claims.merge(now, run, &freshness);
                }
            }
        }
    }

    fn daemons_run(&self, daemon: usize) -> Incarnation {
        Incarnation(self.daemons[daemon].run)
    }

    /// Greatest time in ms by which a copy counts as validated after the first change that it
    /// lacks.
    fn excess_ms(&self) -> Option<u64> {
        let all = 0..self.written_ms.len();
        let late = self.daemons.iter().flat_map(|daemon| {
            all.clone().filter_map(|held| {
                let validated_at = daemon.claims.validated_at(Revision(held as u64))?;
                let written_ms = *self.written_ms.get(held)?;
                let missed_at = daemon.clock.reads(written_ms);
                let is_before = written_ms >= daemon.clock.began_ms;
                let is_late = if is_before {
                    validated_at > missed_at
                } else {
                    true
                };
                is_late.then(|| validated_at.since(missed_at).as_millis())
            })
        });
        late.max()
    }
}

fn clock() -> impl Strategy<Value = DaemonClock> {
    (0..90_000_u64, -400..400_i64).prop_map(|(began_ms, parts_per_million)| DaemonClock {
        began_ms,
        parts_per_million,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// A claim dated too late because of a slow link would validate a copy that lacks a change.
    #[test]
    fn no_claim_validates_a_copy_past_a_missing_change(
        clocks in prop::collection::vec(clock(), FLEET),
        steps in prop::collection::vec((0..400_u64, step()), 1..120),
    ) {
        let mut world = World::new(clocks);
        for (pause_ms, step) in &steps {
            world.run_step(*pause_ms, step);
            prop_assert_eq!(world.excess_ms(), None, "after {:?}", step);
        }
    }
}

/// Over fast links a daemon learns a claim with little more age than its transit time.
#[test]
fn prompt_relays_add_little_age_to_a_claim() {
    let clocks = (0..FLEET as u64).map(|n| DaemonClock {
        began_ms: n * 7_000,
        parts_per_million: 0,
    });
    let mut world = World::new(clocks.collect());
    let delay = |from: usize| Step::Tell {
        from,
        to: from + 1,
        delay_ms: 2,
    };
    for from in 0..FLEET - 1 {
        let (there_ms, back_ms) = (2, 2);
        let to = from + 1;
        world.run_step(
            10,
            &Step::Measure {
                from,
                to,
                there_ms,
                back_ms,
            },
        );
    }
    world.run_step(
        10,
        &Step::Answer {
            daemon: 0,
            took_ms: 4,
        },
    );
    let claimed_ms = world.now_ms - 4;
    for from in 0..FLEET - 1 {
        world.run_step(10, &delay(from));
    }
    world.run_step(10, &Step::Write);
    let last = &world.daemons[FLEET - 1];
    let validated_at = last.claims.validated_at(Revision(1)).expect("told");
    let lost = last.clock.reads(claimed_ms).since(validated_at);
    assert!(lost <= Span::from_millis(20), "{lost}");
}

/// Claims sent to a daemon before its restart, or dated in its future, must not count after it.
#[test]
fn claims_for_another_clock_are_dropped() {
    let (run, now) = (Incarnation(2), Time::ZERO + Span::from_secs(9));
    let received = |run, clock_ms| Freshness {
        run: Incarnation(run),
        claims: vec![fleet::WireClaim {
            held: Revision(7),
            clock_ms,
        }],
    };
    let mut claims = Claims::default();
    assert_eq!(claims.merge(now, run, &received(1, 8_000)), 1);
    assert_eq!(claims.merge(now, run, &received(2, 9_001)), 1, "not yet");
    assert_eq!(
        claims.merge(now, run, &received(2, u64::MAX)),
        1,
        "no moment"
    );
    assert_eq!(claims.validated_at(Revision(7)), None);
    assert_eq!(claims.merge(now, run, &received(2, 8_000)), 0);
    assert_eq!(
        claims.validated_at(Revision(7)),
        Some(Time::ZERO + Span::from_secs(8))
    );
    assert_eq!(claims.validated_at(Revision(6)), None, "behind the claim");
}

/// Two clocks drift apart after their offset was measured, which must not date a claim too late.
#[test]
fn clock_drift_makes_no_claim_newer() {
    let drifts = |parts_per_million| DaemonClock {
        began_ms: 50_000,
        parts_per_million,
    };
    let mut world = World::new(vec![drifts(400), drifts(-400)]);
    let (from, to) = (0, 1);
    let (there_ms, back_ms, delay_ms) = (0, 0, 0);
    world.run_step(
        0,
        &Step::Measure {
            from,
            to,
            there_ms,
            back_ms,
        },
    );
    world.run_step(
        60_000,
        &Step::Answer {
            daemon: 0,
            took_ms: 0,
        },
    );
    world.run_step(0, &Step::Tell { from, to, delay_ms });
    world.run_step(1, &Step::Write);
    assert!(world.daemons[to].claims.validated_at(Revision(1)).is_some());
    assert_eq!(world.excess_ms(), None);
}

/// A daemon that lags one change behind is still known to have been current before that change.
#[test]
fn an_older_claim_for_a_lower_revision_is_kept() {
    let at = |secs| Time::ZERO + Span::from_secs(secs);
    let mut claims = Claims::default();
    for (held, secs) in [(5, 1), (7, 2), (7, 1), (9, 2)] {
        let held = Revision(held);
        claims.add(Claim { held, at: at(secs) });
    }
    assert_eq!(claims.validated_at(Revision(4)), None);
    assert_eq!(claims.validated_at(Revision(6)), Some(at(1)));
    assert_eq!(claims.validated_at(Revision(7)), Some(at(2)));
}

/// A daemon several changes behind must grow stale, so that it watches the store itself.
#[test]
fn claims_for_newer_revisions_do_not_validate_an_older_copy() {
    let at = |secs| Time::ZERO + Span::from_secs(secs);
    let own = Claim {
        held: Revision(1),
        at: at(1),
    };
    let (mut receiver, mut sender) = (Claims::default(), Claims::default());
    receiver.add(own);
    for secs in 1..=20 {
        let held = Revision(secs);
        sender.add(Claim { held, at: at(secs) });
        let run = Incarnation(1);
        let reading = ClockReading {
            run,
            clock_ms: secs * 1_000,
        };
        let (clock, _) = peers::ClockOffsetBound::measured(reading, at(secs), at(secs));
        let sent = sender.for_peer(&clock).expect("claims");
        assert_eq!(receiver.merge(at(secs), run, &sent), 0);
        let validated_at = receiver.validated_at(own.held);
        assert!(validated_at <= Some(own.at), "{validated_at:?}");
    }
    let held = receiver.validated_at(Revision(20));
    assert!(held > Some(at(19)), "{held:?}");
}
