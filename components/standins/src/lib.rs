//! Stand-ins of the platform and of the upstreams: for tests, the bench and `dev`.
//!
//! Each is a small HTTP server on a thread of its own, started by `start(config)` and
//! stopped by its handle, with faults on demand and counters of what it saw. No product
//! crate depends on this one, but as a dev-dependency. They run on hyper and not on
//! rouille: a stand-in has to notice that its client left while an answer is being made,
//! and to send each event of a stream at once; rouille does neither.

pub mod engine;
pub mod hosts;
mod limit;
pub mod plain;
pub mod platform;
pub mod rater;
pub mod server;
pub mod store;
pub mod weights;
