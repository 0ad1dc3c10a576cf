//! Runs independent jobs on several threads.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Limited, so that other work on the machine is not starved.
const THREADS: usize = 3;

/// Runs `run(0)` to `run(count - 1)` and returns their results in this order.
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
