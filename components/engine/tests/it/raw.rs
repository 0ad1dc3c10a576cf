//! Upstreams that send scripted bytes, and calls of them.

use std::net::SocketAddr;

use bytes::Bytes;
use engine::{
    AttemptError, ChatAnswer, ChatRequest, Client, HeaderMap, LoadReport, Method, PlainAnswer,
    PlainRequest,
};
use standins::raw::serve_bytes;
use types::prelude::*;

use crate::event_loop::block_on;

pub const TIMEOUT: Span = Span::from_secs(20);
/// A chat completion of an attempt named `req-1`.
pub const COMPLETION: &str = r#"{"id":"req-1","choices":[{"index":0,"message":{"content":"a"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}"#;

/// A server that gives this answer to each request.
pub fn answering(answer: String) -> SocketAddr {
    serve_bytes(answer).unwrap()
}

/// Encodes a complete answer after a status line and a field.
pub fn whole(status_line: &str, field: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{status_line}\r\nx-request-id: req-1\r\n{field}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Sends a request with this body to a plain service.
pub fn plain(address: SocketAddr, body: Bytes) -> Result<PlainAnswer, AttemptError> {
    let request = PlainRequest {
        method: Method::POST,
        path: "/bookings".to_owned(),
        headers: HeaderMap::new(),
        body,
        timeout: TIMEOUT,
    };
    block_on(Client::default().plain(address, &request))
}

/// Asks an engine for a chat completion.
pub fn chat(address: SocketAddr, stream: bool) -> Result<ChatAnswer, AttemptError> {
    let request = ChatRequest {
        attempt: "req-1",
        body: Bytes::from_static(b"{}"),
        timeout: TIMEOUT,
        read_timeout: TIMEOUT,
        stream,
        is_idempotent: true,
    };
    block_on(Client::default().chat(address, &request))
}

/// Asks an engine for its load.
pub fn load_report(address: SocketAddr) -> Result<LoadReport, AttemptError> {
    block_on(Client::default().load_report(address, TIMEOUT))
}
