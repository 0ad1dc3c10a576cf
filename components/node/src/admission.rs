//! Admission of requests through the limiter, and preemption of batch attempts.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use limits::{Admission, AdmissionRequest, Code, Config, Grant, Limiter, Refusal, Ticket, Verdict};
use routing::UpstreamIndex;
use types::prelude::*;

use crate::shared::{Shared, lock};

/// How long after the deadline the limiter's verdict is still waited for.
const VERDICT_GRACE: Span = Span::from_millis(500);
/// Retry-After for a request that is refused because no verdict came.
const OVERLOADED_RETRY_AFTER: Span = Span::from_secs(1);
/// Fraction of all slots that batch work leaves free, since engines do not preempt it yet.
const BATCH_RESERVE: f64 = 0.03;

/// The limiter, the requests that wait for its verdicts, and the preemptible batch attempts.
pub(crate) struct Admissions {
    table: Mutex<Table>,
}

pub(crate) struct Table {
    pub(crate) limiter: Limiter,
    waiters: BTreeMap<Ticket, flume::Sender<Verdict>>,
    /// Batch attempts that can be preempted and resumed, by upstream; the latest is preempted
    /// first.
    preemptible: BTreeMap<UpstreamIndex, Vec<Arc<AtomicBool>>>,
}

impl Admissions {
    /// Creates a limiter for a daemon with at most `max_in_flight` requests, waiting ones included.
    pub(crate) fn new(daemon: &DaemonId, max_in_flight: usize) -> Self {
        let config = Config {
            reserve: BATCH_RESERVE,
            max_batch_waiting: max_in_flight / 2,
            ..Config::default()
        };
        let table = Table {
            limiter: Limiter::new(daemon.clone(), config),
            waiters: BTreeMap::new(),
            preemptible: BTreeMap::new(),
        };
        Self {
            table: Mutex::new(table),
        }
    }

    /// Asks one of this daemon's batch attempts at an upstream to end; does nothing if there is
    /// none.
    pub(crate) fn preempt(&self, index: UpstreamIndex) {
        let mut table = self.table();
        let preempted = table.preemptible.get_mut(&index).and_then(Vec::pop);
        if let Some(preempted) = preempted {
            preempted.store(true, Ordering::Release);
        }
    }

    /// Locks the table, for the control thread.
    pub(crate) fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }
}

impl Table {
    /// Number of batch attempts that can be preempted.
    pub(crate) fn preemptible(&self) -> usize {
        self.preemptible.values().map(Vec::len).sum()
    }

    /// Delivers the limiter's verdicts on waiting requests.
    pub(crate) fn deliver_verdicts(&mut self, now: Time) {
        for (ticket, verdict) in self.limiter.process_queues(now, &mut rand::rng()) {
            let waiter = self.waiters.remove(&ticket);
            let undelivered = match waiter {
                Some(waiter) => waiter.send(verdict).err().map(|unsent| unsent.0),
                None => Some(verdict),
            };
            // A waiter may give up just as its verdict comes. Were the grant not released here, its
            // slot would be lost for ever: a pool that fills up without work.
            if let Some(Verdict::Start(grant)) = undelivered {
                self.limiter.release(now, grant, Tokens(0));
            }
        }
    }
}

/// An admitted request's grant of a slot, released when dropped, however the request ended.
pub(crate) struct GrantGuard<'a> {
    shared: &'a Shared,
    grant: Option<Grant>,
    used: Tokens,
}

impl GrantGuard<'_> {
    /// Sets the tokens that the request used, to be settled on release.
    pub(crate) fn used(&mut self, tokens: Tokens) {
        self.used = tokens;
    }
}

impl<'a> GrantGuard<'a> {
    /// Gives the slot up and waits for another one.
    ///
    /// # Errors
    /// When the deadline passes first; the slot has been given up then.
    pub(crate) async fn reacquire(&mut self, deadline: Time) -> Result<(), Refusal> {
        let Some(grant) = self.grant.take() else {
            return Ok(());
        };
        let (ticket, rx) = self.requeue(grant);
        self.grant = Some(wait(self.shared, ticket, &rx, deadline).await?);
        Ok(())
    }
}

