//! Outcomes of requests to two versions of a service, as counted during a roll-out.

use routes::Retry;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::upstreams::Load;

/// Factor over the expected time from which an answer counts as slow.
///
/// A version that is bad in this way takes eight times as long for a part of its requests. The
/// mean over all requests varies so much that it does not show this in 58 answers, while the
/// share of slow answers does after about ten.
const SLOW_FACTOR: f64 = 3.0;

/// Returns the time from which an answer that has not started counts as slow.
#[must_use]
pub fn slow_after(load: &Load) -> Span {
    Span::from_secs_f64(slow_after_ms(load) / 1_000.0)
}

fn slow_after_ms(load: &Load) -> f64 {
    let expected_ms = load.wait_ms + load.expected_uncached_ms;
    SLOW_FACTOR * expected_ms.max(1.0)
}

/// Outcomes of one version's requests, counted since the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmCounts {
    /// Requests sent.
    pub sent: u32,
    /// Complete good answers.
    pub good: u32,
    /// Failures that the upstream reported.
    pub bad: u32,
    /// Answers that broke off or never came.
    pub broken: u32,
    /// Answers that started, whether or not they ended, or that are slow to start.
    pub begun: u32,
    /// Those of them that started much later than expected, or have not started by then.
    pub slow: u32,
    /// Requests outstanding now.
    pub out: u32,
}

impl ArmCounts {
    /// Number of ended answers, good and bad.
    #[must_use]
    pub fn answers(&self) -> u32 {
        self.good + self.bad + self.broken
    }

    /// Records the start of an answer and whether it is slow compared with the time expected by
    /// `load`.
    ///
    /// Starts are counted, not ends, since a slow version's streams may not have ended when it is
    /// judged: of 68 requests that one got in 16 s, 16 had ended, the fast ones. The expected time
    /// is that of prefilling the whole prompt, wherever it was sent: otherwise a good version would
    /// look slow because its new upstreams have no prompts cached yet.
    pub fn record_answer_start(&mut self, measured_ms: f64, load: &Load) {
        self.begun += 1;
        if measured_ms > slow_after_ms(load) {
            self.slow += 1;
        }
    }

    /// Records an answer that has not started within [`slow_after`].
    pub fn record_slow_answer(&mut self) {
        self.begun += 1;
        self.slow += 1;
    }

    /// Returns the counts since an earlier moment; outstanding requests stay as they are.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            good: self.good.saturating_sub(earlier.good),
            bad: self.bad.saturating_sub(earlier.bad),
            broken: self.broken.saturating_sub(earlier.broken),
            begun: self.begun.saturating_sub(earlier.begun),
            slow: self.slow.saturating_sub(earlier.slow),
            out: self.out,
        }
    }

    /// Adds another daemon's counts.
    pub fn add(&mut self, other: &Self) {
        self.sent = self.sent.saturating_add(other.sent);
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.broken = self.broken.saturating_add(other.broken);
        self.begun = self.begun.saturating_add(other.begun);
        self.slow = self.slow.saturating_add(other.slow);
        self.out = self.out.saturating_add(other.out);
    }
}

/// Number of request kinds, each of which is compared only with its own. Some kinds fail far more
/// often than the rest whatever the version, and a mix of kinds would hide a version that fails.
pub const REQUEST_KINDS: usize = 3;

/// Returns the position of a kind of request, below [`REQUEST_KINDS`].
#[must_use]
pub fn request_kind(retry: Retry) -> usize {
    match retry {
        Retry::Never => 0,
        Retry::Any => 1,
        Retry::Stream { .. } => 2,
    }
}

/// Outcomes of one version's requests, by kind of request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Arm {
    /// Counts at the position that [`request_kind`] returns.
    pub kinds: [ArmCounts; REQUEST_KINDS],
}

impl Arm {
    /// Sums the counts of all kinds.
    #[must_use]
    pub fn sum(&self) -> ArmCounts {
        let mut sum = ArmCounts::default();
        self.kinds.iter().for_each(|counts| sum.add(counts));
        sum
    }

    /// Adds another daemon's counts.
    pub fn add(&mut self, other: &Self) {
        for (counts, other) in self.kinds.iter_mut().zip(&other.kinds) {
            counts.add(other);
        }
    }

    /// Returns the counts since an earlier moment.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let kinds = std::array::from_fn(|kind| self.kinds[kind].since(&earlier.kinds[kind]));
        Self { kinds }
    }

    /// Drops the counts of outstanding requests.
    pub fn forget_out(&mut self) {
        self.kinds.iter_mut().for_each(|counts| counts.out = 0);
    }
}

/// What one daemon, or the fleet together, has counted during a roll-out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The store's revision of the order.
    pub order: u64,
    /// Time since the daemon learned of the order, in ms; a daemon that restarted continues
    /// from it.
    pub elapsed_ms: u32,
    /// Outcomes of the new version.
    pub new: Arm,
    /// Outcomes of all other versions.
    pub old: Arm,
}

impl Evidence {
    /// Returns the counts since an earlier moment.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            new: self.new.since(&earlier.new),
            old: self.old.since(&earlier.old),
            ..*self
        }
    }

    /// Adds another daemon's counts.
    pub fn add(&mut self, other: &Self) {
        self.elapsed_ms = self.elapsed_ms.max(other.elapsed_ms);
        self.new.add(&other.new);
        self.old.add(&other.old);
    }

    /// Returns the counts without those of outstanding requests.
    #[must_use]
    pub fn without_out(mut self) -> Self {
        self.new.forget_out();
        self.old.forget_out();
        self
    }

    /// Time since the daemon learned of the order.
    #[must_use]
    pub fn elapsed(&self) -> Span {
        Span::from_millis(u64::from(self.elapsed_ms))
    }
}
