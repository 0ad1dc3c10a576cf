//! Decides whether a session keeps its pinned version.
//!
//! A pinned version is kept as long as it may run at all, even while it is draining. If it is
//! withdrawn, or if the customer loses the permission to use it, the session moves to another
//! version and its caller is notified. Which version a new session gets is not decided here.

use std::collections::BTreeSet;

use types::prelude::*;

/// Decision on a session's pin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PinDecision<'a> {
    /// There is no pin: the session is new.
    New,
    /// The session keeps this version.
    Kept(&'a VersionId),
    /// The session loses this version and gets another.
    Moved(&'a VersionId),
    /// This daemon's catalogue is older than the pin and does not contain its version yet:
    /// refuse the request as not run, or wait for the catalogue.
    CatalogueBehind,
}

impl<'a> PinDecision<'a> {
    /// Decides by the versions that may serve the session (withdrawn ones excluded) and the
    /// catalogue revision that they are from.
    ///
    /// At a daemon whose catalogue lags, a version that was just added is unknown and looks as if
    /// it were withdrawn. The pin's catalogue revision distinguishes the two cases, so that the
    /// session does not change its version there.
    #[must_use]
    pub fn decide(
        pin: Option<(&'a VersionId, Revision)>,
        permitted: &BTreeSet<VersionId>,
        revision: Revision,
    ) -> Self {
        match pin {
            None => Self::New,
            Some((version, _)) if permitted.contains(version) => Self::Kept(version),
            Some((_, pin_revision)) if pin_revision > revision => Self::CatalogueBehind,
            Some((version, _)) => Self::Moved(version),
        }
    }
}
