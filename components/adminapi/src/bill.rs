//! Bills.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use types::prelude::*;

/// Query of `GET /bills`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillsQuery {
    /// Bills that ended at or after this moment.
    pub since: Option<WallTime>,
    /// Bills that ended before this moment.
    pub until: Option<WallTime>,
}

/// `GET /bills`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BillsReply {
    /// One for each request, or for each hour once rolled up.
    pub bills: Vec<BillRow>,
    /// Bills at this daemon that are not in the store yet and so not in the list.
    #[serde(default)]
    pub waiting: u64,
    /// Whether the list was cut at the daemon's bound; ask for a shorter time.
    #[serde(default)]
    pub truncated: bool,
}

/// A request's bill, or the sum of an hour.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BillRow {
    /// When the request ended, or the hour began.
    #[serde_as(as = "DisplayFromStr")]
    pub at: WallTime,
    /// Who pays.
    pub customer: CustomerId,
    /// The offer or service.
    pub offer: EntryName,
    /// The version that answered, empty for plain services.
    #[serde(default)]
    pub version: Option<VersionId>,
    /// The request, nothing for a sum.
    #[serde(default)]
    pub request: Option<RequestId>,
    /// Requests billed.
    pub requests: u64,
    /// Tokens of prompts.
    pub input_tokens: Tokens,
    /// Tokens of answers.
    pub output_tokens: Tokens,
    /// What it costs.
    #[serde_as(as = "DisplayFromStr")]
    pub cost: Cost,
}
