//! The cheapest mixture of options that meets a quality target on average.

/// One way to serve: what it costs and what share of its answers is adequate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Alternative {
    /// Any unit, lower is better.
    pub cost: f64,
    /// Share of adequate answers.
    pub quality: f64,
}

/// One option, or two with the second's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mixture {
    /// Index of the weaker option.
    pub weak: usize,
    /// Index of the stronger one, equal to `weak` when there is but one.
    pub strong: usize,
    /// Share of requests for the stronger one.
    pub strong_share: f64,
    /// Whether the target is met.
    pub met: bool,
}

impl Mixture {
    fn only(index: usize, met: bool) -> Self {
        Self {
            weak: index,
            strong: index,
            strong_share: 1.0,
            met,
        }
    }

    /// A figure of the mixture from the options' figures.
    pub fn average(&self, figure: impl Fn(usize) -> f64) -> f64 {
        let weak = figure(self.weak) * (1.0 - self.strong_share);
        weak + figure(self.strong) * self.strong_share
    }
}

/// Solves "least cost, quality at least `target`" over all mixtures.
///
/// With one constraint some optimum mixes two options at most, and these are neighbours
/// on the convex hull of (cost, quality). Nothing only when there are no options.
#[must_use]
pub fn cheapest_mixture(options: &[Alternative], target: f64) -> Option<Mixture> {
    let hull = hull(options);
    let first = *hull.first()?;
    if options[first].quality >= target {
        return Some(Mixture::only(first, true));
    }
    for pair in hull.windows(2) {
        let (weak, strong) = (pair[0], pair[1]);
        let (low, high) = (options[weak].quality, options[strong].quality);
        if high >= target {
            return Some(Mixture {
                weak,
                strong,
                strong_share: (target - low) / (high - low),
                met: true,
            });
        }
    }
    hull.last().map(|best| Mixture::only(*best, false))
}

/// Indices of the options on the upper left of the convex hull, from cheapest to best.
fn hull(options: &[Alternative]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..options.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&options[*a], &options[*b]);
        let by_cost = a.cost.total_cmp(&b.cost);
        by_cost.then(b.quality.total_cmp(&a.quality))
    });
    let mut hull: Vec<usize> = Vec::new();
    for index in order {
        let best = hull.last().map_or(f64::MIN, |last| options[*last].quality);
        if options[index].quality <= best {
            continue;
        }
        while let [.., before, last] = hull[..] {
            if slope(options, before, last) > slope(options, before, index) {
                break;
            }
            hull.pop();
        }
        hull.push(index);
    }
    hull
}

fn slope(options: &[Alternative], from: usize, to: usize) -> f64 {
    let cost = options[to].cost - options[from].cost;
    (options[to].quality - options[from].quality) / cost.max(f64::MIN_POSITIVE)
}
