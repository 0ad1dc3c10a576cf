//! HTTP server for callers, with limits on heads, bodies and connections.
//!
//! [`listen()`], [`accept`], [`read_head`] and [`read_body`] are used by every event loop that
//! serves callers. [`Callers`] is the HTTP server of the product's own API, built on them: it
//! reads a complete request, passes it to a [`Serve`] and writes the [`Frame`]s of the answer.
//! It knows nothing of models.
//!
//! Every wait for a caller has a timeout and every buffer a limit, set in [`Limits`]:
//!
//! | a caller that … | limit and effect |
//! |---|---|
//! | sends a head slowly, or stays idle | `head_timeout` |
//! | sends an endless head | `head`, 431 |
//! | sends a body slowly | `body_timeout`, 408 |
//! | sends an endless body | `body`, 413 |
//! | does not read its answer | `write_timeout`, the connection is cut |
//! | opens ever more connections | `connections`, closed at once |

mod answer;
mod connection;
mod listen;
mod reading;
mod server;

pub use answer::{CallerDisconnected, Frame, Head, Responder};
pub use connection::Limits;
pub use http::{HeaderMap, Method, StatusCode, header};
pub use listen::{accept, listen};
pub use reading::{Bounds, ReadError, read_body, read_head};
pub use server::{Callers, CallersError, Counts};

use bytes::Bytes;
use std::net::SocketAddr;

/// A complete request.
#[derive(Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the `?`; empty if there is none.
    pub query: String,
    /// All headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Writes the answer.
    pub responder: Responder,
}

/// Handles requests on the event loop of their connection; must not block.
pub trait Serve: 'static {
    /// Handles a request and writes the answer to its [`Responder`]. Runs to completion even if
    /// the caller disconnects, which [`Responder::disconnected`] reports.
    fn serve(&self, req: Request) -> impl Future<Output = ()>;
}