impl GrantGuard<'_> {
    fn requeue(&self, grant: Grant) -> (Ticket, flume::Receiver<Verdict>) {
        let now = self.shared.now();
        let mut table = self.shared.admissions.table();
        let ticket = table.limiter.requeue_preempted(grant);
        let (tx, rx) = flume::bounded(1);
        table.waiters.insert(ticket, tx);
        table.deliver_verdicts(now);
        (ticket, rx)
    }
}

impl Drop for GrantGuard<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut table = self.shared.admissions.table();
        if let Some(grant) = self.grant.take() {
            table.limiter.release(now, grant, self.used);
        }
        table.deliver_verdicts(now);
    }
}

/// Waits until a request is admitted, at most until its deadline.
///
/// # Errors
/// When it is refused for a limit or for overload; nothing was sent to an upstream.
pub(crate) async fn acquire(
    shared: &Shared,
    ask: AdmissionRequest,
) -> Result<GrantGuard<'_>, Refusal> {
    let deadline = ask.deadline;
    let grant = match admit(shared, ask)? {
        FirstVerdict::Start(grant) => grant,
        FirstVerdict::Wait(ticket, rx) => wait(shared, ticket, &rx, deadline).await?,
    };
    Ok(guard(shared, grant))
}

/// The limiter's first answer: admitted, or queued under a ticket.
enum FirstVerdict {
    Start(Grant),
    Wait(Ticket, flume::Receiver<Verdict>),
}

fn admit(shared: &Shared, ask: AdmissionRequest) -> Result<FirstVerdict, Refusal> {
    let now = shared.now();
    let mut table = shared.admissions.table();
    match table.limiter.admit(now, ask, &mut rand::rng()) {
        Admission::Start(grant) => Ok(FirstVerdict::Start(grant)),
        Admission::Refuse(refusal) => Err(refusal),
        Admission::Wait(ticket) => {
            let (tx, rx) = flume::bounded(1);
            table.waiters.insert(ticket, tx);
            Ok(FirstVerdict::Wait(ticket, rx))
        }
    }
}

async fn wait(
    shared: &Shared,
    ticket: Ticket,
    rx: &flume::Receiver<Verdict>,
    deadline: Time,
) -> Result<Grant, Refusal> {
    let timeout = shared.now().until(deadline) + VERDICT_GRACE;
    let verdict = tokio::time::timeout(timeout.to_duration(), rx.recv_async()).await;
    let verdict = match verdict {
        Ok(Ok(verdict)) => Ok(verdict),
        Ok(Err(_)) | Err(_) => give_up(shared, ticket, rx),
    };
    match verdict {
        Ok(Verdict::Start(grant)) => Ok(grant),
        Ok(Verdict::Refuse(refusal)) => Err(refusal),
        Err(_) => Err(Refusal {
            code: Code::Overloaded,
            retry_after: OVERLOADED_RETRY_AFTER,
        }),
    }
}

/// Leaves the queue; a verdict that came in the meantime still counts.
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

fn guard(shared: &Shared, grant: Grant) -> GrantGuard<'_> {
    GrantGuard {
        shared,
        grant: Some(grant),
        used: Tokens(0),
    }
}

/// Registers a running batch attempt as preemptible, until dropped.
pub(crate) struct Preemptible<'a> {
    shared: &'a Shared,
    index: UpstreamIndex,
    preempted: Arc<AtomicBool>,
}

impl<'a> Preemptible<'a> {
    /// Registers an attempt whose first token has come. Such an attempt is running, so that
    /// cancelling it frees its slot.
    pub(crate) fn register(shared: &'a Shared, index: UpstreamIndex) -> Self {
        let preempted = Arc::new(AtomicBool::new(false));
        let mut table = shared.admissions.table();
        table
            .preemptible
            .entry(index)
            .or_default()
            .push(preempted.clone());
        drop(table);
        lock(&shared.router).preemptible_started(index);
        Self {
            shared,
            index,
            preempted,
        }
    }

    /// Whether the attempt was asked to end.
    pub(crate) fn is_preempted(&self) -> bool {
        self.preempted.load(Ordering::Acquire)
    }
}

impl Drop for Preemptible<'_> {
    fn drop(&mut self) {
        let mut table = self.shared.admissions.table();
        if let Some(attempts) = table.preemptible.get_mut(&self.index) {
            attempts.retain(|other| !Arc::ptr_eq(other, &self.preempted));
            if attempts.is_empty() {
                table.preemptible.remove(&self.index);
            }
        }
        drop(table);
        lock(&self.shared.router).preemptible_ended(self.index);
    }
}
