//! One HTTP call: settings that keep it single, and what is known when it fails.

use std::cell::Cell;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::body::{Body, BodyKind};
use attohttpc::header::HeaderMap;
use attohttpc::{ErrorKind, Method, ProxySettings, RequestBuilder, Response};
use bytes::Bytes;
use types::prelude::*;

use crate::error::{AttemptError, Doubt};

/// Shortest timeout of a socket; the system refuses none at all.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
/// Bodies above this may fill the socket's buffers, so that writing them can block.
const BLOCKING_BODY_BYTES: usize = 64 << 10;

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

/// Calls upstreams. Cheap to clone; holds no connection.
#[derive(Debug, Clone, Default)]
pub struct Client {
    pub(crate) cfg: ClientConfig,
}

impl Client {
    /// A client with these settings.
    #[must_use]
    pub fn new(cfg: ClientConfig) -> Self {
        Self { cfg }
    }

    /// Sends one request and reads the head of its answer.
    pub(crate) fn send(&self, call: &Call<'_>) -> Result<Response, AttemptError> {
        let url = format!("http://{}{}", call.upstream, call.path);
        let not_sent = |e: attohttpc::Error| AttemptError::NotSent(e.to_string());
        let builder = RequestBuilder::try_new(call.method.clone(), url).map_err(not_sent)?;
        let is_written = Cell::new(false);
        let body = MarkedBody {
            bytes: &call.body,
            is_written: &is_written,
        };
        let mut builder = self.configured(builder, call);
        for (name, value) in &call.headers {
            builder = builder.header_append(name.clone(), value.clone());
        }
        let mut request = builder.body(body).try_prepare().map_err(not_sent)?;
        request.send().map_err(|e| match is_written.get() {
            // Guard: a false "not run" shows as a doubled effect after a retry. The mark
            // is set by the first write, which attohttpc makes only on a connection.
            false => AttemptError::NotSent(e.to_string()),
            true => AttemptError::Unknown(doubt_of(&e)),
        })
    }

    /// Guards against a request that is sent twice or elsewhere: attohttpc would follow a
    /// redirect with the same body, and take a proxy from the environment.
    fn configured(&self, builder: RequestBuilder, call: &Call<'_>) -> RequestBuilder {
        let deadline = call.deadline.max(MIN_TIMEOUT);
        let connect = self.cfg.connect_timeout.to_duration();
        let builder = builder
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(connect.min(deadline).max(MIN_TIMEOUT))
            .read_timeout(call.read_timeout.min(deadline).max(MIN_TIMEOUT));
        // attohttpc has no write timeout; its timeout for the whole call costs a thread
        // and is only set where an upstream that does not read could block us.
        if call.body.len() > BLOCKING_BODY_BYTES {
            builder.timeout(deadline)
        } else {
            builder
        }
    }
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
    /// Longest time for all of it.
    pub(crate) deadline: Duration,
}

/// A body that notes when it is written.
struct MarkedBody<'a> {
    bytes: &'a Bytes,
    is_written: &'a Cell<bool>,
}

impl Body for MarkedBody<'_> {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.is_written.set(true);
        writer.write_all(self.bytes)
    }
}

/// The doubt that an error of attohttpc leaves.
pub(crate) fn doubt_of(error: &attohttpc::Error) -> Doubt {
    match error.kind() {
        ErrorKind::Io(e) => doubt_of_io(e),
        _ => Doubt::Malformed(error.to_string()),
    }
}

/// The doubt that an error of a connection leaves.
pub(crate) fn doubt_of_io(error: &io::Error) -> Doubt {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Doubt::TimedOut,
        io::ErrorKind::Other | io::ErrorKind::InvalidData => Doubt::Malformed(error.to_string()),
        _ => Doubt::Closed,
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
