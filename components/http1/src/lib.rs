//! HTTP/1.1 messages on non-blocking connections.
//!
//! [`Head`] is a parsed request or response head over its raw bytes. [`Framing`] states where
//! the body after a head ends. [`BodyReader`] extracts the body from the bytes that arrived, and
//! [`events::Splitter`] splits a body into server-sent events. [`Wire`] is one connection with
//! the bytes read from it so far, as they are or in [`mod@frames`]. [`Pool`] keeps idle connections
//! to upstreams. [`read_response_head`] and [`read_whole`] read an upstream's response, and
//! [`mod@write`] encodes messages.
//!
//! Parsing is strict. If two parties disagree on where a message ends, a caller can smuggle a
//! second request behind its first. Everything that could be read in two ways is therefore an
//! error, and bodies that are passed on are framed anew.

mod body;
pub mod events;
pub mod frames;
mod framing;
mod head;
mod pool;
mod probe;
mod response;
mod wire;
pub mod write;

pub use body::{BodyError, BodyReader, Progress};
pub use framing::{Framing, FramingError};
pub use head::{Head, HeadError, Kind, is_hop_by_hop};
pub use pool::{MAX_IDLE_PER_UPSTREAM, Pool, max_idle};
pub use probe::probe_refused;
pub use response::{ResponseError, discard_body, read_response_head, read_whole};
pub use wire::{Wire, WireOptions, connect};
