//! Rate limits that upstreams advertise in their answers.
//!
//! An upstream in need names how many requests a second it takes from all daemons together, for as
//! long as its answers say so. [`RateLimits`] is what one daemon knows of these limits. Time is an
//! argument; nothing here touches a socket or a clock.

mod advertised;
mod table;

pub use advertised::{Advertised, Change, RunKey};
pub use table::RateLimits;
