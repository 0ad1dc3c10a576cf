//! When a content is barred, and for how long.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Upstreams that may end under one content before it is barred: one may end by chance, and with
/// two a request that was retried beside the culprit's own retry is as likely to be barred as
/// the culprit.
const LEAST_ENDS: u32 = 3;
/// A content is barred when chance explains its ends so seldom. Of a million requests that
/// upstreams ended under in spite of themselves one is refused for a while.
const CHANCE: f64 = 1e-6;
/// First bar, in seconds: a caller that goes on trying costs one upstream in that time, and one
/// that was barred by mistake is served again after it. Each further end doubles it.
const BAR_S: f64 = 30.0;

/// When a content is barred, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoisonPolicy {
    /// Contents are barred at all.
    pub bars: bool,
    /// Upstreams that ended under a content before it is barred.
    pub least_ends: u32,
    /// Barred when chance explains its ends so seldom.
    pub chance: f64,
    /// The first bar, in seconds.
    pub bar_s: f64,
}

impl Default for PoisonPolicy {
    fn default() -> Self {
        Self {
            bars: true,
            least_ends: LEAST_ENDS,
            chance: CHANCE,
            bar_s: BAR_S,
        }
    }
}

impl PoisonPolicy {
    /// How long a content is barred under which so many upstreams ended.
    pub(crate) fn bar_for(&self, ends: usize) -> Span {
        /// Doublings at most: sixteen minutes of thirty seconds.
        const MOST_DOUBLINGS: usize = 5;
        let beyond = ends.saturating_sub(self.least_ends as usize);
        let times = f64::from(1_u32 << beyond.min(MOST_DOUBLINGS));
        Span::from_secs_f64(self.bar_s * times)
    }
}
