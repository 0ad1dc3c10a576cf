//! An operator that repeatedly edits one entry.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use types::prelude::*;

use crate::daemons::OPERATOR_TOKEN;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Answer that the operator got to an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum EditAnswer {
    /// The edit is in the store.
    Applied {
        /// Revision of the edit.
        revision: Revision,
        /// Time at which the answer was received.
        at: WallTime,
    },
    /// Another edit was first; nothing was written.
    Conflict,
    /// The edit certainly had no effect.
    NotApplied,
    /// The outcome is unknown.
    Unknown,
}

impl EditAnswer {
    /// Revision and time of an accepted edit.
    pub fn accepted(&self) -> Option<(Revision, WallTime)> {
        match self {
            Self::Applied { revision, at } => Some((*revision, *at)),
            _ => None,
        }
    }
}

/// An operator with its own entry.
#[derive(Debug)]
pub struct Editor {
    entry: String,
    revision: Option<Revision>,
    clock: Clock,
}

impl Editor {
    /// Creates an operator that edits the customer `bench-{name}`, which doesn't exist yet.
    pub fn new(name: &str) -> Self {
        Self {
            entry: format!("customers/bench-{name}"),
            revision: None,
            clock: Clock::new(),
        }
    }

    /// Sets the revision that the next edit is conditional on.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = Some(revision);
    }

    /// Writes the entry with a new weight, provided that its revision is the one last seen.
    pub fn put(&mut self, daemon: SocketAddr, weight: u64) -> eyre::Result<EditAnswer> {
        let url = format!("http://{daemon}/catalogue/{}", self.entry);
        let hash = format!("{:064x}", fingerprint(&self.entry));
        let body = json!({
            "owner": "bench",
            "kind": "customer",
            "key_sha256": [hash],
            "weight": weight,
        });
        let mut req = attohttpc::put(url)
            .connect_timeout(TIMEOUT)
            .read_timeout(TIMEOUT)
            .bearer_auth(OPERATOR_TOKEN);
        if let Some(revision) = self.revision {
            req = req.header("If-Match", format!("\"{revision}\""));
        }
        let response = req.json(&body)?.send()?;
        let at = self.clock.wall();
        let status = response.status().as_u16();
        let body: Value = response.json()?;
        Ok(self.parse_answer(status, &body, at))
    }

    fn parse_answer(&mut self, status: u16, body: &Value, at: WallTime) -> EditAnswer {
        if (200..300).contains(&status) {
            let revision = Revision(body["revision"].as_u64().unwrap_or(0));
            self.revision = Some(revision);
            return EditAnswer::Applied { revision, at };
        }
        match body["error"]["code"].as_str() {
            Some("conflict" | "precondition_required") => EditAnswer::Conflict,
            Some("outcome_unknown") => EditAnswer::Unknown,
            _ => EditAnswer::NotApplied,
        }
    }

    /// Returns the entry's weight and revision as held by a daemon.
    pub fn held_by(&self, daemon: SocketAddr) -> eyre::Result<Option<(u64, Revision)>> {
        let url = format!("http://{daemon}/catalogue/{}", self.entry);
        let response = attohttpc::get(url)
            .connect_timeout(TIMEOUT)
            .read_timeout(TIMEOUT)
            .bearer_auth(OPERATOR_TOKEN)
            .send()?;
        if !response.is_success() {
            return Ok(None);
        }
        let body: Value = response.json()?;
        let weight = body["entry"]["weight"].as_u64();
        let revision = body["revision"].as_u64().map(Revision);
        Ok(weight.zip(revision))
    }
}

/// Hashes a name (FNV-1a), so that no two customers have the same key.
fn fingerprint(name: &str) -> u64 {
    let bytes = name.bytes();
    bytes.fold(14_695_981_039_346_656_037, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211)
    })
}
