//! One HTTP request and its response: connection reuse, timeouts, and what a failure shows.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use http1::write::{push_field, push_length, push_map};
use http1::{
    BodyReader, Head, MAX_IDLE_PER_UPSTREAM, Pool, Progress, ResponseError, Wire, WireOptions,
    connect, read_response_head,
};
use tokio::time::{Instant, timeout_at};
use types::prelude::*;

use crate::error::{AttemptError, FailureCause};

/// Longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Shortest time between two removals of expired connections from the pool. Checked when a
/// connection is returned.
const PURGE_INTERVAL: Span = Span::from_secs(1);
/// A connection is dead if its peer stays silent for 5 s while bytes are unacknowledged.
const WIRE_OPTIONS: WireOptions = WireOptions {
    user_timeout: Duration::from_secs(5),
    keepalive: Duration::from_secs(5),
};

/// Settings of a [`Client`].
#[derive(Debug, Clone)]
pub struct ClientConfig {
    /// Longest wait for a new connection.
    pub connect_timeout: Span,
    /// Largest body of an answer that is not streamed.
    pub max_answer: ByteSize,
    /// Largest event of an event stream.
    pub max_event: ByteSize,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Span::from_secs(1),
            max_answer: ByteSize(8 << 20),
            max_event: ByteSize(256 << 10),
        }
    }
}

/// Sends requests to upstreams from one event loop. Cheap to clone; clones share the
/// connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    pub(crate) cfg: ClientConfig,
    clock: Clock,
    idle: Rc<RefCell<IdleConnections>>,
}

/// Connections whose last response was read completely and that may be reused.
#[derive(Debug, Default)]
struct IdleConnections {
    pool: Pool<SocketAddr>,
    purged_at: Time,
}

impl Default for Client {
    fn default() -> Self {
        Self::new(ClientConfig::default())
    }
}

impl Client {
    /// Creates a client with these settings and an empty connection pool.
    #[must_use]
    pub fn new(cfg: ClientConfig) -> Self {
        Self {
            cfg,
            clock: Clock::new(),
            idle: Rc::default(),
        }
    }

    /// Sends one request and reads the head of its response.
    pub(crate) async fn send(&self, call: &Call<'_>) -> Result<Response, AttemptError> {
        let bytes = call.encode();
        if let Some(wire) = self.take_idle(call) {
            match self.send_on(wire, &bytes, call).await {
                // The upstream may have closed the idle connection while the request was on its
                // way. It is healthy and the work may run again, so use a new connection.
                Err(AttemptError::Unknown(FailureCause::Closed)) => {}
                done => return done,
            }
        }
        let wire = self.open(call).await?;
        self.send_on(wire, &bytes, call).await
    }

    /// Takes an idle connection, only for work that may run more than once: if the connection
    /// breaks, the upstream may have closed it earlier or may have read the request.
    fn take_idle(&self, call: &Call<'_>) -> Option<Wire> {
        if call.reuse != Reuse::Allowed {
            return None;
        }
        let now = self.clock.now();
        self.idle.borrow_mut().pool.take(now, call.upstream)
    }

    async fn open(&self, call: &Call<'_>) -> Result<Wire, AttemptError> {
        let until = call
            .expires_at
            .min(Instant::now() + self.cfg.connect_timeout.to_duration());
        match timeout_at(until, connect(call.upstream, None, WIRE_OPTIONS)).await {
            Ok(Ok(wire)) => Ok(wire),
            Ok(Err(e)) => Err(AttemptError::NotSent(e.to_string())),
            Err(_) => Err(AttemptError::NotSent("no connection in time".to_owned())),
        }
    }

    async fn send_on(
        &self,
        wire: Wire,
        bytes: &[u8],
        call: &Call<'_>,
    ) -> Result<Response, AttemptError> {
        let exchange = async {
            wire.write_all(bytes).await?;
            read_response_head(&wire, MAX_HEAD_BYTES).await
        };
        let until = call.expires_at.min(Instant::now() + call.read_timeout);
        let exchanged = timeout_at(until, exchange).await;
        let exchanged = exchanged.map_err(|_| AttemptError::Unknown(FailureCause::TimedOut))?;
        let (head, framing) = exchanged.map_err(|e| AttemptError::Unknown(classify(&e)))?;
        let is_head_only = call.method == Method::HEAD;
        let framing = if is_head_only {
            http1::Framing::Empty
        } else {
            framing
        };
        Ok(Response {
            status: head.status(),
            headers: head.to_map(),
            head,
            wire,
            reader: BodyReader::new(framing),
            expires_at: call.expires_at,
            read_timeout: call.read_timeout,
            upstream: call.upstream,
        })
    }

