//! The operators' configuration: routes by host and path, services and upstreams.
//!
//! A [`Configuration`] is one version of the operators' configuration as they list it, and a
//! [`RouteTable`] is the same for look-ups. An [`Upstream`] is one run of
//! a program that serves requests. A [`RolloutOrder`] is an operator's request to move a service
//! to another software version. All are plain values that are decoded and checked once, when they
//! enter the process, and only read afterwards.

mod configuration;
mod key;
mod rollout;
mod table;
mod upstream;

pub use configuration::{Configuration, CustomerEntry};
pub use key::{ApiKey, Customer};
pub use rollout::{RolloutOrder, RolloutState};
pub use table::{Limits, Retry, Route, RouteTable, Service, TableError, TableVersion, Target};
pub use upstream::{ColdStart, Engine, Upstream, UpstreamState};
