//! Opening connections to upstreams: directly, or through a peer where the path is lost.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use dispatch::{DirectFailure, Path, UpstreamIndex};
use http1::{Head, MAX_IDLE_PER_UPSTREAM, Wire, WireOptions, connect, max_idle};
use routes::Upstream;
use tokio::time::timeout;
use types::prelude::*;

use crate::shared::Shared;
use crate::tunnel::client::{Connection, TunnelFailure};

/// A live upstream accepts a connection within milliseconds; one behind a network partition never
/// answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a peer is asked while a direct connection is still being opened.
const PEER_DELAY: Duration = Duration::from_millis(100);
/// Time within which all connections of a program that crashes are closed.
const CLOSE_DELAY: Duration = Duration::from_millis(10);
/// Interval at which a lost path is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// An upstream's connection is closed when sent bytes, or keep-alive probes, stay unacknowledged for
/// this long. A sound upstream may be silent for a second or two.
const UPSTREAM_WIRE: WireOptions = WireOptions {
    user_timeout: Duration::from_secs(3),
    keepalive: Duration::from_secs(1),
};

/// Why no connection was opened. Nothing was sent to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// The upstream refuses connections: its program has stopped.
    Refused,
    /// Neither this daemon nor a peer reached the upstream.
    Unreachable,
}

impl ConnectFailure {
    fn of(direct: DirectFailure) -> Self {
        match direct {
            DirectFailure::Reset => Self::Refused,
            DirectFailure::TimedOut => Self::Unreachable,
        }
    }
}

impl<T> Shared<T> {
    /// Connects to an upstream. A peer is asked when the direct connection fails or takes long, and
    /// at once where the path is known to be lost.
    pub(crate) async fn connect_upstream(
        self: &Rc<Self>,
        index: UpstreamIndex,
        spec: &Upstream,
    ) -> Result<Connection<T>, ConnectFailure> {
        let may_ask_peers = self.may_ask_peers(index);
        let path = self.paths.borrow().path(index, &spec.service);
        if may_ask_peers && path == Path::Direct {
            return self.connect_with_fallback(index, spec).await;
        }
        let asked_at = self.now();
        if may_ask_peers && let Ok(connection) = self.open_tunnel(spec).await {
            self.note_lost(index, spec, DirectFailure::TimedOut, asked_at);
            return Ok(connection);
        }
        match self.connect_directly(spec.address).await {
            Ok(wire) => Ok(self.direct(index, spec, wire)),
            Err(failure) => {
                if may_ask_peers {
                    self.note_unreached(index);
                }
                Err(ConnectFailure::of(failure))
            }
        }
    }

    fn may_ask_peers(&self, index: UpstreamIndex) -> bool {
        let has_peers = !self.tunnel_peers.borrow().is_empty();
        has_peers && self.paths.borrow().may_ask_peers(self.now(), index)
    }

    /// Opens a direct connection, and a tunnel if that fails or takes long.
    async fn connect_with_fallback(
        self: &Rc<Self>,
        index: UpstreamIndex,
        spec: &Upstream,
    ) -> Result<Connection<T>, ConnectFailure> {
        let began_at = self.now();
        let mut direct = pin!(self.connect_directly(spec.address));
        let failure = match timeout(PEER_DELAY, &mut direct).await {
            Ok(Ok(wire)) => return Ok(self.direct(index, spec, wire)),
            Ok(Err(failure)) => Some(failure),
            Err(_) => None,
        };
        let mut tunnel = pin!(self.open_tunnel(spec));
        let (failure, tunnelled) = match failure {
            Some(failure) => (failure, tunnel.await),
            None => tokio::select! {
                biased;
                opened = &mut direct => match opened {
                    Ok(wire) => return Ok(self.direct(index, spec, wire)),
                    Err(failure) => (failure, tunnel.await),
                },
                tunnelled = &mut tunnel => match tunnelled {
                    Ok(connection) => (DirectFailure::TimedOut, Ok(connection)),
                    Err(why) => match direct.await {
                        Ok(wire) => return Ok(self.direct(index, spec, wire)),
                        Err(failure) => (failure, Err(why)),
                    },
                },
            },
        };
        match tunnelled {
            Ok(connection) => {
                self.note_lost(index, spec, failure, began_at);
                Ok(connection)
            }
            Err(why) => {
                if why != TunnelFailure::NoPeer {
                    self.note_unreached(index);
                }
                Err(ConnectFailure::of(failure))
            }
        }
    }

    fn direct(&self, index: UpstreamIndex, spec: &Upstream, wire: Wire) -> Connection<T> {
        self.note_reached(index, spec);
        Connection { wire, tunnel: None }
    }

