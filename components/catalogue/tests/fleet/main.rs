//! Daemons, a network and a store under faults, all in one thread.

mod edits;
mod fuzz;
mod spread;
mod world;
