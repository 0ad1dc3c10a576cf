//! Gossip between daemons about contents dies out.

use poison::{Content, ContentUpdates, CrashedAttempt, PoisonPolicy, Suspects, UpstreamInstance};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

const DAEMONS: usize = 24;
/// Receivers of each message.
const FANOUT: usize = 6;
/// Upper bound of a message's delay, in ms.
const MAX_DELAY_MS: u64 = 60;
const TICK_MS: u64 = 100;
/// The simulation stops after this many messages, since gossip is endless then.
const MAX_MESSAGES: usize = 100_000;

struct Fleet {
    rng: ChaCha8Rng,
    now: Time,
    daemons: Vec<Suspects>,
    /// Messages in flight, with their time of arrival and receiver.
    in_flight: Vec<(Time, usize, ContentUpdates)>,
    sent: usize,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let daemon = |n| {
            let mut suspects = Suspects::new(PoisonPolicy::default(), &format!("d{n}"));
            suspects.set_fleet(DAEMONS, 60);
            suspects
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO + Span::from_secs(100),
            daemons: (0..DAEMONS).map(daemon).collect(),
            in_flight: Vec::new(),
            sent: 0,
        }
    }

    fn send_updates(&mut self, from: usize) {
        let updates = self.daemons[from].take_updates(self.now);
        if updates.0.is_empty() {
            return;
        }
        let others = (0..DAEMONS).filter(|n| *n != from);
        for to in others.sample(&mut self.rng, FANOUT) {
            let delay = Span::from_millis(self.rng.random_range(1..=MAX_DELAY_MS));
            self.in_flight.push((self.now + delay, to, updates.clone()));
            self.sent += 1;
        }
    }

    /// Runs the fleet for this time and returns the number of messages sent.
    fn run(&mut self, span: Span) -> usize {
        let before = self.sent;
        for ms in 0..span.as_millis() {
            if self.sent - before > MAX_MESSAGES {
                break;
            }
            self.now = self.now + Span::from_millis(1);
            let due = self.in_flight.extract_if(.., |(at, ..)| *at <= self.now);
            for (_, to, updates) in due.collect::<Vec<_>>() {
                self.daemons[to].merge_updates(self.now, updates);
                self.send_updates(to);
            }
            if ms % TICK_MS == 0 {
                (0..DAEMONS).for_each(|n| self.send_updates(n));
            }
        }
        self.sent - before
    }

    /// Crashes an upstream while it processes new requests of one daemon.
    fn crash(&mut self, upstream: usize, daemon: usize, requests: usize) {
        let crashed = (0..requests).map(|n| CrashedAttempt {
            contents: content(upstream, daemon, n).into(),
            customer: None,
            had_started: true,
            ran: Span::from_millis(900),
        });
        let upstream = UpstreamInstance {
            id: UpstreamId::new(&format!("u{upstream}")).expect("a name"),
            started_at: None,
        };
        let crashed = crashed.collect::<Vec<_>>();
        self.daemons[daemon].upstream_crashed(self.now, &upstream, &crashed);
    }

    /// Crashes several upstreams at one moment; their requests are retried elsewhere and answered
    /// soon.
    fn crash_all(&mut self, upstreams: usize, requests: usize, answered_after: Span) {
        for upstream in 0..upstreams {
            (0..DAEMONS).for_each(|daemon| self.crash(upstream, daemon, requests));
        }
        self.run(answered_after);
        for upstream in 0..upstreams {
            for daemon in 0..DAEMONS {
                for n in 0..requests {
                    self.daemons[daemon].answered(self.now, content(upstream, daemon, n));
                }
            }
        }
    }
}

fn content(upstream: usize, daemon: usize, n: usize) -> Content {
    let body = format!("{upstream} {daemon} {n}");
    Content::of("alice", "host", "POST", "/a", body.as_bytes())
}

/// After a loss of upstreams, daemons kept sending each other updates on the same requests without
/// end.
#[test]
fn gossip_about_lost_upstreams_dies_out() {
    for answered_after in [50, 400] {
        let mut fleet = Fleet::new(1);
        fleet.crash_all(20, 1, Span::from_millis(answered_after));
        fleet.run(Span::from_secs(10));
        let sent = fleet.run(Span::from_secs(5));
        assert_eq!(sent, 0, "answered after {answered_after} ms");
    }
}
