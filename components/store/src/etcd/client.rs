//! Calls over HTTP, several endpoints tried in turn.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use attohttpc::{PreparedRequest, ProxySettings, RequestBuilder, Response};
use keyvalue::{CallError, Outcome, Request};
use types::prelude::{ByteSize, Span};

use crate::etcd::body::MarkedBody;
use crate::etcd::{decode, encode, stream};
use crate::{Sink, Store, Watch, WatchEnd};

/// Where the service is and how long to wait for it.
#[derive(Debug, Clone)]
pub struct Config {
    /// Addresses of the gateway, tried in turn.
    pub endpoints: Vec<SocketAddr>,
    /// Longest wait for a connection.
    pub connect_timeout: Span,
    /// Longest wait for a whole call at one endpoint.
    pub call_timeout: Span,
    /// Longest silence of a watch before it is begun anew.
    pub watch_idle: Span,
    /// Longest reply, and longest line of a watch.
    pub max_reply: ByteSize,
}

impl Config {
    /// The defaults for these addresses.
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

/// Why a client cannot be made.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EtcdError {
    /// Settings name no address.
    #[error("the key-value service has no endpoint; give at least one ip:port")]
    NoEndpoint,
}

/// A client of the etcd v3 JSON gateway. Each call has a connection of its own.
#[derive(Debug)]
pub struct EtcdClient {
    cfg: Config,
    /// The endpoint that answered last.
    preferred: AtomicUsize,
}

impl EtcdClient {
    /// Makes a client; nothing is sent yet.
    ///
    /// # Errors
    /// When there is no endpoint.
    pub fn new(cfg: Config) -> Result<Self, EtcdError> {
        if cfg.endpoints.is_empty() {
            return Err(EtcdError::NoEndpoint);
        }
        Ok(Self {
            cfg,
            preferred: AtomicUsize::new(0),
        })
    }

    /// Endpoints with their places, the one that answered last first.
    fn endpoints(&self) -> impl Iterator<Item = (usize, SocketAddr)> + '_ {
        let first = self.preferred.load(Ordering::Relaxed);
        let count = self.cfg.endpoints.len();
        let places = (0..count).map(move |step| (first + step) % count);
        places.map(|place| (place, self.cfg.endpoints[place]))
    }

    fn call_at(&self, endpoint: SocketAddr, req: &Request) -> Outcome {
        let (path, body) = encode::request(req);
        let begun = Arc::new(AtomicBool::new(false));
        let builder = self.post(endpoint, path);
        let builder = builder
            .read_timeout(self.cfg.call_timeout.to_duration())
            .timeout(self.cfg.call_timeout.to_duration());
        let body = MarkedBody::new(body.to_string().into_bytes(), begun.clone());
        let sent = prepare(builder, body).and_then(|mut ready| ready.send());
        let answer = sent.map_err(|e| classify(&begun, &format!("{endpoint}: {e}")))?;
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
        let begun = Arc::new(AtomicBool::new(false));
        let body = MarkedBody::new(body.into_bytes(), begun);
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
        for (place, endpoint) in self.endpoints() {
            last = self.call_at(endpoint, &req);
            match &last {
                Err(CallError::NotSent(_)) => {}
                // A read may go elsewhere; a write may have happened and must not be sent twice.
                Err(CallError::Unknown(_)) if is_read => {}
                Ok(_) => {
                    self.preferred.store(place, Ordering::Relaxed);
                    return last;
                }
                Err(_) => {
                    let next = (place + 1) % self.cfg.endpoints.len();
                    self.preferred.store(next, Ordering::Relaxed);
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
            if !matches!(end, WatchEnd::Broken(_)) {
                return end;
            }
            tracing::debug!("store: watch at {endpoint} broke off: {end:?}");
        }
        end
    }
}

fn prepare(
    builder: RequestBuilder,
    body: MarkedBody,
) -> Result<PreparedRequest<MarkedBody>, attohttpc::Error> {
    builder.body(body).try_prepare()
}

fn classify(begun: &AtomicBool, text: &str) -> CallError {
    if begun.load(Ordering::Relaxed) {
        CallError::Unknown(text.to_owned())
    } else {
        CallError::NotSent(text.to_owned())
    }
}

/// The whole body, or an error past `max`.
fn read_bounded(answer: Response, max: ByteSize) -> io::Result<Vec<u8>> {
    let (_, _, reader) = answer.split();
    let mut body = Vec::new();
    reader.take(max.0 + 1).read_to_end(&mut body)?;
    if body.len() > max.as_usize() {
        return Err(io::Error::other(format!("longer than {max}")));
    }
    Ok(body)
}
