//! Paths and headers of the operators' API.

use types::prelude::*;

/// Entries of the catalogue.
pub const CATALOGUE: &str = "/catalogue";
/// Outcomes of edits, by id.
pub const EDITS: &str = "/edits";
/// Roll-outs.
pub const ROLLOUTS: &str = "/rollouts";
/// State of the fleet.
pub const STATUS: &str = "/status";
/// Internal state of the daemon.
pub const DUMP: &str = "/dump";
/// Bills.
pub const BILLS: &str = "/bills";
/// Withdraws a version: no new requests run on it.
pub const WITHDRAW: &str = "/withdraw";
/// Offers a version: new requests may run on it.
pub const OFFER: &str = "/offer";
/// Metrics; needs no token.
pub const METRICS: &str = "/metrics";
/// Liveness probe; needs no token.
pub const HEALTHZ: &str = "/healthz";
/// Readiness probe; needs no token.
pub const READYZ: &str = "/readyz";

/// Header with the id of an edit, by which its outcome can be asked for and the edit safely
/// repeated.
pub const EDIT_ID_HEADER: &str = "X-Edit-Id";

/// Returns the path of an entry.
#[must_use]
pub fn entry(name: &EntryName) -> String {
    format!("{CATALOGUE}/{name}")
}

/// Returns the path of an entry's history.
#[must_use]
pub fn history(name: &EntryName) -> String {
    format!("{CATALOGUE}/{name}/history")
}

/// Returns the path of an edit's outcome.
#[must_use]
pub fn edit(id: EditId) -> String {
    format!("{EDITS}/{id}")
}

/// Returns the path of an action on a model's roll-out.
#[must_use]
pub fn rollout(model: &ModelName, action: &str) -> String {
    format!("{ROLLOUTS}/{model}/{action}")
}

/// Formats a revision as an `ETag`.
#[must_use]
pub fn etag(revision: Revision) -> String {
    format!("\"{revision}\"")
}

/// Parses an `ETag` or `If-Match` value; returns `None` if it is not a revision in quotes.
#[must_use]
pub fn parse_etag(text: &str) -> Option<Revision> {
    text.trim()
        .strip_prefix('"')?
        .strip_suffix('"')?
        .parse()
        .ok()
}
