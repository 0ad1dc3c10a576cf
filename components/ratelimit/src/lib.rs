//! Rate limits that upstreams advertise in their answers, kept by a fleet as a whole.
//!
//! An overloaded upstream advertises how many requests a second it takes from all daemons together,
//! for as long as its answers carry the limit. No daemon owns that limit and no request waits for a
//! message, so the limit on the fleet's sum must hold by construction:
//!
//! - A few of the daemons are the *senders* of an upstream, chosen by rendezvous hashing over the
//!   fleet ([`Fleet`]); all other daemons send it nothing. Daemons that know the same fleet agree
//!   without a message.
//! - Each sender has a token bucket with an equal share of the rate and a burst of one request.
//! - A daemon without a token asks a sender for a single request ([`Lenders`]).
//! - Daemons exchange limits as [`Advertisement`]s with a version, raised by the daemon that gets
//!   an answer with a changed limit. Reordered and duplicate ones are dropped by their version.
//! - The shares of daemons that are down stay reserved for as long as a partition may last,
//!   since both sides of a partition would take them over.
//! - A cold upstream has a limit until it is warm, by the same buckets and senders ([`ColdBound`]).
//! - When no answer confirms a limit any more, one daemon after the other may send a probe.
//!
//! [`RateLimits`] holds what one daemon knows. Time is an argument; nothing here touches a
//! socket or a clock.

mod advertised;
mod bucket;
mod cold;
mod fleet;
mod leases;
mod limit;
mod share;
mod table;

pub use advertised::{Advertised, Advertisement, Change, InstanceKey};
pub use cold::ColdBound;
pub use fleet::{DaemonKey, Fleet, SETTLING_TIME};
pub use leases::{LeaseReply, Lenders};
pub use table::{Admission, LimitShare, RateLimits};
