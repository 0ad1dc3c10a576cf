//! Leave to start: requests wait for it on their own threads.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use limits::{Admission, Ask, Code, Config, Grant, Limiter, Refusal, Ticket, Verdict};
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
        };
        Self {
            table: Mutex::new(table),
        }
    }

    /// The table, for the control thread.
    pub(crate) fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }
}

impl Table {
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
pub(crate) fn enter(shared: &Shared, ask: Ask) -> Result<Leave<'_>, Refusal> {
    let deadline = ask.deadline;
    let now = shared.now();
    let mut table = shared.admissions.table();
    let (ticket, rx) = match table.limiter.admit(now, ask, &mut rand::rng()) {
        Admission::Start(grant) => return Ok(leave(shared, grant)),
        Admission::Refuse(refusal) => return Err(refusal),
        Admission::Wait(ticket) => {
            let (tx, rx) = flume::bounded(1);
            table.waiters.insert(ticket, tx);
            (ticket, rx)
        }
    };
    drop(table);
    let patience = now.until(deadline) + LATE;
    let verdict = rx.recv_timeout(patience.to_duration());
    let verdict = verdict.or_else(|_| give_up(shared, ticket, &rx));
    match verdict {
        Ok(Verdict::Start(grant)) => Ok(leave(shared, grant)),
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
