//! Settings of the decisions, with the defaults that the experiments were run with.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Settings of the decisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Ratings that the rater takes from the whole fleet.
    pub ratings: Rate,
    /// One false suspension at most in this many requests.
    pub false_alarm_requests: f64,
    /// A version counts as bad only below its reference by more than this.
    pub tolerance: f64,
    /// The same, while the reference is but the catalogue's claim.
    pub claim_tolerance: f64,
    /// How far below the target a version may lie and still serve in a mixture.
    pub slack: f64,
    /// Ratings that the catalogue's expected quality counts for.
    pub prior_ratings: f64,
    /// Most ratings remembered; older ones fade as new ones come.
    pub memory: f64,
    /// Ratings that a version needs before it is proved.
    pub proof_ratings: f64,
    /// Standard deviations by which a mixture's estimate must clear the target.
    pub confidence: f64,
    /// Answers that an unproved version may give, over the whole fleet, before any rating.
    pub unproved_base: f64,
    /// Answers that a suspect version may give, over the whole fleet, before any rating.
    pub suspect_base: f64,
    /// Further answers that each rating allows.
    pub answers_per_rating: f64,
    /// Share of an offer's requests spent on versions that might turn out cheaper.
    pub exploration: f64,
    /// The same, on versions that have too few ratings yet.
    pub trial: f64,
    /// Ratings at which half of an estimate's uncertainty is held against it.
    pub claim_ratings: f64,
    /// Part of the test's threshold from which a version is suspect.
    pub suspect_at: f64,
    /// Shortest time between two publications of one counter.
    pub publish_every: Span,
    /// Longest time that a choice stands on the same estimates.
    pub refresh_every: Span,
    /// How long the largest fleet seen still counts when budgets are shared out.
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
