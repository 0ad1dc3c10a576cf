//! Runs that do not depend on each other, side by side.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Few, so that other work on the machine goes on.
const THREADS: usize = 3;

/// Results of `run(0)` to `run(count - 1)`, in this order.
pub fn in_parallel<T: Send>(count: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(0);
    let done = Mutex::new(Vec::new());
    let work = || {
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= count {
                break;
            }
            let result = run(number);
            if let Ok(mut done) = done.lock() {
                done.push((number, result));
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|(number, _)| *number);
    done.into_iter().map(|(_, result)| result).collect()
}
