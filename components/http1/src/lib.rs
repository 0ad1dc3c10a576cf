//! HTTP/1.1 messages on non-blocking connections.
//!
//! [`Head`] is a parsed request or response head over its raw bytes, [`Framing`] says
//! where the body behind it ends, [`BodyReader`] cuts the body out of the bytes that
//! arrived, [`events::Splitter`] cuts a body into server-sent events, and [`Wire`] is one
//! connection with the bytes read from it so far. [`Pool`] keeps connections to upstreams,
//! [`read_response_head`] and [`read_whole`] read what an upstream answers, and [`write`]
//! puts messages into bytes.
//!
//! Parsing is strict on purpose. Two parties that disagree on where a message ends let one
//! caller smuggle a second request behind its first; whatever could be read in two ways is
//! an error here, and bodies are framed anew on the way out.

mod body;
pub mod events;
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
pub use pool::Pool;
pub use probe::probe_refused;
pub use response::{ResponseError, read_response_head, read_whole};
pub use wire::{Wire, WireOptions, connect};
