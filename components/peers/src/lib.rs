//! Connections between daemons.
//!
//! One thread with a current-thread runtime carries all traffic to and from other
//! daemons; the other threads exchange data with it over bounded queues. A connection
//! starts with a handshake that names the sender and returns a random challenge. Every
//! later message carries a sequence number and an authentication tag (HMAC-SHA256) over
//! the cluster name, the challenge, both endpoints, the sequence number and the content.
//! The receiver therefore rejects messages from a daemon without the shared key, replayed
//! messages, and messages recorded on another connection or in another cluster.
//!
//! A message that cannot be sent at once is dropped and counted: every protocol carried
//! here resends what matters.

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

pub use clocks::{ClockOffsetBound, ClockReading, PeerClocks};
pub use config::{Config, Key, KeyError, Keys, MIN_SECRET_BYTES};
pub use handle::{AskError, Handle, Inbound, Peers, PeersError, Reply};
pub use payload::{MAX_BODY_BYTES, Part, Payload, PayloadError};
pub use seal::Refusal;
pub use stats::Stats;
