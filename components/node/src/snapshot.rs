//! What traffic threads read: unchanging, replaced as a whole by the control thread.

use std::collections::BTreeMap;

use catalogue::view::View;
use types::prelude::*;

/// Whether this daemon takes requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Readiness {
    /// No catalogue is held yet: nothing is served.
    #[default]
    Starting,
    /// Serving.
    Ready,
    /// Leaving: `/readyz` says no, requests are still served.
    Leaving,
}

/// The state that requests are served from.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Whether this daemon takes requests.
    pub readiness: Readiness,
    /// The catalogue.
    pub view: View,
    /// Offers and services that refuse for now since the catalogue may be out of
    /// date, with the reason.
    pub stale: BTreeMap<EntryName, String>,
}
