//! Control threads of a few daemons around a store in memory.

mod claims;
mod control;
mod entry_warnings;
mod evacuations;
mod freshness;
mod fuzz;
mod gossip;
mod harness;
mod heartbeats;
mod lapsed;
mod memory;
mod quarantine;
mod rate_limits;
mod replaced_orders;
mod snapshots;
mod succession;
