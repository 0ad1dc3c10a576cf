//! Rate limits that upstreams advertise in their answers, kept by a fleet as a whole.
//!
//! An upstream in need names how many requests a second it takes from all daemons together, for as
//! long as its answers say so. No daemon owns that figure and no request waits for a message, so
//! that the sum over the fleet must hold by construction:
//!
//! - Of all daemons a few are the *senders* of an upstream, drawn by rendezvous hashing over the
//!   fleet ([`Fleet`]); everybody else leaves it alone. Daemons that know the same fleet agree
//!   without a message.
//! - Each sender has a token bucket with an equal part of the rate and a burst of one request.
//! - Limits travel between daemons as [`Advertisement`]s with a version, raised by whoever sees an
//!   answer that says something new. Reordered and repeated ones are dropped by it.
//! - The parts of daemons that are down stay with them for as long as a cut may last, since both
//!   sides of a cut would take them over.
//! - When no answer confirms a limit any more, one daemon after the other may send a probe.
//!
//! [`RateLimits`] is what one daemon knows. Time is an argument; nothing here touches a socket or a
//! clock.

mod advertised;
mod bucket;
mod fleet;
mod limit;
mod table;

pub use advertised::{Advertised, Advertisement, Change, RunKey};
pub use fleet::{Fleet, SETTLE};
pub use table::{Admission, RateLimits};
