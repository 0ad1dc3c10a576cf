//! Simulated platform balancer: selects daemons round robin and skips those known to be down. Like
//! a balancer that uses probes, it learns of changes with a delay.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// A daemon behind the balancer.
#[derive(Debug)]
struct Backend {
    address: SocketAddr,
    in_rotation: AtomicBool,
}

/// Assigns callers to daemons.
#[derive(Debug)]
pub struct Balancer {
    backends: Vec<Backend>,
    next: AtomicUsize,
}

impl Balancer {
    /// Creates a balancer with all daemons in rotation.
    pub fn new(addresses: impl Iterator<Item = SocketAddr>) -> Self {
        let backends = addresses.map(|address| Backend {
            address,
            in_rotation: AtomicBool::new(true),
        });
        Self {
            backends: backends.collect(),
            next: AtomicUsize::new(0),
        }
    }

    /// Picks a daemon, if possible a different one than `avoid`.
    pub fn pick(&self, avoid: Option<usize>) -> usize {
        let n = self.backends.len();
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let turn = (0..n).map(|step| (start + step) % n);
        let in_rotation = |index: &usize| self.backends[*index].in_rotation.load(Ordering::Relaxed);
        let other = turn.clone().filter(in_rotation).find(|i| Some(*i) != avoid);
        other.unwrap_or(start % n)
    }

    /// Address at which a daemon serves callers.
    pub fn address(&self, daemon: usize) -> SocketAddr {
        self.backends[daemon].address
    }

    /// Adds a daemon to the rotation or removes it.
    pub fn set_in_rotation(&self, daemon: usize, in_rotation: bool) {
        self.backends[daemon]
            .in_rotation
            .store(in_rotation, Ordering::Relaxed);
    }
}
