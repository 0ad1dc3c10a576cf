//! Measures fingerprinting a request's content and checking whether that content is quarantined.

use std::time::Instant;

use hdrhistogram::Histogram;
use poison::{Content, CrashedAttempt, PoisonPolicy, Suspects, UpstreamInstance};
use rand::rngs::SmallRng;
use rand::{Rng, RngExt};
use types::prelude::*;

use super::{DAEMONS, UPSTREAMS, histogram, resident_bytes};

const LOOKUPS: usize = 200_000;
/// Length of the body of a request with a long prompt.
const BODY_BYTES: usize = 4 * 1024;
/// Requests in flight at the upstreams of a failure domain that is lost.
const LOST_REQUESTS: usize = 3_000;
const DOMAIN_LOSSES: u64 = 20;

/// Durations in nanoseconds, and the memory of a full table in bytes.
pub(super) struct Measurements {
    pub(super) contents: Histogram<u64>,
    pub(super) lookups: Histogram<u64>,
    pub(super) domain_losses: Histogram<u64>,
    pub(super) bytes: u64,
}

pub(super) fn measure(rng: &mut SmallRng) -> Measurements {
    let mut measurements = Measurements {
        contents: histogram(),
        lookups: histogram(),
        domain_losses: histogram(),
        bytes: 0,
    };
    let before = resident_bytes().unwrap_or_default();
    let mut suspects = Suspects::new(PoisonPolicy::default(), "daemon-0");
    suspects.set_fleet(DAEMONS, UPSTREAMS);
    for n in 0..DOMAIN_LOSSES {
        let crashed = (0..LOST_REQUESTS)
            .map(|_| lost_request(rng))
            .collect::<Vec<_>>();
        let upstream = UpstreamInstance {
            id: format!("worker-{n}").parse().expect("a name"),
            started_at: None,
        };
        let now = Time::ZERO + Span::from_secs(n);
        let started_at = Instant::now();
        suspects.upstream_crashed(now, &upstream, &crashed);
        suspects.take_updates(now);
        record_elapsed(&mut measurements.domain_losses, started_at);
    }
    measurements.bytes = resident_bytes().unwrap_or_default().saturating_sub(before);
    let mut body = vec![0; BODY_BYTES];
    for _ in 0..LOOKUPS {
        rng.fill_bytes(&mut body[..16]);
        let started_at = Instant::now();
        let content = Content::of("customer-7", "host.example", "POST", "/drafts/7", &body);
        record_elapsed(&mut measurements.contents, started_at);
        let started_at = Instant::now();
        std::hint::black_box(suspects.admission(Time::ZERO, content));
        record_elapsed(&mut measurements.lookups, started_at);
    }
    measurements
}

fn lost_request(rng: &mut SmallRng) -> CrashedAttempt {
    let body = rng.random::<u64>().to_le_bytes();
    CrashedAttempt {
        contents: Content::of("customer-7", "host.example", "POST", "/drafts/7", &body).into(),
        customer: None,
        had_started: true,
        ran: Span::from_millis(rng.random_range(10..3_000)),
    }
}

fn record_elapsed(durations: &mut Histogram<u64>, started_at: Instant) {
    let nanos = started_at.elapsed().as_nanos() as u64;
    durations.record(nanos).expect("within bounds");
}
