//! Which version serves a request.

use catalogue::entry::{Model, Offer, Version, VersionState};
use quality::{Candidate, ChoiceInput, OfferTerms, RolloutShare};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sessions::token::{Pinned, Sent, read_header};
use types::prelude::*;

use super::Job;
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
pub(crate) fn choose_version(job: &Job) -> Result<Chosen, NoVersion> {
    let shared = &job.cx.shared;
    let header = job.head.session.as_deref();
    let sent = read_header(&shared.session_keys, &job.cx.customer, header);
    let pinned = match &sent {
        Sent::Token(pinned) if pinned.offer == job.resolved.name => Some(pinned),
        _ => None,
    };
    let candidates = candidates(job);
    let pin = pinned.map(|pinned| &pinned.version);
    if let Some(pinned) = pinned
        && is_behind(job, pinned)
    {
        return Err(NoVersion::Behind);
    }
    let terms = terms(&job.resolved.name, &job.resolved.offer);
    let now = shared.now();
    let input = ChoiceInput {
        offer: &terms,
        candidates: &candidates,
        pin,
        in_session: sent != Sent::Nothing,
        // No engine states how sure it is, so no first answer can be judged.
        may_escalate: false,
        time_left: now.until(job.deadline),
    };
    let mut rng = draws(job, &sent);
    let plan = lock(&shared.quality).choose(now, &input, &mut rng);
    let version = plan.ok_or(NoVersion::NoneOpen)?.first;
    let moved_from = pin.filter(|pin| **pin != version).cloned();
    let token = token_for(job, &sent, &version);
    Ok(Chosen {
        version,
        token,
        moved_from,
    })
}

/// Guards against a session that changes its version at a daemon whose catalogue lags: a
/// version added a moment ago is unknown there and looks withdrawn. The revision that the
/// token was signed under tells the two apart.
fn is_behind(job: &Job, pinned: &Pinned) -> bool {
    let is_known = job.resolved.versions.contains(&pinned.version);
    !is_known && pinned.revision > job.cx.snapshot.view.revision
}

/// Chance; for a named session the same at every daemon, so that its version follows from
/// its name where its pin is not known.
fn draws(job: &Job, sent: &Sent) -> StdRng {
    match sent {
        Sent::Name(name) => {
            let key = sessions::SessionKey {
                customer: job.cx.customer.clone(),
                offer: job.resolved.name.clone(),
                session: name.clone(),
            };
            StdRng::seed_from_u64(key.hash64())
        }
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
        takes_new: version.state == VersionState::Offered,
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
