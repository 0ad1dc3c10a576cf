//! Evidence, estimates, choice of version and suspension.
//!
//! Each daemon rates a sample of its answers and publishes counters that only grow. The
//! fleet's evidence on a (class, version) is the sum over daemons, so that merging does not
//! depend on order, repeats or loss, and learning costs the fleet once. From it follow
//! an estimate with its uncertainty, a sequential test for versions that turn bad, budgets
//! for versions that are not proved, and the cheapest mixture of versions that meets an
//! offer's target.
//!
//! Nothing here reads a clock, a socket or a random source of its own.

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
pub use fact::{Cell, CellError, MAX_KEY_BYTES, MAX_VALUE_BYTES};
pub use mixture::{Alternative, Mixture, cheapest_mixture};
pub use quality::{Change, Quality};
pub use rating::{BINS, Confidence, Rating};
pub use stream::{Dump, Phase, StreamDump, StreamId};
