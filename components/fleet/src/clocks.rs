//! When a report was made, even if it was delayed on its way.
//!
//! No clocks of different hosts are compared: only the time between two reports by the same
//! daemon's clock is used.

use std::collections::HashMap;

use types::prelude::*;

use crate::heartbeat::StoreReport;

/// A reporter's clock may be slow by one part in this many, so that a clock that stood still with
/// its host for some seconds is trusted again after a minute.
const CLOCK_LEEWAY: u64 = 10;
/// How long a reporter's clock is remembered: messages held up by a network partition arrive within
/// this time.
const CLOCK_TTL: Span = Span::from_secs(60);

/// A reporter's clock reading and the local time to which it corresponds.
#[derive(Debug, Clone, Copy)]
struct ClockSample {
    run: Incarnation,
    clock_ms: u64,
    at: Time,
}

/// The last clock reading of each daemon that reports on the store.
#[derive(Debug, Default)]
pub(crate) struct ReporterClocks(HashMap<DaemonId, ClockSample>);

impl ReporterClocks {
    /// The local time at which a report was made, or `None` if it is not newer than that daemon's
    /// previous one.
    ///
    /// A report is later than the previous one by at most the time between them on the reporter's
    /// own clock. Without this bound, delayed reports would be relayed as new, and a dead watcher
    /// would count as working for as long as its reports circulate.
    pub(crate) fn reported_at(&mut self, now: Time, report: &StoreReport) -> Option<Time> {
        let by_reported_age = now - Span::from_millis(u64::from(report.age_ms));
        let previous = self.0.get(&report.daemon);
        let at = match previous {
            Some(previous) if report.run < previous.run => return None,
            Some(previous) if report.run == previous.run => {
                let elapsed_ms = report.clock_ms.checked_sub(previous.clock_ms)?;
                if elapsed_ms == 0 {
                    return None;
                }
                let leeway = elapsed_ms / CLOCK_LEEWAY;
                by_reported_age.min(previous.at + Span::from_millis(elapsed_ms + leeway))
            }
            _ => by_reported_age,
        };
        let sample = ClockSample {
            run: report.run,
            clock_ms: report.clock_ms,
            at,
        };
        self.0.insert(report.daemon.clone(), sample);
        Some(at)
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.0.retain(|_, sample| now.since(sample.at) < CLOCK_TTL);
    }
}
