//! Upstream selection.
//!
//! A [`Router`] holds what one daemon knows of the upstreams: which targets each has loaded, how
//! busy it was at its last report, how much of that is this daemon's own work, how fast it has
//! been, and whether it is leaving or ejected.
//!
//! [`Router::pick`] compares a handful of candidates, so a choice costs the same with 20 upstreams
//! as with 12,000. The candidates are:
//!
//! * A few random upstreams of the daemon's subset, near ones before far ones. Reports lag, so
//!   daemons that all took the least loaded upstream would overload it together.
//! * The home upstreams of the prompt's prefix, found on a hash ring that all daemons share, and
//!   the upstreams that this daemon knows to have the prefix cached. They are compared with
//!   the others by load too, so a busy upstream is not chosen for its cache alone.

pub mod demand;
pub mod health;
pub mod upstream;

mod affinity;
mod configure;
mod feedback;
mod homes;
mod pick;
mod polls;
mod pool;
mod preemption;
mod router;

pub use demand::{
    LoadReport, Outcome, PickError, PrefixHash, RouteRequest, Target, TargetIndex, UpstreamIndex,
};
pub use health::LeavingSign;
pub use pick::Tuning;
pub use router::Router;
pub use upstream::{Location, Upstream, UpstreamSpec};
