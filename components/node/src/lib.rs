//! Assembles the daemon from its state tables, the systems that update them, and threads.
//!
//! Data flows one way: settings are loaded and checked, and a [`Node`] is built from them and
//! serves. The control thread owns the tables and publishes a [`snapshot::Snapshot`]. The threads
//! that serve callers read it and report back to the control thread with [`event::Event`]s.

mod admission;
mod claims;
mod control;
mod error;
pub mod event;
mod hosts;
mod latency;
mod measured;
mod outbound;
mod polls;
mod pool;
mod quarantine;
mod rating;
mod sessions;
mod shared;
pub mod snapshot;
mod start;
mod store_pool;
pub mod systems;
pub mod traffic;
mod watching;

pub use error::NodeError;
pub use start::Node;
