//! State shared by the threads of a daemon.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use operators::health::Health;
use quality::Quality;
use requests::budget::RetryBudget;
use routing::Router;
use settings::Settings;
use store::Store;
use telemetry::metrics::Metrics;
use types::prelude::*;

use crate::admission::Admissions;
use crate::claims::Claims;
use crate::event::Event;
use crate::latency::Latencies;
use crate::quarantine::Quarantine;
use crate::rating::RatingPool;
use crate::sessions::Sessions;
use crate::snapshot::Snapshot;
use crate::traffic::InFlight;

/// Most entries with a retry budget; the catalogue's own bound is lower.
const MAX_BUDGETS: usize = 4096;

/// State shared by the threads of a daemon. Locks are held for microseconds, never across a call
/// out of the process.
pub(crate) struct Shared {
    /// The settings as loaded.
    pub(crate) settings: Settings,
    /// The process's clocks.
    pub(crate) clock: Clock,
    /// Distinguishes this start of the daemon from others.
    pub(crate) incarnation: Incarnation,
    /// The state that requests are served from; replaced by the control thread.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Load and health of the upstreams, and the choice among them.
    pub(crate) router: Mutex<Router>,
    /// The limiter and the requests that wait for admission.
    pub(crate) admissions: Admissions,
    /// Counter of requests in flight.
    pub(crate) in_flight: InFlight,
    /// Keys that sign session tokens.
    pub(crate) session_keys: sessions::token::Keys,
    /// The platform's key-value service.
    pub(crate) store: Arc<dyn Store>,
    /// Pins of named sessions.
    pub(crate) sessions: Sessions,
    /// Claims of work that runs only once.
    pub(crate) claims: Claims,
    /// Sends events to the control thread.
    pub(crate) events: flume::Sender<Event>,
    /// Health as the probes report it.
    pub(crate) health: Arc<Health>,
    /// The daemon's metrics.
    pub(crate) metrics: Arc<Metrics>,
    /// Evidence on the quality of the versions' answers.
    pub(crate) quality: Mutex<Quality>,
    /// Mean time to a whole answer, by version.
    pub(crate) latencies: Mutex<Latencies>,
    /// Has a sample of the answers rated.
    pub(crate) rating: RatingPool,
    /// Quarantine of requests that crash upstreams.
    pub(crate) quarantine: Quarantine,
    /// Retry budgets by catalogue entry.
    pub(crate) budgets: Mutex<BTreeMap<EntryName, RetryBudget>>,
}

impl Shared {
    /// The current time.
    #[must_use]
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Retries left in each entry's budget, for the dump.
    pub(crate) fn retries_left(&self) -> BTreeMap<EntryName, f64> {
        let budgets = lock(&self.budgets);
        let saved = budgets.iter();
        saved
            .map(|(entry, budget)| (entry.clone(), budget.saved()))
            .collect()
    }

    /// Runs `act` on an entry's retry budget, which is created on first use.
    pub(crate) fn with_budget<T>(
        &self,
        entry: &EntryName,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let now = self.now();
        let mut budgets = lock(&self.budgets);
        if budgets.len() >= MAX_BUDGETS && !budgets.contains_key(entry) {
            budgets.pop_first();
        }
        act(budgets
            .entry(entry.clone())
            .or_insert_with(|| RetryBudget::new(now)))
    }
}

/// Locks a table, ignoring lock poisoning: each change leaves a table consistent, so a panic of
/// another thread does not make it unusable.
pub(crate) fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
