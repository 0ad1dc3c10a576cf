//! When a word was said, though it may have been held up on its way.
//!
//! No two hosts' clocks are compared: of one speaker's clock only the time that went by between two of
//! its words is used.

use std::collections::HashMap;

use types::prelude::*;

use crate::heartbeat::StoreReport;

/// A clock may be slower than others by one part of so many, so that one which stood still with its
/// host for some seconds is trusted again after a minute.
const CLOCK_LEEWAY: u64 = 10;
/// A clock is remembered for so long: what is held up behind a cut comes within it.
const CLOCK_TTL: Span = Span::from_secs(60);

/// By whose clock it was said when.
#[derive(Debug, Clone, Copy)]
struct ClockSample {
    run: Incarnation,
    clock_ms: u64,
    at: Time,
}

/// Clocks of those who say something of the store.
#[derive(Debug, Default)]
pub(crate) struct ReporterClocks(HashMap<DaemonId, ClockSample>);

impl ReporterClocks {
    /// When a word was said; nothing for one that is not newer than what its daemon said before.
    ///
    /// Guards against word that is held up on its way and passed on as new: a watcher that is gone
    /// would be believed for as long as its word goes round. By the speaker's own clock it was said
    /// so long after an earlier word, which came when it came.
    pub(crate) fn reported_at(&mut self, now: Time, word: &StoreReport) -> Option<Time> {
        let by_age = now - Span::from_millis(u64::from(word.age_ms));
        let before = self.0.get(&word.daemon);
        let at = match before {
            Some(before) if word.run < before.run => return None,
            Some(before) if word.run == before.run => {
                let went_by = word.clock_ms.checked_sub(before.clock_ms)?;
                if went_by == 0 {
                    return None;
                }
                let leeway = went_by / CLOCK_LEEWAY;
                by_age.min(before.at + Span::from_millis(went_by + leeway))
            }
            _ => by_age,
        };
        let clocked = ClockSample {
            run: word.run,
            clock_ms: word.clock_ms,
            at,
        };
        self.0.insert(word.daemon.clone(), clocked);
        Some(at)
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.0
            .retain(|_, clocked| now.since(clocked.at) < CLOCK_TTL);
    }
}
