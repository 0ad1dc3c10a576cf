//! Threads for calls that block, one each, bounded in number.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Resident memory of a thread is what it touches; this only bounds its address space.
const STACK_BYTES: usize = 256 << 10;
/// A thread without work for so long ends.
const IDLE: Duration = Duration::from_secs(20);

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

/// All threads are busy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

impl Pool {
    /// A pool of at most `max` threads.
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
    /// When as many jobs as threads allowed are in flight; the job has not run.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> Result<(), Full> {
        let load = self.counts.load.fetch_add(1, Ordering::AcqRel) + 1;
        let sent = load <= self.max
            && self.ensure_thread(load)
            && self.jobs.try_send(Box::new(job)).is_ok();
        if !sent {
            self.counts.load.fetch_sub(1, Ordering::AcqRel);
            return Err(Full);
        }
        // The thread counted on may have left between the count and the send; a job
        // with no thread would wait for the next request. Counting again closes the gap.
        self.ensure_thread(load);
        Ok(())
    }

    /// Starts a thread if there are fewer than jobs; false if none could be had at all.
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
        let spawned = thread.spawn(move || work(&rx, &counts));
        if let Err(error) = &spawned {
            self.counts.threads.fetch_sub(1, Ordering::AcqRel);
            tracing::warn!("traffic: cannot start a thread: {error}");
        }
        spawned.is_ok() || threads > 0
    }
}

fn work(rx: &flume::Receiver<Job>, counts: &Counts) {
    loop {
        match rx.recv_timeout(IDLE) {
            Ok(job) => run_job(job, counts),
            Err(flume::RecvTimeoutError::Disconnected) => break,
            Err(flume::RecvTimeoutError::Timeout) => {
                // Leaving while a job waits for this thread would strand the job, so
                // the count goes down first and the queue is looked at once more.
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
    // A panic in one request must neither end the pool's thread nor be counted as
    // work in flight for ever; the caller sees its connection cut.
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(job));
    counts.load.fetch_sub(1, Ordering::AcqRel);
    if outcome.is_err() {
        tracing::error!("traffic: a request panicked");
    }
}
