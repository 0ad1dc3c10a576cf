//! Decodes the mirror's entries into the parts of a plan.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use dispatch::{EntryLease, LapsedUpstreams};
use mirror::{Change, Mirror};
use routes::UpstreamState;
use routes::{RouteTable, TableVersion, Upstream};
use types::prelude::*;

use crate::codec::Codec;
use crate::entry_warnings::EntryWarnings;

/// The decoded entries of the mirror.
pub(crate) struct Planner {
    table: Option<Arc<RouteTable>>,
    /// Whether the store's configuration could be decoded.
    is_readable: bool,
    upstreams: BTreeMap<String, Arc<Upstream>>,
    /// Ids whose entry in the store is not a valid upstream.
    unreadable: BTreeSet<String>,
    warnings: EntryWarnings,
    /// Failure domains that get no new requests.
    evacuated: Arc<BTreeSet<FailureDomain>>,
    pub(crate) lapsed: LapsedUpstreams,
}

impl Planner {
    pub(crate) fn new(upstream_lease: EntryLease) -> Self {
        Self {
            table: None,
            is_readable: true,
            upstreams: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            warnings: EntryWarnings::default(),
            evacuated: Arc::default(),
            lapsed: LapsedUpstreams::new(upstream_lease),
        }
    }

    pub(crate) fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Whether the configuration in force is the one in the store; an entry that cannot be read
    /// leaves the former one in force.
    pub(crate) fn is_readable(&self) -> bool {
        self.is_readable
    }

    /// Version of the configuration in force.
    pub(crate) fn version(&self) -> Option<TableVersion> {
        self.table.as_ref().map(|table| table.version)
    }

    /// Every upstream that is listed, or whose entry may only have lapsed.
    pub(crate) fn upstreams(&self) -> Vec<Arc<Upstream>> {
        self.upstreams
            .values()
            .chain(self.lapsed.iter())
            .cloned()
            .collect()
    }

    /// Versions of a service's upstreams.
    pub(crate) fn versions(&self, service: &str) -> BTreeSet<Arc<str>> {
        let upstreams = self.upstreams.values().chain(self.lapsed.iter());
        let upstreams = upstreams.filter(|upstream| *upstream.service == *service);
        upstreams.map(|upstream| upstream.version.clone()).collect()
    }

    /// Failure domains that get no new requests.
    pub(crate) fn evacuated(&self) -> &Arc<BTreeSet<FailureDomain>> {
        &self.evacuated
    }

    /// Number of upstream entries that cannot be read.
    pub(crate) fn unreadable(&self) -> usize {
        self.unreadable.len()
    }

    /// Applies a change and returns whether it affects the plan; `is_logged` logs it.
    pub(crate) fn apply(
        &mut self,
        now: Time,
        codec: &impl Codec,
        change: &Change,
        is_logged: bool,
    ) -> bool {
        if change.key == codec.table_key() {
            return self.apply_table(codec, change.value.as_ref());
        }
        let value = change.value.as_ref();
        if let Some(name) = change.key.strip_prefix(codec.evacuation_prefix()) {
            return self.apply_evacuation(codec, name, value);
        }
        match change.key.strip_prefix(codec.upstream_prefix()) {
            Some(id) => self.apply_upstream(now, codec, id, value, is_logged),
            None => false,
        }
    }

    /// Orders or lifts an evacuation; a name that no failure domain can have changes nothing.
    fn apply_evacuation(&mut self, codec: &impl Codec, name: &str, value: Option<&Bytes>) -> bool {
        let Some(value) = value else {
            return self.lift_evacuation(name);
        };
        let domain = match codec.evacuation(name, value) {
            Ok(domain) => domain,
            Err(e) => {
                tracing::warn!("evacuation: ignored: {e}");
                return false;
            }
        };
        if self.evacuated.contains(&domain) {
            return false;
        }
        match self.ready_upstreams_in(&domain) {
            0 => tracing::warn!(%domain, "evacuation: ordered, but no upstream is listed there"),
            upstreams => tracing::info!(%domain, upstreams, "evacuation: ordered"),
        }
        Arc::make_mut(&mut self.evacuated).insert(domain);
        true
    }

    fn lift_evacuation(&mut self, name: &str) -> bool {
        let domain = self.evacuated.iter().find(|d| d.as_str() == name).cloned();
        let Some(domain) = domain else {
            return false;
        };
        let upstreams = self.ready_upstreams_in(&domain);
        tracing::info!(%domain, upstreams, "evacuation: lifted");
        Arc::make_mut(&mut self.evacuated).remove(&domain);
        true
    }

