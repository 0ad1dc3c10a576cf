//! Tests of rate limits, at one daemon and over fleets in simulated time.

mod cold;
mod fleet;
mod fuzz;
mod leases;
mod table;
mod world;
