//! Claims of work that may run only once: a thread that packs their calls into few.
//!
//! Requests make a claim with [`Claims::claim`] and wait for it; outcomes and releases
//! are settled behind them. The thread also keeps the lease that claims go with, and tries
//! again what the store did not take in an outage.

mod worker;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use keyvalue::{CallError, LeaseId, Outcome, Request};
use requests::claim::{
    Claim, ClaimLease, ClaimSpec, ClaimStep, Held, Nonce, Recorded, Settle, Windows, claim_key,
};
use requests::life::Facts;
use store::Store;
use types::prelude::*;

use crate::shared::lock;
use worker::Keeper;

/// Calls and settlements that wait for the thread; more are refused as not sent.
const JOBS_WAITING: usize = 4096;

/// What the thread is asked for.
enum Job {
    /// A call, and who waits for its outcome.
    Call(Request, flume::Sender<Outcome>),
    /// A claim to settle, beginning with this call.
    Settle(Settle, Request),
    /// The store may not have this lease any more.
    Forget(LeaseId),
    /// Settle what is left and end.
    Stop,
}

/// Whose claims, and for how long they last.
pub(crate) struct Config {
    /// This daemon.
    pub(crate) daemon: DaemonId,
    /// Its restart.
    pub(crate) incarnation: Incarnation,
    /// Of the claims' keys.
    pub(crate) prefix: String,
    /// How long claims last.
    pub(crate) windows: Windows,
}

/// Makes and settles claims for the event loops.
pub(crate) struct Claims {
    jobs: flume::Sender<Job>,
    lease: Arc<Mutex<Option<ClaimLease>>>,
    clock: Clock,
    cfg: Config,
    counter: AtomicU64,
    /// Settlements that wait out an outage, as the thread counts them.
    later: Arc<AtomicUsize>,
}

impl Claims {
    /// Starts the thread.
    ///
    /// # Errors
    /// When it cannot be started.
    pub(crate) fn start(
        store: &Arc<dyn Store>,
        clock: Clock,
        cfg: Config,
    ) -> std::io::Result<(Self, JoinHandle<()>)> {
        let (jobs, rx) = flume::bounded(JOBS_WAITING);
        let lease = Arc::new(Mutex::new(None));
        let later = Arc::new(AtomicUsize::new(0));
        let counts = later.clone();
        let keeper = Keeper::new(store.clone(), clock, cfg.windows, lease.clone(), counts);
        let thread = std::thread::Builder::new().name("claims".to_owned());
        let thread = thread.spawn(move || keeper.run(&rx))?;
        let claims = Self {
            jobs,
            lease,
            clock,
            cfg,
            counter: AtomicU64::new(0),
            later,
        };
        Ok((claims, thread))
    }

    /// Claims a request and waits until that is settled one way or the other.
    pub(crate) async fn claim(&self, facts: &Facts, fingerprint: u64) -> ClaimStep {
        let now = self.clock.now();
        let lease = lock(&self.lease).filter(|lease| now < lease.use_until);
        let Some(lease) = lease else {
            return ClaimStep::Unavailable(None);
        };
        let (mut claim, mut call) = Claim::start(self.spec(facts, fingerprint, lease));
        loop {
            let outcome = self.call(call).await;
            if matches!(outcome, Err(CallError::Refused(_))) {
                let _ = self.jobs.try_send(Job::Forget(claim.lease()));
            }
            match claim.on_outcome(outcome, self.clock.now()) {
                ClaimStep::Call(next) => call = next,
                step => return step,
            }
        }
    }

    /// Records the answer of a claimed request, for repeats.
    pub(crate) fn record(&self, held: Held, recorded: Recorded) {
        self.settle(Settle::record(held, recorded));
    }

    /// Releases the claim of a request that certainly did not run.
    pub(crate) fn release(&self, held: Held) {
        self.settle(Settle::release(held));
    }

    /// How full it is, for the dump.
    pub(crate) fn dump(&self, now: Time) -> serde_json::Value {
        let lease = lock(&self.lease).map(|lease| now.until(lease.use_until));
        serde_json::json!({
            "claimed": self.counter.load(Ordering::Relaxed),
            "waiting": self.jobs.len(),
            "most_waiting": JOBS_WAITING,
            "unsettled": self.later.load(Ordering::Relaxed),
            "most_unsettled": worker::MAX_LATER,
            "lease_used_for": lease,
        })
    }

    /// Has the thread settle what is left and end.
    pub(crate) fn stop(&self) {
        let _ = self.jobs.send(Job::Stop);
    }

    fn spec(&self, facts: &Facts, fingerprint: u64, lease: ClaimLease) -> ClaimSpec {
        ClaimSpec {
            key: claim_key(&self.cfg.prefix, &facts.customer, &facts.id),
            nonce: Nonce {
                daemon: self.cfg.daemon.clone(),
                incarnation: self.cfg.incarnation,
                counter: self.counter.fetch_add(1, Ordering::Relaxed),
            },
            fingerprint,
            lease,
            deadline: facts.deadline,
        }
    }

    async fn call(&self, request: Request) -> Outcome {
        let (tx, rx) = flume::bounded(1);
        if self.jobs.try_send(Job::Call(request, tx)).is_err() {
            return Err(CallError::NotSent("too many claims wait".to_owned()));
        }
        let going = || CallError::Unknown("this daemon is going".to_owned());
        rx.recv_async().await.unwrap_or_else(|_| Err(going()))
    }

    /// One that finds no room stays open: repeats are told "outcome unknown", which is safe.
    fn settle(&self, (settle, call): (Settle, Request)) {
        if self.jobs.try_send(Job::Settle(settle, call)).is_err() {
            tracing::warn!("claims: too many wait to be settled, one is left open");
        }
    }
}
