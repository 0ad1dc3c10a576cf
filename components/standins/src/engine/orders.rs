//! Orders to load or unload a model version or to change the role, and the state they set.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use serde_json::json;
use types::prelude::*;

use super::config::EngineConfig;
use crate::server::Reply;

/// The body of an order.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Order {
    #[serde(default)]
    version: Option<VersionId>,
    #[serde(default)]
    role: Option<String>,
    #[serde(default)]
    fencing: u64,
}

/// The loaded and loading model versions, the role and the last accepted fencing token.
#[derive(Debug)]
pub(super) struct Loaded {
    versions: BTreeSet<VersionId>,
    loading: BTreeMap<VersionId, Time>,
    leaving: bool,
    fencing: u64,
    checks_fencing: bool,
    max_versions: usize,
    load_time: Span,
}

impl Loaded {
    pub(super) fn new(cfg: &EngineConfig) -> Self {
        Self {
            versions: cfg.versions.iter().cloned().collect(),
            loading: BTreeMap::new(),
            leaving: false,
            fencing: 0,
            checks_fencing: cfg.checks_fencing,
            max_versions: cfg.max_versions,
            load_time: cfg.load_time,
        }
    }

    pub(super) fn has(&self, version: &VersionId) -> bool {
        self.versions.contains(version)
    }

    pub(super) fn versions(&self) -> impl Iterator<Item = &VersionId> {
        self.versions.iter()
    }

    pub(super) fn loading(&self) -> impl Iterator<Item = &VersionId> {
        self.loading.keys()
    }

    pub(super) fn is_loading(&self) -> bool {
        !self.loading.is_empty()
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub(super) fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Marks versions as loaded once their load time has passed.
    pub(super) fn finish_loads(&mut self, now: Time) {
        let ready = self
            .loading
            .extract_if(.., |_, ready| now.has_reached(*ready));
        self.versions.extend(ready.map(|(version, _)| version));
    }

    /// Applies an order; returns whether it was accepted, and the reply.
    pub(super) fn apply(&mut self, now: Time, kind: &str, order: &Order) -> (bool, Reply) {
        self.finish_loads(now);
        if self.checks_fencing && order.fencing < self.fencing {
            let body = json!({ "fencing": self.fencing });
            return (false, Reply::json(409, &body));
        }
        let reply = match (kind, &order.version, &order.role) {
            ("load", Some(version), _) => self.load(now, version),
            ("unload", Some(version), _) => self.unload(version),
            ("role", _, Some(role)) => self.role(role),
            _ => Err((400, "the order lacks its version or role")),
        };
        match reply {
            Ok(status) => {
                self.fencing = order.fencing;
                (
                    true,
                    Reply::json(status, &json!({ "fencing": self.fencing })),
                )
            }
            Err((status, message)) => (false, Reply::json(status, &json!({ "error": message }))),
        }
    }

    fn load(&mut self, now: Time, version: &VersionId) -> Result<u16, (u16, &'static str)> {
        if self.versions.contains(version) || self.loading.contains_key(version) {
            return Ok(202);
        }
        if self.versions.len() + self.loading.len() >= self.max_versions {
            return Err((507, "no room for another version"));
        }
        let ready = now + self.load_time;
        self.loading.insert(version.clone(), ready);
        Ok(202)
    }

    fn unload(&mut self, version: &VersionId) -> Result<u16, (u16, &'static str)> {
        self.versions.remove(version);
        self.loading.remove(version);
        Ok(202)
    }

    fn role(&mut self, role: &str) -> Result<u16, (u16, &'static str)> {
        self.leaving = match role {
            "serve" => false,
            "leaving" => true,
            _ => return Err((400, "a role is serve or leaving")),
        };
        Ok(200)
    }
}
