//! Client of model engines and plain services.
//!
//! Runs on an event loop. A connection is kept only after a whole answer of an engine, which
//! echoes the attempt's id, and used again only for work that may run again; dropping an
//! answer in its middle closes its connection, which cancels it at the upstream. What is
//! known of a failed attempt is told exactly: see [`AttemptError`].

mod call;
mod chat;
mod chunk;
mod error;
mod orders;
mod plain;
mod stream;

pub use http::{HeaderMap, HeaderName, HeaderValue, Method};

pub use call::{Client, ClientConfig, EngineLoad};
pub use chat::{Answer, ChatAnswer, ChatRequest};
pub use chunk::{Usage, rewrite_id};
pub use error::{AttemptError, Doubt, OrderError};
pub use orders::{CacheEvent, CacheEventKind, CacheEvents, LoadReport, Role};
pub use plain::{PlainAnswer, PlainRequest};
pub use stream::{Event, Stream};
