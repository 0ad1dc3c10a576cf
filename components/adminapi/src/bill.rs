//! Bills.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use types::prelude::*;

/// Query of `GET /bills`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillsQuery {
    /// Hours that end after this moment.
    pub since: Option<WallTime>,
    /// Hours that begin before this moment.
    pub until: Option<WallTime>,
}

/// `GET /bills`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BillsReply {
    /// Totals of whole hours.
    pub bills: Vec<BillRow>,
    /// Whether bills of these hours may still come.
    #[serde(default)]
    pub pending: bool,
}

/// What an hour of one customer on one version or service comes to.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BillRow {
    /// When the hour began.
    #[serde_as(as = "DisplayFromStr")]
    pub hour: WallTime,
    /// Who pays.
    pub customer: CustomerId,
    /// The offer or service.
    pub entry: EntryName,
    /// The version that answered, nothing for plain services.
    pub version: Option<VersionId>,
    /// Requests billed.
    pub requests: u64,
    /// Tokens of prompts.
    pub input_tokens: Tokens,
    /// Tokens of answers.
    pub output_tokens: Tokens,
    /// What it costs.
    #[serde_as(as = "DisplayFromStr")]
    pub cost: Cost,
    /// Attempts that the answers took.
    pub attempts: u64,
}
