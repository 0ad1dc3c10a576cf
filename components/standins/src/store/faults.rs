//! Faults and counters of a stand-in store.

use types::prelude::*;

/// Faults in effect until they are changed.
#[derive(Debug, Clone, Default)]
pub struct StoreFaults {
    /// Closes connections without an answer and ends open watches.
    pub down: bool,
    /// Delay of every call before it takes effect.
    pub delay: Span,
    /// Number of next writes that take effect but get no reply.
    pub lost_replies: u32,
    /// Number of next writes that get no reply and take effect after `effect_delay`.
    pub delayed_effects: u32,
    /// Delay before the writes counted by `delayed_effects` take effect.
    pub effect_delay: Span,
    /// Number of next changes that are not sent to watches.
    pub watch_gap: u32,
    /// Writes per second before the store replies 429; 0 is no limit.
    pub max_writes_per_second: u32,
    /// Reads per second before the store replies 429; 0 is no limit.
    pub max_reads_per_second: u32,
}

/// Counts of the calls and traffic since the store's start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Range reads.
    pub ranges: u64,
    /// Puts and deletes outside transactions.
    pub puts: u64,
    /// Transactions of any kind.
    pub txns: u64,
    /// Transactions with a write in either branch.
    pub write_txns: u64,
    /// Calls to grant a lease.
    pub lease_grants: u64,
    /// Calls to renew a lease.
    pub lease_renewals: u64,
    /// Calls to revoke a lease.
    pub lease_revokes: u64,
    /// Watches started.
    pub watches: u64,
    /// Watches open now.
    pub open_watches: u64,
    /// Changes sent to watches.
    pub watch_events: u64,
    /// Calls refused over the rate limits.
    pub capped: u64,
    /// Calls and watches dropped while `down` was set.
    pub dropped: u64,
    /// Bytes of request bodies received.
    pub bytes_in: u64,
}

impl StoreCounters {
    /// Returns the number of calls of every kind.
    #[must_use]
    pub fn calls(&self) -> u64 {
        let leases = self.lease_grants + self.lease_renewals + self.lease_revokes;
        self.ranges + self.puts + self.txns + leases + self.watches
    }
}
