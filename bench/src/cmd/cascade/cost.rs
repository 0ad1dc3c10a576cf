//! Measures the cost of the decisions: time of a choice and of building a table, size of facts.

use std::time::Instant;

use quality::{Candidate, ChoiceInput, Config, OfferTerms, Quality, Rating};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use types::prelude::*;

use super::workload::User;
use crate::report::Report;

const VERSIONS: u64 = 10;
const RATINGS: u64 = 300;
const CHOICES: u32 = 200_000;
const TABLE_BUILDS: u32 = 2000;
/// Longer than the lifetime of a table, so that each choice builds a new one.
const TABLE_INTERVAL: Span = Span::from_millis(300);

/// Measures with the number of versions that the fleet is expected to have in two years.
pub(super) fn run(report: &mut Report, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let user = &User::both()[0];
    let offer = &user.classes[0].offer;
    let candidates: Vec<Candidate> = (0..VERSIONS).map(candidate).collect();
    let mut quality = Quality::new(Config::default(), Incarnation(1), Time::ZERO);
    let input = input(offer, &candidates);
    quality.choose(Time::ZERO, &input, &mut rng);
    let bytes = record_ratings(&mut quality, offer, &candidates, &mut rng);
    report.note("decision-cost", "fact_bytes", bytes);
    let mut now = Time::ZERO + TABLE_INTERVAL;
    let start = Instant::now();
    for _ in 0..CHOICES {
        quality.choose(now, &input, &mut rng);
    }
    let mean_micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES);
    report.note("decision-cost", "choice_micros", mean_micros);
    let start = Instant::now();
    for _ in 0..TABLE_BUILDS {
        now = now + TABLE_INTERVAL;
        quality.choose(now, &input, &mut rng);
    }
    let mean_micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(TABLE_BUILDS);
    report.note("decision-cost", "table_micros", mean_micros);
    let start = Instant::now();
    for _ in 0..TABLE_BUILDS {
        now = now + TABLE_INTERVAL;
        quality.tick(now, 460, &mut rng);
    }
    let mean_micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(TABLE_BUILDS);
    report.note("decision-cost", "tick_micros_20_streams", mean_micros);
}

fn candidate(number: u64) -> Candidate {
    Candidate {
        version: format!("model-{number}@1").parse().expect("a version"),
        accepts_new_sessions: true,
        cost: Cost(100 + 150 * number),
        latency: Span::from_millis(400 + 100 * number),
        expected: Some(Share::clamped(0.75 + 0.02 * number as f64)),
        rollout: None,
    }
}

fn input<'a>(offer: &'a OfferTerms, candidates: &'a [Candidate]) -> ChoiceInput<'a> {
    ChoiceInput {
        offer,
        candidates,
        pin: None,
        in_session: false,
        may_escalate: true,
        time_left: Span::from_secs(60),
    }
}

/// Rates every version in every confidence bin; returns the mean size of a fact in bytes.
fn record_ratings(
    quality: &mut Quality,
    offer: &OfferTerms,
    candidates: &[Candidate],
    rng: &mut StdRng,
) -> f64 {
    for candidate in candidates {
        for _ in 0..RATINGS {
            let rating = Rating {
                adequate: rng.random_bool(0.9),
                confidence: quality::Confidence::new(rng.random()),
                escalated: false,
            };
            let recorded =
                quality.record_rating(Time::ZERO, &offer.class, &candidate.version, rating, rng);
            debug_assert!(recorded.is_ok());
        }
    }
    let facts = quality.take_unpublished_facts(Time::ZERO, rng);
    let bytes: usize = facts
        .iter()
        .map(|fact| fact.key.len() + fact.value.len())
        .sum();
    bytes as f64 / facts.len().max(1) as f64
}
