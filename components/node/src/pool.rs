//! A bounded pool of threads for calls that block, one call to a thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Bounds the address space of a thread; only the part of a stack that is touched is resident.
const STACK_BYTES: usize = 256 << 10;
/// A thread ends after this time without work.
const THREAD_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

type Job = Box<dyn FnOnce() + Send>;

/// A bounded pool that grows on demand and shrinks when idle.
#[derive(Clone)]
pub struct Pool {
    jobs: flume::Sender<Job>,
    rx: flume::Receiver<Job>,
    counts: Arc<Counts>,
    max: usize,
}

#[derive(Default)]
struct Counts {
    threads: AtomicUsize,
    /// Jobs queued or running.
    load: AtomicUsize,
}

/// Error: all threads are busy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

impl Pool {
    /// Creates a pool of at most `max` threads.
    #[must_use]
    pub fn new(max: usize) -> Self {
        let (jobs, rx) = flume::bounded(max);
        Self {
            jobs,
            rx,
            counts: Arc::new(Counts::default()),
            max,
        }
    }

    /// Runs a job on a thread of its own.
    ///
    /// # Errors
    /// When as many jobs are in flight as there may be threads; the job has not run.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> Result<(), Full> {
        let load = self.counts.load.fetch_add(1, Ordering::AcqRel) + 1;
        let sent = load <= self.max
            && self.ensure_thread(load)
            && self.jobs.try_send(Box::new(job)).is_ok();
        if !sent {
            self.counts.load.fetch_sub(1, Ordering::AcqRel);
            return Err(Full);
        }
        // The thread counted on may have ended between the count and the send, and the job would
        // then wait for the next one to start a thread. Counting again closes the gap.
        self.ensure_thread(load);
        Ok(())
    }

    /// Starts a thread if there are fewer than jobs; false if the pool has none at all.
    fn ensure_thread(&self, load: usize) -> bool {
        let threads = self.counts.threads.load(Ordering::Acquire);
        if threads >= load.min(self.max) {
            return true;
        }
        self.counts.threads.fetch_add(1, Ordering::AcqRel);
        let (rx, counts) = (self.rx.clone(), self.counts.clone());
        let thread = std::thread::Builder::new()
            .name("traffic".to_owned())
            .stack_size(STACK_BYTES);
        let spawned = thread.spawn(move || run_worker(&rx, &counts));
        if let Err(error) = &spawned {
            self.counts.threads.fetch_sub(1, Ordering::AcqRel);
            tracing::warn!("traffic: cannot start a thread: {error}");
        }
        spawned.is_ok() || threads > 0
    }
}

fn run_worker(rx: &flume::Receiver<Job>, counts: &Counts) {
    loop {
        match rx.recv_timeout(THREAD_IDLE_TIMEOUT) {
            Ok(job) => run_job(job, counts),
            Err(flume::RecvTimeoutError::Disconnected) => break,
            Err(flume::RecvTimeoutError::Timeout) => {
                // A job sent while this thread ends would be stranded, so the count goes down
                // first and the queue is checked once more.
                counts.threads.fetch_sub(1, Ordering::AcqRel);
                match rx.try_recv() {
                    Ok(job) => {
                        counts.threads.fetch_add(1, Ordering::AcqRel);
                        run_job(job, counts);
                    }
                    Err(_) => return,
                }
            }
        }
    }
    counts.threads.fetch_sub(1, Ordering::AcqRel);
}

fn run_job(job: Job, counts: &Counts) {
    // A panic in one job must neither end the pool's thread nor leave the job counted as in
    // flight for ever.
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(job));
    counts.load.fetch_sub(1, Ordering::AcqRel);
    if outcome.is_err() {
        tracing::error!("traffic: a job of the thread pool panicked");
    }
}
