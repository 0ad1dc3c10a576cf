//! Callers' connections: heads, bodies and their bounds, and answers.
//!
//! What every event loop that serves callers shares is here: [`listen`] and [`accept`],
//! [`read_head`] and [`read_body`]. [`Callers`] is the product's own interface on top of
//! them: it reads a request whole, hands it to a [`Serve`] and writes the [`Frame`]s that
//! come back. It knows nothing of models.
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
mod listen;
mod reading;
mod server;

pub use answer::{Frame, Gone, Head, Responder};
pub use connection::Limits;
pub use http::{HeaderMap, Method, StatusCode, header};
pub use listen::{accept, listen};
pub use reading::{Bounds, Unread, read_body, read_head};
pub use server::{Callers, CallersError, Counts};

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

/// What requests are handed to, on the event loop of their connection: must not block.
pub trait Serve: 'static {
    /// Serves a request: its answer goes to its [`Responder`]. Runs to its end also when the
    /// caller leaves, which [`Responder::gone`] tells.
    fn serve(&self, req: Request) -> impl Future<Output = ()>;
}
