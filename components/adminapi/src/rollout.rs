//! Roll-outs.

use catalogue::entry::{Gate, Rollout};
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Body of `POST /rollouts/MODEL/start`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartRequest {
    /// The version that comes. It must stand in the model's entry.
    pub to: VersionName,
    /// The version that goes; may be left out when only one other is offered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<VersionName>,
    /// The new version's shares of new sessions, rising to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub steps: Option<Vec<Share>>,
    /// What a step needs before the next.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gate: Option<Gate>,
}

/// `GET /rollouts`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutsReply {
    /// One for each model that has or had a roll-out.
    pub rollouts: Vec<RolloutStatus>,
}

/// A model's roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The model.
    pub model: ModelName,
    /// As the catalogue has it.
    pub rollout: Rollout,
    /// The revision of the model's entry.
    pub revision: Revision,
    /// The daemon that drives it, when known.
    #[serde(default)]
    pub driver: Option<DaemonId>,
    /// The fencing number of its orders.
    #[serde(default)]
    pub fencing: Option<u64>,
    /// Upstreams of the model, as they last reported.
    #[serde(default)]
    pub upstreams: UpstreamCounts,
    /// What it waits for.
    #[serde(default)]
    pub waiting_for: Option<String>,
}

/// Upstreams by what they have loaded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// In the service.
    pub total: usize,
    /// Have the new version ready.
    pub new_ready: usize,
    /// Are loading it.
    pub loading: usize,
    /// Have the old version ready.
    pub old_ready: usize,
}
