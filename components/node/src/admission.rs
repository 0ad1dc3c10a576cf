//! Leave to start: what a request waits for before it goes to an upstream.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use limits::{Admission, Ask, Code, Config, Grant, Limiter, Refusal, Ticket, Verdict};
use routing::UpstreamIndex;
use types::prelude::*;

use crate::shared::{Shared, lock};

/// A verdict that is late by more than this will not come.
const LATE: Span = Span::from_millis(500);
/// What a request refused for want of a verdict is told.
const RETRY: Span = Span::from_secs(1);
/// Part of all slots that batch work leaves free, since it does not give way at the
/// engines as yet.
const RESERVE: f64 = 0.03;

/// The limiter, and the requests that wait for its verdicts.
pub(crate) struct Admissions {
    table: Mutex<Table>,
}

pub(crate) struct Table {
    pub(crate) limiter: Limiter,
    waiters: BTreeMap<Ticket, flume::Sender<Verdict>>,
    /// Batch attempts that can be resumed, by their upstream; the latest is asked first.
    yielding: BTreeMap<UpstreamIndex, Vec<Arc<AtomicBool>>>,
}

impl Admissions {
    /// For a daemon that runs so many requests at once, those that wait included.
    pub(crate) fn new(daemon: &DaemonId, max_in_flight: usize) -> Self {
        let config = Config {
            reserve: RESERVE,
            max_batch_waiting: max_in_flight / 2,
            ..Config::default()
        };
        let table = Table {
            limiter: Limiter::new(daemon.clone(), config),
            waiters: BTreeMap::new(),
            yielding: BTreeMap::new(),
        };
        Self {
            table: Mutex::new(table),
        }
    }

    /// Asks one of this daemon's batch attempts at an upstream to give way.
    pub(crate) fn ask_to_give_way(&self, index: UpstreamIndex) {
        let mut table = self.table();
        let asked = table.yielding.get_mut(&index).and_then(Vec::pop);
        if let Some(asked) = asked {
            asked.store(true, Ordering::Release);
        }
    }

    /// The table, for the control thread.
    pub(crate) fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }
}

impl Table {
    /// Batch attempts that can be asked to give way.
    pub(crate) fn yielding(&self) -> usize {
        self.yielding.values().map(Vec::len).sum()
    }

    /// Ends the waits that can be ended.
    pub(crate) fn pump(&mut self, now: Time) {
        for (ticket, verdict) in self.limiter.pump(now, &mut rand::rng()) {
            let waiter = self.waiters.remove(&ticket);
            let unheard = match waiter {
                Some(waiter) => waiter.send(verdict).err().map(|unsent| unsent.0),
                None => Some(verdict),
            };
            // Guards against a slot lost for ever: a waiter that gave up as its verdict came
            // shows as a pool that fills without work.
            if let Some(Verdict::Start(grant)) = unheard {
                self.limiter.release(now, grant, Tokens(0));
            }
        }
    }
}

/// Leave to start. Gives its slot back when dropped, however the request ended.
pub(crate) struct Leave<'a> {
    shared: &'a Shared,
    grant: Option<Grant>,
    used: Tokens,
}

impl Leave<'_> {
    /// Notes what the request used.
    pub(crate) fn used(&mut self, tokens: Tokens) {
        self.used = tokens;
    }
}

impl<'a> Leave<'a> {
    /// Gives the slot up and waits for another one.
    ///
    /// # Errors
    /// When the deadline comes first; the slot is gone then.
    pub(crate) async fn wait_again(&mut self, deadline: Time) -> Result<(), Refusal> {
        let Some(grant) = self.grant.take() else {
            return Ok(());
        };
        let (ticket, rx) = self.give_up_slot(grant);
        self.grant = Some(wait(self.shared, ticket, &rx, deadline).await?);
        Ok(())
    }
}

impl Leave<'_> {
    fn give_up_slot(&self, grant: Grant) -> (Ticket, flume::Receiver<Verdict>) {
        let now = self.shared.now();
        let mut table = self.shared.admissions.table();
        let ticket = table.limiter.give_way(grant);
        let (tx, rx) = flume::bounded(1);
        table.waiters.insert(ticket, tx);
        table.pump(now);
        (ticket, rx)
    }
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut table = self.shared.admissions.table();
        if let Some(grant) = self.grant.take() {
            table.limiter.release(now, grant, self.used);
        }
        table.pump(now);
    }
}

