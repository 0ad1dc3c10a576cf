//! The least cost at the target, knowing every version's true quality.

use quality::{Alternative, Confidence, cheapest_mixture};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::workload::{Class, Request, User};

const DRAWS: usize = 200_000;
/// Thresholds of confidence tried for each cascade.
const THRESHOLDS: usize = 16;

/// Least mean cost of a request of one class.
pub(super) struct Oracle {
    pub(super) cost: f64,
    pub(super) cost_without_cascades: f64,
}

/// One request's answers by all versions.
struct Draw {
    adequate: Vec<bool>,
    confidence: Vec<Option<Confidence>>,
}

impl Oracle {
    pub(super) fn new(class: &Class, user: &User, signal: bool, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ user.classes.len() as u64);
        let count = class.versions.len();
        let draw = |_| {
            let request = Request::draw(&mut rng);
            let answers = (0..count).map(|index| request.answer(class, index, signal, &mut rng));
            let (adequate, confidence) = answers.map(|a| (a.adequate, a.confidence)).unzip();
            Draw {
                adequate,
                confidence,
            }
        };
        let draws: Vec<Draw> = (0..DRAWS).map(draw).collect();
        let direct: Vec<Alternative> = (0..count).map(|n| single(class, &draws, n)).collect();
        let mut all = direct.clone();
        if signal {
            all.extend(cascades(class, &draws));
        }
        let target = class.offer.target.get();
        Self {
            cost: least(&all, target),
            cost_without_cascades: least(&direct, target),
        }
    }
}

fn least(all: &[Alternative], target: f64) -> f64 {
    cheapest_mixture(all, target).map_or(f64::MAX, |mix| mix.average(|index| all[index].cost))
}

fn single(class: &Class, draws: &[Draw], index: usize) -> Alternative {
    let good = draws.iter().filter(|draw| draw.adequate[index]).count();
    Alternative {
        cost: class.versions[index].cost,
        quality: good as f64 / draws.len() as f64,
    }
}

fn cascades(class: &Class, draws: &[Draw]) -> Vec<Alternative> {
    let mut all = Vec::new();
    for first in 0..class.versions.len() {
        for next in first + 1..class.versions.len() {
            for step in 1..THRESHOLDS {
                let below = Confidence::new(step as f64 / THRESHOLDS as f64);
                all.push(cascade(class, draws, first, next, below));
            }
        }
    }
    all
}

fn cascade(
    class: &Class,
    draws: &[Draw],
    first: usize,
    next: usize,
    below: Option<Confidence>,
) -> Alternative {
    let (mut cost, mut good) = (0.0, 0.0);
    for draw in draws {
        let goes_on = draw.confidence[first] < below;
        let last = if goes_on { next } else { first };
        cost += class.versions[first].cost;
        cost += if goes_on {
            class.versions[next].cost
        } else {
            0.0
        };
        good += f64::from(u8::from(draw.adequate[last]));
    }
    Alternative {
        cost: cost / draws.len() as f64,
        quality: good / draws.len() as f64,
    }
}
