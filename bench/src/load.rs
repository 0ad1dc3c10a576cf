//! Load generator with open-loop or closed-loop arrivals over keep-alive connections, one thread
//! per connection.
//!
//! In an open loop, latency is measured from the intended start of a request, not from when a
//! worker became free to send it. Otherwise a slow server would slow down the generator and hide
//! its own latency (coordinated omission).

pub mod http;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Stack size of a worker thread.
const STACK_BYTES: usize = 256 << 10;
/// Decimal digits of precision that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest latency that a histogram distinguishes, in microseconds.
const MAX_MICROS: u64 = 120_000_000;

/// Intended start of each request, relative to the start of the load.
#[derive(Debug, Clone)]
pub struct Arrivals(pub Vec<Duration>);

impl Arrivals {
    /// Draws a Poisson process with a mean rate in requests per second.
    pub fn poisson(seed: u64, rate: f64, length: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut elapsed_s = 0.0;
        let mut start_times = Vec::new();
        loop {
            elapsed_s += -(1.0 - rng.random::<f64>()).ln() / rate;
            if elapsed_s >= length.as_secs_f64() {
                return Self(start_times);
            }
            start_times.push(Duration::from_secs_f64(elapsed_s));
        }
    }
}

/// Histogram of request latencies.
#[derive(Debug, Clone)]
pub struct Latencies(Histogram<u64>);

impl Latencies {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are constant and good"))
    }

    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Adds all latencies of another histogram.
    pub fn merge(&mut self, other: &Self) {
        self.0.add(&other.0).expect("all have the same bounds");
    }

    /// Returns the latency in milliseconds at a quantile from 0 to 1.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / 1_000.0
    }

    /// Number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Quantiles from 0 to 1 with their latencies in milliseconds, for plots.
    pub fn curve(&self) -> Vec<(f64, f64)> {
        let steps = (0..=200).map(|n| f64::from(n) / 200.0);
        steps.map(|q| (q, self.quantile_ms(q))).collect()
    }
}

/// Measurements of one worker.
#[derive(Debug, Clone)]
pub struct WorkerResult<T> {
    /// Latencies from intended start to end of the requests that the action reported as good.
    pub latencies: Latencies,
    /// Further data recorded by the action.
    pub notes: T,
}

/// Whether the latency of a request is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request succeeded; its latency is recorded.
    Good,
    /// The request failed; its latency is not recorded.
    Failed,
}

/// Starts requests at their intended times, with at most `workers` in flight, and returns the
/// workers' measurements. `action` gets its worker's connection and notes and the request's
/// number.
pub fn open_loop<C, T: Default + Send>(
    arrivals: &Arrivals,
    workers: usize,
    connect: impl Fn() -> C + Sync,
    action: impl Fn(&mut C, &mut T, usize) -> RequestOutcome + Sync,
) -> eyre::Result<Vec<WorkerResult<T>>> {
    let next = AtomicUsize::new(0);
    let started_at = Instant::now();
    run_workers(workers, || {
        let mut connection = connect();
        let mut result = WorkerResult {
            latencies: Latencies::new(),
            notes: T::default(),
        };
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let Some(intended_start) = arrivals.0.get(number) else {
                return result;
            };
            let intended_start = started_at + *intended_start;
            std::thread::sleep(intended_start.saturating_duration_since(Instant::now()));
            let outcome = action(&mut connection, &mut result.notes, number);
            if outcome == RequestOutcome::Good {
                result.latencies.record(intended_start.elapsed());
            }
        }
    })
}

/// Sends requests back to back on `workers` connections for a given time.
pub fn closed_loop<C, T: Default + Send>(
    workers: usize,
    length: Duration,
    connect: impl Fn() -> C + Sync,
    action: impl Fn(&mut C, &mut T, usize) -> RequestOutcome + Sync,
) -> eyre::Result<Vec<WorkerResult<T>>> {
    let next = AtomicUsize::new(0);
    let deadline = Instant::now() + length;
    run_workers(workers, || {
        let mut connection = connect();
        let mut result = WorkerResult {
            latencies: Latencies::new(),
            notes: T::default(),
        };
        while Instant::now() < deadline {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let start = Instant::now();
            if action(&mut connection, &mut result.notes, number) == RequestOutcome::Good {
                result.latencies.record(start.elapsed());
            }
        }
        result
    })
}

fn run_workers<R: Send>(workers: usize, work: impl Fn() -> R + Sync) -> eyre::Result<Vec<R>> {
    let work = &work;
    std::thread::scope(|scope| {
        let mut threads = Vec::with_capacity(workers);
        for _ in 0..workers {
            let builder = std::thread::Builder::new().stack_size(STACK_BYTES);
            threads.push(builder.spawn_scoped(scope, work)?);
        }
        let results = threads.into_iter().map(|thread| {
            let result = thread.join();
            result.map_err(|_| eyre::eyre!("a worker of the load generator panicked"))
        });
        results.collect()
    })
}

/// Merges the latencies of all workers.
pub fn merge_latencies<T>(results: &[WorkerResult<T>]) -> Latencies {
    let mut all = Latencies::new();
    for worker in results {
        all.merge(&worker.latencies);
    }
    all
}
