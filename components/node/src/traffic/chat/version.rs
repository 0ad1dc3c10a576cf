//! Which version serves a request.

use catalogue::entry::{Model, Offer, Version, VersionState};
use quality::{Candidate, ChoiceInput, Confidence, OfferTerms, RolloutShare};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sessions::SessionKey;
use sessions::choice::Pinning;
use sessions::pins::Pin;
use sessions::token::{Pinned, Sent, read_header};
use types::prelude::*;

use super::Job;
use crate::sessions::Found;
use crate::shared::lock;

/// Length of an answer assumed when the caller does not bound it, for estimates only.
const USUAL_OUTPUT: Tokens = Tokens(256);

/// The version chosen and the session it belongs to.
pub(crate) struct Chosen {
    /// The version.
    pub(crate) version: VersionId,
    /// Token for the caller's next request.
    pub(crate) token: Option<String>,
    /// The version that the session had and lost.
    pub(crate) moved_from: Option<VersionId>,
    /// The engine is asked how sure it is, so that its answer can be judged.
    pub(crate) is_judged: bool,
    /// Another version's answer was discarded for this one's.
    pub(crate) escalated: bool,
    /// Whom to ask next if the engine is not sure enough.
    pub(crate) next: Option<Next>,
}

/// A step of a cascade.
pub(crate) struct Next {
    /// Go on when the stated confidence is lower, or none was stated.
    below: Confidence,
    /// The stronger version.
    pub(crate) chosen: Box<Chosen>,
}

impl Chosen {
    /// Whether an answer is good enough to be the last, by what the engine says of it.
    pub(crate) fn accepts(&self, confidence: Option<Confidence>) -> bool {
        let Some(next) = &self.next else { return true };
        confidence.is_some_and(|stated| stated >= next.below)
    }
}

/// Why no version was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoVersion {
    /// None that is permitted takes new work.
    NoneOpen,
    /// The session is pinned by a newer catalogue than this daemon has.
    Behind,
}

/// Chooses by what is known of the versions' answers, within the session's pin.
pub(crate) async fn choose_version(job: &Job) -> Result<Chosen, NoVersion> {
    let shared = &job.cx.shared;
    let header = job.head.session.as_deref();
    let sent = read_header(&shared.session_keys, &job.cx.customer, header);
    let found = pinned(job, &sent).await;
    let pin = found.pin.as_ref().map(|pin| (&pin.version, pin.revision));
    let revision = job.cx.snapshot.view.revision;
    let pin = match Pinning::of(pin, &job.resolved.versions, revision) {
        Pinning::New => None,
        Pinning::Kept(version) | Pinning::Moved(version) => Some(version),
        Pinning::Behind => return Err(NoVersion::Behind),
    };
    let candidates = candidates(job);
    let terms = terms(&job.resolved.name, &job.resolved.offer);
    let now = shared.now();
    // Only an answer that is held back whole can be discarded, and only work that may run
    // again; a session keeps to one version.
    let is_new = sent == Sent::Nothing;
    let may_escalate = is_new && !job.ask.stream && !job.head.non_idempotent;
    let input = ChoiceInput {
        offer: &terms,
        candidates: &candidates,
        pin,
        in_session: !is_new,
        may_escalate,
        time_left: now.until(job.deadline),
    };
    let mut rng = draws(job, &sent);
    let plan = lock(&shared.quality).choose(now, &input, &mut rng);
    let plan = plan.ok_or(NoVersion::NoneOpen)?;
    let moved_from = pin.filter(|pin| **pin != plan.first).cloned();
    let version = hold(job, &sent, plan.first, found).await;
    let next = plan.escalation.map(|step| Next {
        below: step.below,
        chosen: Box::new(Chosen {
            token: token_for(job, &sent, &step.to),
            version: step.to,
            moved_from: None,
            is_judged: false,
            escalated: true,
            next: None,
        }),
    });
    Ok(Chosen {
        token: token_for(job, &sent, &version),
        version,
        moved_from,
        is_judged: may_escalate,
        escalated: false,
        next,
    })
}

/// The session's pin: in its token, or by its name here or at its homes.
async fn pinned(job: &Job, sent: &Sent) -> Found {
    match sent {
        Sent::Token(pinned) if pinned.offer == job.resolved.name => Found::of(Pin {
            key: key(job, &pinned.session),
            version: pinned.version.clone(),
            revision: pinned.revision,
            age: Span::ZERO,
            over: None,
        }),
        Sent::Name(name) => {
            let shared = &job.cx.shared;
            shared.sessions.find(&key(job, name), shared.now()).await
        }
        _ => Found::default(),
    }
}

/// Holds a named session's pin for its next request, and gives the version that stands.
async fn hold(job: &Job, sent: &Sent, version: VersionId, found: Found) -> VersionId {
    let Sent::Name(name) = sent else {
        return version;
    };
    let before = found.pin.as_ref().map(|pin| pin.version.clone());
    let pin = Pin {
        key: key(job, name),
        version: version.clone(),
        revision: job.cx.snapshot.view.revision,
        age: Span::ZERO,
        over: before.filter(|before| *before != version),
    };
    let shared = &job.cx.shared;
    let held = shared.sessions.hold(pin, found, shared.now()).await;
    let standing = held.version;
    if job.resolved.versions.contains(&standing) {
        standing
    } else {
        version
    }
}

fn key(job: &Job, session: &SessionId) -> SessionKey {
    SessionKey {
        customer: job.cx.customer.clone(),
        offer: job.resolved.name.clone(),
        session: session.clone(),
    }
}

/// Chance; for a named session the same at every daemon, so that its version follows from
/// its name where its pin is not known.
fn draws(job: &Job, sent: &Sent) -> StdRng {
    match sent {
        Sent::Name(name) => StdRng::seed_from_u64(key(job, name).hash64()),
        _ => StdRng::from_rng(&mut rand::rng()),
    }
}

fn terms(name: &EntryName, offer: &Offer) -> OfferTerms {
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
        .ask
        .max_output
        .unwrap_or(USUAL_OUTPUT)
        .min(job.resolved.offer.max_output);
    Candidate {
        version: id.clone(),
        accepts_new_sessions: version.state == VersionState::Offered,
        cost: version.price.of(job.ask.input, output),
        latency: lock(&job.cx.shared.paces).of(id).unwrap_or_default(),
        expected: version
            .expected_quality
            .get(&job.resolved.offer.class)
            .copied(),
        rollout,
    }
}

/// A session begins with any request, so that the caller can keep its version.
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
    let revision = job.cx.snapshot.view.revision;
    let pinned = Pinned {
        session,
        offer,
        version: version.clone(),
        revision,
        start,
    };
    Some(shared.session_keys.sign(&job.cx.customer, &pinned))
}
