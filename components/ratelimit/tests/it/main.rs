//! Rate limits at one daemon, and kept by fleets in simulated time.

mod fleet;
mod table;
mod world;
