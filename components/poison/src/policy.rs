//! When a content is quarantined, and for how long.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Crashed upstreams required to quarantine a content. One may crash by chance, and with two a
/// request that was retried next to the culprit's own retry is as likely to be quarantined as the
/// culprit.
const MIN_CRASHES: u32 = 3;
/// A content is quarantined when its crashes are at most this likely by chance. Of a million
/// harmless requests that were in flight when their upstreams crashed, one is refused for a while.
const MAX_CHANCE: f64 = 1e-6;
/// First quarantine, in seconds. A caller that keeps retrying crashes one upstream in that time,
/// and a content that was quarantined by mistake is served again after it. Each further crash
/// doubles it.
const QUARANTINE_S: f64 = 30.0;

/// Crashes under one part of prompts after which its quarantine lasts [`LONG_QUARANTINE_S`]:
/// operators know by then.
const MAX_PART_CRASHES: usize = 5;
/// Quarantine of a part after so many crashes, in seconds.
const LONG_QUARANTINE_S: f64 = 3_600.0;

/// Settings for the quarantine of contents.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoisonPolicy {
    /// Whether contents are quarantined at all.
    pub bars: bool,
    /// Crashed upstreams required to quarantine a content.
    pub least_ends: u32,
    /// A content is quarantined when its crashes are at most this likely by chance.
    pub chance: f64,
    /// Duration of the first quarantine, in seconds.
    pub bar_s: f64,
}

impl Default for PoisonPolicy {
    fn default() -> Self {
        Self {
            bars: true,
            least_ends: MIN_CRASHES,
            chance: MAX_CHANCE,
            bar_s: QUARANTINE_S,
        }
    }
}

impl PoisonPolicy {
    /// How long a request's content is quarantined after this many crashes.
    pub(crate) fn quarantine_duration(&self, crashes: usize) -> Span {
        let extra = crashes.saturating_sub(self.least_ends as usize);
        doubled(self.bar_s, extra)
    }

    /// How long a part of prompts is quarantined after this many crashes. Different requests carry
    /// it, so that trials go on for as long as it is in use.
    pub(crate) fn part_quarantine_duration(&self, crashes: usize) -> Span {
        match crashes.checked_sub(MAX_PART_CRASHES) {
            None => self.quarantine_duration(crashes),
            Some(extra) => doubled(LONG_QUARANTINE_S, extra),
        }
    }
}

/// Doubles a duration in seconds, five times at most: thirty seconds grow to sixteen minutes.
fn doubled(seconds: f64, times: usize) -> Span {
    const MAX_DOUBLINGS: usize = 5;
    let factor = f64::from(1_u32 << times.min(MAX_DOUBLINGS));
    Span::from_secs_f64(seconds * factor)
}
