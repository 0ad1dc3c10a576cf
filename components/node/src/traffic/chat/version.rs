//! Chooses the version that serves a request.

use catalogue::entry::{Model, Offer, Version, VersionState};
use quality::{Candidate, ChoiceInput, Confidence, OfferTerms, RolloutShare};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sessions::SessionKey;
use sessions::choice::PinDecision;
use sessions::pins::Pin;
use sessions::token::{Pinned, Sent, read_header};
use types::prelude::*;

use super::Job;
use crate::sessions::FoundPin;
use crate::shared::lock;

/// Answer length in tokens assumed when the caller does not bound it, for cost estimates only.
const ASSUMED_OUTPUT: Tokens = Tokens(256);

/// The version chosen, and the session that the request belongs to.
pub(crate) struct ChosenVersion {
    /// The version that serves the request.
    pub(crate) version: VersionId,
    /// Session token for the caller's next request.
    pub(crate) token: Option<String>,
    /// The version that the session was pinned to and lost.
    pub(crate) moved_from: Option<VersionId>,
    /// Whether the engine is asked for log probabilities, to judge the answer's confidence.
    pub(crate) asks_confidence: bool,
    /// Whether another version's answer was discarded for this one's.
    pub(crate) escalated: bool,
    /// The version to escalate to on a low-confidence answer.
    pub(crate) next: Option<EscalationStep>,
}

/// An escalation step of a cascade.
pub(crate) struct EscalationStep {
    /// Escalate when the stated confidence is lower, or none was stated.
    min_confidence: Confidence,
    /// The stronger version.
    pub(crate) chosen: Box<ChosenVersion>,
}

impl ChosenVersion {
    /// Whether an answer of this confidence is final, that is, needs no escalation.
    pub(crate) fn accepts(&self, confidence: Option<Confidence>) -> bool {
        let Some(step) = &self.next else { return true };
        confidence.is_some_and(|stated| stated >= step.min_confidence)
    }
}

/// Why no version was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoVersion {
    /// No permitted version takes new work.
    NoneAvailable,
    /// The session was pinned under a newer catalogue than this daemon has.
    CatalogueBehind,
}

/// Chooses a version by what is known of the versions' answers, within the session's pin.
pub(crate) async fn choose_version(job: &Job) -> Result<ChosenVersion, NoVersion> {
    let shared = &job.cx.shared;
    let header = job.head.session.as_deref();
    let sent = read_header(&shared.session_keys, &job.cx.customer, header);
    let found = find_pin(job, &sent).await;
    let pin = found.pin.as_ref().map(|pin| (&pin.version, pin.revision));
    let revision = job.cx.snapshot.view.revision;
    let pin = match PinDecision::decide(pin, &job.resolved.versions, revision) {
        PinDecision::New => None,
        PinDecision::Kept(version) | PinDecision::Moved(version) => Some(version),
        PinDecision::CatalogueBehind => return Err(NoVersion::CatalogueBehind),
    };
    let candidates = candidates(job);
    let terms = offer_terms(&job.resolved.name, &job.resolved.offer);
    let now = shared.now();
    // Only an answer that is held back whole can be discarded, and only for work that may run
    // again; a session keeps to one version.
    let is_new = sent == Sent::Nothing;
    let may_escalate = is_new && !job.params.stream && !job.head.non_idempotent;
    let input = ChoiceInput {
        offer: &terms,
        candidates: &candidates,
        pin,
        in_session: !is_new,
        may_escalate,
        time_left: now.until(job.deadline),
    };
    let mut rng = choice_rng(job, &sent);
    let plan = lock(&shared.quality).choose(now, &input, &mut rng);
    let plan = plan.ok_or(NoVersion::NoneAvailable)?;
    let moved_from = pin.filter(|pin| **pin != plan.first).cloned();
    let version = store_pin(job, &sent, plan.first, found).await;
    let next = plan.escalation.map(|step| EscalationStep {
        min_confidence: step.below,
        chosen: Box::new(ChosenVersion {
            token: token_for(job, &sent, &step.to),
            version: step.to,
            moved_from: None,
            asks_confidence: false,
            escalated: true,
            next: None,
        }),
    });
    Ok(ChosenVersion {
        token: token_for(job, &sent, &version),
        version,
        moved_from,
        asks_confidence: may_escalate,
        escalated: false,
        next,
    })
}

