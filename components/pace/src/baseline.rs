//! The usual time of a kind of answer, over all upstreams.

/// Least weight of a new answer: about the last fifty count.
const MIN_WEIGHT: f64 = 0.02;

/// Geometric mean of the times of one kind of answer over all upstreams, in any unit.
///
/// What is usual is learned rather than assumed, so that an expectation that is wrong by the same
/// factor for all upstreams makes none of them look slow.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Baseline {
    mean_log: f64,
    count: u32,
}

impl Baseline {
    /// Adds an answer's time and returns its ratio to the mean, which is 1 for the first answer.
    /// `None` if the time is not finite and positive.
    ///
    /// The time is bounded to within a factor of two of the mean, so that one outlier moves the
    /// mean only a little.
    pub fn record(&mut self, time: f64) -> Option<f64> {
        if !time.is_finite() || time <= 0.0 {
            return None;
        }
        let log = time.ln();
        if self.count == 0 {
            self.mean_log = log;
        }
        self.count = self.count.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.count));
        let deviation = log - self.mean_log;
        let bound = std::f64::consts::LN_2;
        self.mean_log += weight * deviation.clamp(-bound, bound);
        Some((log - self.mean_log).exp())
    }
}
