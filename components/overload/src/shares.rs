//! Weighted max-min fair shares of a limit.

/// Share of the mean probability that no flow's probability falls below. Without it, a less urgent
/// rank would get nothing while more urgent ones use up the limit.
const MIN_SHARE_OF_MEAN: f64 = 1.0 / 3.0;
/// Least weight of a flow, as a rate: a flow without a usual rate still gets a share.
const MIN_WEIGHT: f64 = 0.05;
/// Steps of the search for a rank's fill level; each halves the error.
const SEARCH_STEPS: u32 = 40;

/// The load of a flow, in requests a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FlowLoad {
    /// Requests that its callers send.
    pub offered: f64,
    /// Requests that they usually send; the flow's weight.
    pub usual: f64,
    /// Rank of its requests; 0 is served first.
    pub rank: u8,
}

impl FlowLoad {
    fn weight(&self) -> f64 {
        self.usual.max(MIN_WEIGHT)
    }

    /// What it gets at a fill level.
    fn share(&self, level: f64, floor: f64) -> f64 {
        let least = floor * self.offered;
        (level * self.weight()).clamp(least, self.offered.max(least))
    }
}

/// Works out the probability with which each flow's requests are admitted, so that `limit` requests
/// a second are admitted in all. `out` gets one for each of `flows`, in their order.
///
/// Each flow first gets a third of the mean probability. What is left goes to the ranks in turn; in
/// a rank, flows share it by their weights, and none gets more than it offers.
pub fn admission_probabilities(limit: f64, flows: &[FlowLoad], out: &mut Vec<f64>) {
    out.clear();
    let offered = flows.iter().map(|flow| flow.offered).sum::<f64>();
    if offered <= limit {
        out.resize(flows.len(), 1.0);
        return;
    }
    let limit = limit.max(0.0);
    let floor = limit / offered * MIN_SHARE_OF_MEAN;
    out.resize(flows.len(), floor);
    let mut left = limit - floor * offered;
    let mut next = flows.iter().map(|flow| flow.rank).min();
    while let Some(rank) = next {
        let of_rank = || flows.iter().filter(|flow| flow.rank == rank);
        let demand = of_rank().map(|flow| flow.offered).sum::<f64>();
        let extra = left.min(demand * (1.0 - floor));
        left -= extra;
        let level = fill_level(of_rank, demand * floor + extra, floor);
        for (flow, probability) in flows.iter().zip(out.iter_mut()) {
            if flow.rank == rank && flow.offered > 0.0 {
                *probability = flow.share(level, floor) / flow.offered;
            }
        }
        let later = flows.iter().map(|flow| flow.rank);
        next = later.filter(|other| *other > rank).min();
    }
}

/// Finds the fill level at which the flows use up a budget.
fn fill_level<'a, I>(flows: impl Fn() -> I, budget: f64, floor: f64) -> f64
where
    I: Iterator<Item = &'a FlowLoad>,
{
    let highest = flows().map(|flow| flow.offered / flow.weight());
    let (mut low, mut high) = (0.0, highest.fold(0.0, f64::max));
    for _ in 0..SEARCH_STEPS {
        let level = f64::midpoint(low, high);
        let used = flows().map(|flow| flow.share(level, floor)).sum::<f64>();
        match used > budget {
            true => high = level,
            false => low = level,
        }
    }
    high
}
