//! Resolves a model's name for a customer to an offer and the versions permitted.

use std::collections::BTreeSet;
use std::sync::Arc;

use catalogue::entry::{Offer, VersionState};
use catalogue::view::View;
use types::prelude::*;

use super::refusal::Refusal;

/// The offer and versions that a request may be served from.
#[derive(Debug, Clone)]
pub struct Resolved {
    /// The offer's name.
    pub name: EntryName,
    /// The offer.
    pub offer: Arc<Offer>,
    /// Versions permitted; draining ones serve only their existing sessions.
    pub versions: BTreeSet<VersionId>,
}

/// Finds the offer and versions that a customer means by `model`: the name of an offer, a
/// model or a version. `wanted` picks the offer where several have the model.
///
/// # Errors
/// 404 for an unknown or withdrawn name, 403 for one that the customer may not use, 503 when no
/// version may serve now.
pub fn resolve(
    view: &View,
    customer: &CustomerId,
    model: &str,
    wanted: Option<&EntryName>,
) -> Result<Resolved, Refusal> {
    if let Some((name, offer)) = by_offer_name(view, model) {
        let versions = view.permitted(offer, customer);
        return checked(view, name, offer, versions, customer);
    }
    let named = versions_named(view, model)?;
    let offers = view
        .offers
        .iter()
        .filter(|(name, _)| wanted.is_none_or(|only| only == *name));
    for (name, offer) in offers {
        let permitted = view.permitted(offer, customer);
        let versions = permitted
            .intersection(&named)
            .cloned()
            .collect::<BTreeSet<_>>();
        if !versions.is_empty() {
            return checked(view, name, offer, versions, customer);
        }
    }
    Err(Refusal::forbidden(format!(
        "customer {customer} may not use {model}"
    )))
}

fn by_offer_name<'a>(view: &'a View, text: &str) -> Option<(&'a EntryName, &'a Arc<Offer>)> {
    let name: EntryName = text.parse().ok()?;
    view.offers.get_key_value(&name)
}

/// The versions covered by the name of a model or version, withdrawn ones left out.
fn versions_named(view: &View, text: &str) -> Result<BTreeSet<VersionId>, Refusal> {
    let unknown = || Refusal::not_found("model_not_found", format!("there is no model {text}"));
    let permit: catalogue::entry::Permit = text.parse().map_err(|_| unknown())?;
    let name = permit.model();
    let model = view.models.get(name).ok_or_else(unknown)?;
    let ids = model
        .versions
        .iter()
        .map(|(version, body)| (VersionId::new(name.clone(), version.clone()), body.state));
    let covered = ids.filter(|(id, _)| permit.covers(id)).collect::<Vec<_>>();
    if covered.is_empty() {
        return Err(unknown());
    }
    let usable = covered
        .into_iter()
        .filter(|(_, state)| *state != VersionState::Withdrawn);
    let usable = usable.map(|(id, _)| id).collect::<BTreeSet<_>>();
    if usable.is_empty() {
        return Err(Refusal::not_found(
            "model_withdrawn",
            format!("{text} is withdrawn"),
        ));
    }
    Ok(usable)
}

fn checked(
    view: &View,
    name: &EntryName,
    offer: &Arc<Offer>,
    versions: BTreeSet<VersionId>,
    customer: &CustomerId,
) -> Result<Resolved, Refusal> {
    if !offer.customers.contains_key(customer) {
        return Err(Refusal::forbidden(format!(
            "customer {customer} may not use {name}"
        )));
    }
    let live = versions.iter().any(|id| view.version_state(id).is_some());
    if !live {
        let message = format!("no version of {name} may serve customer {customer} now");
        return Err(Refusal::unavailable(
            "no_version",
            message,
            Span::from_secs(5),
        ));
    }
    Ok(Resolved {
        name: name.clone(),
        offer: offer.clone(),
        versions,
    })
}
