//! Replies about the state of the fleet and the health of a daemon.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Reply to `GET /status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Name of the fleet.
    pub cluster: ClusterName,
    /// Name of the answering daemon.
    pub daemon: DaemonId,
    /// Revision of the catalogue at the answering daemon.
    pub revision: Revision,
    /// Highest revision that all live daemons have reached, by their reports.
    pub in_force_everywhere: Revision,
    /// Time since the catalogue was last confirmed to be current.
    pub freshness_age: Span,
    /// Whether the store answered this daemon's last call.
    pub store_reachable: bool,
    /// Daemons in order of their names.
    pub members: Vec<MemberStatus>,
    /// Versions suspended because of bad answers.
    #[serde(default)]
    pub suspended: Vec<Suspension>,
    /// Number of requests in flight at the answering daemon.
    #[serde(default)]
    pub in_flight: u64,
    /// Number of bills at the answering daemon that are not in the store yet.
    #[serde(default)]
    pub bills_waiting: u64,
}

impl StatusReply {
    /// Iterates over the live daemons whose reported revision is below `revision`.
    pub fn lagging(&self, revision: Revision) -> impl Iterator<Item = &MemberStatus> {
        let live = self.members.iter().filter(|member| member.state.is_live());
        live.filter(move |member| member.revision < revision)
    }
}

/// State of a daemon as known to the answering daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Failure domain of the daemon.
    pub failure_domain: FailureDomain,
    /// Liveness of the daemon.
    pub state: MemberState,
    /// Last reported revision of the catalogue.
    pub revision: Revision,
    /// Age of that report.
    pub report_age: Span,
    /// Time for which it has been behind the answering daemon's revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub behind_for: Option<Span>,
}

/// Liveness of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Responds.
    Alive,
    /// Has not responded for a while.
    Suspect,
    /// Announced that it is shutting down.
    Leaving,
    /// Considered to be gone.
    Dead,
}

impl MemberState {
    /// Returns whether the daemon may still be serving requests.
    #[must_use]
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Returns the name used in JSON and tables.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        }
    }
}

/// A version that gets no new requests because its answers were rated as bad.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Suspension {
    /// Suspended version.
    pub version: VersionId,
    /// Class of work that the suspension covers; `None` for all classes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassName>,
    /// Number of ratings on which the suspension is based.
    #[serde(default)]
    pub ratings: u64,
    /// Number of those ratings that were adequate.
    #[serde(default)]
    pub adequate: u64,
}

/// Reply to `GET /healthz` and `GET /readyz`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReply {
    /// Whether the daemon is alive or ready, respectively.
    pub ok: bool,
    /// Why it is not, if `ok` is false.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}
