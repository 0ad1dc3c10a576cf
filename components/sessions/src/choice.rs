//! Whether a session keeps its version.
//!
//! A pinned version is kept as long as it may run at all, draining included. Withdrawal beats
//! the session, as does the loss of the customer's permission: the session moves to another
//! version and its caller is told. Which version a new session gets is not decided here.

use std::collections::BTreeSet;

use types::prelude::*;

/// What becomes of a session's pin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pinning<'a> {
    /// There is none: the session is new.
    New,
    /// The session keeps this version.
    Kept(&'a VersionId),
    /// The session loses this version and gets another.
    Moved(&'a VersionId),
    /// This daemon's catalogue is older than the pin and does not have its version yet:
    /// refuse as not run, or wait for the catalogue.
    Behind,
}

impl<'a> Pinning<'a> {
    /// Decides by the versions that may serve the session, never withdrawn ones, and the
    /// revision of the catalogue that says so.
    ///
    /// Guards against a session that changes its version at a daemon whose catalogue lags: a
    /// version added a moment ago is unknown there, which looks like withdrawn. The pin's
    /// revision tells the two apart.
    #[must_use]
    pub fn of(
        pin: Option<(&'a VersionId, Revision)>,
        permitted: &BTreeSet<VersionId>,
        revision: Revision,
    ) -> Self {
        match pin {
            None => Self::New,
            Some((version, _)) if permitted.contains(version) => Self::Kept(version),
            Some((_, pinned_under)) if pinned_under > revision => Self::Behind,
            Some((version, _)) => Self::Moved(version),
        }
    }
}
