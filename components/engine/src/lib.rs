//! HTTP client of model engines and plain services.
//!
//! Runs on an event loop. A connection enters the pool only after a complete answer of an
//! engine, which echoes the attempt's id, and is reused only for work that may run more than
//! once. Dropping an answer before its end closes its connection, which cancels the request at
//! the upstream. [`AttemptError`] states exactly what is known of a failed attempt.

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
pub use error::{AttemptError, FailureCause, OrderError};
pub use orders::{CacheEvent, CacheEventKind, CacheEvents, LoadReport, Role};
pub use plain::{PlainAnswer, PlainRequest};
pub use stream::{Event, Stream};
