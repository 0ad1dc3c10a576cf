//! The platform's balancer as callers see it: daemons in turn, without those known to be
//! out. It learns late, as one that probes does.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// One daemon behind the balancer.
#[derive(Debug)]
struct Back {
    address: SocketAddr,
    is_in: AtomicBool,
}

/// Which daemon a caller gets.
#[derive(Debug)]
pub struct Balancer {
    backs: Vec<Back>,
    next: AtomicUsize,
}

impl Balancer {
    /// All in.
    pub fn new(addresses: impl Iterator<Item = SocketAddr>) -> Self {
        let backs = addresses.map(|address| Back {
            address,
            is_in: AtomicBool::new(true),
        });
        Self {
            backs: backs.collect(),
            next: AtomicUsize::new(0),
        }
    }

    /// A daemon, if possible not the one avoided.
    pub fn pick(&self, avoid: Option<usize>) -> usize {
        let n = self.backs.len();
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let turn = (0..n).map(|step| (start + step) % n);
        let is_in = |index: &usize| self.backs[*index].is_in.load(Ordering::Relaxed);
        let other = turn.clone().filter(is_in).find(|i| Some(*i) != avoid);
        other.unwrap_or(start % n)
    }

    /// Where a daemon serves callers.
    pub fn address(&self, daemon: usize) -> SocketAddr {
        self.backs[daemon].address
    }

    /// Takes a daemon in or out.
    pub fn set_in(&self, daemon: usize, is_in: bool) {
        self.backs[daemon].is_in.store(is_in, Ordering::Relaxed);
    }
}