    /// Returns the connection of a completely read response to the pool.
    pub(crate) fn recycle(&self, response: Response) {
        let is_reusable = response.reader.is_done();
        if !is_reusable {
            return;
        }
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        if now.since(idle.purged_at) > PURGE_INTERVAL {
            idle.purged_at = now;
            idle.pool.purge(now, |_| true);
        }
        let (upstream, wire) = (response.upstream, response.wire);
        idle.pool
            .put(now, upstream, wire, &response.head, MAX_IDLE_PER_UPSTREAM);
    }
}

/// Whether a request may be sent on a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// It may, and is retried on a new connection if the pooled one was closed.
    Allowed,
    /// It is sent on a new connection.
    Never,
}

/// One request to send.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    pub(crate) upstream: SocketAddr,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: &'a str,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Longest wait for the head, and for each further read of the body.
    pub(crate) read_timeout: Duration,
    /// Time by which the complete response must have been read.
    pub(crate) expires_at: Instant,
    pub(crate) reuse: Reuse,
}

impl Call<'_> {
    fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(512 + self.body.len());
        out.extend_from_slice(self.method.as_str().as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.path.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        push_field(&mut out, "Host", self.upstream.to_string().as_bytes());
        push_map(&mut out, &self.headers);
        push_length(&mut out, self.body.len());
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}

/// A response whose head was read.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    head: Head,
    wire: Wire,
    reader: BodyReader,
    expires_at: Instant,
    read_timeout: Duration,
    upstream: SocketAddr,
}

impl Response {
    /// Waits for the next bytes of the body; `None` at its end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, FailureCause> {
        loop {
            let progress = self.reader.read(&mut self.wire.buf());
            let progress = progress.map_err(|e| FailureCause::Malformed(e.to_string()))?;
            match progress {
                Progress::Done => return Ok(None),
                Progress::Data(data) => return Ok(Some(data)),
                Progress::NeedMore => {
                    let until = self.expires_at.min(Instant::now() + self.read_timeout);
                    let filled = timeout_at(until, self.wire.fill()).await;
                    match filled.map_err(|_| FailureCause::TimedOut)? {
                        Ok(0) if self.reader.ends_with_connection() => {
                            let taken = timeout_at(until, self.wire.acknowledged()).await;
                            let taken = taken.map_err(|_| FailureCause::TimedOut)?;
                            return taken.map(|()| None).map_err(|_| FailureCause::Closed);
                        }
                        Ok(0) | Err(_) => return Err(FailureCause::Closed),
                        Ok(_) => {}
                    }
                }
            }
        }
    }

    /// Reads the rest of the body, at most `max` bytes.
    pub(crate) async fn read_body(&mut self, max: ByteSize) -> Result<Bytes, FailureCause> {
        let mut body = bytes::BytesMut::new();
        while let Some(data) = self.next().await? {
            body.extend_from_slice(&data);
            if body.len() as u64 > max.0 {
                return Err(FailureCause::TooLarge(max));
            }
        }
        Ok(body.freeze())
    }

    /// Consumes the end of the body if it has already arrived.
    pub(crate) fn consume_end(&mut self) {
        // After an error, or if more than the end has arrived, the body is not done and the
        // connection is not reused.
        let _ = self.reader.read(&mut self.wire.buf());
    }
}

fn classify(error: &ResponseError) -> FailureCause {
    match error {
        ResponseError::Io(_) | ResponseError::Closed => FailureCause::Closed,
        other => FailureCause::Malformed(other.to_string()),
    }
}

/// The instant that lies `span` after now.
pub(crate) fn instant_after(span: Span) -> Instant {
    Instant::now() + span.to_duration()
}

/// An engine's load, sent in the `x-engine-load` header as `running/slots/waiting`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

impl EngineLoad {
    /// Parses the `x-engine-load` header, if it is present and valid.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get("x-engine-load")?.to_str().ok()?;
        let mut parts = text.split('/').map(str::parse);
        let load = Self {
            running: parts.next()?.ok()?,
            slots: parts.next()?.ok()?,
            waiting: parts.next()?.ok()?,
        };
        parts.next().is_none().then_some(load)
    }
}

/// Parses the seconds of a `Retry-After` header.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Span> {
    let text = headers.get("retry-after")?.to_str().ok()?;
    text.parse().ok().map(Span::from_secs)
}
