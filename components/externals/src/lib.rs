//! Clients of the platform's rater, weight store and list of hosts.
//!
//! The calls block, and their answers are limited in size. Each service may refuse requests for
//! a while ([`PlatformError::Later`]) or fail; the caller decides how to react.

mod call;
mod hosts;
mod rater;
mod weights;

pub use call::PlatformError;
pub use hosts::{Host, HostList, HostState};
pub use rater::{Rater, Sample};
pub use weights::{SlotId, WeightStore};
