//! Request mixes of both users, and answers drawn from true qualities.

use quality::{Candidate, Confidence, OfferTerms};
use rand::{Rng, RngExt};
use types::prelude::*;

/// Errors of the catalogue's expected quality, by version.
const EXPECTED_QUALITY_ERRORS: [f64; 3] = [0.04, -0.03, 0.01];
/// Difference in difficulty between the hardest and the easiest requests.
const DIFFICULTY_RANGE: f64 = 5.0;
const DIFFICULTY_STEPS: usize = 2000;
const ADEQUATE_CONFIDENCE: f64 = 0.72;
const INADEQUATE_CONFIDENCE: f64 = 0.38;
const CONFIDENCE_NOISE: f64 = 0.17;

/// A user's mix of requests.
pub(super) struct User {
    pub(super) name: &'static str,
    pub(super) classes: Vec<Class>,
}

/// A class of requests.
pub(super) struct Class {
    pub(super) offer: OfferTerms,
    pub(super) candidates: Vec<Candidate>,
    pub(super) versions: Vec<TrueVersion>,
    share: f64,
}

/// True cost and ability of a version in a class.
pub(super) struct TrueVersion {
    pub(super) cost: f64,
    /// Ability, on the same scale as difficulty.
    ability: f64,
}

/// An answer by one version.
pub(super) struct Answer {
    pub(super) cost: f64,
    /// Probability that this version's answer to this request is adequate.
    pub(super) adequacy: f64,
    pub(super) adequate: bool,
    pub(super) confidence: Option<Confidence>,
}

/// A request.
pub(super) struct Request {
    /// Difficulty from 0 (easiest) to 1 (hardest).
    difficulty: f64,
}

impl User {
    pub(super) fn both() -> Vec<Self> {
        let kochi = Weights(1.0, 0.0, 2.0);
        let clasach = Weights(1.0, 2.0, 1.0);
        vec![
            Self {
                name: "kochi",
                classes: vec![
                    class("notices", 0.3, 0.95, kochi, [0.80, 0.93, 0.975]),
                    class("price-answers", 0.45, 0.90, kochi, [0.86, 0.94, 0.97]),
                    class("complaint-tags", 0.25, 0.93, kochi, [0.95, 0.97, 0.98]),
                ],
            },
            Self {
                name: "clasach",
                classes: vec![
                    class("briefs", 0.35, 0.95, clasach, [0.72, 0.91, 0.97]),
                    class("vetting-summaries", 0.2, 0.92, clasach, [0.84, 0.95, 0.98]),
                    class("booking-tags", 0.45, 0.94, clasach, [0.96, 0.97, 0.98]),
                ],
            },
        ]
    }

    /// Draws the class of the next request and returns its index.
    pub(super) fn pick_class(&self, rng: &mut impl Rng) -> usize {
        let mut left: f64 = rng.random();
        for (index, class) in self.classes.iter().enumerate() {
            left -= class.share;
            if left < 0.0 {
                return index;
            }
        }
        self.classes.len() - 1
    }
}

/// Weights of cost, latency and exposure.
#[derive(Clone, Copy)]
struct Weights(f64, f64, f64);

const NAMES: [&str; 3] = ["small@3", "mid@5", "large@2"];
const COSTS: [u64; 3] = [100, 400, 1500];
const LATENCIES_MS: [u64; 3] = [400, 900, 2200];

fn class(name: &str, share: f64, target: f64, weights: Weights, true_qualities: [f64; 3]) -> Class {
    let candidate = |index: usize| Candidate {
        version: NAMES[index].parse().expect("a constant version"),
        accepts_new_sessions: true,
        cost: Cost(COSTS[index]),
        latency: Span::from_millis(LATENCIES_MS[index]),
        expected: Some(Share::clamped(
            (true_qualities[index] + EXPECTED_QUALITY_ERRORS[index]).min(0.99),
        )),
        rollout: None,
    };
    let version = |index: usize| TrueVersion {
        cost: COSTS[index] as f64,
        ability: ability_of(true_qualities[index]),
    };
    Class {
        offer: OfferTerms {
            name: EntryName::new(name).expect("a constant name"),
            class: ClassName::new(name).expect("a constant name"),
            target: Share::clamped(target),
            cost_weight: weights.0,
            latency_weight: weights.1,
            exposure_weight: weights.2,
        },
        candidates: (0..NAMES.len()).map(candidate).collect(),
        versions: (0..NAMES.len()).map(version).collect(),
        share,
    }
}

/// Finds the ability at which this share of all requests is answered adequately.
fn ability_of(share: f64) -> f64 {
    let (mut low, mut high) = (-10.0, 20.0);
    for _ in 0..50 {
        let midpoint = (low + high) / 2.0;
        let steps = (0..DIFFICULTY_STEPS)
            .map(|n| adequacy(midpoint, (n as f64 + 0.5) / DIFFICULTY_STEPS as f64));
        if steps.sum::<f64>() / (DIFFICULTY_STEPS as f64) < share {
            low = midpoint;
        } else {
            high = midpoint;
        }
    }
    (low + high) / 2.0
}

fn adequacy(ability: f64, difficulty: f64) -> f64 {
    1.0 / (1.0 + (DIFFICULTY_RANGE * difficulty - ability).exp())
}

impl Class {
    pub(super) fn index_of(&self, version: &VersionId) -> usize {
        let mut all = self.candidates.iter();
        all.position(|candidate| candidate.version == *version)
            .unwrap_or_default()
    }
}

impl Request {
    pub(super) fn draw(rng: &mut impl Rng) -> Self {
        Self {
            difficulty: rng.random(),
        }
    }

    pub(super) fn answer(
        &self,
        class: &Class,
        index: usize,
        has_confidence: bool,
        rng: &mut impl Rng,
    ) -> Answer {
        let version = &class.versions[index];
        let adequacy = adequacy(version.ability, self.difficulty);
        let adequate = rng.random_bool(adequacy);
        let midpoint = if adequate {
            ADEQUATE_CONFIDENCE
        } else {
            INADEQUATE_CONFIDENCE
        };
        let noise: f64 = (0..4).map(|_| rng.random::<f64>() - 0.5).sum();
        let stated = Confidence::new(midpoint + noise * CONFIDENCE_NOISE * 3f64.sqrt());
        Answer {
            cost: version.cost,
            // If engines state a confidence, whether an answer is accepted depends on its adequacy,
            // so only the actual outcome is unbiased.
            adequacy: if has_confidence {
                f64::from(u8::from(adequate))
            } else {
                adequacy
            },
            adequate,
            confidence: stated.filter(|_| has_confidence),
        }
    }
}
