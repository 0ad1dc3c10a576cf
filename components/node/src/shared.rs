//! What the threads of a daemon share.

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
use crate::latency::Paces;
use crate::quarantine::Barring;
use crate::rating::Rating;
use crate::sessions::Sessions;
use crate::snapshot::Snapshot;
use crate::traffic::InFlight;

/// Entries with a retry budget, at most; the catalogue's own bound is lower.
const MAX_BUDGETS: usize = 4096;

/// What the threads of a daemon share. Locks are held for microseconds, never across
/// a call of anything outside the process.
pub(crate) struct Shared {
    /// As loaded.
    pub(crate) settings: Settings,
    /// The process's clocks.
    pub(crate) clock: Clock,
    /// Tells this start of the daemon from others.
    pub(crate) incarnation: Incarnation,
    /// What requests are served from; replaced by the control thread.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// The picture of the upstreams.
    pub(crate) router: Mutex<Router>,
    /// Limits, and what waits for leave to start.
    pub(crate) admissions: Admissions,
    /// Requests in flight.
    pub(crate) in_flight: InFlight,
    /// Keys that sign session tokens.
    pub(crate) session_keys: sessions::token::Keys,
    /// The platform's key-value service.
    pub(crate) store: Arc<dyn Store>,
    /// Pins of named sessions.
    pub(crate) sessions: Sessions,
    /// Claims of work that runs only once.
    pub(crate) claims: Claims,
    /// To the control thread.
    pub(crate) events: flume::Sender<Event>,
    /// What probes read.
    pub(crate) health: Arc<Health>,
    /// What is measured.
    pub(crate) metrics: Arc<Metrics>,
    /// What is known of the versions' answers.
    pub(crate) quality: Mutex<Quality>,
    /// How long versions' answers take.
    pub(crate) paces: Mutex<Paces>,
    /// Has answers rated.
    pub(crate) rating: Rating,
    /// Requests under which upstreams end.
    pub(crate) barring: Barring,
    /// Retry budgets by entry.
    pub(crate) budgets: Mutex<BTreeMap<EntryName, RetryBudget>>,
}

impl Shared {
    /// The present moment.
    #[must_use]
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Retries that each entry has saved up, for the dump.
    pub(crate) fn retries_left(&self) -> BTreeMap<EntryName, f64> {
        let budgets = lock(&self.budgets);
        let saved = budgets.iter();
        saved
            .map(|(entry, budget)| (entry.clone(), budget.saved()))
            .collect()
    }

    /// Acts on an entry's retry budget.
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

/// Locks a table. A panic elsewhere does not make the table unusable: each change to a
/// table is a step that leaves it whole.
pub(crate) fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
