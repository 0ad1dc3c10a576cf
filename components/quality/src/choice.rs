//! Input and result of the choice of a version.

use types::prelude::*;

use crate::rating::Confidence;

/// Requirements of an offer.
#[derive(Debug, Clone, PartialEq)]
pub struct OfferTerms {
    /// The offer's name.
    pub name: EntryName,
    /// Class of work.
    pub class: ClassName,
    /// Share of answers that must be adequate.
    pub target: Share,
    /// Weight of cost. Only the ratios of the weights matter.
    pub cost_weight: f64,
    /// Weight of the time until the answer is complete.
    pub latency_weight: f64,
    /// Weight of avoiding answers from versions not yet proved.
    pub exposure_weight: f64,
}

impl OfferTerms {
    /// Share of the exposure weight in all weights, from 0 to 1.
    pub(crate) fn caution(&self) -> f64 {
        let total_weight = self.cost_weight + self.latency_weight + self.exposure_weight;
        (self.exposure_weight / total_weight.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }
}

/// Share of another version's new work that goes to a version being rolled out.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutShare {
    /// Version being replaced.
    pub from: VersionId,
    /// Share of its new sessions and requests that is taken over.
    pub share: Share,
}

/// Version that the customer may be served from now.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The version.
    pub version: VersionId,
    /// Whether it takes new sessions; otherwise it serves only its present ones.
    pub accepts_new_sessions: bool,
    /// Expected cost of this class's average answer.
    pub cost: Cost,
    /// Expected time until the answer is complete, queues included.
    pub latency: Span,
    /// Quality that the catalogue claims for this class.
    pub expected: Option<Share>,
    /// Set while the version is being rolled out.
    pub rollout: Option<RolloutShare>,
}

/// Input to the choice for one request.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceInput<'a> {
    /// Requirements of the offer.
    pub offer: &'a OfferTerms,
    /// Versions that this customer may be served from, in any order.
    pub candidates: &'a [Candidate],
    /// Version that the session is pinned to.
    pub pin: Option<&'a VersionId>,
    /// Whether the request begins or continues a session, which one version serves alone.
    pub in_session: bool,
    /// Whether a first answer can be withheld and discarded, as an escalation needs.
    pub may_escalate: bool,
    /// Time left until the request's deadline.
    pub time_left: Span,
}

/// Escalation to another version after a low-confidence answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Escalation {
    /// Version to escalate to.
    pub to: VersionId,
    /// Escalate when the stated confidence is lower, or none was stated.
    pub below: Confidence,
}

/// Result of the choice: how to serve a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Version to ask first.
    pub first: VersionId,
    /// Escalation after a low-confidence answer.
    pub escalation: Option<Escalation>,
    /// Whether the session was pinned to another version, which may no longer serve it.
    pub session_moved: bool,
}

impl Plan {
    /// Whether to discard an answer of the first version and escalate.
    #[must_use]
    pub fn escalates(&self, confidence: Option<Confidence>) -> bool {
        let is_low = |step: &Escalation| confidence.is_none_or(|stated| stated < step.below);
        self.escalation.as_ref().is_some_and(is_low)
    }
}
