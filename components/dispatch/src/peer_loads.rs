//! Outstanding requests of other daemons at upstreams.
//!
//! Each daemon sees only its own requests, a small part of an upstream's load. Upstreams' own
//! reports are some hundred ms old and paid for, so daemons report their outstanding requests
//! to each other. The report of a daemon that falls silent expires.

use std::collections::HashMap;

use types::prelude::*;

use crate::upstreams::SharedLoad;

/// How long a daemon's report counts after it arrived: in a large fleet gossip takes some
/// rounds.
const REPORT_LIFETIME: Span = Span::from_millis(1_400);
#[derive(Debug)]
struct Report {
    until: Time,
    loads: Vec<SharedLoad>,
}

/// The latest report of each other daemon.
#[derive(Debug, Default)]
pub struct PeerLoads {
    by_daemon: HashMap<DaemonId, Report>,
}

impl PeerLoads {
    /// Replaces a daemon's report.
    pub fn update(&mut self, now: Time, daemon: DaemonId, loads: Vec<SharedLoad>) {
        let until = now + REPORT_LIFETIME;
        self.by_daemon.insert(daemon, Report { until, loads });
    }

    /// Sums the backlog, in ms, and the outstanding requests over all unexpired reports, by
    /// instance key.
    pub fn sums(&mut self, now: Time) -> HashMap<u32, (f64, u32)> {
        self.by_daemon.retain(|_, report| now < report.until);
        let mut sums = HashMap::<u32, (f64, u32)>::new();
        for load in self.by_daemon.values().flat_map(|report| &report.loads) {
            let sum = sums.entry(load.upstream).or_default();
            sum.0 += f64::from(load.backlog_ms);
            sum.1 += u32::from(load.in_flight);
        }
        sums
    }
}
