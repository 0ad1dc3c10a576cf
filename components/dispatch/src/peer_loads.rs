//! What other daemons have out at upstreams.
//!
//! Each daemon sees its own requests only, a small part of what an upstream has to do.
//! Upstreams' own reports are some hundred ms old and paid for; so daemons tell each other
//! what they have out. A daemon that falls silent takes its figures with it.

use std::collections::HashMap;

use types::prelude::*;

use crate::upstreams::SharedLoad;

/// A daemon's figures count for so long after they came: a large fleet takes some rounds of telling.
const FRESH: Span = Span::from_millis(1_400);
#[derive(Debug)]
struct Said {
    until: Time,
    loads: Vec<SharedLoad>,
}

/// The latest figures of each other daemon.
#[derive(Debug, Default)]
pub struct PeerLoads {
    by_daemon: HashMap<DaemonId, Said>,
}

impl PeerLoads {
    /// Takes a daemon's figures in place of its last ones.
    pub fn take(&mut self, now: Time, daemon: DaemonId, loads: Vec<SharedLoad>) {
        let until = now + FRESH;
        self.by_daemon.insert(daemon, Said { until, loads });
    }

    /// Sums by upstream over all daemons that spoke lately.
    pub fn sums(&mut self, now: Time) -> HashMap<u32, (f64, u32)> {
        self.by_daemon.retain(|_, said| now < said.until);
        let mut sums = HashMap::<u32, (f64, u32)>::new();
        for load in self.by_daemon.values().flat_map(|said| &said.loads) {
            let sum = sums.entry(load.upstream).or_default();
            sum.0 += f64::from(load.backlog_ms);
            sum.1 += u32::from(load.in_flight);
        }
        sums
    }
}
