//! Index of the entries in force, for serving requests.
//!
//! The control thread rebuilds it whenever the catalogue changes and shares it, immutable,
//! with the traffic threads.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use types::prelude::*;

use crate::entry::{Body, Customer, KeyHash, Model, Offer, Service, Upstream, VersionState};
use crate::record::Catalogue;

/// Prefix of the names of customers' entries.
pub const CUSTOMERS: &str = "customers/";
/// Prefix of the names of models' entries.
pub const MODELS: &str = "models/";
/// Prefix of the names of offers' entries.
pub const OFFERS: &str = "offers/";
/// Prefix of the names of services' entries.
pub const SERVICES: &str = "services/";

/// The entries in force, indexed for serving requests.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The catalogue's complete revision.
    pub revision: Revision,
    /// Highest revision of an edit that is in force here. A pin to a version names this one, since
    /// edits past the complete revision are in force too and a peer may lack them.
    pub highest_revision: Revision,
    /// Customers by id.
    pub customers: BTreeMap<CustomerId, Arc<Customer>>,
    /// Models by name.
    pub models: BTreeMap<ModelName, Arc<Model>>,
    /// Offers by the part of the entry's name after `offers/`.
    pub offers: BTreeMap<EntryName, Arc<Offer>>,
    /// Services by the part of the entry's name after `services/`.
    pub services: BTreeMap<EntryName, Arc<Service>>,
    keys: HashMap<KeyHash, CustomerId>,
}

impl View {
    /// Indexes a catalogue. Entries whose name lacks the prefix of their kind are left out.
    #[must_use]
    pub fn from_catalogue(catalogue: &Catalogue) -> Self {
        let mut view = Self {
            revision: catalogue.revision(),
            highest_revision: catalogue.highest_revision(),
            ..Self::default()
        };
        for (name, entry) in catalogue.entries() {
            view.add(name, &entry.body);
        }
        view
    }

    fn add(&mut self, name: &EntryName, body: &Body) {
        match body {
            Body::Customer(customer) => {
                if let Some(id) = short_name(name, CUSTOMERS) {
                    self.add_customer(&id, customer);
                }
            }
            Body::Service(service) => {
                if let Some(id) = short_name(name, SERVICES) {
                    self.services.insert(id, Arc::new(service.clone()));
                }
            }
            Body::Model(model) => {
                if let Some(id) = short_name(name, MODELS) {
                    self.models.insert(id, Arc::new(model.clone()));
                }
            }
            Body::Offer(offer) => {
                if let Some(id) = short_name(name, OFFERS) {
                    self.offers.insert(id, Arc::new(offer.clone()));
                }
            }
        }
    }

    fn add_customer(&mut self, id: &CustomerId, customer: &Customer) {
        for hash in &customer.key_sha256 {
            self.keys.insert(*hash, id.clone());
        }
        self.customers
            .insert(id.clone(), Arc::new(customer.clone()));
    }

    /// Returns the customer that a bearer key belongs to.
    #[must_use]
    pub fn customer_of_key(&self, key: &str) -> Option<&CustomerId> {
        self.keys.get(&KeyHash::from_key(key))
    }

    /// Returns the state of a version, if the catalogue has the version.
    #[must_use]
    pub fn version_state(&self, id: &VersionId) -> Option<VersionState> {
        Some(self.models.get(&id.model)?.versions.get(&id.version)?.state)
    }

    /// Returns the versions that an offer may serve a customer from: offered or draining ones,
    /// never withdrawn ones.
    #[must_use]
    pub fn permitted(&self, offer: &Offer, customer: &CustomerId) -> BTreeSet<VersionId> {
        let Some(permits) = offer.customers.get(customer) else {
            return BTreeSet::new();
        };
        let models = offer
            .candidates
            .iter()
            .map(|permit| permit.model())
            .collect::<BTreeSet<_>>();
        let versions = models.into_iter().flat_map(|model| self.versions_of(model));
        versions
            .filter(|id| offer.candidates.iter().any(|permit| permit.covers(id)))
            .filter(|id| permits.iter().any(|permit| permit.covers(id)))
            .collect()
    }

    /// Iterates over the versions of a model that are not withdrawn.
    fn versions_of(&self, name: &ModelName) -> impl Iterator<Item = VersionId> {
        let versions = self.models.get(name).map(|model| &model.versions);
        let versions = versions.into_iter().flatten();
        let not_withdrawn =
            versions.filter(|(_, version)| version.state != VersionState::Withdrawn);
        not_withdrawn.map(|(version, _)| VersionId::new(name.clone(), version.clone()))
    }

    /// Returns the upstreams of the service that runs a model.
    #[must_use]
    pub fn upstreams_of(&self, model: &ModelName) -> &[Upstream] {
        let service = self.models.get(model).map(|model| &model.service);
        let id = service.and_then(|name| short_name::<EntryName>(name, SERVICES));
        let service = id.and_then(|id| self.services.get(&id));
        service.map_or(&[], |service| &service.upstreams)
    }
}

/// Returns the part of an entry's name after the prefix of its kind.
#[must_use]
pub fn short_name<T: std::str::FromStr>(name: &EntryName, prefix: &str) -> Option<T> {
    name.as_str().strip_prefix(prefix)?.parse().ok()
}
