//! Tunnels for peers that have lost their path to an upstream, and leases for those that have no
//! share left.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dispatch::{DirectFailure, Path, UpstreamIndex};
use http1::Wire;
use http1::frames::{END_FRAME, Frames, push_frame};
use routes::Upstream;
use serde::Serialize;
use tokio::net::TcpListener;

use super::TUNNEL_WIRE;
use super::lease;
use super::message::{LeaseRequest, MAX_MESSAGE_BYTES, Opening, Verdict};
use crate::shared::{Shared, Stage};

/// Time within which the opening message must arrive.
const OPENING_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a peer that does not close an ended tunnel is reset.
const LINGER: Duration = Duration::from_millis(500);

/// How the upstream's side of a tunnel ended.
enum UpstreamEnd {
    Closed,
    Broken,
    /// The peer has gone.
    Unread,
}

/// Counts a tunnel while it is open.
struct OpenTunnel<T>(Rc<Shared<T>>);

impl<T> OpenTunnel<T> {
    fn new(shared: &Rc<Shared<T>>) -> Self {
        shared.served_tunnels.set(shared.served_tunnels.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl<T> Drop for OpenTunnel<T> {
    fn drop(&mut self) {
        let tunnels = &self.0.served_tunnels;
        tunnels.set(tunnels.get() - 1);
    }
}

/// Accepts tunnels until the event loop ends.
pub(crate) async fn accept<T: 'static>(shared: Rc<Shared<T>>, listener: TcpListener) {
    loop {
        let (stream, _) = callers::accept(&listener).await;
        let Ok(wire) = Wire::new(stream, TUNNEL_WIRE) else {
            continue;
        };
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move { serve(&shared, wire).await });
    }
}

async fn serve<T>(shared: &Rc<Shared<T>>, peer: Wire) {
    let first = tokio::time::timeout(OPENING_TIMEOUT, read_frame(&peer)).await;
    let Ok(Ok(first)) = first else {
        return;
    };
    if let Some(request) = LeaseRequest::decode(&first, shared.cfg.tunnels.key) {
        return lease::serve(shared, peer, &request).await;
    }
    let Ok(opening) = postcard::from_bytes::<Opening>(&first) else {
        return;
    };
    let is_full = shared.served_tunnels.get() >= shared.cfg.tunnels.max_served;
    let _open = OpenTunnel::new(shared);
    let opened = match is_full || shared.stage() >= Stage::Leaving {
        true => Err(Verdict::Busy),
        false => open(shared, &opening).await,
    };
    let verdict = opened.as_ref().err().copied();
    let verdict = verdict.unwrap_or(Verdict::Connected);
    if send_frame(&peer, &verdict).await.is_err() {
        return;
    }
    match opened {
        Ok(upstream) => {
            shared.metrics.tunnels_served.inc();
            copy(peer, upstream).await;
        }
        Err(_) => peer.close(LINGER).await,
    }
}

/// Reads the first frame of a connection.
async fn read_frame(peer: &Wire) -> io::Result<Bytes> {
    let mut frames = Frames::default();
    loop {
        if peer.fill().await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        frames.push(&peer.buf().split());
        if let Some(frame) = frames.next_frame()? {
            return Ok(frame.into());
        }
        if frames.len() > MAX_MESSAGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

/// Sends a message as one frame.
pub(crate) async fn send_frame(peer: &Wire, message: &impl Serialize) -> io::Result<()> {
    let encoded = postcard::to_allocvec(message).map_err(io::Error::other)?;
    let mut out = Vec::new();
    push_frame(&mut out, &encoded);
    peer.write_all(&out).await
}

/// Connects to the upstream that a peer asks for, if this daemon lists it and has a path to it.
async fn open<T>(shared: &Shared<T>, opening: &Opening) -> Result<Wire, Verdict> {
    if opening.key != shared.cfg.tunnels.key {
        return Err(Verdict::Denied);
    }
    let found = shared
        .upstreams
        .borrow()
        .find(&opening.upstream, opening.started_at);
    let found = found.ok_or(Verdict::Unlisted)?;
    let (index, spec) = (found.index, found.spec);
    if shared.paths.borrow().path(index, &spec.service) == Path::ThroughPeer {
        return Err(Verdict::NoPath);
    }
    connect(shared, index, &spec).await
}

async fn connect<T>(
    shared: &Shared<T>,
    index: UpstreamIndex,
    spec: &Upstream,
) -> Result<Wire, Verdict> {
    let opened = shared.connect_directly(spec.address).await;
    let failure = match opened {
        Ok(wire) => {
            shared.note_reached(index, spec);
            return Ok(wire);
        }
        Err(failure) => failure,
    };
    let is_impaired = shared.paths.borrow().is_impaired(&spec.service);
    Err(match failure {
        _ if is_impaired => Verdict::NoPath,
        DirectFailure::Reset => Verdict::Refused,
        DirectFailure::TimedOut => Verdict::Unreachable,
    })
}

/// Copies bytes until an end closes. The end of either side closes the other at once, so that the
/// upstream learns when a caller has left.
async fn copy(peer: Wire, upstream: Wire) {
    let end = tokio::select! {
        biased;
        end = copy_answer(&upstream, &peer) => end,
        () = copy_request(&peer, &upstream) => UpstreamEnd::Unread,
    };
    match end {
        UpstreamEnd::Closed => peer.close(LINGER).await,
        UpstreamEnd::Broken => peer.reset(),
        UpstreamEnd::Unread => {}
    }
}

/// Copies the peer's bytes until it closes. An upstream that takes no more may still answer.
async fn copy_request(peer: &Wire, upstream: &Wire) {
    while matches!(peer.fill().await, Ok(read) if read > 0) {
        let bytes = peer.buf().split();
        if upstream.write_all(&bytes).await.is_err() {
            peer.closed(usize::MAX).await;
            return;
        }
    }
}

async fn copy_answer(upstream: &Wire, peer: &Wire) -> UpstreamEnd {
    let mut out = Vec::new();
    loop {
        out.clear();
        let end = match upstream.fill().await {
            Ok(0) => {
                if upstream.acknowledged().await.is_err() {
                    return UpstreamEnd::Broken;
                }
                out.extend_from_slice(END_FRAME);
                Some(UpstreamEnd::Closed)
            }
            Ok(_) => {
                push_frame(&mut out, &upstream.buf().split());
                None
            }
            Err(_) => return UpstreamEnd::Broken,
        };
        if peer.write_all(&out).await.is_err() {
            return UpstreamEnd::Unread;
        }
        if let Some(end) = end {
            return end;
        }
    }
}
