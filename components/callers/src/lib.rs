//! Callers' HTTP API: connections, heads, bodies and their bounds.
//!
//! HTTP is hyper's, on a few threads with a current-thread runtime each. rouille and
//! the server beneath it cannot bound a head, the number of connections or a caller
//! that stops reading (see `docs/decisions/callers-http.md`). This crate knows nothing
//! of models: it reads a request whole, hands it to a [`Serve`] and writes the
//! [`Frame`]s that come back.
//!
//! Every wait on a caller has an end and every buffer a bound:
//!
//! | a caller that … | meets |
//! |---|---|
//! | sends a head slowly, or stays idle | `head_timeout` |
//! | sends a head without end | `max_head`, 431 |
//! | sends a body slowly | `body_timeout`, 408 |
//! | sends a body without end | `max_body`, 413 |
//! | does not read its answer | `write_timeout`, the connection is cut |
//! | opens connections without end | `max_connections`, closed at once |

mod answer;
mod connection;
mod listener;

pub use answer::{AnswerBody, Frame, Gone, Head, Responder};
pub use connection::Limits;
pub use hyper::{HeaderMap, Method, StatusCode, header};
pub use listener::{Callers, CallersError, Counts};

use bytes::Bytes;
use std::net::SocketAddr;

/// A request read whole.
#[derive(Debug)]
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Its path, without the query.
    pub path: String,
    /// What follows `?`, without it; empty when there is none.
    pub query: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Who sent it.
    pub caller: SocketAddr,
    /// Where the answer goes.
    pub responder: Responder,
}

/// What requests are handed to. Called on the threads that speak HTTP: must not block.
pub trait Serve: Send + Sync + 'static {
    /// Takes a request; the answer goes to its [`Responder`], now or later, from any thread.
    fn serve(&self, req: Request);
}
