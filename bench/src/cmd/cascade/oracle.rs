//! Computes the minimum cost at the quality target with knowledge of every version's true quality.

use quality::{Alternative, Confidence, cheapest_mixture};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::workload::{Class, Request, User};

const SAMPLES: usize = 200_000;
/// Number of steps into which confidence is divided to find the threshold of each cascade.
const THRESHOLDS: usize = 16;

/// Minimum mean cost per request of one class.
pub(super) struct Oracle {
    pub(super) cost: f64,
    pub(super) cost_without_cascades: f64,
}

/// Answers of all versions to one sampled request.
struct DrawnAnswers {
    adequate: Vec<bool>,
    confidence: Vec<Option<Confidence>>,
}

impl Oracle {
    pub(super) fn new(class: &Class, user: &User, has_confidence: bool, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ user.classes.len() as u64);
        let count = class.versions.len();
        let draw = |_| {
            let request = Request::draw(&mut rng);
            let answers =
                (0..count).map(|index| request.answer(class, index, has_confidence, &mut rng));
            let (adequate, confidence) = answers.map(|a| (a.adequate, a.confidence)).unzip();
            DrawnAnswers {
                adequate,
                confidence,
            }
        };
        let samples: Vec<DrawnAnswers> = (0..SAMPLES).map(draw).collect();
        let direct: Vec<Alternative> = (0..count)
            .map(|n| direct_alternative(class, &samples, n))
            .collect();
        let mut all = direct.clone();
        if has_confidence {
            all.extend(cascades(class, &samples));
        }
        let target = class.offer.target.get();
        Self {
            cost: min_cost(&all, target),
            cost_without_cascades: min_cost(&direct, target),
        }
    }
}

fn min_cost(all: &[Alternative], target: f64) -> f64 {
    cheapest_mixture(all, target).map_or(f64::MAX, |mix| mix.average(|index| all[index].cost))
}

fn direct_alternative(class: &Class, samples: &[DrawnAnswers], index: usize) -> Alternative {
    let good = samples.iter().filter(|draw| draw.adequate[index]).count();
    Alternative {
        cost: class.versions[index].cost,
        quality: good as f64 / samples.len() as f64,
    }
}

fn cascades(class: &Class, samples: &[DrawnAnswers]) -> Vec<Alternative> {
    let mut all = Vec::new();
    for first in 0..class.versions.len() {
        for next in first + 1..class.versions.len() {
            for step in 1..THRESHOLDS {
                let below = Confidence::new(step as f64 / THRESHOLDS as f64);
                all.push(cascade(class, samples, first, next, below));
            }
        }
    }
    all
}

fn cascade(
    class: &Class,
    samples: &[DrawnAnswers],
    first: usize,
    next: usize,
    below: Option<Confidence>,
) -> Alternative {
    let (mut cost, mut good) = (0.0, 0.0);
    for draw in samples {
        let escalates = draw.confidence[first] < below;
        let last = if escalates { next } else { first };
        cost += class.versions[first].cost;
        cost += if escalates {
            class.versions[next].cost
        } else {
            0.0
        };
        good += f64::from(u8::from(draw.adequate[last]));
    }
    Alternative {
        cost: cost / samples.len() as f64,
        quality: good / samples.len() as f64,
    }
}