/// Waits for leave to start, at most until the deadline.
///
/// # Errors
/// When a limit or overload refuses it: nothing was sent anywhere.
pub(crate) async fn enter(shared: &Shared, ask: Ask) -> Result<Leave<'_>, Refusal> {
    let deadline = ask.deadline;
    let grant = match admit(shared, ask)? {
        Admitted::Start(grant) => grant,
        Admitted::Wait(ticket, rx) => wait(shared, ticket, &rx, deadline).await?,
    };
    Ok(leave(shared, grant))
}

/// What the limiter said at once.
enum Admitted {
    Start(Grant),
    Wait(Ticket, flume::Receiver<Verdict>),
}

fn admit(shared: &Shared, ask: Ask) -> Result<Admitted, Refusal> {
    let now = shared.now();
    let mut table = shared.admissions.table();
    match table.limiter.admit(now, ask, &mut rand::rng()) {
        Admission::Start(grant) => Ok(Admitted::Start(grant)),
        Admission::Refuse(refusal) => Err(refusal),
        Admission::Wait(ticket) => {
            let (tx, rx) = flume::bounded(1);
            table.waiters.insert(ticket, tx);
            Ok(Admitted::Wait(ticket, rx))
        }
    }
}

async fn wait(
    shared: &Shared,
    ticket: Ticket,
    rx: &flume::Receiver<Verdict>,
    deadline: Time,
) -> Result<Grant, Refusal> {
    let patience = shared.now().until(deadline) + LATE;
    let verdict = tokio::time::timeout(patience.to_duration(), rx.recv_async()).await;
    let verdict = match verdict {
        Ok(Ok(verdict)) => Ok(verdict),
        Ok(Err(_)) | Err(_) => give_up(shared, ticket, rx),
    };
    match verdict {
        Ok(Verdict::Start(grant)) => Ok(grant),
        Ok(Verdict::Refuse(refusal)) => Err(refusal),
        Err(_) => Err(Refusal {
            code: Code::Overloaded,
            retry_after: RETRY,
        }),
    }
}

/// Leaves the queue; a verdict that came at the last moment counts.
fn give_up(
    shared: &Shared,
    ticket: Ticket,
    rx: &flume::Receiver<Verdict>,
) -> Result<Verdict, flume::TryRecvError> {
    let mut table = shared.admissions.table();
    table.limiter.cancel(ticket);
    table.waiters.remove(&ticket);
    rx.try_recv()
}

fn leave(shared: &Shared, grant: Grant) -> Leave<'_> {
    Leave {
        shared,
        grant: Some(grant),
        used: Tokens(0),
    }
}

/// A batch attempt that has begun and can be asked to give way; no longer, once dropped.
pub(crate) struct Yielding<'a> {
    shared: &'a Shared,
    index: UpstreamIndex,
    asked: Arc<AtomicBool>,
}

impl<'a> Yielding<'a> {
    /// Counts an attempt whose first token has come: it runs, so that its slot comes free
    /// when it is cancelled.
    pub(crate) fn begin(shared: &'a Shared, index: UpstreamIndex) -> Self {
        let asked = Arc::new(AtomicBool::new(false));
        let mut table = shared.admissions.table();
        table.yielding.entry(index).or_default().push(asked.clone());
        drop(table);
        lock(&shared.router).preemptible_started(index);
        Self {
            shared,
            index,
            asked,
        }
    }

    /// Whether it should give way now.
    pub(crate) fn is_asked(&self) -> bool {
        self.asked.load(Ordering::Acquire)
    }
}

impl Drop for Yielding<'_> {
    fn drop(&mut self) {
        let mut table = self.shared.admissions.table();
        if let Some(attempts) = table.yielding.get_mut(&self.index) {
            attempts.retain(|other| !Arc::ptr_eq(other, &self.asked));
            if attempts.is_empty() {
                table.yielding.remove(&self.index);
            }
        }
        drop(table);
        lock(&self.shared.router).preemptible_ended(self.index);
    }
}
