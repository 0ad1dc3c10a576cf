//! Opening a tunnel to an upstream through one of the peers.

use std::rc::Rc;
use std::time::Duration;

use dispatch::{TunnelNeed, TunnelPeer};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http1::Wire;
use http1::frames::push_frame;
use routes::Upstream;
use tokio::time::{Instant, sleep, sleep_until};
use types::prelude::*;

use super::TUNNEL_WIRE;
use super::message::{Opening, Verdict};
use crate::shared::Shared;

/// Time within which one of the peers must have connected to the upstream.
const OPENING_TIMEOUT: Duration = Duration::from_millis(450);
/// Time after which another peer is asked as well.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(100);
/// Peers asked for one tunnel.
const MAX_PEERS: usize = 6;
/// Peers that must be refused by an upstream before it counts as stopped: one of them may have lost
/// its own path.
const MIN_REFUSALS: usize = 3;

/// Why no tunnel was opened. Nothing was sent to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TunnelFailure {
    /// The upstream refuses connections to all peers that were asked.
    Refused,
    /// No peer that was asked reached the upstream.
    Unreachable,
    /// There is no peer to ask.
    NoPeer,
}

/// A connection to an upstream.
pub(crate) struct Connection<T> {
    pub(crate) wire: Wire,
    /// Set where it leads through a peer.
    pub(crate) tunnel: Option<TunnelLease<T>>,
}

/// Counts a tunnel through a peer while it is open.
pub(crate) struct TunnelLease<T> {
    shared: Rc<Shared<T>>,
    pub(crate) peer: DaemonId,
}

impl<T> TunnelLease<T> {
    fn new(shared: &Rc<Shared<T>>, peer: &DaemonId) -> Self {
        shared.tunnel_peers.borrow_mut().record_start(peer);
        Self {
            shared: Rc::clone(shared),
            peer: peer.clone(),
        }
    }
}

impl<T> Drop for TunnelLease<T> {
    fn drop(&mut self) {
        self.shared.tunnel_peers.borrow_mut().record_end(&self.peer);
    }
}

impl<T> Shared<T> {
    /// Opens a tunnel to an upstream: asks one peer, and another one whenever the last says no or
    /// takes long.
    pub(crate) async fn open_tunnel(
        self: &Rc<Self>,
        spec: &Upstream,
    ) -> Result<Connection<T>, TunnelFailure> {
        let deadline = Instant::now() + OPENING_TIMEOUT;
        let mut asked = Vec::new();
        let mut refusals = 0;
        let mut asking = FuturesUnordered::new();
        loop {
            if asked.len() < MAX_PEERS
                && let Some(peer) = self.choose_tunnel_peer(spec, &asked)
            {
                asked.push(peer.id.clone());
                asking.push(self.ask_for_tunnel(peer, spec));
            }
            if asking.is_empty() {
                return Err(match (asked.is_empty(), asked.len() == refusals) {
                    (true, _) => TunnelFailure::NoPeer,
                    (_, true) => TunnelFailure::Refused,
                    _ => TunnelFailure::Unreachable,
                });
            }
            tokio::select! {
                biased;
                Some(answer) = asking.next() => match answer {
                    Ok(connection) => return Ok(connection),
                    Err(Verdict::Refused) => refusals += 1,
                    Err(_) => {}
                },
                () = sleep(NEXT_PEER_DELAY) => {}
                () = sleep_until(deadline) => return Err(TunnelFailure::Unreachable),
            }
            if refusals >= MIN_REFUSALS {
                return Err(TunnelFailure::Refused);
            }
        }
    }

    fn choose_tunnel_peer(&self, spec: &Upstream, asked: &[DaemonId]) -> Option<TunnelPeer> {
        let need = TunnelNeed {
            service: &spec.service,
            upstream_domain: &spec.failure_domain,
            local_domain: &self.cfg.failure_domain,
            exclude: asked,
        };
        let peers = self.tunnel_peers.borrow();
        peers.choose(self.now(), &need, &mut *self.rng.borrow_mut())
    }

    /// Asks one peer for a tunnel.
    async fn ask_for_tunnel(
        self: &Rc<Self>,
        peer: TunnelPeer,
        spec: &Upstream,
    ) -> Result<Connection<T>, Verdict> {
        let lease = TunnelLease::new(self, &peer.id);
        let verdict = self.exchange_opening(&peer, spec).await;
        match verdict {
            Ok(wire) => {
                self.metrics.tunnels_opened.inc();
                Ok(Connection {
                    wire,
                    tunnel: Some(lease),
                })
            }
            Err(verdict) => {
                // What the upstream itself does says nothing about the peer.
                if !matches!(verdict, Verdict::Refused | Verdict::Unreachable) {
                    let mut peers = self.tunnel_peers.borrow_mut();
                    peers.record_no_help(self.now(), &peer.id, &spec.service);
                }
                Err(verdict)
            }
        }
    }

    async fn exchange_opening(&self, peer: &TunnelPeer, spec: &Upstream) -> Result<Wire, Verdict> {
        let opening = Opening {
            key: self.cfg.tunnels.key,
            upstream: spec.id.clone(),
            started_at: spec.started_at,
        };
        let mut out = Vec::new();
        let encoded = postcard::to_allocvec(&opening).map_err(|_| Verdict::Denied)?;
        push_frame(&mut out, &encoded);
        // A peer that can't be reached, or breaks off, is as little help as one without a path.
        let wire = http1::connect(peer.address, None, TUNNEL_WIRE).await;
        let wire = wire.map_err(|_| Verdict::NoPath)?.framed();
        let written = wire.write_all(&out).await;
        written.map_err(|_| Verdict::NoPath)?;
        wire.fill().await.map_err(|_| Verdict::NoPath)?;
        let verdict = postcard::from_bytes(&wire.buf().split());
        match verdict.unwrap_or(Verdict::Denied) {
            Verdict::Connected => Ok(wire),
            verdict => Err(verdict),
        }
    }
}
