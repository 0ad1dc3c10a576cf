//! Stand-in servers for the platform and the upstreams, used by tests, the bench and `dev`.
//!
//! Each stand-in is a small HTTP server on its own thread, started by `start(config)` and
//! stopped through its handle, with fault injection and counters of the requests it got.
//! Product crates depend on this crate only as a dev-dependency. The servers use hyper
//! instead of rouille because a stand-in has to detect that its client disconnected while
//! an answer is being generated, and to flush each event of a stream immediately; rouille
//! does neither.

pub mod engine;
pub mod hosts;
mod limit;
pub mod plain;
pub mod platform;
pub mod rater;
pub mod raw;
pub mod server;
pub mod store;
pub mod weights;
