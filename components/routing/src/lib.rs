//! Choice of upstream.
//!
//! A [`Router`] is one daemon's picture of the upstreams: what each has loaded, how busy it
//! was when it last said so, how much of that is this daemon's own work, how fast it has been
//! and whether it is leaving or ejected. [`Router::pick`] compares a handful of candidates,
//! so that a choice costs the same with 20 upstreams and with 12,000:
//!
//! * a few random ones of the daemon's subset, near before far: reports lag, so daemons that
//!   all took the least loaded one would herd;
//! * the homes of the prompt's prefix on a ring that all daemons share, and the upstreams
//!   that this daemon knows to hold the prefix. A home that is busier than others loses to
//!   them, which bounds affinity by load.

pub mod demand;
pub mod health;
pub mod upstream;

mod affinity;
mod configure;
mod feedback;
mod homes;
mod pick;
mod polls;
mod pool;
mod preemption;
mod router;

pub use demand::{
    Demand, LoadReport, NoUpstream, Outcome, PrefixHash, Target, TargetIndex, UpstreamIndex,
};
pub use health::LeavingSign;
pub use pick::Tuning;
pub use router::Router;
pub use upstream::{Place, Upstream, UpstreamSpec};
