//! Calls over HTTP to one of several endpoints, tried in turn.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use attohttpc::{PreparedRequest, ProxySettings, RequestBuilder, Response};
use keyvalue::{CallError, Outcome, Request};
use types::prelude::{ByteSize, Span};

use crate::etcd::body::TrackedBody;
use crate::etcd::{decode, encode, stream};
use crate::{Sink, Store, Watch, WatchEnd};

/// Addresses of the service, and timeouts.
#[derive(Debug, Clone)]
pub struct Config {
    /// Addresses of the gateway, tried in turn.
    pub endpoints: Vec<SocketAddr>,
    /// Timeout of a connect.
    pub connect_timeout: Span,
    /// Timeout of a whole call at one endpoint.
    pub call_timeout: Span,
    /// Time without data after which a watch ends as idle.
    pub watch_idle: Span,
    /// Maximum size of a reply, and of a line of a watch.
    pub max_reply: ByteSize,
}

impl Config {
    /// Creates a configuration with default timeouts for these addresses.
    #[must_use]
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            endpoints,
            connect_timeout: Span::from_millis(500),
            call_timeout: Span::from_secs(2),
            watch_idle: Span::from_secs(20),
            max_reply: ByteSize(16 << 20),
        }
    }
}

/// Why a client cannot be created.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EtcdError {
    /// The settings contain no address.
    #[error("the key-value service has no endpoint; give at least one ip:port")]
    NoEndpoint,
}

/// A client of the etcd v3 JSON gateway. Each call opens its own connection.
#[derive(Debug)]
pub struct EtcdClient {
    cfg: Config,
    /// Index of the endpoint to try first: the one that answered last, or the one after an
    /// endpoint that failed.
    preferred_index: AtomicUsize,
}

impl EtcdClient {
    /// Creates a client without connecting.
    ///
    /// # Errors
    /// If the configuration has no endpoint.
    pub fn new(cfg: Config) -> Result<Self, EtcdError> {
        if cfg.endpoints.is_empty() {
            return Err(EtcdError::NoEndpoint);
        }
        Ok(Self {
            cfg,
            preferred_index: AtomicUsize::new(0),
        })
    }

    /// Returns the endpoints with their indices, starting with the preferred one.
    fn endpoints(&self) -> impl Iterator<Item = (usize, SocketAddr)> + '_ {
        let first = self.preferred_index.load(Ordering::Relaxed);
        let count = self.cfg.endpoints.len();
        let indices = (0..count).map(move |offset| (first + offset) % count);
        indices.map(|index| (index, self.cfg.endpoints[index]))
    }

    fn call_at(&self, endpoint: SocketAddr, req: &Request) -> Outcome {
        let (path, body) = encode::request(req);
        let has_started = Arc::new(AtomicBool::new(false));
        let builder = self.post(endpoint, path);
        let builder = builder
            .read_timeout(self.cfg.call_timeout.to_duration())
            .timeout(self.cfg.call_timeout.to_duration());
        let body = TrackedBody::new(body.to_string().into_bytes(), has_started.clone());
        let sent = prepare(builder, body).and_then(|mut ready| ready.send());
        let answer = sent.map_err(|e| error_for(&has_started, &format!("{endpoint}: {e}")))?;
        let status = answer.status().as_u16();
        let body = read_bounded(answer, self.cfg.max_reply)
            .map_err(|e| CallError::Unknown(format!("{endpoint}: reply broke off: {e}")))?;
        decode::reply(req, status, &body)
    }

    fn post(&self, endpoint: SocketAddr, path: &str) -> RequestBuilder {
        attohttpc::post(format!("http://{endpoint}{path}"))
            .connect_timeout(self.cfg.connect_timeout.to_duration())
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
    }

    fn watch_at(&self, endpoint: SocketAddr, watch: &Watch, sink: &mut Sink<'_>) -> WatchEnd {
        let body = encode::watch(&watch.prefix, watch.from).to_string();
        let builder = self.post(endpoint, "/v3/watch");
        let builder = builder.read_timeout(self.cfg.watch_idle.to_duration());
        let has_started = Arc::new(AtomicBool::new(false));
        let body = TrackedBody::new(body.into_bytes(), has_started);
        match prepare(builder, body).and_then(|mut ready| ready.send()) {
            Ok(answer) => stream::follow(answer, watch, sink, self.cfg.max_reply),
            Err(e) => WatchEnd::Broken(format!("{endpoint}: {e}")),
        }
    }
}

impl Store for EtcdClient {
    fn call(&self, req: Request) -> Outcome {
        let is_read = matches!(req, Request::Range(_));
        let mut last = Err(CallError::NotSent("no endpoint".to_owned()));
        for (index, endpoint) in self.endpoints() {
            last = self.call_at(endpoint, &req);
            match &last {
                Err(CallError::NotSent(_)) => {}
                // A read can be retried elsewhere; a write may have taken effect and must not be sent twice.
                Err(CallError::Unknown(_)) if is_read => {}
                Ok(_) => {
                    self.preferred_index.store(index, Ordering::Relaxed);
                    return last;
                }
                Err(_) => {
                    let next = (index + 1) % self.cfg.endpoints.len();
                    self.preferred_index.store(next, Ordering::Relaxed);
                    return last;
                }
            }
        }
        last
    }

    fn watch(&self, watch: &Watch, sink: &mut Sink<'_>) -> WatchEnd {
        let mut end = WatchEnd::Stopped;
        for (_, endpoint) in self.endpoints() {
            if watch.is_stopped() {
                return WatchEnd::Stopped;
            }
            end = self.watch_at(endpoint, watch, sink);
            if !matches!(end, WatchEnd::Closed(_) | WatchEnd::Broken(_)) {
                return end;
            }
            tracing::debug!("store: watch at {endpoint} ended: {end:?}");
        }
        end
    }
}

fn prepare(
    builder: RequestBuilder,
    body: TrackedBody,
) -> Result<PreparedRequest<TrackedBody>, attohttpc::Error> {
    builder.body(body).try_prepare()
}

fn error_for(has_started: &AtomicBool, text: &str) -> CallError {
    if has_started.load(Ordering::Relaxed) {
        CallError::Unknown(text.to_owned())
    } else {
        CallError::NotSent(text.to_owned())
    }
}

/// Reads the whole body; fails if it is longer than `max`.
fn read_bounded(answer: Response, max: ByteSize) -> io::Result<Vec<u8>> {
    let (_, _, reader) = answer.split();
    let mut body = Vec::new();
    reader.take(max.0 + 1).read_to_end(&mut body)?;
    if body.len() > max.as_usize() {
        return Err(io::Error::other(format!("longer than {max}")));
    }
    Ok(body)
}
