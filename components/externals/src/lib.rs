//! Clients of the platform's rater, weight store and list of hosts.
//!
//! Small blocking calls with bounded answers. Each service may refuse for a while
//! ([`PlatformError::Later`]) or fail; what follows is decided elsewhere.

mod call;
mod hosts;
mod rater;
mod weights;

pub use call::PlatformError;
pub use hosts::{Host, HostList, HostState};
pub use rater::{Rater, Sample};
pub use weights::{SlotId, WeightStore};
