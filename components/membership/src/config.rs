//! What a daemon is told about itself, and the protocol's times and bounds.

use std::net::SocketAddr;

use types::prelude::*;

/// What a daemon is told about itself.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name.
    pub me: DaemonId,
    /// Its restart.
    pub incarnation: Incarnation,
    /// Where other daemons reach it.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where that stands.
    pub region: Region,
    /// Daemons to join by.
    pub seeds: Vec<SocketAddr>,
    /// The protocol's times.
    pub timing: Timing,
    /// What it may send.
    pub budget: Budget,
}

/// The protocol's times.
#[derive(Debug, Clone)]
pub struct Timing {
    /// One probe each.
    pub probe: Span,
    /// A direct acknowledgement is due within; then others are asked to probe.
    pub ack: Span,
    /// Suspicion lasts this long in a fleet of ten; longer by the logarithm of its size.
    pub suspicion: Span,
    /// One push of news each.
    pub push: Span,
    /// One page of the digest each.
    pub repair: Span,
    /// One page of the digest each while catching up after a join.
    pub catch_up: Span,
    /// One probe of a daemon that is down each.
    pub heal: Span,
    /// The dead are remembered for.
    pub remember: Span,
    /// Transient facts outlive their origin by.
    pub transient: Span,
    /// A gap between ticks as long as this means that this process was paused.
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

/// What a daemon may send for membership and facts.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Bytes a second, without the envelopes' own.
    pub rate: u64,
    /// Bytes saved up at most while quiet: the records of some 300 daemons, told once and a half,
    /// so that a fleet that starts at once meets within a few seconds.
    pub burst: u64,
    /// Bytes a second for digests, repairs and pages of members, which are few while
    /// the fleet is at rest and many when it starts or a cut heals.
    pub repair_rate: u64,
    /// Of these saved up at most while quiet.
    pub repair_burst: u64,
    /// Bytes for short answers to those that join while the budget of repairs is used up; they
    /// come back at the rate of repairs. Some 500 joins in a few seconds.
    pub join_burst: u64,
    /// Largest message in bytes.
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

/// Bytes that may be sent now: fills at a rate up to a bound.
#[derive(Debug)]
pub(crate) struct Allowance {
    rate: f64,
    burst: f64,
    filled_at: Time,
    bytes: f64,
}

impl Allowance {
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            filled_at: Time::ZERO,
            bytes: burst,
        }
    }

    pub(crate) fn fill(&mut self, now: Time) {
        let gained = self.rate * now.since(self.filled_at).as_secs_f64();
        self.bytes = (self.bytes + gained).min(self.burst);
        self.filled_at = now;
    }

    /// Whole bytes available; none while in debt.
    pub(crate) fn available(&self) -> usize {
        self.bytes.max(0.0) as usize
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}
