//! What the fleet has seen of two versions of a service.

use routes::Repeat;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::upstreams::Load;

/// An answer that takes so many times as long as expected is slow. A version that is bad in
/// this way takes eight times as long for a part of its requests; a mean over all of them
/// varies so much that 58 answers did not show it, their share does after about ten.
const SLOW_TIMES: f64 = 3.0;

/// Answers of one version, counted since the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmCounts {
    /// Requests sent.
    pub sent: u32,
    /// Whole good answers.
    pub good: u32,
    /// Failures that the upstream told itself.
    pub bad: u32,
    /// Answers that broke off or never came.
    pub broken: u32,
    /// Answers that began, whether or not they ended.
    pub begun: u32,
    /// Of these, those that began much later than expected.
    pub slow: u32,
    /// Requests out now.
    pub out: u32,
}

impl ArmCounts {
    /// Answers, good and bad.
    #[must_use]
    pub fn answers(&self) -> u32 {
        self.good + self.bad + self.broken
    }

    /// Notes that an answer begins and how its time compares with what `load` lets expect.
    ///
    /// Guards against a slow version whose streams have not ended when it is to be judged: of
    /// 68 requests that it got in 16 s, 16 had ended, the fast ones. And against a good
    /// version that looks slow because its upstreams are new: they hold no prompts yet, so
    /// all of a prompt counts as to be read, wherever it went.
    pub fn note_begun(&mut self, measured_ms: f64, load: &Load) {
        self.begun += 1;
        let expected_ms = load.wait_ms + load.unheld_ms;
        if measured_ms > SLOW_TIMES * expected_ms.max(1.0) {
            self.slow += 1;
        }
    }

    /// What was counted since an earlier moment; what is out stays.
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

/// Kinds of requests that are compared each with its own: some fail for their own sake far
/// more often than others, and a mix of them hides a version that fails.
pub const KINDS: usize = 3;

/// The place of a kind of request among [`KINDS`].
#[must_use]
pub fn kind_of(repeat: Repeat) -> usize {
    match repeat {
        Repeat::Never => 0,
        Repeat::Any => 1,
        Repeat::Stream { .. } => 2,
    }
}

/// Answers of one version, by kind of request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Arm {
    /// By [`kind_of`].
    pub kinds: [ArmCounts; KINDS],
}

impl Arm {
    /// All kinds together.
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

    /// What was counted since an earlier moment.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let kinds = std::array::from_fn(|kind| self.kinds[kind].since(&earlier.kinds[kind]));
        Self { kinds }
    }

    /// Forgets requests that are out.
    pub fn forget_out(&mut self) {
        self.kinds.iter_mut().for_each(|counts| counts.out = 0);
    }
}

/// What one daemon has seen of a roll-out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The store's revision of the order.
    pub order: u64,
    /// How long the daemon knows the order, so that one that restarted does not begin anew.
    pub elapsed_ms: u32,
    /// The new version.
    pub new: Arm,
    /// All others.
    pub old: Arm,
}

impl Evidence {
    /// What was seen since an earlier moment.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            new: self.new.since(&earlier.new),
            old: self.old.since(&earlier.old),
            ..*self
        }
    }

    /// How long its daemon knows the order.
    #[must_use]
    pub fn elapsed(&self) -> Span {
        Span::from_millis(u64::from(self.elapsed_ms))
    }
}
