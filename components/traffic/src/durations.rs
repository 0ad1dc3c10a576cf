//! How long requests lately took, by route.
//!
//! A daemon that stops can only take requests that end before it does. What a request needs is known
//! from others of its route: their time in queues, at upstreams and with callers that read slowly.

use std::collections::HashMap;
use std::sync::Arc;

use hdrhistogram::Histogram;
use types::prelude::*;

/// Time after which durations count no more; they count for up to twice as long.
const WINDOW: Span = Span::from_secs(60);
/// Longest duration that is recorded as it is, in ms; longer ones count as this.
const MAX_MS: u64 = 600_000;
/// Decimal digits of a duration that are kept.
const DIGITS: u8 = 1;

/// Durations of one route's requests within this window and the one before.
#[derive(Debug)]
struct Recent {
    current: Histogram<u32>,
    former: Histogram<u32>,
    began_at: Time,
}

/// Durations of requests, by route.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    by_route: HashMap<Arc<str>, Recent>,
}

impl Durations {
    /// Records how long a request took that an upstream had.
    pub(crate) fn record(&mut self, now: Time, route: &Arc<str>, took: Span) {
        let Some(recent) = self.recent_mut(now, route) else {
            return;
        };
        recent.renew(now);
        recent.current.saturating_record(took.as_millis());
    }

    /// The time within which this share of the route's requests lately ended, or none if there were
    /// none.
    pub(crate) fn quantile(&mut self, now: Time, route: &str, share: f64) -> Option<Span> {
        let recent = self.by_route.get_mut(route)?;
        recent.renew(now);
        let mut all = recent.former.clone();
        // Fails only for histograms of different bounds.
        all.add(&recent.current).ok()?;
        (!all.is_empty()).then(|| Span::from_millis(all.value_at_quantile(share)))
    }

    /// Number of routes with recent requests.
    pub(crate) fn len(&self) -> usize {
        self.by_route.len()
    }

    /// Drops routes without recent requests.
    pub(crate) fn expire(&mut self, now: Time) {
        let is_recent = |recent: &Recent| now.since(recent.began_at) < WINDOW.times(2);
        self.by_route.retain(|_, recent| is_recent(recent));
    }

    fn recent_mut(&mut self, now: Time, route: &Arc<str>) -> Option<&mut Recent> {
        if !self.by_route.contains_key(route) {
            let recent = Recent::new(now)?;
            self.by_route.insert(Arc::clone(route), recent);
        }
        self.by_route.get_mut(route)
    }
}

impl Recent {
    fn new(now: Time) -> Option<Self> {
        // Fails only for bounds that are out of order.
        let empty = Histogram::new_with_max(MAX_MS, DIGITS).ok()?;
        Some(Self {
            current: empty.clone(),
            former: empty,
            began_at: now,
        })
    }

    /// Begins a new window once the current one is over.
    fn renew(&mut self, now: Time) {
        let age = now.since(self.began_at);
        if age < WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.former);
        self.current.reset();
        if age >= WINDOW.times(2) {
            self.former.reset();
        }
        self.began_at = now;
    }
}
