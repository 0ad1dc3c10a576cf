//! Tests of daemons, a network and a store under faults, simulated in one thread.

mod edits;
mod fuzz;
mod spread;
mod world;
