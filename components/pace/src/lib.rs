//! How fast upstreams are relative to the others of their service, learned by a fleet as a whole.
//!
//! A daemon sends one upstream too few requests to judge it alone, so daemons exchange what they
//! measured:
//!
//! - An [`Estimate`] is the decaying mean of the logarithms of measured over usual times, and a
//!   [`Baseline`] is what is usual, over all upstreams of a kind.
//! - [`PaceReport`]s carry a daemon's own samples, a few upstreams at a time ([`Rotation`]). Nothing
//!   is relayed, so no sample counts twice.
//! - [`Paces`] merges a daemon's own samples with the latest report of each of a few other daemons.
//!   Its result is one [`Pace`] for each upstream, and which upstreams are slow.
//!
//! Time is an argument; nothing here touches a socket or a clock.

mod baseline;
mod estimate;
mod report;
mod table;

pub use baseline::Baseline;
pub use estimate::{Estimate, Pace};
pub use report::{
    MAX_REPORTS, PaceReport, PaceUpdate, ReporterKey, Rotation, UpdateVersion, UpstreamKey,
};
pub use table::{PaceChange, PaceSummary, Paces};
