//! Moving means over the upstreams of a service.

use std::collections::HashMap;
use std::sync::Arc;

use crate::health::UpstreamOutcome;

/// Expected time of a plain service's answer before the first one, in ms.
pub(crate) const DEFAULT_PLAIN_MS: f64 = 50.0;
/// Weight of a new sample in the means of a service.
pub(crate) const MEAN_WEIGHT: f64 = 0.05;

/// Moving means over the upstreams of a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceMeans {
    pub(crate) plain_ms: f64,
    good: f64,
    bad: f64,
}

pub(crate) fn means_of<'a>(
    means: &'a mut HashMap<Arc<str>, ServiceMeans>,
    service: &Arc<str>,
) -> &'a mut ServiceMeans {
    means.entry(service.clone()).or_insert(ServiceMeans {
        plain_ms: DEFAULT_PLAIN_MS,
        good: 1.0,
        bad: 0.0,
    })
}

impl ServiceMeans {
    pub(crate) fn record(&mut self, outcome: UpstreamOutcome) {
        let (good, bad) = match outcome {
            UpstreamOutcome::Good => (1.0, 0.0),
            UpstreamOutcome::Failed | UpstreamOutcome::Incomplete | UpstreamOutcome::Silent => {
                (0.0, 1.0)
            }
            _ => return,
        };
        self.good += MEAN_WEIGHT * (good - self.good);
        self.bad += MEAN_WEIGHT * (bad - self.bad);
    }

    pub(crate) fn failure_share(&self) -> f64 {
        self.bad / (self.good + self.bad).max(f64::EPSILON)
    }
}
