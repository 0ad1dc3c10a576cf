//! What operators offer by host and path, and the upstreams behind it.
//!
//! A [`RouteTable`] is one version of the operators' configuration, an [`Upstream`]
//! one run of a program behind it, a [`RolloutOrder`] the wish to move a service to another
//! software version. All are plain values: decoded at the edge, checked, and from then on
//! only read.

mod key;
mod rollout;
mod table;
mod upstream;

pub use key::{ApiKey, Customer};
pub use rollout::{RolloutOrder, RolloutState};
pub use table::{Limits, Retry, Route, RouteTable, Service, TableError, TableVersion, Target};
pub use upstream::{Engine, Upstream, UpstreamState};
