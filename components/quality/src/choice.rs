//! What a choice is made from, and what comes out.

use types::prelude::*;

use crate::rating::Confidence;

/// What an offer asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct OfferTerms {
    /// The offer's name.
    pub name: EntryName,
    /// The kind of work.
    pub class: ClassName,
    /// Share of answers that must be adequate.
    pub target: Share,
    /// Weight of money; only the ratios of the weights count.
    pub cost_weight: f64,
    /// Weight of time to the answer.
    pub latency_weight: f64,
    /// Weight of answers from versions not yet proved.
    pub exposure_weight: f64,
}

impl OfferTerms {
    /// From 0 to 1: the part that exposure has of all weights.
    pub(crate) fn caution(&self) -> f64 {
        let all = self.cost_weight + self.latency_weight + self.exposure_weight;
        (self.exposure_weight / all.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }
}

/// The part of another version's new work that a version takes over.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutShare {
    /// The version that goes.
    pub from: VersionId,
    /// Share of its new sessions and requests.
    pub share: Share,
}

/// A version that the customer may be served from now.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The version.
    pub version: VersionId,
    /// Whether it takes new sessions; otherwise it serves only those that it has.
    pub takes_new: bool,
    /// Expected cost of this class's average answer.
    pub cost: Cost,
    /// Expected time to the end of the answer, queues included.
    pub latency: Span,
    /// The catalogue's expected quality in this class.
    pub expected: Option<Share>,
    /// Set while it is being rolled out.
    pub rollout: Option<RolloutShare>,
}

/// One request's part of the choice.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceInput<'a> {
    /// The offer.
    pub offer: &'a OfferTerms,
    /// The versions that this customer may be served from, in any order.
    pub candidates: &'a [Candidate],
    /// The session's version.
    pub pin: Option<&'a VersionId>,
    /// A session begins with this request or goes on: one version answers alone.
    pub in_session: bool,
    /// Whether a first answer can be held back and discarded.
    pub may_escalate: bool,
    /// Time left until the answer is due.
    pub time_left: Span,
}

/// Goes on to another version when the first answer is not sure enough.
#[derive(Debug, Clone, PartialEq)]
pub struct Escalation {
    /// The version to go on to.
    pub to: VersionId,
    /// Go on when the stated confidence is lower, or none was stated.
    pub below: Confidence,
}

/// How to serve a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The version to ask first.
    pub first: VersionId,
    /// What follows an unsure answer.
    pub escalation: Option<Escalation>,
    /// The session had another version, which may not serve it any more.
    pub repinned: bool,
}

impl Plan {
    /// Whether to discard an answer of the first version and go on.
    #[must_use]
    pub fn escalates(&self, confidence: Option<Confidence>) -> bool {
        let unsure = |step: &Escalation| confidence.is_none_or(|stated| stated < step.below);
        self.escalation.as_ref().is_some_and(unsure)
    }
}
