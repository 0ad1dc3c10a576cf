//! An operator who edits one entry over and over.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use types::prelude::*;

use crate::daemons::OPERATOR_TOKEN;

const TIMEOUT: Duration = Duration::from_secs(20);

/// What the operator was told of an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum Told {
    /// It is in the store.
    Applied {
        /// The revision that it made.
        revision: Revision,
        /// When the answer came.
        at: WallTime,
    },
    /// Another was faster; nothing was written.
    Conflict,
    /// Certainly without effect.
    NotApplied,
    /// Not known.
    Unknown,
}

impl Told {
    /// The revision and the moment of an accepted edit.
    pub fn accepted(&self) -> Option<(Revision, WallTime)> {
        match self {
            Self::Applied { revision, at } => Some((*revision, *at)),
            _ => None,
        }
    }
}

/// An operator with an entry of its own.
#[derive(Debug)]
pub struct Editor {
    entry: String,
    revision: Option<Revision>,
    clock: Clock,
}

impl Editor {
    /// Edits a customer of this name, which is not there yet.
    pub fn new(name: &str) -> Self {
        Self {
            entry: format!("customers/bench-{name}"),
            revision: None,
            clock: Clock::new(),
        }
    }

    /// Takes a revision as the one last seen.
    pub fn saw(&mut self, revision: Revision) {
        self.revision = Some(revision);
    }

    /// Puts the entry with another weight, if it is as last seen.
    pub fn put(&mut self, daemon: SocketAddr, weight: u64) -> eyre::Result<Told> {
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
        let answer = req.json(&body)?.send()?;
        let at = self.clock.wall();
        let status = answer.status().as_u16();
        let body: Value = answer.json()?;
        Ok(self.read(status, &body, at))
    }

    fn read(&mut self, status: u16, body: &Value, at: WallTime) -> Told {
        if (200..300).contains(&status) {
            let revision = Revision(body["revision"].as_u64().unwrap_or(0));
            self.revision = Some(revision);
            return Told::Applied { revision, at };
        }
        match body["error"]["code"].as_str() {
            Some("conflict" | "precondition_required") => Told::Conflict,
            Some("outcome_unknown") => Told::Unknown,
            _ => Told::NotApplied,
        }
    }

    /// The entry's weight and revision as a daemon holds it.
    pub fn seen_at(&self, daemon: SocketAddr) -> eyre::Result<Option<(u64, Revision)>> {
        let url = format!("http://{daemon}/catalogue/{}", self.entry);
        let answer = attohttpc::get(url)
            .connect_timeout(TIMEOUT)
            .read_timeout(TIMEOUT)
            .bearer_auth(OPERATOR_TOKEN)
            .send()?;
        if !answer.is_success() {
            return Ok(None);
        }
        let body: Value = answer.json()?;
        let weight = body["entry"]["weight"].as_u64();
        let revision = body["revision"].as_u64().map(Revision);
        Ok(weight.zip(revision))
    }
}

/// A number of a name, so that no two customers have the same key.
fn fingerprint(name: &str) -> u64 {
    let bytes = name.bytes();
    bytes.fold(14_695_981_039_346_656_037, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211)
    })
}
