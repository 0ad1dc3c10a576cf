//! Serves one connection of the product's own API: its requests one after another.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use http1::{Framing, Head as WireHead, HeadError, Kind, Wire};
use tokio::time::Instant;
use types::prelude::*;

use crate::answer::{Head, Responder, ResponseOptions, Stage};
use crate::reading::{Bounds, ReadError, read_body, read_head};
use crate::server::ShutdownSignal;
use crate::{Request, Serve};

/// Message to a caller whose request was accepted but not answered.
const ANSWER_LOST: &str = "the answer was lost inside the daemon";
/// Most bytes of pipelined requests buffered while a request is served.
const MAX_PIPELINED_BYTES: usize = 16 << 10;
/// Time after the last answer within which the caller must close, or its connection is reset.
/// Also the time to write the answer to a rejected request.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Limits on what a caller may use.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most connections open at once.
    pub connections: usize,
    /// Largest request head.
    pub head: ByteSize,
    /// Largest request body.
    pub body: ByteSize,
    /// Longest time to read a request head, and longest time that a connection may be idle.
    pub head_timeout: Span,
    /// Longest time to read a request body.
    pub body_timeout: Span,
    /// Longest time to write the next part of an answer.
    pub write_timeout: Span,
}

impl Limits {
    fn bounds(&self) -> Bounds {
        Bounds {
            head: self.head.as_usize(),
            body: self.body.0,
            head_within: self.head_timeout.to_duration(),
            idle: self.head_timeout.to_duration(),
        }
    }
}

/// State shared by the connections of one event loop.
pub(crate) struct Shared<S> {
    pub(crate) limits: Limits,
    pub(crate) serve: S,
    pub(crate) shutdown: ShutdownSignal,
}

/// Serves a connection until it closes, is idle for too long, or the daemon shuts down.
pub(crate) async fn run<S: Serve>(wire: Wire, caller: SocketAddr, shared: Rc<Shared<S>>) {
    let wire = Rc::new(wire);
    while serve_next(&wire, caller, &shared).await {}
    if let Ok(wire) = Rc::try_unwrap(wire) {
        wire.close(CLOSE_TIMEOUT).await;
    }
}

/// Serves one request; returns whether the connection stays open.
async fn serve_next<S: Serve>(wire: &Rc<Wire>, caller: SocketAddr, shared: &Shared<S>) -> bool {
    let bounds = shared.limits.bounds();
    let head = match read_head(wire, &bounds, shared.shutdown.requested()).await {
        Ok(head) => head,
        Err(error) => return refuse(wire, &error).await,
    };
    let framing = match Framing::of(&head) {
        Ok(framing) => framing,
        Err(_) => return refuse(wire, &ReadError::Body).await,
    };
    let until = Instant::now() + shared.limits.body_timeout.to_duration();
    let body = match read_body(wire, &head, framing, bounds.body, until, |_| true).await {
        Ok(body) => body,
        Err(error) => return refuse(wire, &error).await,
    };
    let Some(line) = RequestLine::parse(&head) else {
        return refuse(wire, &ReadError::Body).await;
    };
    let keeps_alive = head.keeps_alive() && head.is_http11 && !shared.shutdown.is_requested();
    let responder = Responder::new(
        Rc::clone(wire),
        ResponseOptions {
            keeps_alive,
            is_http11: head.is_http11,
            is_head_only: line.method == Method::HEAD,
            write_timeout: shared.limits.write_timeout.to_duration(),
        },
    );
    let req = Request {
        method: line.method,
        path: line.path,
        query: line.query,
        headers: head.to_map(),
        body,
        caller,
        responder: responder.clone(),
    };
    serve_watched(wire, &shared.serve, req, &responder).await;
    match responder.stage() {
        Stage::Complete => keeps_alive && !responder.is_disconnected(),
        Stage::Started => false,
        Stage::NotStarted => {
            // The request was dropped without an answer. It may have been sent to an upstream
            // before, so "not run" could be false.
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            send_error(&responder, status, ANSWER_LOST, RunState::Unknown).await;
            false
        }
    }
}

/// Serves a request to completion and informs the responder if the caller disconnects meanwhile.
async fn serve_watched<S: Serve>(wire: &Wire, serve: &S, req: Request, responder: &Responder) {
    let gone = async {
        wire.closed(MAX_PIPELINED_BYTES).await;
        responder.mark_gone();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        biased;
        () = serve.serve(req) => {}
        () = gone => {}
    }
}

/// The parsed request line.
struct RequestLine {
    method: Method,
    path: String,
    query: String,
}

impl RequestLine {
    fn parse(head: &WireHead) -> Option<Self> {
        let Kind::Request { method, target } = &head.kind else {
            return None;
        };
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        Some(Self {
            method: Method::from_bytes(method.as_bytes()).ok()?,
            path: without_authority(path).to_owned(),
            query: query.to_owned(),
        })
    }
}

/// Strips scheme and authority from a target in absolute form, which callers of a proxy send.
fn without_authority(path: &str) -> &str {
    let Some(rest) = path.strip_prefix("http://") else {
        return path;
    };
    rest.find('/').map_or("/", |at| &rest[at..])
}

/// Answers a request that could not be read. Returns false, as the connection ends.
async fn refuse(wire: &Rc<Wire>, error: &ReadError) -> bool {
    let status = match error {
        ReadError::Closed => return false,
        ReadError::Head(HeadError::Malformed(_)) | ReadError::Body => StatusCode::BAD_REQUEST,
        ReadError::Head(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        ReadError::HeadTooSlow | ReadError::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
        ReadError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ReadError::BodyRefused => StatusCode::SERVICE_UNAVAILABLE,
    };
    let options = ResponseOptions {
        keeps_alive: false,
        is_http11: true,
        is_head_only: false,
        write_timeout: CLOSE_TIMEOUT,
    };
    let responder = Responder::new(Rc::clone(wire), options);
    send_error(&responder, status, &error.to_string(), RunState::No).await;
    false
}

/// Sends an error in the format of the public API.
async fn send_error(responder: &Responder, status: StatusCode, message: &str, run: RunState) {
    let (kind, code) = match run {
        RunState::No => ("invalid_request_error", "bad_request"),
        RunState::Unknown | RunState::Yes => ("server_error", "answer_lost"),
    };
    let body = serde_json::json!({
        "error": { "message": message, "type": kind, "param": null, "code": code, "run": run.to_string() }
    });
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(run) = HeaderValue::from_str(&run.to_string()) {
        headers.insert(HeaderName::from_static("x-run"), run);
    }
    // A caller that has disconnected needs no answer.
    let _ = responder
        .answer(Head { status, headers }, Bytes::from(body.to_string()))
        .await;
}
