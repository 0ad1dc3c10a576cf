//! Versions that sessions are on.

use std::collections::HashMap;
use std::sync::Arc;

use types::prelude::*;

/// Sessions remembered; beyond it the stalest go. About 100 bytes each.
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
    /// The version that a session is on.
    #[must_use]
    pub fn get(&self, now: Time, session: u64) -> Option<&Arc<str>> {
        let pin = self.pins.get(&session)?;
        (now < pin.used_until).then_some(&pin.version)
    }

    /// Notes that a session is served by a version, and until when it is at least.
    ///
    /// Set at a request's start for as long as it may run, and at its end for as long as the
    /// session may then be idle: a session is idle from the end of its last request on.
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

    /// Sessions at work on another version than this one.
    pub fn not_on<'a>(
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

    /// Sessions held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pins.len()
    }

    /// Whether none is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }
}
