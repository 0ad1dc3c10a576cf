//! From a model's name and a customer to an offer and the versions permitted.

use std::collections::BTreeSet;
use std::sync::Arc;

use catalogue::entry::{Offer, VersionState};
use catalogue::view::View;
use types::prelude::*;

use super::refusal::Refusal;

/// What a request may be served from.
#[derive(Debug, Clone)]
pub struct Resolved {
    /// Name of the offer.
    pub name: EntryName,
    /// The offer.
    pub offer: Arc<Offer>,
    /// Versions permitted; draining ones only serve the sessions they have.
    pub versions: BTreeSet<VersionId>,
}

/// Finds the offer and versions that a customer means by a name: an offer, a model or
/// a version. `wanted` narrows it where several offers have the model.
///
/// # Errors
/// 404 for a name that nothing has, 403 for what the customer may not use.
pub fn resolve(
    view: &View,
    customer: &CustomerId,
    model: &str,
    wanted: Option<&EntryName>,
) -> Result<Resolved, Refusal> {
    if let Some((name, offer)) = by_offer_name(view, model) {
        let versions = view.permitted(offer, customer);
        return found(view, name, offer, versions, customer);
    }
    let only = only_versions(view, model)?;
    let offers = view
        .offers
        .iter()
        .filter(|(name, _)| wanted.is_none_or(|only| only == *name));
    for (name, offer) in offers {
        let permitted = view.permitted(offer, customer);
        let versions = permitted
            .intersection(&only)
            .cloned()
            .collect::<BTreeSet<_>>();
        if !versions.is_empty() {
            return found(view, name, offer, versions, customer);
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

/// The versions that a model's or version's name covers.
fn only_versions(view: &View, text: &str) -> Result<BTreeSet<VersionId>, Refusal> {
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

fn found(
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
