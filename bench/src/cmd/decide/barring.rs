//! What it takes to know a request by its content, and to look whether that is barred.

use std::time::Instant;

use hdrhistogram::Histogram;
use poison::{Content, CrashedAttempt, PoisonPolicy, Suspects, UpstreamInstance};
use rand::rngs::SmallRng;
use rand::{Rng, RngExt};
use types::prelude::*;

use super::{DAEMONS, UPSTREAMS, histogram, resident_bytes};

const LOOKS: usize = 200_000;
/// A body of a long prompt.
const BODY_BYTES: usize = 4 * 1024;
/// Contents under way at the upstreams of a failure domain that is lost.
const LOST: usize = 3_000;
const FLOODS: u64 = 20;

/// Times in nanoseconds, and what a full table holds.
pub(super) struct Measured {
    pub(super) contents: Histogram<u64>,
    pub(super) looks: Histogram<u64>,
    pub(super) floods: Histogram<u64>,
    pub(super) bytes: u64,
}

pub(super) fn measure(rng: &mut SmallRng) -> Measured {
    let mut measured = Measured {
        contents: histogram(),
        looks: histogram(),
        floods: histogram(),
        bytes: 0,
    };
    let before = resident_bytes().unwrap_or_default();
    let mut suspects = Suspects::new(PoisonPolicy::default(), "daemon-0");
    suspects.set_fleet(DAEMONS, UPSTREAMS);
    for n in 0..FLOODS {
        let crashed = (0..LOST).map(|_| lost(rng)).collect::<Vec<_>>();
        let upstream = UpstreamInstance {
            id: format!("worker-{n}").parse().expect("a name"),
            started_at: None,
        };
        let now = Time::ZERO + Span::from_secs(n);
        let began = Instant::now();
        suspects.upstream_crashed(now, &upstream, &crashed);
        suspects.take_updates(now);
        note(&mut measured.floods, began);
    }
    measured.bytes = resident_bytes().unwrap_or_default().saturating_sub(before);
    let mut body = vec![0; BODY_BYTES];
    for _ in 0..LOOKS {
        rng.fill_bytes(&mut body[..16]);
        let began = Instant::now();
        let content = Content::of("customer-7", "host.example", "POST", "/drafts/7", &body);
        note(&mut measured.contents, began);
        let began = Instant::now();
        std::hint::black_box(suspects.admission(Time::ZERO, content));
        note(&mut measured.looks, began);
    }
    measured
}

fn lost(rng: &mut SmallRng) -> CrashedAttempt {
    let body = rng.random::<u64>().to_le_bytes();
    CrashedAttempt {
        content: Content::of("customer-7", "host.example", "POST", "/drafts/7", &body),
        customer: None,
        had_started: true,
        ran: Span::from_millis(rng.random_range(10..3_000)),
    }
}

fn note(times: &mut Histogram<u64>, began: Instant) {
    let nanos = began.elapsed().as_nanos() as u64;
    times.record(nanos).expect("within bounds");
}
