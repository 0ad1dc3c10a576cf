//! Chooses the upstream, model and version for a request, and decides on retries.
//!
//! Nothing in this crate uses a socket, clock or thread; the time and random numbers are arguments.
//! [`Upstreams`] holds what one daemon knows of the upstreams and chooses among them;
//! [`RetryBudget`] bounds retries; [`Cascade`] decides when a request is escalated to a larger
//! model; [`Trial`] moves a service's traffic to a new version and judges it.

mod affinity;
mod aggregation;
mod backlog;
mod brittle;
mod budget;
mod cascade;
mod choose;
mod cold;
mod evacuation;
mod even_load;
mod evidence;
mod health;
mod lapsed;
mod leases;
mod means;
mod pace;
mod paths;
mod pauses;
mod peer_loads;
mod pins;
mod policy;
mod prefill;
mod rate_limits;
mod requirements;
mod sends;
mod shortage;
mod state_writer;
mod trial;
mod tunnel_peers;
mod upstreams;

pub use ::pace::{
    MAX_REPORTS as MAX_PACE_REPORTS, Pace, PaceChange, PaceReport, PaceSummary, PaceUpdate,
    ReporterKey, Rotation as PaceRotation, UpdateVersion, UpstreamKey,
};
pub use aggregation::{EvidenceAggregator, RolloutMessage, RolloutMessageError, RolloutSummary};
pub use brittle::{BrittleAdvertisement, Brittleness};
pub use budget::{BudgetUse, RetryBudget, RetryLimits, RetryReason};
pub use cascade::{Cascade, Draft};
pub use choose::{Choice, NoUpstream};
pub use cold::ColdTolerance;
pub use evidence::{Arm, ArmCounts, Evidence, REQUEST_KINDS, request_kind, slow_after};
pub use health::UpstreamOutcome;
pub use lapsed::{EntryLease, LapsedUpstreams};
pub use leases::{LeaseOffer, LeasedBound, LentRequest};
pub use paths::{DirectFailure, Path, Paths};
pub use pauses::Pauses;
pub use peer_loads::PeerLoads;
pub use pins::Pins;
pub use policy::{CascadePolicy, PlacingPolicy, Policy, PolicyError, RetryPolicy, TimingPolicy};
pub use ratelimit::{
    Advertised, Advertisement, Change as RateLimitChange, DaemonKey, Fleet, LeaseReply,
};
pub use requirements::{PromptPart, Requirements};
pub use shortage::{ReachedBound, Shortage};
pub use state_writer::StateWriter;
pub use trial::{Gate, Permit, Trial, TrialLimits, TrialStep, Verdict, VersionHistory};
pub use tunnel_peers::{TunnelNeed, TunnelPeer, TunnelPeers};
pub use upstreams::{
    AnswerStart, LastSeen, Load, SharedLoad, Ticket, UpstreamIndex, Upstreams, instance_key,
};
