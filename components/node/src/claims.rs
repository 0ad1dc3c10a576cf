//! Claims of work that may run only once, made in the store by a thread that batches the calls.
//!
//! A request makes a claim with [`Claims::claim`] and waits for it. Outcomes and releases are
//! settled in the background. The thread also keeps the lease that the claims are attached to, and
//! retries settlements that the store did not take during an outage.

mod worker;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use keyvalue::{CallError, LeaseId, Outcome, Request};
use requests::claim::{
    Claim, ClaimLease, ClaimSpec, ClaimStep, HeldClaim, Nonce, RecordedAnswer, Settlement, Windows,
    claim_key,
};
use requests::life::RequestSpec;
use store::Store;
use types::prelude::*;

use crate::shared::lock;
use worker::Worker;

/// Most calls and settlements that wait for the thread. Further calls are refused as not sent.
const MAX_WAITING_JOBS: usize = 4096;

/// A job for the thread.
enum Job {
    /// A call of the store, and where its outcome is awaited.
    Call(Request, flume::Sender<Outcome>),
    /// A claim to settle, starting with this call.
    Settle(Settlement, Request),
    /// The store may no longer have this lease.
    Forget(LeaseId),
    /// Settle what is left, then end the thread.
    Stop,
}

/// Identity of the claiming daemon, and the lifetime of claims.
pub(crate) struct Config {
    /// This daemon's id.
    pub(crate) daemon: DaemonId,
    /// Distinguishes this start of the daemon from others.
    pub(crate) incarnation: Incarnation,
    /// Prefix of the claims' keys in the store.
    pub(crate) prefix: String,
    /// Lifetimes of claims and of their lease.
    pub(crate) windows: Windows,
}

/// Makes and settles claims for the event loops.
pub(crate) struct Claims {
    jobs: flume::Sender<Job>,
    lease: Arc<Mutex<Option<ClaimLease>>>,
    clock: Clock,
    cfg: Config,
    counter: AtomicU64,
    /// Settlements deferred during an outage, as the thread counts them.
    deferred: Arc<AtomicUsize>,
}

impl Claims {
    /// Starts the thread that calls the store.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub(crate) fn start(
        store: &Arc<dyn Store>,
        clock: Clock,
        cfg: Config,
    ) -> std::io::Result<(Self, JoinHandle<()>)> {
        let (jobs, rx) = flume::bounded(MAX_WAITING_JOBS);
        let lease = Arc::new(Mutex::new(None));
        let deferred = Arc::new(AtomicUsize::new(0));
        let deferred_count = deferred.clone();
        let worker = Worker::new(
            store.clone(),
            clock,
            cfg.windows,
            lease.clone(),
            deferred_count,
        );
        let thread = std::thread::Builder::new().name("claims".to_owned());
        let thread = thread.spawn(move || worker.run(&rx))?;
        let claims = Self {
            jobs,
            lease,
            clock,
            cfg,
            counter: AtomicU64::new(0),
            deferred,
        };
        Ok((claims, thread))
    }

    /// Claims a request, and waits until the claim is made or refused.
    pub(crate) async fn claim(&self, spec: &RequestSpec, fingerprint: u64) -> ClaimStep {
        let now = self.clock.now();
        let lease = lock(&self.lease).filter(|lease| now < lease.use_until);
        let Some(lease) = lease else {
            return ClaimStep::Unavailable(None);
        };
        let (mut claim, mut call) = Claim::start(self.spec(spec, fingerprint, lease));
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

    /// Records the answer of a claimed request for replays, in the background.
    pub(crate) fn record(&self, held: HeldClaim, recorded: RecordedAnswer) {
        self.settle(Settlement::record(held, recorded));
    }

    /// Releases the claim of a request that certainly did not run, in the background.
    pub(crate) fn release(&self, held: HeldClaim) {
        self.settle(Settlement::release(held));
    }

    /// Queue lengths, their bounds and the lease's remaining time, for the dump.
    pub(crate) fn dump(&self, now: Time) -> serde_json::Value {
        let lease = lock(&self.lease).map(|lease| now.until(lease.use_until));
        serde_json::json!({
            "claimed": self.counter.load(Ordering::Relaxed),
            "waiting": self.jobs.len(),
            "most_waiting": MAX_WAITING_JOBS,
            "unsettled": self.deferred.load(Ordering::Relaxed),
            "most_unsettled": worker::MAX_DEFERRED,
            "lease_used_for": lease,
        })
    }

    /// Tells the thread to settle what is left and end.
    pub(crate) fn stop(&self) {
        let _ = self.jobs.send(Job::Stop);
    }

    fn spec(&self, spec: &RequestSpec, fingerprint: u64, lease: ClaimLease) -> ClaimSpec {
        ClaimSpec {
            key: claim_key(&self.cfg.prefix, &spec.customer, &spec.id),
            nonce: Nonce {
                daemon: self.cfg.daemon.clone(),
                incarnation: self.cfg.incarnation,
                counter: self.counter.fetch_add(1, Ordering::Relaxed),
            },
            fingerprint,
            lease,
            deadline: spec.deadline,
        }
    }

    async fn call(&self, request: Request) -> Outcome {
        let (tx, rx) = flume::bounded(1);
        if self.jobs.try_send(Job::Call(request, tx)).is_err() {
            return Err(CallError::NotSent("too many claims wait".to_owned()));
        }
        let stopping = || CallError::Unknown("this daemon is going".to_owned());
        rx.recv_async().await.unwrap_or_else(|_| Err(stopping()))
    }

    /// A settlement that finds the queue full is dropped. Its claim stays open, and retries get
    /// "outcome unknown", which is safe.
    fn settle(&self, (settle, call): (Settlement, Request)) {
        if self.jobs.try_send(Job::Settle(settle, call)).is_err() {
            tracing::warn!("claims: the queue of settlements is full, one is left open");
        }
    }
}
