//! Statistical comparison of a new version with the old one, by the fleet's evidence.
//!
//! Both versions are compared over the same time, each kind of request with its own. A failure
//! that an upstream reports counts at once. Broken connections and slow answers come in bursts,
//! when one upstream crashes or prefills a long prompt, so they count only if they persist.

use types::prelude::*;

use crate::evidence::{Arm, ArmCounts, Evidence, REQUEST_KINDS};

/// Fewest bad or slow answers for a detection: five by chance at a failure rate of 2% and 40
/// answers have a probability under 0.002.
const MIN_BAD_ANSWERS: u32 = 5;
/// Least excess of the share of bad answers over the old version's.
const MIN_FAILURE_EXCESS: f64 = 0.06;
/// Least excess of the share of slow answers. It is larger than for failures, since prompts that
/// wait for other requests make more slow answers by chance.
const MIN_SLOW_EXCESS: f64 = 0.15;
/// Standard errors between the versions for a detection: 3.5 give one false alarm in some thousand
/// comparisons.
const DETECTION_STD_ERRORS: f64 = 3.5;
/// The same on a square root scale, on which counts as small as five have the same spread as larger
/// ones. [`DETECTION_STD_ERRORS`] is too low for small counts: five bad answers where one is
/// expected are 3.8 standard errors apart and occur once in 200 comparisons. On this scale that is
/// 2.4.
const DETECTION_ROOT_STD_ERRORS: f64 = 2.8;
/// Standard errors for a suspicion. With 2.0 and no least excess, three of sixteen good
/// roll-outs were reverted.
const SUSPICION_STD_ERRORS: f64 = 2.5;
/// Share of a detection's least excess that suffices for a suspicion.
const SUSPICION_EXCESS_FACTOR: f64 = 0.5;
/// Least excess of the share of bad answers for a suspicion.
pub(super) const MIN_SUSPICIOUS_EXCESS: f64 = SUSPICION_EXCESS_FACTOR * MIN_FAILURE_EXCESS;
/// Fewest bad or slow answers for a suspicion.
const SUSPICION_MIN_BAD_ANSWERS: f64 = 3.0;
/// Delay until a possibly transient fault is compared again: by then all daemons' reports of
/// that moment have been added up.
const CONFIRMATION_DELAY: Span = Span::from_millis(600);
/// Answers of the new version after that delay that decide whether the fault persists.
const CONFIRMATION_MIN_ANSWERS: u32 = 8;
/// Fewest bad answers among them.
const CONFIRMATION_MIN_BAD_ANSWERS: f64 = 2.0;
/// Standard errors between the versions for a confirmation; together with the detection before it
/// this gives one false alarm in some ten thousand comparisons.
const CONFIRMATION_STD_ERRORS: f64 = 2.0;

/// A fault of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// It fails more often than the old one.
    Failing,
    /// It is several times slower.
    Slow,
}

/// Certainty that a judgement requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Certainty {
    /// Required while most of the allowed exposure is unused.
    Detection,
    /// Sufficient once the exposure is nearly used up.
    Suspicion,
    /// Required of the answers that come after a detection.
    Confirmation,
}

/// Which failed answers count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FailureScope {
    /// Failures that upstreams reported.
    Reported,
    /// Reported failures and answers that broke off.
    All,
}

impl FailureScope {
    fn failed(self, counts: &ArmCounts) -> Proportion {
        let failed = match self {
            Self::Reported => counts.bad,
            Self::All => counts.bad + counts.broken,
        };
        Proportion::new(failed, counts.answers())
    }
}

/// Returns the new version's fault, if it is as certain as required.
pub(super) fn find_fault(
    fleet: &Evidence,
    scope: FailureScope,
    certainty: Certainty,
) -> Option<Fault> {
    let failed = |counts: &ArmCounts| scope.failed(counts);
    let slow = |counts: &ArmCounts| Proportion::new(counts.slow, counts.begun);
    if is_worse(fleet, failed, MIN_FAILURE_EXCESS, certainty) {
        return Some(Fault::Failing);
    }
    let has_old = fleet.old.sum().begun > 0;
    // A suspicion requires half of a detection's excess. For slow answers the full excess is
    // required, since prompts that new upstreams have not cached yet cause half of it, and no bad
    // version is slow on so few.
    let min_excess = match certainty {
        Certainty::Suspicion => MIN_SLOW_EXCESS / SUSPICION_EXCESS_FACTOR,
        Certainty::Detection | Certainty::Confirmation => MIN_SLOW_EXCESS,
    };
    let is_slower = has_old && is_worse(fleet, slow, min_excess, certainty);
    is_slower.then_some(Fault::Slow)
}

/// Whether the new version's upstreams report clearly more failures.
pub(super) fn fails_more(fleet: &Evidence, certainty: Certainty) -> bool {
    let reported = |counts: &ArmCounts| FailureScope::Reported.failed(counts);
    is_worse(fleet, reported, MIN_FAILURE_EXCESS, certainty)
}

