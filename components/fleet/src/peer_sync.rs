//! Asking peers for what is new in the store, one question at a time.

use std::net::SocketAddr;

use mirror::{Change, Listing, Question, Revision};
use peers::{AskError, Handle, Part, Payload};
use rand::RngExt;
use types::prelude::*;

use crate::snapshot::{DownloadStep, SnapshotDownload};

/// Longest wait for a peer's answer about the store's keys, a new connection to it included: a
/// page takes a host's link of 10 Mbit/s a fortieth of a second, and a busy host some more; then
/// another peer is asked.
const REQUEST_TIMEOUT: Span = Span::from_millis(600);
/// After a peer that gives no answer another is asked so much later, spread over as long
/// again: a copy of some hundred upstreams takes about so long.
const RETRY_DELAY: Span = Span::from_millis(15);
/// A daemon whose own watch works gives it this long to bring what a peer has already.
const OWN_WATCH_GRACE: Span = Span::from_millis(150);

/// The question that is out, and when the next one is due.
pub(crate) struct PeerSync {
    handle: Handle,
    /// The next moment to ask a peer that is ahead.
    next_request_at: Option<Time>,
    reply_rx: Option<flume::Receiver<Result<Payload, AskError>>>,
    /// Whom the last question went to, and when.
    last_request: Option<(SocketAddr, Time)>,
    /// The copy that the last question is about.
    download: Option<SnapshotDownload>,
}

impl PeerSync {
    /// Nothing was asked yet.
    pub(crate) fn new(handle: Handle) -> Self {
        Self {
            handle,
            next_request_at: None,
            reply_rx: None,
            last_request: None,
            download: None,
        }
    }

    /// Whether no question is out.
    pub(crate) fn is_idle(&self) -> bool {
        self.reply_rx.is_none()
    }

    /// Asks `whom`, a peer that is ahead of `held`, when it is time to; nobody else is ahead
    /// where there is none.
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
        self.ask(now, address, &Question { held, page_after });
    }

    /// Whom the last question went to, and when.
    pub(crate) fn last_request(&self) -> Option<(SocketAddr, Time)> {
        self.last_request
    }

    fn ask(&mut self, now: Time, address: SocketAddr, question: &Question) {
        self.last_request = Some((address, now));
        match question.encode() {
            Ok(body) => {
                let part = Part::Mirror;
                let payload = Payload::Part { part, body };
                self.reply_rx = Some(self.handle.ask(address, payload, REQUEST_TIMEOUT));
            }
            Err(e) => tracing::error!("peers: {e}"),
        }
    }

    /// Takes a page of a copy, and asks for the next one or returns the whole.
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
            DownloadStep::More(last_request) => {
                let address = download.from;
                let page_after = Some(last_request);
                self.ask(now, address, &Question { held, page_after });
                None
            }
        }
    }

    /// Notes that a peer gave no answer: another one is asked soon.
    pub(crate) fn retry_later(&mut self, now: Time) {
        let pause = RETRY_DELAY + Span(rand::rng().random_range(0..RETRY_DELAY.0));
        self.next_request_at = Some(now + pause);
    }

    /// When a peer is to be asked next, if that is known.
    pub(crate) fn next_request_at(&self) -> Option<Time> {
        self.next_request_at.filter(|_| self.is_idle())
    }

    /// Where the answer to the last question comes.
    pub(crate) fn reply_rx(&self) -> Option<&flume::Receiver<Result<Payload, AskError>>> {
        self.reply_rx.as_ref()
    }

    /// Notes that the last question was answered.
    pub(crate) fn request_done(&mut self) {
        self.reply_rx = None;
    }
}
