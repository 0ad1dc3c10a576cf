//! Who is in the fleet and which revision is in force where.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// `GET /status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The fleet.
    pub cluster: ClusterName,
    /// The daemon that answered.
    pub daemon: DaemonId,
    /// The catalogue's revision at that daemon.
    pub revision: Revision,
    /// The highest revision that every live daemon has reported.
    pub in_force_everywhere: Revision,
    /// How long ago the catalogue was last confirmed current.
    pub freshness_age: Span,
    /// Whether this daemon's last call of the store was answered.
    pub store_reachable: bool,
    /// The daemons, by name.
    pub members: Vec<MemberStatus>,
    /// Versions suspended for their answers.
    #[serde(default)]
    pub suspended: Vec<Suspension>,
    /// Requests being served here.
    #[serde(default)]
    pub in_flight: u64,
    /// Bills here that are not in the store yet.
    #[serde(default)]
    pub bills_waiting: u64,
}

impl StatusReply {
    /// Daemons that have not reported a revision, gone ones left out.
    pub fn lagging(&self, revision: Revision) -> impl Iterator<Item = &MemberStatus> {
        let live = self.members.iter().filter(|member| member.state.is_live());
        live.filter(move |member| member.revision < revision)
    }
}

/// A daemon as the answering one holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub daemon: DaemonId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Whether it answers.
    pub state: MemberState,
    /// The catalogue's revision that it last reported.
    pub revision: Revision,
    /// How old that report is.
    pub report_age: Span,
    /// For how long it has been behind the answering daemon's revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub behind_for: Option<Span>,
}

/// Whether a daemon answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It does.
    Alive,
    /// Not for a while.
    Suspect,
    /// It said that it goes.
    Leaving,
    /// Counted as gone.
    Dead,
}

impl MemberState {
    /// Whether it may be serving.
    #[must_use]
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// As text.
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

/// A version that takes nothing new, since its answers are bad.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Suspension {
    /// The version.
    pub version: VersionId,
    /// The kind of work where it was seen, or nothing for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassName>,
    /// Ratings it rests on.
    #[serde(default)]
    pub ratings: u64,
    /// How many of them were adequate.
    #[serde(default)]
    pub adequate: u64,
}

/// `GET /readyz` and `GET /healthz`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReply {
    /// Whether the answer is yes.
    pub ok: bool,
    /// Why not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}
