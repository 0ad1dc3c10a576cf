//! One connection of the product's own interface: its requests one after another.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use http1::{Framing, Head as WireHead, HeadError, Kind, Wire};
use tokio::time::Instant;
use types::prelude::*;

use crate::answer::{Answering, Head, Responder, Stage};
use crate::reading::{Bounds, Unread, read_body, read_head};
use crate::server::Closing;
use crate::{Request, Serve};

const LOST: &str = "the answer was lost inside the daemon";
/// Bytes of a pipelined request that are kept while another is served.
const MAX_PIPELINED: usize = 16 << 10;
/// A caller that does not close after its last answer is reset after.
const LINGER: Duration = Duration::from_millis(1_500);

/// Bounds on what a caller may take.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections held at once.
    pub connections: usize,
    /// Longest head.
    pub head: ByteSize,
    /// Longest body.
    pub body: ByteSize,
    /// A head is read, or an idle connection closed, within.
    pub head_timeout: Span,
    /// A body is read within.
    pub body_timeout: Span,
    /// An answer's next piece is taken within.
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

/// What the connections of one event loop share.
pub(crate) struct Shared<S> {
    pub(crate) limits: Limits,
    pub(crate) serve: S,
    pub(crate) closing: Closing,
}

/// Serves a connection until it ends, is idle too long, or the daemon leaves.
pub(crate) async fn run<S: Serve>(wire: Wire, caller: SocketAddr, shared: Rc<Shared<S>>) {
    let wire = Rc::new(wire);
    while serve_next(&wire, caller, &shared).await {}
    if let Ok(wire) = Rc::try_unwrap(wire) {
        wire.close(LINGER).await;
    }
}

/// Serves one request; false ends the connection.
async fn serve_next<S: Serve>(wire: &Rc<Wire>, caller: SocketAddr, shared: &Shared<S>) -> bool {
    let bounds = shared.limits.bounds();
    let head = match read_head(wire, &bounds, shared.closing.told()).await {
        Ok(head) => head,
        Err(unread) => return refuse(wire, &unread).await,
    };
    let framing = match Framing::of(&head) {
        Ok(framing) => framing,
        Err(_) => return refuse(wire, &Unread::Body).await,
    };
    let until = Instant::now() + shared.limits.body_timeout.to_duration();
    let body = match read_body(wire, &head, framing, bounds.body, until).await {
        Ok(body) => body,
        Err(unread) => return refuse(wire, &unread).await,
    };
    let Some(parts) = Parts::of(&head) else {
        return refuse(wire, &Unread::Body).await;
    };
    let keeps_alive = head.keeps_alive() && head.is_http11 && !shared.closing.is_told();
    let responder = Responder::new(
        Rc::clone(wire),
        Answering {
            keeps_alive,
            is_http11: head.is_http11,
            is_head_only: parts.method == Method::HEAD,
            patience: shared.limits.write_timeout.to_duration(),
        },
    );
    let req = Request {
        method: parts.method,
        path: parts.path,
        query: parts.query,
        headers: head.to_map(),
        body,
        caller,
        responder: responder.clone(),
    };
    serve_watched(wire, &shared.serve, req, &responder).await;
    match responder.stage() {
        Stage::Whole => keeps_alive && !responder.is_gone(),
        Stage::Begun => false,
        Stage::Nothing => {
            // Guards against a false "not run": whoever served the request is gone without a
            // word, and may have sent it to an upstream before.
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            tell(&responder, status, LOST, RunState::Unknown).await;
            false
        }
    }
}

/// Serves a request to its end, and tells the responder when the caller leaves meanwhile.
async fn serve_watched<S: Serve>(wire: &Wire, serve: &S, req: Request, responder: &Responder) {
    let gone = async {
        wire.closed(MAX_PIPELINED).await;
        responder.set_gone();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        biased;
        () = serve.serve(req) => {}
        () = gone => {}
    }
}

/// A request's line, taken apart.
struct Parts {
    method: Method,
    path: String,
    query: String,
}

impl Parts {
    fn of(head: &WireHead) -> Option<Self> {
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

/// The path of a target that names the host as well, as callers behind a proxy send it.
fn without_authority(path: &str) -> &str {
    let Some(rest) = path.strip_prefix("http://") else {
        return path;
    };
    rest.find('/').map_or("/", |at| &rest[at..])
}

/// Answers a request that was not read; the connection ends.
async fn refuse(wire: &Rc<Wire>, unread: &Unread) -> bool {
    let status = match unread {
        Unread::Closed => return false,
        Unread::Head(HeadError::Malformed(_)) | Unread::Body => StatusCode::BAD_REQUEST,
        Unread::Head(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        Unread::HeadTooSlow | Unread::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
        Unread::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
    };
    let answering = Answering {
        keeps_alive: false,
        is_http11: true,
        is_head_only: false,
        patience: LINGER,
    };
    let responder = Responder::new(Rc::clone(wire), answering);
    tell(&responder, status, &unread.to_string(), RunState::No).await;
    false
}

/// An error in the published shape.
async fn tell(responder: &Responder, status: StatusCode, message: &str, run: RunState) {
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
    // A caller that is gone needs no answer.
    let _ = responder
        .answer(Head { status, headers }, Bytes::from(body.to_string()))
        .await;
}
