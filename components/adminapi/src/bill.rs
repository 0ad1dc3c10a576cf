//! Query and reply of `/bills`.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use types::prelude::*;

/// Query parameters of `GET /bills`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillsQuery {
    /// Only hours that end after this time.
    pub since: Option<WallTime>,
    /// Only hours that begin before this time.
    pub until: Option<WallTime>,
}

/// Reply to `GET /bills`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BillsReply {
    /// Totals per hour.
    pub bills: Vec<BillRow>,
    /// Whether these totals may still grow because some bills are not rolled up yet.
    #[serde(default)]
    pub pending: bool,
}

/// Total of one hour for one customer on one version or service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BillRow {
    /// Start of the hour.
    #[serde_as(as = "DisplayFromStr")]
    pub hour: WallTime,
    /// Customer who is billed.
    pub customer: CustomerId,
    /// Offer or service that was used.
    pub entry: EntryName,
    /// Version that answered; `None` for plain services.
    pub version: Option<VersionId>,
    /// Number of billed requests.
    pub requests: u64,
    /// Tokens in prompts.
    pub input_tokens: Tokens,
    /// Tokens in answers.
    pub output_tokens: Tokens,
    /// Cost in the operators' currency.
    #[serde_as(as = "DisplayFromStr")]
    pub cost: Cost,
    /// Number of attempts made for these requests.
    pub attempts: u64,
}
