//! Load generator: open-loop arrivals over keep-alive connections, a thread each.
//!
//! Latency counts from the moment a request was meant to start, not from when a free
//! worker got to it, so a slow server can't hide its slowness by slowing the generator
//! (coordinated omission).

pub mod http;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Stack of a worker.
const STACK_BYTES: usize = 256 << 10;
/// Digits that a histogram keeps.
const DIGITS: u8 = 3;
/// Longest latency that a histogram tells apart, in microseconds.
const MAX_MICROS: u64 = 120_000_000;

/// When requests are meant to start, from the beginning of the load.
#[derive(Debug, Clone)]
pub struct Arrivals(pub Vec<Duration>);

impl Arrivals {
    /// At random, independent of each other, at a rate a second.
    pub fn poisson(seed: u64, rate: f64, length: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut at = 0.0;
        let mut starts = Vec::new();
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= length.as_secs_f64() {
                return Self(starts);
            }
            starts.push(Duration::from_secs_f64(at));
        }
    }
}

/// Latencies of a load.
#[derive(Debug, Clone)]
pub struct Latencies(Histogram<u64>);

impl Latencies {
    /// None yet.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, DIGITS);
        Self(histogram.expect("the bounds are constant and good"))
    }

    /// Counts one.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Counts all of another's.
    pub fn add(&mut self, other: &Self) {
        self.0.add(&other.0).expect("all have the same bounds");
    }

    /// In milliseconds, by a share from 0 to 1.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / 1_000.0
    }

    /// How many were counted.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Shares from 0 to 1 with their milliseconds, for plots.
    pub fn curve(&self) -> Vec<(f64, f64)> {
        let steps = (0..=200).map(|n| f64::from(n) / 200.0);
        steps.map(|q| (q, self.quantile_ms(q))).collect()
    }
}

/// What one worker saw.
#[derive(Debug, Clone)]
pub struct Seen<T> {
    /// From intended start to end, of what the action counted as good.
    pub latencies: Latencies,
    /// What else the action noted.
    pub notes: T,
}

/// Whether a request counts among the latencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counted {
    /// Yes.
    Good,
    /// It failed.
    Failed,
}

/// Starts requests when they are meant to, with at most so many at once, and gives what
/// the workers noted. `act` gets its worker's notes and connection and the request's number.
pub fn open_loop<C, T: Default + Send>(
    arrivals: &Arrivals,
    workers: usize,
    connect: impl Fn() -> C + Sync,
    act: impl Fn(&mut C, &mut T, usize) -> Counted + Sync,
) -> eyre::Result<Vec<Seen<T>>> {
    let next = AtomicUsize::new(0);
    let begun = Instant::now();
    run_workers(workers, || {
        let mut connection = connect();
        let mut seen = Seen {
            latencies: Latencies::new(),
            notes: T::default(),
        };
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let Some(start) = arrivals.0.get(number) else {
                return seen;
            };
            let start = begun + *start;
            std::thread::sleep(start.saturating_duration_since(Instant::now()));
            let counted = act(&mut connection, &mut seen.notes, number);
            if counted == Counted::Good {
                seen.latencies.record(start.elapsed());
            }
        }
    })
}

/// Repeats requests back to back on so many connections for a time.
pub fn closed_loop<C, T: Default + Send>(
    workers: usize,
    length: Duration,
    connect: impl Fn() -> C + Sync,
    act: impl Fn(&mut C, &mut T, usize) -> Counted + Sync,
) -> eyre::Result<Vec<Seen<T>>> {
    let next = AtomicUsize::new(0);
    let ends = Instant::now() + length;
    run_workers(workers, || {
        let mut connection = connect();
        let mut seen = Seen {
            latencies: Latencies::new(),
            notes: T::default(),
        };
        while Instant::now() < ends {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let start = Instant::now();
            if act(&mut connection, &mut seen.notes, number) == Counted::Good {
                seen.latencies.record(start.elapsed());
            }
        }
        seen
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

/// All workers' latencies together.
pub fn merged<T>(seen: &[Seen<T>]) -> Latencies {
    let mut all = Latencies::new();
    for worker in seen {
        all.add(&worker.latencies);
    }
    all
}
