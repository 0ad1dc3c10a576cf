//! Starts a whole platform for a catalogue: a stand-in for every upstream, and the services.
//!
//! Each upstream gets a stand-in on a port that the kernel chooses; these addresses replace
//! those in the catalogue. Used by `dev`, by tests and by the bench.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use catalogue::entry::{Body, Entry, Protocol, Service, VersionState};
use catalogue::record::Record;
use keyvalue::{Op, Put, Request, Txn};
use serde_json::json;
use types::prelude::*;

use crate::engine::{Engine, EngineConfig};
use crate::hosts::{HostList, HostsConfig};
use crate::plain::{PlainConfig, PlainService};
use crate::rater::{Rater, RaterConfig};
use crate::store::{StoreConfig, StoreServer};
use crate::weights::{WeightStore, WeightsConfig};

/// Catalogue entries by name.
pub type Entries = BTreeMap<EntryName, Arc<Entry>>;

/// Configuration of a stand-in platform.
#[derive(Debug, Clone, Default)]
pub struct PlatformConfig {
    /// Configuration of every engine, whose versions, slots and fencing check come from the
    /// catalogue.
    pub engine: EngineConfig,
    /// Configuration of every plain service.
    pub plain: PlainConfig,
    /// Configuration of the key-value store.
    pub store: StoreConfig,
    /// Configuration of the rater.
    pub rater: RaterConfig,
    /// Configuration of the weight store.
    pub weights: WeightsConfig,
}

/// A running stand-in platform.
#[derive(Debug)]
pub struct Platform {
    /// The key-value store.
    pub store: StoreServer,
    /// Engines by upstream id.
    pub engines: BTreeMap<UpstreamId, Engine>,
    /// Instances of plain services by upstream id.
    pub plain: BTreeMap<UpstreamId, PlainService>,
    /// The rater.
    pub rater: Rater,
    /// The weight store.
    pub weights: WeightStore,
    /// The host list.
    pub hosts: HostList,
    /// Catalogue entries with the addresses of the stand-ins.
    pub entries: Entries,
}

impl Platform {
    /// Starts a stand-in for every upstream in the entries, and for each platform service.
    ///
    /// # Errors
    /// Fails when a port can't be bound or a thread can't be started.
    pub fn start(cfg: &PlatformConfig, entries: &Entries) -> io::Result<Self> {
        let mut platform = Self {
            store: StoreServer::start(&cfg.store)?,
            engines: BTreeMap::new(),
            plain: BTreeMap::new(),
            rater: Rater::start(&cfg.rater)?,
            weights: WeightStore::start(&cfg.weights)?,
            hosts: HostList::start(&HostsConfig::default())?,
            entries: entries.clone(),
        };
        for (name, entry) in entries {
            if let Body::Service(service) = &entry.body {
                let service = platform.start_service(cfg, entries, name, service)?;
                let owner = entry.owner.clone();
                let entry = Entry {
                    owner,
                    body: Body::Service(service),
                };
                platform.entries.insert(name.clone(), Arc::new(entry));
            }
        }
        Ok(platform)
    }

    fn start_service(
        &mut self,
        cfg: &PlatformConfig,
        entries: &Entries,
        name: &EntryName,
        service: &Service,
    ) -> io::Result<Service> {
        let versions = versions_on(entries, name);
        let mut service = service.clone();
        for upstream in &mut service.upstreams {
            upstream.address = match service.protocol {
                Protocol::Engine => {
                    let (versions, slots) = (versions.clone(), upstream.slots);
                    let checks_fencing = upstream.checks_fencing;
                    let cfg = EngineConfig {
                        versions,
                        slots,
                        checks_fencing,
                        ..cfg.engine.clone()
                    };
                    self.start_engine(&upstream.id, cfg)?
                }
                Protocol::Plain => {
                    let plain = PlainService::start(&cfg.plain)?;
                    let address = plain.address();
                    self.plain.insert(upstream.id.clone(), plain);
                    address
                }
            };
        }
        Ok(service)
    }

    fn start_engine(&mut self, id: &UpstreamId, cfg: EngineConfig) -> io::Result<SocketAddr> {
        let engine = Engine::start(cfg)?;
        let address = engine.address();
        self.engines.insert(id.clone(), engine);
        Ok(address)
    }

    /// Writes the catalogue into the store, with one revision per entry.
    pub fn seed(&self, cluster: &ClusterName, author: &OperatorName, at: WallTime) {
        let prefix = format!("/buckthorncross/{cluster}/catalogue/");
        let mut revision = Revision(0);
        for (name, entry) in &self.entries {
            revision = revision.next();
            let record = Record {
                revision,
                edit_id: EditId(u128::from(revision.0)),
                author: author.clone(),
                at,
                entry: Some(entry.clone()),
                history: Vec::new(),
            };
            let value = serde_json::to_vec(&record).unwrap_or_default();
            self.put(format!("{prefix}entries/{name}"), value);
        }
        let head = json!({"revision": revision});
        self.put(format!("{prefix}head"), head.to_string().into_bytes());
    }

    fn put(&self, key: String, value: Vec<u8>) {
        let put = Put {
            key,
            value: Bytes::from(value),
            lease: None,
        };
        let txn = Txn {
            success: vec![Op::Put(put)],
            ..Txn::default()
        };
        let outcome = self
            .store
            .with_table(|table| table.call(Time::ZERO, &Request::Txn(txn)));
        debug_assert!(outcome.is_ok());
    }
}

/// Returns the versions of all models that a service runs, except withdrawn ones.
fn versions_on(entries: &Entries, service: &EntryName) -> Vec<VersionId> {
    let mut versions = Vec::new();
    for (name, entry) in entries {
        let Body::Model(model) = &entry.body else {
            continue;
        };
        let short = name.as_str().trim_start_matches("models/");
        let Ok(short) = short.parse::<ModelName>() else {
            continue;
        };
        if model.service != *service {
            continue;
        }
        let live = model
            .versions
            .iter()
            .filter(|(_, v)| v.state != VersionState::Withdrawn);
        versions.extend(live.map(|(version, _)| VersionId::new(short.clone(), version.clone())));
    }
    versions
}
