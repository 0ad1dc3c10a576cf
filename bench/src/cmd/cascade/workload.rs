//! Both users' mixes of work, and answers drawn from true qualities.

use quality::{Candidate, Confidence, OfferTerms};
use rand::{Rng, RngExt};
use types::prelude::*;

/// How far a catalogue's expected quality may be off.
const CLAIM_ERRORS: [f64; 3] = [0.04, -0.03, 0.01];
/// How much harder the hardest requests are than the easiest.
const SPREAD: f64 = 5.0;
const STEPS: usize = 2000;
const SURE: f64 = 0.72;
const UNSURE: f64 = 0.38;
const NOISE: f64 = 0.17;

/// One user's mix.
pub(super) struct User {
    pub(super) name: &'static str,
    pub(super) classes: Vec<Class>,
}

/// A class of work.
pub(super) struct Class {
    pub(super) offer: OfferTerms,
    pub(super) candidates: Vec<Candidate>,
    pub(super) versions: Vec<TrueVersion>,
    share: f64,
}

/// What a version really is in a class.
pub(super) struct TrueVersion {
    pub(super) cost: f64,
    /// Ability on the scale of difficulty.
    ability: f64,
}

/// One answer.
pub(super) struct Answer {
    pub(super) cost: f64,
    /// Chance that this request's answer by this version is adequate.
    pub(super) adequacy: f64,
    pub(super) adequate: bool,
    pub(super) confidence: Option<Confidence>,
}

/// One request.
pub(super) struct Request {
    /// From 0, easiest, to 1.
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

    /// Index of the next request's class.
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

/// Of cost, latency and exposure.
#[derive(Clone, Copy)]
struct Weights(f64, f64, f64);

const NAMES: [&str; 3] = ["small@3", "mid@5", "large@2"];
const COSTS: [u64; 3] = [100, 400, 1500];
const LATENCIES_MS: [u64; 3] = [400, 900, 2200];

fn class(name: &str, share: f64, target: f64, weights: Weights, truth: [f64; 3]) -> Class {
    let candidate = |index: usize| Candidate {
        version: NAMES[index].parse().expect("a constant version"),
        accepts_new_sessions: true,
        cost: Cost(COSTS[index]),
        latency: Span::from_millis(LATENCIES_MS[index]),
        expected: Some(Share::clamped(
            (truth[index] + CLAIM_ERRORS[index]).min(0.99),
        )),
        rollout: None,
    };
    let version = |index: usize| TrueVersion {
        cost: COSTS[index] as f64,
        ability: ability_of(truth[index]),
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

/// The ability with which this share of all requests is answered well.
fn ability_of(share: f64) -> f64 {
    let (mut low, mut high) = (-10.0, 20.0);
    for _ in 0..50 {
        let middle = (low + high) / 2.0;
        let steps = (0..STEPS).map(|n| adequacy(middle, (n as f64 + 0.5) / STEPS as f64));
        if steps.sum::<f64>() / (STEPS as f64) < share {
            low = middle;
        } else {
            high = middle;
        }
    }
    (low + high) / 2.0
}

fn adequacy(ability: f64, difficulty: f64) -> f64 {
    1.0 / (1.0 + (SPREAD * difficulty - ability).exp())
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
        signal: bool,
        rng: &mut impl Rng,
    ) -> Answer {
        let version = &class.versions[index];
        let adequacy = adequacy(version.ability, self.difficulty);
        let adequate = rng.random_bool(adequacy);
        let middle = if adequate { SURE } else { UNSURE };
        let noise: f64 = (0..4).map(|_| rng.random::<f64>() - 0.5).sum();
        let stated = Confidence::new(middle + noise * NOISE * 3f64.sqrt());
        Answer {
            cost: version.cost,
            // With a confidence in hand whether an answer passed depends on its adequacy, so
            // that only the outcome itself is without bias.
            adequacy: if signal {
                f64::from(u8::from(adequate))
            } else {
                adequacy
            },
            adequate,
            confidence: stated.filter(|_| signal),
        }
    }
}
