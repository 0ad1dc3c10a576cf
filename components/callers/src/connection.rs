//! One connection: its requests one after another.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use types::prelude::*;

use crate::answer::{Gone, Responder};
use crate::{Request, Serve};

const LOST: &str = "the answer was lost inside the daemon";
/// Most headers of a request.
const MAX_HEADERS: usize = 64;

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

type AnyBody = BoxBody<Bytes, Gone>;

/// Serves a connection until it ends, is idle too long, or `closing` is told.
pub(crate) async fn run(
    stream: TcpStream,
    caller: SocketAddr,
    limits: Limits,
    serve: Arc<dyn Serve>,
    closing: flume::Receiver<()>,
) {
    let (stuck, stuck_rx) = flume::bounded(1);
    let service = service_fn(move |req| {
        let serve = serve.clone();
        let stuck = stuck.clone();
        async move { Ok::<_, Infallible>(answer(req, caller, limits, &*serve, stuck).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.to_duration())
        .max_buf_size(limits.head.as_usize())
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing_seen = false;
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = stuck_rx.recv_async() => return,
            _ = closing.recv_async(), if !closing_seen => {
                closing_seen = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn answer(
    req: hyper::Request<Incoming>,
    caller: SocketAddr,
    limits: Limits,
    serve: &dyn Serve,
    stuck: flume::Sender<()>,
) -> Response<AnyBody> {
    let (parts, body) = req.into_parts();
    let read = tokio::time::timeout(
        limits.body_timeout.to_duration(),
        read_body(body, limits.body),
    );
    let body = match read.await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return refusal(error.status(), error.message()),
        Err(_) => return refusal(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    };
    let (responder, reader) = Responder::new(stuck, limits.write_timeout.to_duration());
    serve.serve(Request {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
        caller,
        responder,
    });
    let Some(head) = reader.head().await else {
        // Guards against a false "not run": whoever served the request is gone without a
        // word, and may have sent it to an upstream before.
        return told(StatusCode::INTERNAL_SERVER_ERROR, LOST, RunState::Unknown);
    };
    let mut response = Response::new(BodyExt::boxed(reader.into_body()));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

enum BodyError {
    TooLong,
    Broken,
}

impl BodyError {
    fn status(&self) -> StatusCode {
        match self {
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Broken => StatusCode::BAD_REQUEST,
        }
    }

    fn message(&self) -> &'static str {
        match self {
            Self::TooLong => "the body is longer than this daemon takes",
            Self::Broken => "the body ended early or is malformed",
        }
    }
}

async fn read_body(mut body: Incoming, bound: ByteSize) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > bound.0 {
        return Err(BodyError::TooLong);
    }
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > bound.as_usize() {
            return Err(BodyError::TooLong);
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}

/// An error of the request itself; nothing of it has run.
fn refusal(status: StatusCode, message: &str) -> Response<AnyBody> {
    told(status, message, RunState::No)
}

/// An error in the published shape.
fn told(status: StatusCode, message: &str, run: RunState) -> Response<AnyBody> {
    let (kind, code) = match run {
        RunState::No => ("invalid_request_error", "bad_request"),
        RunState::Unknown | RunState::Yes => ("server_error", "answer_lost"),
    };
    let body = format!(
        "{{\"error\":{{\"message\":\"{message}\",\"type\":\"{kind}\",\
         \"param\":null,\"code\":\"{code}\",\"run\":\"{run}\"}}}}"
    );
    let full = Full::new(Bytes::from(body)).map_err(|never| match never {});
    let mut response = Response::new(BodyExt::boxed(full));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert("connection", HeaderValue::from_static("close"));
    if let Ok(run) = HeaderValue::from_str(&run.to_string()) {
        headers.insert("x-run", run);
    }
    response
}
