//! The process's clock on a host that is suspended, simulated by the host's clocks as this process
//! reads them.
#![allow(unsafe_code)]

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Instant;

use types::prelude::*;

/// Time for which the simulated host was suspended, in s.
static SUSPENDED_S: AtomicI64 = AtomicI64::new(0);

/// Replaces the C library's function in this test binary. `CLOCK_MONOTONIC` stands still while the
/// host is suspended; `CLOCK_BOOTTIME` does not.
#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(
    clock: libc::clockid_t,
    reading: *mut libc::timespec,
) -> libc::c_int {
    // SAFETY: the arguments are those of the C library's function of this name.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, reading) };
    if result == 0 && clock == libc::CLOCK_BOOTTIME {
        // SAFETY: the kernel has just written the reading.
        unsafe { (*reading).tv_sec += SUSPENDED_S.load(Ordering::SeqCst) };
    }
    result as libc::c_int
}

/// After a suspension a daemon refused routes that had been added meanwhile as unknown.
#[test]
fn the_clock_includes_suspensions() {
    let clock = Clock::new();
    let (before, monotonic_before) = (clock.now(), Instant::now());
    SUSPENDED_S.store(5, Ordering::SeqCst);
    let suspended_for = clock.now().since(before);
    assert!(suspended_for >= Span::from_secs(5), "{suspended_for}");
    // The simulation leaves the clock that stands still as it is.
    assert!(monotonic_before.elapsed() < std::time::Duration::from_secs(5));
}
