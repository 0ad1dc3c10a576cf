//! Even load of upstreams whose load each daemon knows only from old reports.
//!
//! Many daemons send requests to the few upstreams of a plain service. Each sees its own requests
//! exactly and those of its peers by reports that are up to a second old, longer than an answer
//! takes. A count at one instant says nothing about the load by then, so daemons report averages
//! ([`Average`]). The reports known at a daemon are summed and scaled to the fleet ([`Reports`]).
//! An old report counts less at its own upstream and more at all upstreams of the service
//! ([`estimate`]). The choice ([`choose`]) goes by the daemon's own requests, which it knows exactly,
//! and avoids the upstreams that don't keep up by the estimate: daemons that all chose the least
//! loaded one by their reports would overload it together.
//!
//! Nothing in this crate uses a socket, clock or thread; the time and random numbers are arguments.

mod average;
mod choice;
mod estimate;
mod reports;
mod skew;

pub use average::Average;
pub use choice::{Candidate, applies, choose, full_until};
pub use estimate::{ServiceLoad, estimate};
pub use reports::{AverageLoad, MAX_LOADS, PeerLoad, REPORT_LIFETIME, Reports, select};
pub use skew::skew;
