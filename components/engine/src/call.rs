//! One HTTP call: what is known when it fails, and the connection that it leaves.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use http1::write::{push_field, push_length, push_map};
use http1::{
    BodyReader, Head, Pool, Progress, ResponseError, Wire, WireOptions, connect, read_response_head,
};
use tokio::time::{Instant, timeout_at};
use types::prelude::*;

use crate::error::{AttemptError, Doubt};

/// Longest head of an answer.
const MAX_HEAD: usize = 16 << 10;
/// Old kept connections are closed this often, when a new one is kept.
const TIDY: Span = Span::from_secs(1);
/// Connections that are silent this long while bytes are out are dead.
const WIRE: WireOptions = WireOptions {
    user_timeout: Duration::from_secs(5),
    keepalive: Duration::from_secs(5),
};

/// How upstreams are called.
#[derive(Debug, Clone)]
pub struct ClientConfig {
    /// Longest wait for a connection.
    pub connect_timeout: Span,
    /// Largest whole answer.
    pub max_answer: ByteSize,
    /// Largest event of a stream.
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

/// Calls upstreams from one event loop. Cheap to clone; the clones share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    pub(crate) cfg: ClientConfig,
    clock: Clock,
    kept: Rc<RefCell<Kept>>,
}

/// Connections that answered whole and may be used again.
#[derive(Debug, Default)]
struct Kept {
    pool: Pool<SocketAddr>,
    tidied_at: Time,
}

impl Default for Client {
    fn default() -> Self {
        Self::new(ClientConfig::default())
    }
}

impl Client {
    /// A client with these settings.
    #[must_use]
    pub fn new(cfg: ClientConfig) -> Self {
        Self {
            cfg,
            clock: Clock::new(),
            kept: Rc::default(),
        }
    }

    /// Sends one request and reads the head of its answer.
    pub(crate) async fn send(&self, call: &Call<'_>) -> Result<Answering, AttemptError> {
        let bytes = call.encode();
        if let Some(wire) = self.kept(call) {
            match self.send_on(wire, &bytes, call).await {
                // Guards against an upstream that closed an idle connection as the request was
                // on its way: nothing is wrong with it, and the work may run again.
                Err(AttemptError::Unknown(Doubt::Closed)) => {}
                done => return done,
            }
        }
        let wire = self.open(call).await?;
        self.send_on(wire, &bytes, call).await
    }

    /// A kept connection, for work that may run again: one that breaks may have lost its
    /// other end before, or may have been read.
    fn kept(&self, call: &Call<'_>) -> Option<Wire> {
        if call.reuse != Reuse::Allowed {
            return None;
        }
        let now = self.clock.now();
        self.kept.borrow_mut().pool.take(now, call.upstream)
    }

    async fn open(&self, call: &Call<'_>) -> Result<Wire, AttemptError> {
        let until = call
            .ends
            .min(Instant::now() + self.cfg.connect_timeout.to_duration());
        match timeout_at(until, connect(call.upstream, WIRE)).await {
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
    ) -> Result<Answering, AttemptError> {
        let exchange = async {
            wire.write_all(bytes).await?;
            read_response_head(&wire, MAX_HEAD).await
        };
        let until = call.ends.min(Instant::now() + call.read_timeout);
        let answered = timeout_at(until, exchange).await;
        let answered = answered.map_err(|_| AttemptError::Unknown(Doubt::TimedOut))?;
        let (head, framing) = answered.map_err(|e| AttemptError::Unknown(doubt_of(&e)))?;
        let is_head_only = call.method == Method::HEAD;
        let framing = if is_head_only {
            http1::Framing::Empty
        } else {
            framing
        };
        Ok(Answering {
            status: head.status(),
            headers: head.to_map(),
            head,
            wire,
            reader: BodyReader::new(framing),
            ends: call.ends,
            read_timeout: call.read_timeout,
            upstream: call.upstream,
        })
    }

    /// Keeps the connection of an answer that was read whole.
    pub(crate) fn keep(&self, answering: Answering) {
        let is_reusable = answering.reader.is_done();
        if !is_reusable {
            return;
        }
        let now = self.clock.now();
        let mut kept = self.kept.borrow_mut();
        if now.since(kept.tidied_at) > TIDY {
            kept.tidied_at = now;
            kept.pool.tidy(now, |_| true);
        }
        kept.pool
            .keep(now, answering.upstream, answering.wire, &answering.head);
    }
}

/// Whether a call may go out on a connection that was used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// It may, and once more on a new one if that was closed.
    Allowed,
    /// It gets a connection of its own.
    Never,
}

/// One request as it is sent.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    pub(crate) upstream: SocketAddr,
    pub(crate) method: Method,
    /// With its query.
    pub(crate) path: &'a str,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Longest wait for the head and between bytes.
    pub(crate) read_timeout: Duration,
    /// When all of it is over.
    pub(crate) ends: Instant,
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

/// An answer whose head was read.
#[derive(Debug)]
pub(crate) struct Answering {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    head: Head,
    wire: Wire,
    reader: BodyReader,
    ends: Instant,
    read_timeout: Duration,
    upstream: SocketAddr,
}

impl Answering {
    /// The next bytes of the body; nothing at its end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Doubt> {
        loop {
            let progress = self.reader.read(&mut self.wire.buf());
            let progress = progress.map_err(|e| Doubt::Malformed(e.to_string()))?;
            match progress {
                Progress::Done => return Ok(None),
                Progress::Data(data) => return Ok(Some(data)),
                Progress::NeedMore => {
                    let until = self.ends.min(Instant::now() + self.read_timeout);
                    let filled = timeout_at(until, self.wire.fill()).await;
                    match filled.map_err(|_| Doubt::TimedOut)? {
                        Ok(0) if self.reader.ends_with_connection() => return Ok(None),
                        Ok(0) | Err(_) => return Err(Doubt::Closed),
                        Ok(_) => {}
                    }
                }
            }
        }
    }

    /// The rest of the body, bounded in size and time.
    pub(crate) async fn whole(&mut self, max: ByteSize) -> Result<Bytes, Doubt> {
        let mut body = bytes::BytesMut::new();
        while let Some(data) = self.next().await? {
            body.extend_from_slice(&data);
            if body.len() as u64 > max.0 {
                return Err(Doubt::TooLarge(max));
            }
        }
        Ok(body.freeze())
    }

    /// Takes the body's end if it is there already.
    pub(crate) fn take_end(&mut self) {
        // What cannot be read, or is more than the end, leaves the connection unfit for use.
        let _ = self.reader.read(&mut self.wire.buf());
    }
}

fn doubt_of(error: &ResponseError) -> Doubt {
    match error {
        ResponseError::Io(_) | ResponseError::Closed => Doubt::Closed,
        other => Doubt::Malformed(other.to_string()),
    }
}

/// When a span from now ends.
pub(crate) fn ends(span: Span) -> Instant {
    Instant::now() + span.to_duration()
}

/// A load report in its short form, `running/slots/waiting`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Requests that wait.
    pub waiting: u32,
}

impl EngineLoad {
    /// From an answer's headers.
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

/// Seconds of `Retry-After`.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Span> {
    let text = headers.get("retry-after")?.to_str().ok()?;
    text.parse().ok().map(Span::from_secs)
}