    fn ready_upstreams_in(&self, domain: &FailureDomain) -> usize {
        let is_ready = |upstream: &&Arc<Upstream>| {
            upstream.failure_domain == *domain && upstream.state == UpstreamState::Ready
        };
        self.upstreams.values().filter(is_ready).count()
    }

    /// Applies a configuration if it is newer, so that an old one never returns, whoever sends it.
    fn apply_table(&mut self, codec: &impl Codec, value: Option<&Bytes>) -> bool {
        self.is_readable = false;
        let Some(value) = value else {
            tracing::warn!("config: entry deleted from the store; keeping the current version");
            return false;
        };
        let table = match codec.table(value) {
            Ok(table) => table,
            Err(e) => {
                tracing::error!("config: cannot be read; keeping the current version: {e}");
                return false;
            }
        };
        self.is_readable = true;
        if self.version().is_some_and(|held| held >= table.version) {
            return false;
        }
        self.table = Some(Arc::new(table));
        true
    }

    fn apply_upstream(
        &mut self,
        now: Time,
        codec: &impl Codec,
        id: &str,
        value: Option<&Bytes>,
        is_logged: bool,
    ) -> bool {
        self.unreadable.remove(id);
        let Some(value) = value else {
            self.warnings.forget(id);
            let gone = self.upstreams.remove(id);
            if let Some(upstream) = gone {
                let kept_until = self.lapsed.record_removed(now, upstream);
                if is_logged {
                    let kept_ms = kept_until.map(|until| now.until(until).as_millis());
                    tracing::info!(upstream = id, kept_ms, "upstreams: removed");
                }
            }
            return true;
        };
        match codec.upstream(id, value) {
            Ok(upstream) => {
                self.warn_if_unusable(now, codec, id, &upstream, value);
                self.list_upstream(id, upstream, is_logged);
            }
            Err(e) => {
                // Bytes of another writer describe no upstream, so the one listed before under this
                // key is removed; its entry has not lapsed, nor has one that was kept as lapsed.
                if let Some(left_out) = self.warnings.record(now, id, &e.problem) {
                    tracing::error!(
                        left_out,
                        "upstreams: an entry cannot be read and is left out: {e}"
                    );
                }
                self.upstreams.remove(id);
                self.lapsed.forget(id);
                self.unreadable.insert(id.to_owned());
            }
        }
        true
    }

    /// Warns of an upstream that gets no requests since its entry names an unknown state or service.
    fn warn_if_unusable(
        &mut self,
        now: Time,
        codec: &impl Codec,
        id: &str,
        upstream: &Upstream,
        value: &Bytes,
    ) {
        let is_ready = upstream.state == UpstreamState::Ready;
        let state = (!is_ready).then(|| codec.unknown_state(value)).flatten();
        let service = &upstream.service;
        let is_named = |table: &Arc<RouteTable>| table.service(service).is_some();
        let problem = match state {
            Some(state) => format!("unknown state {state:?}"),
            None if self.table.as_ref().is_some_and(|table| !is_named(table)) => {
                format!("service {service:?} is not configured")
            }
            None => return self.warnings.forget(id),
        };
        if let Some(left_out) = self.warnings.record(now, id, &problem) {
            tracing::warn!(
                upstream = id,
                left_out,
                "upstreams: an entry gets no requests: {problem}"
            );
        }
    }

    /// Lists an upstream by its entry.
    ///
    /// An entry of a former instance that arrives after one of the current instance under the same
    /// id is ignored: it would bring back the upstream's former address and version. An entry without
    /// a start is another run's: runs cannot be ordered by it.
    fn list_upstream(&mut self, id: &str, upstream: Upstream, is_logged: bool) {
        let held = self.upstreams.get(id).and_then(|held| held.started_at);
        if upstream.started_at.is_some() && upstream.started_at < held {
            tracing::warn!(
                upstream = id,
                "upstreams: ignoring the entry of a former run"
            );
            return;
        }
        if is_logged {
            log_listed(&upstream);
        }
        self.lapsed.record_listed(&upstream.id);
        self.upstreams.insert(id.to_owned(), Arc::new(upstream));
    }

    /// Whether enough is known to serve requests.
    pub(crate) fn is_ready(&self, mirror: &Mirror) -> bool {
        let has_upstreams = !self.upstreams.is_empty() || !self.lapsed.is_empty();
        mirror.is_filled() && self.table.is_some() && has_upstreams
    }
}

fn log_listed(upstream: &Upstream) {
    tracing::info!(
        upstream = %upstream.id,
        service = &*upstream.service,
        version = &*upstream.version,
        state = ?upstream.state,
        started_at = upstream.started_at.map(|at| at.0),
        warm_up_ms = upstream.warm_up_remaining.as_millis(),
        "upstreams: listed"
    );
}
