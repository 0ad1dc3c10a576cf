//! Settings of the version choice and their defaults.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Settings of the version choice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Ratings per second that the rater accepts from the whole fleet.
    pub ratings: Rate,
    /// Mean number of requests between false suspensions, at least.
    pub false_alarm_requests: f64,
    /// How far below its reference a version's share of adequate answers must lie to count as bad.
    pub tolerance: f64,
    /// How far below its reference the share must lie while the reference is still the catalogue's
    /// claim.
    pub claim_tolerance: f64,
    /// How far below the target a version's quality may lie for it to serve in a mixture.
    pub slack: f64,
    /// Weight of the catalogue's expected quality as a prior, in ratings.
    pub prior_ratings: f64,
    /// Maximum number of ratings that count; older ones decay as new ones come.
    pub memory: f64,
    /// Ratings that a version needs before it can be proved.
    pub proof_ratings: f64,
    /// Standard deviations by which an estimate must exceed the target in a mixture.
    pub confidence: f64,
    /// Answers that an unproved version may give over the whole fleet before any is rated.
    pub unproved_base: f64,
    /// Answers that a suspect version may give over the whole fleet before any is rated.
    pub suspect_base: f64,
    /// Further answers that each rating allows.
    pub answers_per_rating: f64,
    /// Share of an offer's requests sent to proved versions that might turn out cheaper.
    pub exploration: f64,
    /// Share of an offer's requests sent to versions that have too few ratings yet.
    pub trial: f64,
    /// Number of ratings at which half of an estimate's uncertainty counts against the version.
    pub claim_ratings: f64,
    /// Level of the sequential test, as a share of its threshold, from which a version is suspect.
    pub suspect_at: f64,
    /// Minimum time between two publications of one counter.
    pub publish_every: Span,
    /// Maximum time that a table is used before it is rebuilt.
    pub refresh_every: Span,
    /// How long the largest fleet size seen is used to divide the budgets.
    pub fleet_memory: Span,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ratings: Rate(20.0),
            false_alarm_requests: 1e6,
            tolerance: 0.002,
            claim_tolerance: 0.05,
            slack: 0.15,
            prior_ratings: 20.0,
            memory: 8000.0,
            proof_ratings: 50.0,
            confidence: 0.8,
            unproved_base: 24.0,
            suspect_base: 8.0,
            answers_per_rating: 1.25,
            exploration: 0.02,
            trial: 0.15,
            claim_ratings: 80.0,
            suspect_at: 0.4,
            publish_every: Span::from_millis(250),
            refresh_every: Span::from_millis(250),
            fleet_memory: Span::from_secs(3600),
        }
    }
}
