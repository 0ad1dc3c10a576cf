//! Configures the router with the catalogue's upstreams.

use catalogue::entry::{Protocol, Service, Upstream, VersionState};
use catalogue::view::{SERVICES, View, short_name};
use routing::{Location, Router, Target, TargetIndex, UpstreamSpec};
use types::prelude::*;

/// Replaces the router's upstreams by those of the catalogue. An upstream without a region is
/// assumed to be in the daemon's own.
pub fn configure(router: &mut Router, view: &View, own_region: &Region) {
    let mut specs = Vec::new();
    for (name, service) in &view.services {
        let targets = targets_of(router, view, name, service);
        for upstream in &service.upstreams {
            specs.push(spec(upstream, &targets, own_region));
        }
    }
    router.configure(specs);
}

fn targets_of(
    router: &mut Router,
    view: &View,
    name: &EntryName,
    service: &Service,
) -> Vec<TargetIndex> {
    let targets = match service.protocol {
        Protocol::Plain => vec![Target::Service(name.clone())],
        Protocol::Engine => versions_on(view, name).map(Target::Version).collect(),
    };
    targets
        .iter()
        .filter_map(|target| router.add_target(target))
        .collect()
}

/// Versions that the catalogue says a service's engines run. Reports of the engines themselves
/// are more exact and replace these.
fn versions_on<'a>(view: &'a View, service: &'a EntryName) -> impl Iterator<Item = VersionId> + 'a {
    let models = view.models.iter();
    let models = models.filter(|(_, model)| {
        short_name::<EntryName>(&model.service, SERVICES).as_ref() == Some(service)
    });
    models.flat_map(|(name, model)| {
        let versions = model.versions.iter();
        let usable = versions.filter(|(_, version)| version.state != VersionState::Withdrawn);
        usable.map(|(version, _)| VersionId::new(name.clone(), version.clone()))
    })
}

fn spec(upstream: &Upstream, presumed: &[TargetIndex], own_region: &Region) -> UpstreamSpec {
    let region = upstream
        .region
        .clone()
        .unwrap_or_else(|| own_region.clone());
    UpstreamSpec {
        id: upstream.id.clone(),
        address: upstream.address,
        location: Location {
            failure_domain: upstream.failure_domain.clone(),
            region,
        },
        slots: upstream.slots,
        assumed_loaded: presumed.to_vec(),
    }
}
