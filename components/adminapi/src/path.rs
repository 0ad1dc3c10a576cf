//! Paths and headers of the API.

use types::prelude::*;

/// Every entry.
pub const CATALOGUE: &str = "/catalogue";
/// What became of edits.
pub const EDITS: &str = "/edits";
/// Roll-outs.
pub const ROLLOUTS: &str = "/rollouts";
/// Who is in the fleet.
pub const STATUS: &str = "/status";
/// The state of the daemon.
pub const DUMP: &str = "/dump";
/// Bills.
pub const BILLS: &str = "/bills";
/// Nothing new on a version.
pub const WITHDRAW: &str = "/withdraw";
/// A version takes work.
pub const OFFER: &str = "/offer";
/// Metrics, without token.
pub const METRICS: &str = "/metrics";
/// Whether the process lives, without token.
pub const HEALTHZ: &str = "/healthz";
/// Whether it should get requests, without token.
pub const READYZ: &str = "/readyz";

/// Names an edit, so that it can be asked for and repeated safely.
pub const EDIT_ID_HEADER: &str = "X-Edit-Id";

/// Path of an entry.
#[must_use]
pub fn entry(name: &EntryName) -> String {
    format!("{CATALOGUE}/{name}")
}

/// Path of an entry's history.
#[must_use]
pub fn history(name: &EntryName) -> String {
    format!("{CATALOGUE}/{name}/history")
}

/// Path of an edit.
#[must_use]
pub fn edit(id: EditId) -> String {
    format!("{EDITS}/{id}")
}

/// Path of an action on a roll-out.
#[must_use]
pub fn rollout(model: &ModelName, action: &str) -> String {
    format!("{ROLLOUTS}/{model}/{action}")
}

/// A revision as an `ETag`.
#[must_use]
pub fn etag(revision: Revision) -> String {
    format!("\"{revision}\"")
}

/// The revision of an `ETag` or `If-Match`, if it is one.
#[must_use]
pub fn parse_etag(text: &str) -> Option<Revision> {
    text.trim()
        .strip_prefix('"')?
        .strip_suffix('"')?
        .parse()
        .ok()
}
