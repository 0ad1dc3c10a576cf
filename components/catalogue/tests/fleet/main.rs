//! Daemons, a network and a store under faults, all in one thread.

mod edits;
mod spread;
mod world;
