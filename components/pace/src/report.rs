//! What daemons tell each other of their samples.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::estimate::{Estimate, Pace};

/// Upstreams in one message at most: with seven bytes each they take less than half of the 256
/// bytes that a heartbeat may grow by.
pub const MAX_REPORTS: usize = 16;
/// Byte that stands for the usual pace.
const USUAL_BYTE: f64 = 128.0;
/// Bytes for a factor of e, so that the whole range of paces fits: ln 0.3 is -1.2, ln 3 is 1.1.
const BYTES_PER_LOG: f64 = 100.0;
/// Fractions of a sample in which a weight is sent.
const WEIGHT_STEPS: f64 = 8.0;

/// Identifies one run of an upstream, by a hash of its id and start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamKey(pub u32);

/// Identifies the daemon that reports, by a hash of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReporterKey(pub u64);

/// Orders the updates of one daemon: its run, then its own clock in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpdateVersion {
    /// Identifies the daemon's process; increases with each restart.
    pub run: Incarnation,
    /// Time since that process started, in ms.
    pub clock_ms: u64,
}

/// A daemon's own samples of one upstream. All values of the bytes are valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Logarithm of the pace.
    pace: u8,
    /// Number of samples.
    weight: u8,
}

impl PaceReport {
    /// Creates a report of `weight` samples with this mean.
    #[must_use]
    pub fn new(upstream: UpstreamKey, pace: Pace, weight: f64) -> Self {
        Self {
            upstream,
            // Casts of floats saturate.
            pace: (USUAL_BYTE + pace.log() * BYTES_PER_LOG).round() as u8,
            weight: (weight * WEIGHT_STEPS).round() as u8,
        }
    }

    /// The pace.
    #[must_use]
    pub fn pace(&self) -> Pace {
        Pace::from_log((f64::from(self.pace) - USUAL_BYTE) / BYTES_PER_LOG)
    }

    /// Number of samples.
    #[must_use]
    pub fn weight(&self) -> f64 {
        f64::from(self.weight) / WEIGHT_STEPS
    }

    pub(crate) fn estimate(&self, now: Time) -> Estimate {
        Estimate::new(now, self.pace(), self.weight())
    }
}

/// Reports of one daemon, as received.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceUpdate {
    /// The daemon.
    pub reporter: ReporterKey,
    /// Orders its updates.
    pub version: UpdateVersion,
    /// What it measured.
    pub reports: Vec<PaceReport>,
}

/// Which upstreams the next message reports: all of them in turn.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rotation {
    next: u32,
}

impl Rotation {
    /// Takes the next few of the reports, which are sorted by upstream.
    pub fn take(&mut self, reports: &[PaceReport]) -> Vec<PaceReport> {
        let start = reports.partition_point(|report| report.upstream.0 < self.next);
        let rotated = reports[start..].iter().chain(&reports[..start]);
        let taken = rotated.take(MAX_REPORTS).copied().collect::<Vec<_>>();
        let last = taken.last();
        self.next = last.map_or(0, |report| report.upstream.0.wrapping_add(1));
        taken
    }
}
