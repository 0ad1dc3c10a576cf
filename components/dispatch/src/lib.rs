//! Chooses the upstream, model and version for a request, and decides on retries.
//!
//! Everything here is a plain value that is given the time and random numbers and touches no
//! socket, clock or thread. [`Upstreams`] holds what one daemon knows of the upstreams and
//! chooses among them; [`RetryBudget`] bounds retries; [`Cascade`] decides when a request is
//! escalated to a larger model; [`Trial`] moves a service's traffic to a new version and judges
//! it.

mod affinity;
mod aggregation;
mod backlog;
mod budget;
mod cascade;
mod choose;
mod evidence;
mod health;
mod lapsed;
mod need;
mod peer_loads;
mod pins;
mod policy;
mod prefill;
mod rate_limits;
mod trial;
mod upstreams;

pub use aggregation::{Gathering, RolloutMessage, RolloutMessageError, RolloutWord};
pub use budget::{RetryBudget, RetryLimits, Use};
pub use cascade::{Cascade, Draft};
pub use choose::{Choice, NoUpstream};
pub use evidence::{Arm, ArmCounts, Evidence, KINDS, kind_of};
pub use health::Ending;
pub use lapsed::Lapsed;
pub use need::{Need, PromptPart};
pub use peer_loads::PeerLoads;
pub use pins::Pins;
pub use policy::{CascadePolicy, PlacingPolicy, Policy, PolicyError, RepeatPolicy, TimingPolicy};
pub use ratelimit::{Advertised, Advertisement, Change as RateLimitChange, Fleet};
pub use trial::{Gate, Permit, Trial, TrialLimits, TrialStep, Verdict};
pub use upstreams::{Begun, LastSeen, Load, SharedLoad, Ticket, UpstreamIndex, Upstreams, run_key};
