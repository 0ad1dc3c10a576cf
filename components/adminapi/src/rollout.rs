//! Requests and replies about roll-outs.

use catalogue::entry::{Gate, Rollout};
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Body of `POST /rollouts/MODEL/start`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartRequest {
    /// New version, which must exist in the model's entry.
    pub to: VersionName,
    /// Old version; may be omitted if only one other version is offered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<VersionName>,
    /// Share of new sessions that the new version gets at each step, rising to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub steps: Option<Vec<Share>>,
    /// Condition for going on to the next step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gate: Option<Gate>,
}

/// Reply to `GET /rollouts`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutsReply {
    /// One item per model that has or had a roll-out.
    pub rollouts: Vec<RolloutStatus>,
}

/// State of a model's roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Name of the model.
    pub model: ModelName,
    /// Roll-out as stored in the catalogue.
    pub rollout: Rollout,
    /// Revision of the model's entry.
    pub revision: Revision,
    /// Daemon that drives the roll-out, if known.
    #[serde(default)]
    pub driver: Option<DaemonId>,
    /// Fencing token that the driver sends with its orders to upstreams.
    #[serde(default)]
    pub fencing: Option<u64>,
    /// Counts of the model's upstreams, from their last reports.
    #[serde(default)]
    pub upstreams: UpstreamCounts,
    /// What the roll-out is waiting for, if anything.
    #[serde(default)]
    pub waiting_for: Option<String>,
}

/// Numbers of upstreams by loaded version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Upstreams in the model's service.
    pub total: usize,
    /// Upstreams that have the new version ready.
    pub new_ready: usize,
    /// Upstreams that are loading the new version.
    pub loading: usize,
    /// Upstreams that have the old version ready.
    pub old_ready: usize,
}
