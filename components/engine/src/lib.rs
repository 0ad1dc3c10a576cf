//! Client of model engines and plain services.
//!
//! Blocking, over attohttpc, which makes a connection for each call and closes it after
//! the answer. So no connection ever carries the late bytes of an abandoned attempt into
//! another's answer, and dropping an answer in its middle cancels it at the upstream.
//! What is known of a failed attempt is told exactly: see [`AttemptError`].

mod call;
mod chat;
mod chunk;
mod error;
mod orders;
mod plain;
mod reader;
mod sse;
mod stream;

pub use attohttpc::Method;
pub use attohttpc::header::{HeaderMap, HeaderName, HeaderValue};

pub use call::{Client, ClientConfig, EngineLoad};
pub use chat::{Answer, ChatAnswer, ChatRequest};
pub use chunk::{Usage, rewrite_id};
pub use error::{AttemptError, Doubt, OrderError};
pub use orders::{CacheEvent, CacheEventKind, CacheEvents, LoadReport, Role};
pub use plain::{PlainAnswer, PlainRequest};
pub use stream::{Event, Stream};
