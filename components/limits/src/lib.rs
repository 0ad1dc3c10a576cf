//! Customers' limits, queues and overload.
//!
//! A [`Limiter`] decides for one daemon whether a request starts, waits or is refused, without
//! asking anybody. Limits and capacity hold for the fleet: each daemon says now and then how
//! much it is asked for ([`DemandFact`]), and takes the part of every limit that its demand is
//! of all demand ([`Shares`]). Within its part, interactive work goes before batch, customers
//! share by weight, and what cannot be done in time is refused at once as not run.

pub mod ask;
pub mod bucket;
pub mod demand;
pub mod shares;

mod account;
mod admission;
mod limiter;
mod pool;
mod queue;

pub use ask::{Admission, Ask, Bounds, Code, Grant, Refusal, Ticket, Verdict};
pub use demand::{DemandFact, KeyId};
pub use limiter::{Config, Fill, LaneFill, Limiter};
pub use shares::{Reach, Shares};
