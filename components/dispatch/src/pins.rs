//! Session pins: the version that each session is on.

use std::collections::HashMap;
use std::sync::Arc;

use types::prelude::*;

/// Sessions remembered, at about 100 bytes each. At the bound expired ones are dropped; if none
/// has expired, nothing more is recorded.
const MAX_PINS: usize = 20_000;

#[derive(Debug, Clone)]
struct Pin {
    version: Arc<str>,
    used_until: Time,
}

/// The version that each session was last served by.
#[derive(Debug, Default)]
pub struct Pins {
    pins: HashMap<u64, Pin>,
}

impl Pins {
    /// Returns the version that a session is on.
    #[must_use]
    pub fn get(&self, now: Time, session: u64) -> Option<&Arc<str>> {
        let pin = self.pins.get(&session)?;
        (now < pin.used_until).then_some(&pin.version)
    }

    /// Records that a session is served by a version and stays on it until `used_until` at
    /// least.
    ///
    /// Called when a request starts, with the latest time at which it may end, and when it ends,
    /// with the end of the time that the session may be idle, which counts from its last request's
    /// end.
    pub fn set(&mut self, now: Time, session: u64, version: &Arc<str>, used_until: Time) {
        if self.pins.len() >= MAX_PINS {
            self.pins.retain(|_, pin| now < pin.used_until);
        }
        if self.pins.len() >= MAX_PINS {
            return;
        }
        let pin = Pin {
            version: version.clone(),
            used_until,
        };
        self.pins.insert(session, pin);
    }

    /// Iterates over the active sessions on another version than this one.
    pub fn on_other_versions<'a>(
        &'a self,
        now: Time,
        version: &'a Arc<str>,
    ) -> impl Iterator<Item = u64> + 'a {
        let other = self
            .pins
            .iter()
            .filter(move |(_, pin)| now < pin.used_until && pin.version != *version);
        other.map(|(session, _)| *session)
    }

    /// Number of sessions held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pins.len()
    }

    /// Whether no session is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }
}
