//! What operators offer by host and path, and the upstreams behind it.
//!
//! A [`RouteTable`] is one version of the operators' configuration, a [`Pool`] the
//! upstreams of one service, a [`RolloutOrder`] the wish to move a service to another
//! software version. All are plain values: decoded at the edge, checked, and from then on
//! only read.

mod key;
mod pool;
mod rollout;
mod table;

pub use key::{ApiKey, Customer};
pub use pool::{Engine, Pool, Upstream, UpstreamState};
pub use rollout::{RolloutOrder, RolloutState};
pub use table::{
    Limits, Lookup, Repeat, Route, RouteTable, Service, TableError, TableVersion, Target,
};
