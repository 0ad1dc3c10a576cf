//! Rate limits, admission queues and overload protection.
//!
//! A [`Limiter`] decides for one daemon whether a request starts, waits or is refused, without
//! asking other daemons. Limits and capacity apply to the whole fleet: each daemon publishes its
//! demand from time to time ([`DemandFact`]) and takes a share of each limit in proportion to its
//! part of the total demand ([`QuotaShares`]). Within this share interactive work takes precedence
//! over batch work, and customers share by weight. A request that cannot be completed in time is
//! refused at once, without being run.

pub mod ask;
pub mod bucket;
pub mod demand;
pub mod shares;

mod account;
mod admission;
mod limiter;
mod pool;
mod queue;

pub use ask::{Admission, AdmissionRequest, Code, Grant, Limits, Refusal, Ticket, Verdict};
pub use demand::{DemandFact, KeyId};
pub use limiter::{Config, Fill, LaneFill, Limiter};
pub use shares::{QuotaShares, Reach};