/// Finds the session's pin: in its token, or for a named session here or at its homes.
async fn find_pin(job: &Job, sent: &Sent) -> FoundPin {
    match sent {
        Sent::Token(pinned) if pinned.offer == job.resolved.name => FoundPin::of(Pin {
            key: session_key(job, &pinned.session),
            version: pinned.version.clone(),
            revision: pinned.revision,
            age: Span::ZERO,
            replaces: None,
        }),
        Sent::Name(name) => {
            let shared = &job.cx.shared;
            shared
                .sessions
                .find(&session_key(job, name), shared.now())
                .await
        }
        _ => FoundPin::default(),
    }
}

/// Stores a named session's pin for its next request, and returns the version in force.
async fn store_pin(job: &Job, sent: &Sent, version: VersionId, found: FoundPin) -> VersionId {
    let Sent::Name(name) = sent else {
        return version;
    };
    let before = found.pin.as_ref().map(|pin| pin.version.clone());
    let pin = Pin {
        key: session_key(job, name),
        version: version.clone(),
        revision: job.cx.snapshot.view.highest_revision,
        age: Span::ZERO,
        replaces: before.filter(|before| *before != version),
    };
    let shared = &job.cx.shared;
    let stored = shared.sessions.store_pin(pin, found, shared.now()).await;
    let in_force = stored.version;
    if job.resolved.versions.contains(&in_force) {
        in_force
    } else {
        version
    }
}

fn session_key(job: &Job, session: &SessionId) -> SessionKey {
    SessionKey {
        customer: job.cx.customer.clone(),
        offer: job.resolved.name.clone(),
        session: session.clone(),
    }
}

/// The random source of the choice. For a named session it is seeded by the name, so that every
/// daemon chooses the same version where the session's pin is not known.
fn choice_rng(job: &Job, sent: &Sent) -> StdRng {
    match sent {
        Sent::Name(name) => StdRng::seed_from_u64(session_key(job, name).hash64()),
        _ => StdRng::from_rng(&mut rand::rng()),
    }
}

fn offer_terms(name: &EntryName, offer: &Offer) -> OfferTerms {
    OfferTerms {
        name: name.clone(),
        class: offer.class.clone(),
        target: offer.quality_target,
        cost_weight: offer.weights.cost,
        latency_weight: offer.weights.latency,
        exposure_weight: offer.weights.exposure,
    }
}

fn candidates(job: &Job) -> Vec<Candidate> {
    let view = &job.cx.snapshot.view;
    let mut candidates = Vec::new();
    for id in &job.resolved.versions {
        let Some(model) = view.models.get(&id.model) else {
            continue;
        };
        if let Some(version) = model.versions.get(&id.version) {
            candidates.push(candidate(job, id, model, version));
        }
    }
    candidates
}

fn candidate(job: &Job, id: &VersionId, model: &Model, version: &Version) -> Candidate {
    let rollout = model
        .rollout
        .as_ref()
        .filter(|rollout| rollout.to == id.version);
    let rollout = rollout.map(|rollout| RolloutShare {
        from: VersionId::new(id.model.clone(), rollout.from.clone()),
        share: rollout.share(),
    });
    let output = job
        .params
        .max_output
        .unwrap_or(ASSUMED_OUTPUT)
        .min(job.resolved.offer.max_output);
    Candidate {
        version: id.clone(),
        accepts_new_sessions: version.state == VersionState::Offered,
        cost: version.price.of(job.params.input, output),
        latency: lock(&job.cx.shared.latencies).of(id).unwrap_or_default(),
        expected: version
            .expected_quality
            .get(&job.resolved.offer.class)
            .copied(),
        rollout,
    }
}

/// Signs a session token. Every request gets one, so that its caller can keep the version.
fn token_for(job: &Job, sent: &Sent, version: &VersionId) -> Option<String> {
    let shared = &job.cx.shared;
    let (session, start) = match sent {
        Sent::Token(pinned) => (pinned.session.clone(), pinned.start),
        Sent::Name(name) => (name.clone(), shared.clock.wall()),
        Sent::Nothing => {
            let name = format!("s-{:016x}", rand::rng().random::<u64>());
            (name.parse().ok()?, shared.clock.wall())
        }
    };
    let offer = job.resolved.name.clone();
    let revision = job.cx.snapshot.view.highest_revision;
    let pinned = Pinned {
        session,
        offer,
        version: version.clone(),
        revision,
        start,
    };
    Some(shared.session_keys.sign(&job.cx.customer, &pinned))
}
