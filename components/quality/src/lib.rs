//! Answer quality: ratings shared across the fleet, choice of version, suspension of bad versions.
//!
//! Each daemon has a sample of its answers rated and publishes counters that only grow. The fleet's
//! evidence on a (class, version) is the sum over all daemons, so merging does not depend on the
//! order, repetition or loss of messages, and the fleet pays for each rating only once. From the
//! evidence this crate derives:
//!
//! * an estimate of each version's quality with its uncertainty;
//! * a sequential test that detects versions that turn bad;
//! * budgets that limit how many answers an unproved version may give;
//! * the cheapest mixture of versions that meets an offer's target.
//!
//! The crate reads no clock, socket or random source of its own; callers pass in the time and the
//! generator.

mod budget;
mod choice;
mod config;
mod detector;
mod estimate;
mod fact;
mod mixture;
mod quality;
mod rating;
mod sampling;
mod stream;
mod suspension;
mod table;

pub use choice::{Candidate, ChoiceInput, Escalation, OfferTerms, Plan, RolloutShare};
pub use config::Config;
pub use detector::{Detector, Thresholds, mean_run_length};
pub use estimate::Estimate;
pub use fact::{EncodedFact, FactError, MAX_KEY_BYTES, MAX_VALUE_BYTES};
pub use mixture::{Alternative, Mixture, cheapest_mixture};
pub use quality::{Change, Quality};
pub use rating::{BINS, Confidence, Rating};
pub use stream::{Dump, Phase, StreamDump, StreamId};