    pub(crate) async fn connect_directly(
        &self,
        address: SocketAddr,
    ) -> Result<Wire, DirectFailure> {
        self.metrics.connects.inc();
        let opening = connect(address, self.cfg.source, UPSTREAM_WIRE);
        match timeout(CONNECT_TIMEOUT, opening).await {
            Ok(Ok(wire)) => Ok(wire),
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Err(DirectFailure::Reset),
            Ok(Err(_)) | Err(_) => Err(DirectFailure::TimedOut),
        }
    }

    /// Whether an upstream that refuses a direct connection has stopped, as far as peers know.
    pub(crate) async fn has_stopped(
        self: &Rc<Self>,
        index: UpstreamIndex,
        spec: &Upstream,
    ) -> bool {
        if !self.may_ask_peers(index) {
            return true;
        }
        let asked_at = self.now();
        match self.open_tunnel(spec).await {
            Ok(_) => {
                self.note_lost(index, spec, DirectFailure::Reset, asked_at);
                false
            }
            Err(_) => true,
        }
    }

    pub(crate) fn note_reached(&self, index: UpstreamIndex, spec: &Upstream) {
        let now = self.now();
        let mut paths = self.paths.borrow_mut();
        if paths.record_reached(now, index, &spec.service) {
            let lost = paths.lost();
            tracing::info!(upstream = %spec.id, service = &*spec.service, lost, "paths: regained");
        }
    }

    fn note_unreached(&self, index: UpstreamIndex) {
        let now = self.now();
        self.paths.borrow_mut().record_unreached(now, index);
    }

    fn note_lost(
        &self,
        index: UpstreamIndex,
        spec: &Upstream,
        failure: DirectFailure,
        since: Time,
    ) {
        let mut paths = self.paths.borrow_mut();
        if paths.record_lost(index, &spec.service, failure, since) {
            let lost = paths.lost();
            tracing::warn!(
                upstream = %spec.id,
                service = &*spec.service,
                ?failure,
                lost,
                "paths: lost, peers reach the upstream"
            );
        }
    }
}

impl<T> Shared<T> {
    /// Keeps a connection for the next request to an upstream, after a complete answer with this
    /// head.
    pub(crate) fn keep_connection(&self, index: UpstreamIndex, wire: Wire, head: &Head) {
        let max_idle = self.max_idle(index);
        let mut pool = self.pool.borrow_mut();
        pool.put(self.now(), index, wire, head, max_idle);
    }

    /// Most idle connections that this daemon keeps to an upstream: its part of what the upstream
    /// accepts from the fleet.
    fn max_idle(&self, index: UpstreamIndex) -> usize {
        let plan = self.plan();
        let upstreams = self.upstreams.borrow();
        let service = upstreams
            .spec(index)
            .and_then(|spec| plan.table.as_ref()?.service(&spec.service));
        service.map_or(MAX_IDLE_PER_UPSTREAM, |service| {
            max_idle(service.max_connections, plan.sharing_daemons)
        })
    }

    /// Whether an upstream, one of whose answers has just ended with its connection, has crashed. A
    /// program that crashes closes its connections like one that has finished an answer; all of
    /// them, and it takes no new ones.
    pub(crate) async fn has_crashed_at_end(self: &Rc<Self>, index: UpstreamIndex) -> bool {
        tokio::time::sleep(CLOSE_DELAY).await;
        let spec = self.upstreams.borrow().spec(index).cloned();
        let is_leaving = self.upstreams.borrow().is_leaving(index);
        let Some(spec) = spec.filter(|_| !is_leaving) else {
            return self.attempts.borrow().has_crashed(index);
        };
        if self.attempts.borrow().has_crashed(index) {
            return true;
        }
        if self.pool.borrow().has_open(index) {
            return false;
        }
        match self.connect_upstream(index, &spec).await {
            Ok(connection) => {
                let closed = connection.wire.closed(usize::MAX);
                let has_crashed = timeout(CLOSE_DELAY, closed).await.is_ok();
                let max_idle = self.max_idle(index);
                let mut pool = self.pool.borrow_mut();
                pool.put_unused(self.now(), index, connection.wire, max_idle);
                has_crashed
            }
            Err(ConnectFailure::Refused) => {
                self.upstream_refuses(index);
                true
            }
            Err(ConnectFailure::Unreachable) => false,
        }
    }
}

/// Probes lost paths one after the other, and the next one at once after one that works.
pub(crate) async fn probe_lost_paths<T: 'static>(shared: Rc<Shared<T>>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        while probe_next(&shared).await {}
    }
}

/// Probes the next lost path; true if it works.
async fn probe_next<T>(shared: &Shared<T>) -> bool {
    let next = shared.paths.borrow_mut().next_probe();
    let Some(index) = next else { return false };
    let spec = shared.upstreams.borrow().spec(index).cloned();
    let Some(spec) = spec else { return false };
    let is_reached = shared.connect_directly(spec.address).await.is_ok();
    if is_reached {
        shared.note_reached(index, &spec);
    }
    is_reached
}
