//! The cheapest mixture of alternatives that meets a quality target on average.

/// One way to serve requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Alternative {
    /// Cost in any unit, lower is better.
    pub cost: f64,
    /// Share of adequate answers.
    pub quality: f64,
}

/// One alternative, or two with the share of the stronger one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mixture {
    /// Index of the weaker alternative.
    pub weak: usize,
    /// Index of the stronger one; equal to `weak` if there is only one.
    pub strong: usize,
    /// Share of requests that go to the stronger one.
    pub strong_share: f64,
    /// Whether the target is met.
    pub met: bool,
}

impl Mixture {
    fn single(index: usize, met: bool) -> Self {
        Self {
            weak: index,
            strong: index,
            strong_share: 1.0,
            met,
        }
    }

    /// Mean of a value over the mixture, given the value of each alternative.
    pub fn average(&self, value: impl Fn(usize) -> f64) -> f64 {
        let weak = value(self.weak) * (1.0 - self.strong_share);
        weak + value(self.strong) * self.strong_share
    }
}

/// Returns the cheapest mixture whose quality is at least `target`, or the best one if none is.
///
/// With one constraint, some optimum mixes two alternatives at most, and these are neighbours on
/// the convex hull of (cost, quality). Returns `None` only when there are no alternatives.
#[must_use]
pub fn cheapest_mixture(alternatives: &[Alternative], target: f64) -> Option<Mixture> {
    let hull = hull(alternatives);
    let first = *hull.first()?;
    if alternatives[first].quality >= target {
        return Some(Mixture::single(first, true));
    }
    for pair in hull.windows(2) {
        let (weak, strong) = (pair[0], pair[1]);
        let (low, high) = (alternatives[weak].quality, alternatives[strong].quality);
        if high >= target {
            return Some(Mixture {
                weak,
                strong,
                strong_share: (target - low) / (high - low),
                met: true,
            });
        }
    }
    hull.last().map(|best| Mixture::single(*best, false))
}

/// Indices of the alternatives on the upper left of the convex hull, cheapest first.
fn hull(alternatives: &[Alternative]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..alternatives.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&alternatives[*a], &alternatives[*b]);
        let by_cost = a.cost.total_cmp(&b.cost);
        by_cost.then(b.quality.total_cmp(&a.quality))
    });
    let mut hull: Vec<usize> = Vec::new();
    for index in order {
        let best = hull
            .last()
            .map_or(f64::MIN, |last| alternatives[*last].quality);
        if alternatives[index].quality <= best {
            continue;
        }
        while let [.., before, last] = hull[..] {
            if slope(alternatives, before, last) > slope(alternatives, before, index) {
                break;
            }
            hull.pop();
        }
        hull.push(index);
    }
    hull
}

fn slope(alternatives: &[Alternative], from: usize, to: usize) -> f64 {
    let cost = alternatives[to].cost - alternatives[from].cost;
    (alternatives[to].quality - alternatives[from].quality) / cost.max(f64::MIN_POSITIVE)
}
