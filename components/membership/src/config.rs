//! Configuration of one daemon's membership: identity, protocol timing and bandwidth limits.

use std::net::SocketAddr;

use types::prelude::*;

/// Identity, seeds, timing and bandwidth limits of this daemon.
#[derive(Debug, Clone)]
pub struct Config {
    /// This daemon's name.
    pub local_id: DaemonId,
    /// Incarnation number; increases with each restart.
    pub incarnation: Incarnation,
    /// Address at which other daemons reach this one.
    pub address: SocketAddr,
    /// Failure domain of this daemon.
    pub failure_domain: FailureDomain,
    /// Region that contains the failure domain.
    pub region: Region,
    /// Addresses to which join requests are sent.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and timeouts of the protocol.
    pub timing: Timing,
    /// Bandwidth and message size limits.
    pub budget: Budget,
}

/// Intervals and timeouts of the protocol.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Interval between probes.
    pub probe: Span,
    /// Time allowed for a direct acknowledgement; after it, other daemons are asked to probe the
    /// target.
    pub ack: Span,
    /// Suspicion timeout in a fleet of ten; it grows with the logarithm of the fleet's size.
    pub suspicion: Span,
    /// Interval between pushes of gossip.
    pub push: Span,
    /// Interval between digest pages.
    pub repair: Span,
    /// Interval between digest pages while catching up after a join.
    pub catch_up: Span,
    /// Interval between attempts to reach a daemon that is down.
    pub heal: Span,
    /// How long members that are down or have left are remembered.
    pub remember: Span,
    /// How long transient facts are kept after their origin is gone.
    pub transient: Span,
    /// A gap between ticks of at least this length means that this process was paused.
    pub pause: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe: Span::from_secs(1),
            ack: Span::from_millis(400),
            suspicion: Span::from_secs(4),
            push: Span::from_millis(500),
            repair: Span::from_secs(5),
            catch_up: Span::from_millis(400),
            heal: Span::from_secs(10),
            remember: Span::from_secs(3600),
            transient: Span::from_secs(30),
            pause: Span::from_millis(1500),
        }
    }
}

/// Bandwidth limits for membership messages and facts.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Bytes per second, without the overhead of envelopes.
    pub rate: u64,
    /// Bytes that accumulate at most while idle. This holds the records of some 300 daemons, sent
    /// one and a half times, so that the members of a fleet that starts all at once learn of each
    /// other within a few seconds.
    pub burst: u64,
    /// Bytes per second for digests, repairs and pages of members, which are few in a stable fleet
    /// and many when it starts or a partition heals.
    pub repair_rate: u64,
    /// Repair bytes that accumulate at most while idle.
    pub repair_burst: u64,
    /// Bytes for short replies to joining daemons while the repair budget is used up; refilled at
    /// the repair rate. Enough for some 500 joins within a few seconds.
    pub join_burst: u64,
    /// Maximum size of a message in bytes.
    pub message: usize,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            rate: 1_400,
            burst: 32_768,
            repair_rate: 512,
            repair_burst: 65_536,
            join_burst: 262_144,
            message: 4_096,
        }
    }
}

/// Token bucket that limits the bytes sent.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    refilled_at: Time,
    bytes: f64,
}

impl TokenBucket {
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            refilled_at: Time::ZERO,
            bytes: burst,
        }
    }

    pub(crate) fn refill(&mut self, now: Time) {
        let gained = self.rate * now.since(self.refilled_at).as_secs_f64();
        self.bytes = (self.bytes + gained).min(self.burst);
        self.refilled_at = now;
    }

    /// Whole bytes available; zero while in debt.
    pub(crate) fn available(&self) -> usize {
        self.bytes.max(0.0) as usize
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}
