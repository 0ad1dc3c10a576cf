//! Tests of rate limits, at one daemon and over fleets in simulated time.

mod fleet;
mod table;
mod world;
