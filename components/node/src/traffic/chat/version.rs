//! Which version serves a request.

use std::collections::BTreeSet;

use catalogue::entry::VersionState;
use rand::RngExt;
use sessions::choice::{Choice, Options, choose};
use sessions::token::{Pinned, Sent, read_header};
use types::prelude::*;

use super::Job;

/// The version chosen and the session it belongs to.
pub(crate) struct Chosen {
    /// The version.
    pub(crate) version: VersionId,
    /// Token for the caller's next request.
    pub(crate) token: Option<String>,
    /// The version that the session had and lost.
    pub(crate) moved_from: Option<VersionId>,
}

/// Chooses; nothing when no permitted version takes new work.
pub(crate) fn choose_version(job: &Job) -> Option<Chosen> {
    let shared = &job.cx.shared;
    let sent = read_header(
        &shared.session_keys,
        &job.cx.customer,
        job.head.session.as_deref(),
    );
    let (hash, pin) = match &sent {
        Sent::Token(pinned) if pinned.offer == job.resolved.name => {
            (0, Some((&pinned.version, pinned.revision)))
        }
        Sent::Name(name) => (name_hash(job, name), None),
        _ => (rand::rng().random(), None),
    };
    let view = &job.cx.snapshot.view;
    let preferred = by_price(job);
    let suspended = BTreeSet::new();
    let permitted = &job.resolved.versions;
    let options = Options {
        view,
        permitted,
        suspended: &suspended,
        preferred: &preferred,
    };
    let choice = choose(hash, pin, &options)?;
    let (version, moved_from) = match choice {
        Choice::Kept(version) => (version, None),
        Choice::New {
            version,
            moved_from,
        } => (version, moved_from),
        Choice::Behind => return None,
    };
    let token = token_for(job, &sent, &version);
    Some(Chosen {
        version,
        token,
        moved_from,
    })
}

fn name_hash(job: &Job, name: &SessionId) -> u64 {
    let key = sessions::SessionKey {
        customer: job.cx.customer.clone(),
        offer: job.resolved.name.clone(),
        session: name.clone(),
    };
    key.hash64()
}

/// Models of the permitted versions that take new sessions, cheapest first.
fn by_price(job: &Job) -> Vec<ModelName> {
    let view = &job.cx.snapshot.view;
    let mut priced = Vec::new();
    for id in &job.resolved.versions {
        let Some(version) = view
            .models
            .get(&id.model)
            .and_then(|m| m.versions.get(&id.version))
        else {
            continue;
        };
        if version.state == VersionState::Offered {
            priced.push((version.price.output, id.model.clone()));
        }
    }
    priced.sort();
    let mut models: Vec<_> = priced.into_iter().map(|(_, model)| model).collect();
    models.dedup();
    models
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