fn is_worse(
    fleet: &Evidence,
    part: impl Fn(&ArmCounts) -> Proportion,
    min_excess: f64,
    certainty: Certainty,
) -> bool {
    let excess = Excess::of(&fleet.new, &fleet.old, part);
    excess
        .iter()
        .any(|excess| excess.exceeds(min_excess, certainty))
}

/// A fault that was detected and may be over.
#[derive(Debug, Clone, Copy)]
struct PendingFault {
    confirm_from: Time,
    /// The fleet's evidence when the confirmation started.
    before: Option<Evidence>,
}

/// Confirmation of faults that may be transient.
///
/// When one of a version's few upstreams crashes or prefills a long prompt, all of its answers of
/// that moment break or are slow. A test that treats each as independent detects a fault after six
/// of them, and a good version would be reverted. Such a fault must therefore show again in the
/// answers that come after it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FaultConfirmation {
    /// Evidence whose faults were found to be transient.
    dismissed: Evidence,
    pending: Option<PendingFault>,
}

impl FaultConfirmation {
    /// Returns the new version's fault once it is confirmed.
    pub(super) fn confirmed(&mut self, now: Time, fleet: &Evidence) -> Option<Fault> {
        let Some(pending) = &mut self.pending else {
            let is_detected = find_fault(
                &fleet.since(&self.dismissed),
                FailureScope::All,
                Certainty::Detection,
            )
            .is_some();
            self.pending = is_detected.then_some(PendingFault {
                confirm_from: now + CONFIRMATION_DELAY,
                before: None,
            });
            return None;
        };
        if now < pending.confirm_from {
            return None;
        }
        let since = fleet.since(pending.before.get_or_insert(*fleet));
        if since.new.sum().answers() < CONFIRMATION_MIN_ANSWERS {
            return None;
        }
        let fault = find_fault(&since, FailureScope::All, Certainty::Confirmation);
        if fault.is_none() {
            self.dismissed = *fleet;
            self.pending = None;
        }
        fault
    }
}

/// A number of answers out of a total.
#[derive(Debug, Clone, Copy)]
struct Proportion {
    count: f64,
    total: f64,
}

impl Proportion {
    fn new(count: u32, total: u32) -> Self {
        Self {
            count: f64::from(count),
            total: f64::from(total),
        }
    }
}

/// Excess of the new version's count over the one expected from the old version's answers, each
/// kind of request compared with its own (the Mantel-Haenszel test).
#[derive(Debug, Clone, Copy, Default)]
struct Excess {
    observed: f64,
    expected: f64,
    variance: f64,
    answers: f64,
}

impl Excess {
    /// Computes the excess of each kind of request, and of all together.
    fn of(
        new: &Arm,
        old: &Arm,
        part: impl Fn(&ArmCounts) -> Proportion,
    ) -> [Self; REQUEST_KINDS + 1] {
        let mut excess = [Self::default(); REQUEST_KINDS + 1];
        for (kind, (new, old)) in new.kinds.iter().zip(&old.kinds).enumerate() {
            excess[kind].add(part(new), part(old));
            excess[REQUEST_KINDS].add(part(new), part(old));
        }
        excess
    }

    fn add(&mut self, new: Proportion, old: Proportion) {
        let total = new.total + old.total;
        self.observed += new.count;
        self.answers += new.total;
        // Without answers of the old version nothing bad is expected.
        if old.total == 0.0 {
            return;
        }
        let count = new.count + old.count;
        self.expected += new.total * count / total;
        let rest = (total - count) / (total * total * (total - 1.0).max(1.0));
        self.variance += new.total * old.total * count * rest;
    }

    /// Whether the excess share is above `min_excess` and more than chance explains.
    fn exceeds(&self, min_excess: f64, certainty: Certainty) -> bool {
        let above = self.observed - self.expected;
        match certainty {
            Certainty::Detection => {
                let is_enough = self.observed >= f64::from(MIN_BAD_ANSWERS)
                    && above > min_excess * self.answers;
                let roots = 2.0 * (self.observed.sqrt() - self.expected.sqrt());
                is_enough
                    && above > DETECTION_STD_ERRORS * self.variance.sqrt()
                    && roots > DETECTION_ROOT_STD_ERRORS
            }
            Certainty::Suspicion => {
                let min_excess = SUSPICION_EXCESS_FACTOR * min_excess * self.answers;
                let is_enough = self.observed >= SUSPICION_MIN_BAD_ANSWERS && above > min_excess;
                is_enough && above > SUSPICION_STD_ERRORS * self.variance.sqrt()
            }
            Certainty::Confirmation => {
                let is_enough = self.observed >= CONFIRMATION_MIN_BAD_ANSWERS
                    && above > min_excess * self.answers;
                is_enough && above > CONFIRMATION_STD_ERRORS * self.variance.sqrt()
            }
        }
    }
}
