//! What daemons tell each other of contents comes to an end.

use poison::{Content, PoisonPolicy, Suspects, Under, UpstreamRun, Words};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

const DAEMONS: usize = 24;
/// Told by each, each time.
const TOLD: usize = 6;
/// Longest way of a message, in ms.
const WAY_MS: u64 = 60;
const TICK_MS: u64 = 100;
/// More messages than these are a storm; the rest of it need not be played.
const STORM: usize = 100_000;

struct Fleet {
    rng: ChaCha8Rng,
    now: Time,
    daemons: Vec<Suspects>,
    /// Messages under way, with their moment and receiver.
    under_way: Vec<(Time, usize, Words)>,
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
            under_way: Vec::new(),
            sent: 0,
        }
    }

    fn tell(&mut self, from: usize) {
        let words = self.daemons[from].news(self.now);
        if words.0.is_empty() {
            return;
        }
        let others = (0..DAEMONS).filter(|n| *n != from);
        for to in others.sample(&mut self.rng, TOLD) {
            let way = Span::from_millis(self.rng.random_range(1..=WAY_MS));
            self.under_way.push((self.now + way, to, words.clone()));
            self.sent += 1;
        }
    }

    /// Messages sent in a time.
    fn play(&mut self, span: Span) -> usize {
        let before = self.sent;
        for ms in 0..span.as_millis() {
            if self.sent - before > STORM {
                break;
            }
            self.now = self.now + Span::from_millis(1);
            let due = self.under_way.extract_if(.., |(at, ..)| *at <= self.now);
            for (_, to, words) in due.collect::<Vec<_>>() {
                self.daemons[to].take(self.now, words);
                self.tell(to);
            }
            if ms % TICK_MS == 0 {
                (0..DAEMONS).for_each(|n| self.tell(n));
            }
        }
        self.sent - before
    }

    /// An upstream ends under requests of one daemon's, none of which was seen before.
    fn ends(&mut self, upstream: usize, daemon: usize, requests: usize) {
        let under = (0..requests).map(|n| Under {
            content: content(upstream, daemon, n),
            customer: None,
            had_begun: true,
            ran: Span::from_millis(900),
        });
        let upstream = UpstreamRun {
            id: UpstreamId::new(&format!("u{upstream}")).expect("a name"),
            started_at: None,
        };
        let under = under.collect::<Vec<_>>();
        self.daemons[daemon].ended(self.now, &upstream, &under);
    }

    /// Upstreams are lost at one moment; their requests go on elsewhere and are answered soon.
    fn lose(&mut self, upstreams: usize, requests: usize, answered_after: Span) {
        for upstream in 0..upstreams {
            (0..DAEMONS).for_each(|daemon| self.ends(upstream, daemon, requests));
        }
        self.play(answered_after);
        for upstream in 0..upstreams {
            for daemon in 0..DAEMONS {
                for n in 0..requests {
                    self.daemons[daemon].whole(self.now, content(upstream, daemon, n));
                }
            }
        }
    }
}

fn content(upstream: usize, daemon: usize, n: usize) -> Content {
    let body = format!("{upstream} {daemon} {n}");
    Content::of("alice", "host", "POST", "/a", body.as_bytes())
}

/// After a loss of upstreams daemons told each other of the same requests for ever.
#[test]
fn what_is_told_of_lost_upstreams_comes_to_an_end() {
    for answered_after in [50, 400] {
        let mut fleet = Fleet::new(1);
        fleet.lose(20, 1, Span::from_millis(answered_after));
        fleet.play(Span::from_secs(10));
        let sent = fleet.play(Span::from_secs(5));
        assert_eq!(sent, 0, "answered after {answered_after} ms");
    }
}
