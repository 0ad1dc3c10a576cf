//! Requests to peers for new changes of the store, one in flight at a time.

use std::net::SocketAddr;

use mirror::{Change, Listing, Revision, SyncRequest};
use peers::{AskError, Handle, Part, Payload};
use rand::RngExt;
use types::prelude::*;

use crate::snapshot::{DownloadStep, SnapshotDownload};

/// Timeout of a request for the store's keys, including a new connection to the peer. A page takes
/// a fortieth of a second on a host's link of 10 Mbit/s, and somewhat longer on a busy host; after
/// the timeout another peer is asked.
const REQUEST_TIMEOUT: Span = Span::from_millis(600);
/// Delay before another peer is asked after one gave no answer, randomly extended to up to twice as
/// long: about the time that a snapshot of some hundred upstreams takes.
const RETRY_DELAY: Span = Span::from_millis(15);
/// Time that a daemon whose own watch works gives that watch to deliver what a peer already has.
const OWN_WATCH_GRACE: Span = Span::from_millis(150);

/// The request in flight and the time of the next one.
pub(crate) struct PeerSync {
    handle: Handle,
    /// Earliest time of the next request to a peer that is ahead.
    next_request_at: Option<Time>,
    reply_rx: Option<flume::Receiver<Result<Payload, AskError>>>,
    /// The peer that the last request went to, and when.
    last_request: Option<(SocketAddr, Time)>,
    /// The snapshot that the last request belongs to.
    download: Option<SnapshotDownload>,
}

impl PeerSync {
    /// Creates a state without any request in flight.
    pub(crate) fn new(handle: Handle) -> Self {
        Self {
            handle,
            next_request_at: None,
            reply_rx: None,
            last_request: None,
            download: None,
        }
    }

    /// Whether no request is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.reply_rx.is_none()
    }

    /// Requests changes after `held` from `peer`, which is ahead, once it is time; does nothing if
    /// no peer is ahead.
    pub(crate) fn catch_up(
        &mut self,
        now: Time,
        held: Revision,
        peer: Option<SocketAddr>,
        own_watch_works: bool,
    ) {
        let Some(address) = peer else {
            self.next_request_at = None;
            return;
        };
        let grace = match own_watch_works {
            true => OWN_WATCH_GRACE,
            false => Span::ZERO,
        };
        let next_request_at = *self.next_request_at.get_or_insert(now + grace);
        if now < next_request_at {
            return;
        }
        self.next_request_at = None;
        self.download = Some(SnapshotDownload::new(address));
        let page_after = None;
        self.ask(now, address, &SyncRequest { held, page_after });
    }

    /// The peer that the last request went to, and when.
    pub(crate) fn last_request(&self) -> Option<(SocketAddr, Time)> {
        self.last_request
    }

    fn ask(&mut self, now: Time, address: SocketAddr, request: &SyncRequest) {
        self.last_request = Some((address, now));
        match request.encode() {
            Ok(body) => {
                let part = Part::Mirror;
                let payload = Payload::Part { part, body };
                self.reply_rx = Some(self.handle.ask(address, payload, REQUEST_TIMEOUT));
            }
            Err(e) => tracing::error!("peers: {e}"),
        }
    }

    /// Adds a page to the snapshot, then requests the next page or returns the complete snapshot.
    pub(crate) fn apply_page(
        &mut self,
        now: Time,
        held: Revision,
        at: Revision,
        items: Vec<Change>,
        has_more: bool,
    ) -> Option<Listing> {
        let download = self.download.as_mut()?;
        match download.take(at, items, has_more) {
            DownloadStep::Complete(listing) => Some(listing),
            DownloadStep::More(last_key) => {
                let address = download.from;
                let page_after = Some(last_key);
                self.ask(now, address, &SyncRequest { held, page_after });
                None
            }
        }
    }

    /// Records that a peer gave no answer and schedules a request to another one.
    pub(crate) fn retry_later(&mut self, now: Time) {
        let delay = RETRY_DELAY + Span(rand::rng().random_range(0..RETRY_DELAY.0));
        self.next_request_at = Some(now + delay);
    }

    /// Time of the next request, if one is scheduled and none is in flight.
    pub(crate) fn next_request_at(&self) -> Option<Time> {
        self.next_request_at.filter(|_| self.is_idle())
    }

    /// Channel on which the answer to the request in flight arrives.
    pub(crate) fn reply_rx(&self) -> Option<&flume::Receiver<Result<Payload, AskError>>> {
        self.reply_rx.as_ref()
    }

    /// Records that the request in flight was answered.
    pub(crate) fn request_done(&mut self) {
        self.reply_rx = None;
    }
}
