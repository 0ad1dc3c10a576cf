//! Faults and counters of a stand-in store.

use types::prelude::*;

/// What goes wrong, from now on.
#[derive(Debug, Clone, Default)]
pub struct StoreFaults {
    /// Connections are closed without an answer, watches end.
    pub down: bool,
    /// Every call waits this long before it takes effect.
    pub delay: Span,
    /// The next so many writes take effect but get no reply.
    pub lost_replies: u32,
    /// The next so many writes get no reply and take effect later.
    pub delayed_effects: u32,
    /// How much later.
    pub effect_delay: Span,
    /// The next so many changes are not told to watches.
    pub watch_gap: u32,
    /// Writes a second before 429; 0 for no cap.
    pub max_writes: u32,
    /// Reads a second before 429; 0 for no cap.
    pub max_reads: u32,
}

/// What the service was asked so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Ranges.
    pub ranges: u64,
    /// Single puts and deletes.
    pub puts: u64,
    /// Transactions.
    pub txns: u64,
    /// Transactions among them that can write.
    pub write_txns: u64,
    /// Leases granted.
    pub lease_grants: u64,
    /// Leases renewed.
    pub lease_renewals: u64,
    /// Leases revoked.
    pub lease_revokes: u64,
    /// Watches begun.
    pub watches: u64,
    /// Watches open now.
    pub open_watches: u64,
    /// Changes sent to watches.
    pub watch_events: u64,
    /// Calls refused by the rate caps.
    pub capped: u64,
    /// Calls closed while down.
    pub dropped: u64,
    /// Bytes of requests' bodies.
    pub bytes_in: u64,
}

impl StoreCounters {
    /// Calls of every kind.
    #[must_use]
    pub fn calls(&self) -> u64 {
        let leases = self.lease_grants + self.lease_renewals + self.lease_revokes;
        self.ranges + self.puts + self.txns + leases + self.watches
    }
}
