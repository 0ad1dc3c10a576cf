//! Leases of single requests by the shares of peers, see [`dispatch::LeaseOffer`].
//!
//! A daemon that has no share left asks a peer on a connection to the address for tunnels, and sends
//! the request itself once it was granted. Where the share is in use until the request has ended, the
//! connection stays open for as long: it also ends when either daemon is killed.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dispatch::{Choice, LeaseOffer, LeasedBound, LentRequest, UpstreamIndex};
use http1::Wire;
use http1::frames::Frames;
use tokio::sync::oneshot;
use types::prelude::*;

use super::TUNNEL_WIRE;
use super::message::{LeaseEnd, LeaseRequest, LeaseVerdict};
use super::server::send_frame;
use crate::shared::{Shared, Stage};

/// Time within which a peer must reply. It is as short as a request can wait for several peers.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a peer that did not reply is not asked.
const EJECTION: Span = Span::from_secs(1);
/// Time for which a peer that does not know leases is not asked.
const UNSUPPORTED_EJECTION: Span = Span::from_secs(10);
/// Time after which a peer that does not close its end is reset.
const LINGER: Duration = Duration::from_millis(500);

/// Why a peer gave no reply.
enum NoReply {
    /// It could not be reached, or took too long.
    Silent,
    /// It does not know leases.
    Unsupported,
}

/// A request that a peer lets this daemon send by its share, until it is dropped.
pub(crate) struct Lease {
    /// Ends the lease where the share is in use until then.
    end: Option<oneshot::Sender<LeaseEnd>>,
}

impl Lease {
    /// Reports that the upstream rejected the request for want of room.
    pub(crate) fn reject(&mut self) {
        if let Some(end) = self.end.take() {
            // A connection that has broken ended the lease.
            let _ = end.send(LeaseEnd::Rejected);
        }
    }
}

impl<T> Shared<T> {
    /// Asks a peer for the lease that a choice needs.
    pub(crate) async fn take_lease(&self, choice: &Choice, offer: LeaseOffer) -> Option<Lease> {
        let address = self.tunnel_peers.borrow().address(offer.lender)?;
        self.metrics.leases_asked.inc();
        let asked =
            tokio::time::timeout(REPLY_TIMEOUT, self.ask(address, choice.index, offer.bound));
        let reply = asked.await.unwrap_or(Err(NoReply::Silent));
        let now = self.now();
        let mut upstreams = self.upstreams.borrow_mut();
        let (wire, verdict) = match reply {
            Ok(reply) => reply,
            Err(why) => {
                let ejection = match why {
                    NoReply::Silent => EJECTION,
                    NoReply::Unsupported => UNSUPPORTED_EJECTION,
                };
                upstreams.eject_lender(now, offer.lender, now + ejection);
                return None;
            }
        };
        let ready_at = now + Span::from_millis(u64::from(verdict.ready_in_ms));
        upstreams.record_lease_reply(now, choice.index, offer.lender, ready_at);
        if !verdict.is_granted {
            return None;
        }
        self.metrics.leases_taken.inc();
        let end = match offer.bound {
            LeasedBound::Rate => None,
            LeasedBound::Room(_) => Some(hold(wire)),
        };
        Some(Lease { end })
    }

    async fn ask(
        &self,
        address: SocketAddr,
        index: UpstreamIndex,
        bound: LeasedBound,
    ) -> Result<(Wire, LeaseVerdict), NoReply> {
        let spec = self.upstreams.borrow().spec(index).cloned();
        let spec = spec.ok_or(NoReply::Silent)?;
        let request = LeaseRequest {
            key: self.cfg.tunnels.key.for_leases(),
            upstream: spec.id.clone(),
            started_at: spec.started_at,
            bound,
        };
        let wire = http1::connect(address, None, TUNNEL_WIRE).await;
        let wire = wire.map_err(|_| NoReply::Silent)?.framed();
        let sent = send_frame(&wire, &request).await;
        sent.map_err(|_| NoReply::Silent)?;
        wire.fill().await.map_err(|_| NoReply::Silent)?;
        let verdict = postcard::from_bytes(&wire.buf().split());
        let verdict = verdict.map_err(|_| NoReply::Unsupported)?;
        Ok((wire, verdict))
    }
}

/// Keeps the connection of a lease open until the lease ends.
fn hold(wire: Wire) -> oneshot::Sender<LeaseEnd> {
    let (tx, rx) = oneshot::channel();
    tokio::task::spawn_local(async move {
        if let Ok(end) = rx.await {
            // A peer that has gone needs no report.
            let _ = send_frame(&wire, &end).await;
        }
        wire.close(LINGER).await;
    });
    tx
}

/// Counts a lease to a peer while it lasts.
struct LentLease<T> {
    shared: Rc<Shared<T>>,
    index: UpstreamIndex,
}

impl<T> Drop for LentLease<T> {
    fn drop(&mut self) {
        self.shared.lent.set(self.shared.lent.get() - 1);
        let mut upstreams = self.shared.upstreams.borrow_mut();
        upstreams.record_lent_end(self.index);
    }
}

/// Replies to a peer's request for a lease, and waits until it ends.
pub(super) async fn serve<T>(shared: &Rc<Shared<T>>, peer: Wire, request: &LeaseRequest) {
    let (verdict, lent) = lend(shared, request);
    let held = lent.filter(|lent| lent.is_held).map(|lent| {
        shared.lent.set(shared.lent.get() + 1);
        LentLease {
            shared: Rc::clone(shared),
            index: lent.index,
        }
    });
    if send_frame(&peer, &verdict).await.is_err() {
        return;
    }
    let Some(held) = held else {
        return peer.close(LINGER).await;
    };
    if let Ok(Some(LeaseEnd::Rejected)) = read_end(&peer).await {
        let mut upstreams = shared.upstreams.borrow_mut();
        upstreams.record_rejection(shared.now(), held.index);
    }
}

fn lend<T>(shared: &Shared<T>, request: &LeaseRequest) -> (LeaseVerdict, Option<LentRequest>) {
    let now = shared.now();
    let is_full = shared.lent.get() >= shared.cfg.tunnels.max_served;
    if is_full || shared.stage() >= Stage::Leaving {
        let verdict = LeaseVerdict {
            is_granted: false,
            ready_in_ms: EJECTION.as_millis() as u32,
        };
        return (verdict, None);
    }
    let mut upstreams = shared.upstreams.borrow_mut();
    let (id, started_at) = (&request.upstream, request.started_at);
    let (reply, lent) = upstreams.lend(now, id, started_at, request.bound);
    if lent.is_some() {
        shared.metrics.leases_lent.inc();
    }
    let ready_in_ms = now.until(reply.ready_at).as_millis();
    let verdict = LeaseVerdict {
        is_granted: reply.is_granted,
        ready_in_ms: u32::try_from(ready_in_ms).unwrap_or(u32::MAX),
    };
    (verdict, lent)
}

/// Reads how a lease ended; `None` if the peer only closed it.
async fn read_end(peer: &Wire) -> io::Result<Option<LeaseEnd>> {
    let mut frames = Frames::default();
    while peer.fill().await? > 0 {
        frames.push(&peer.buf().split());
        if let Some(frame) = frames.next_frame()? {
            return postcard::from_bytes(&frame)
                .map(Some)
                .map_err(io::Error::other);
        }
    }
    Ok(None)
}
