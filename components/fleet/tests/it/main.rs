//! Control threads of a few daemons around a store in memory.

mod audience;
mod bars;
mod claims;
mod copying;
mod fleet;
mod freshness;
mod harness;
mod limits;
mod memory;
mod standings;
mod turns;
