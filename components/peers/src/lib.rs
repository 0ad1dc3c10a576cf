//! Connections between daemons.
//!
//! One thread with one current-thread runtime carries all traffic to and from other
//! daemons; the other threads talk to it over bounded queues. A connection begins with
//! a greeting that names the sender and brings a random challenge back; from then on
//! each message carries a number and a code (HMAC-SHA256) over the cluster's name, the
//! challenge, both ends, the number and the content. So nothing is taken from a daemon
//! without the shared key, nor twice, nor from another connection or another cluster.
//!
//! What cannot be sent now is dropped and counted: every protocol that rides here
//! repeats what matters.

mod client;
mod clocks;
mod config;
mod counted;
mod handle;
mod payload;
mod seal;
mod server;
mod service;
mod silence;
mod stats;

pub use clocks::{ClockBound, Clocks, Reading};
pub use config::{Config, Key, KeyError, Keys, MIN_SECRET_BYTES};
pub use handle::{AskError, Handle, Inbound, Peers, PeersError, Reply};
pub use payload::{MAX_BODY_BYTES, Part, Payload, PayloadError};
pub use seal::Refusal;
pub use stats::Stats;
