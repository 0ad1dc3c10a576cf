//! Totals by hour, customer and item.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::AddAssign;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use types::prelude::*;

use crate::bill::{Account, Charge};

const MILLIS_PER_HOUR: u64 = 3_600_000;
const HOUR_LENGTH: usize = "2026-12-02T17".len();

/// A calendar hour in UTC, written `2026-12-02T17`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Hour(u64);

impl Hour {
    /// Returns the hour that contains a time.
    #[must_use]
    pub fn of(at: WallTime) -> Self {
        Self(at.0 / MILLIS_PER_HOUR)
    }

    /// Returns the start of the hour.
    #[must_use]
    pub fn start(self) -> WallTime {
        WallTime(self.0.saturating_mul(MILLIS_PER_HOUR))
    }
}

impl fmt::Display for Hour {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.start().to_string();
        f.write_str(&text[..HOUR_LENGTH.min(text.len())])
    }
}

impl FromStr for Hour {
    type Err = <WallTime as FromStr>::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        format!("{text}:00:00Z").parse().map(Self::of)
    }
}

/// The sum of a set of bills.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// Number of billed requests.
    pub requests: u64,
    /// Tokens of the prompts.
    pub input: Tokens,
    /// Tokens of the answers.
    pub output: Tokens,
    /// Sum of the prices.
    pub cost: Cost,
    /// Number of attempts that the answers took.
    pub attempts: u64,
}

impl AddAssign for Sum {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.input += other.input;
        self.output += other.output;
        self.cost += other.cost;
        self.attempts += other.attempts;
    }
}

impl From<&Charge> for Sum {
    fn from(charge: &Charge) -> Self {
        Self {
            requests: 1,
            input: charge.input,
            output: charge.output,
            cost: charge.cost,
            attempts: u64::from(charge.attempts),
        }
    }
}

/// Sums by account.
pub(crate) type Totals = BTreeMap<Account, Sum>;
