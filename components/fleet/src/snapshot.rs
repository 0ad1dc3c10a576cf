//! Snapshots of the store's keys, copied from daemon to daemon.
//!
//! When a fleet starts, every daemon needs the store's keys at once. If each read them from the
//! store, its link would carry one entry per daemon and upstream: 300 daemons with 2,800 upstreams
//! waited 4.3 s for them. So a few daemons read the store, and the other daemons copy from any that
//! has a snapshot, page by page. Each daemon serves a few snapshots at a time, so that the number
//! of daemons with a snapshot multiplies each round.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use mirror::{Change, Listing, MessageError, Mirror, Revision, SyncReply, SyncRequest};
use types::prelude::*;

/// Downloads served at a time. A receiver spends most of its time processing pages. More downloads
/// share the same link, so each takes longer, and the first receiver to complete can serve its
/// peers only later.
const MAX_DOWNLOADS: usize = 4;
/// A receiver that requests no further page within this time has given up.
const DOWNLOAD_IDLE: Span = Span::from_millis(400);

/// How long encoded pages are served, even if the store changes meanwhile: a receiver asks for
/// newer changes anyway, and encoding a configuration of 1,400 routes anew for each change takes a
/// tenth of a second on a host with an eighth of a core.
const PAGE_TTL: Span = Span::from_secs(1);

/// An encoded page, and whether it is the last one.
#[derive(Debug, Clone)]
struct Page {
    body: Bytes,
    is_last: bool,
}

/// Serves snapshots to peers.
#[derive(Debug, Default)]
pub struct SnapshotServer {
    /// Receivers with a download in progress, and when each last asked.
    downloads: HashMap<DaemonId, Time>,
    /// Encoded pages, by the key after which they begin: many receivers ask for the same ones, and
    /// compressing them anew for each takes longer than sending them.
    pages: HashMap<Option<String>, Page>,
    /// Revision of the pages: none of them is older.
    pages_at: Revision,
    /// When the first of the pages was encoded.
    pages_since: Time,
}

impl SnapshotServer {
    /// Answers a peer's request; `None` if the peer should ask elsewhere or later.
    ///
    /// # Errors
    /// When the answer is too large for a message.
    pub fn answer(
        &mut self,
        now: Time,
        from: &DaemonId,
        request: &SyncRequest,
        mirror: &Mirror,
    ) -> Result<Option<Bytes>, MessageError> {
        let is_copy = request.page_after.is_some() || mirror.since(request.held).is_none();
        if !is_copy || mirror.at() <= request.held {
            return SyncReply::to(request, mirror).encode().map(Some);
        }
        if !self.admit(now, from) {
            return Ok(None);
        }
        let page = self.page(now, request, mirror)?;
        if page.is_last {
            self.downloads.remove(from);
        }
        Ok(Some(page.body))
    }

    fn admit(&mut self, now: Time, from: &DaemonId) -> bool {
        self.downloads
            .retain(|_, asked_at| now.since(*asked_at) < DOWNLOAD_IDLE);
        let is_admitted = self.downloads.contains_key(from) || self.downloads.len() < MAX_DOWNLOADS;
        if is_admitted {
            self.downloads.insert(from.clone(), now);
        }
        is_admitted
    }

    fn page(
        &mut self,
        now: Time,
        request: &SyncRequest,
        mirror: &Mirror,
    ) -> Result<Page, MessageError> {
        if self.pages.is_empty() || now.since(self.pages_since) >= PAGE_TTL {
            self.pages.clear();
            self.pages_at = mirror.at();
            self.pages_since = now;
        }
        if let Some(page) = self.pages.get(&request.page_after) {
            return Ok(page.clone());
        }
        let mut reply = SyncReply::to(request, mirror);
        if let SyncReply::Page { at, .. } = &mut reply {
            *at = self.pages_at;
        }
        let page = Page {
            body: reply.encode()?,
            is_last: !matches!(reply, SyncReply::Page { has_more: true, .. }),
        };
        self.pages.insert(request.page_after.clone(), page.clone());
        Ok(page)
    }
}

/// A snapshot that is being downloaded.
#[derive(Debug)]
pub struct SnapshotDownload {
    /// Address of the daemon that serves it.
    pub from: SocketAddr,
    listing: Option<Listing>,
}

/// Result of adding a page.
#[derive(Debug)]
pub enum DownloadStep {
    /// The next page, after this key, must be requested.
    More(String),
    /// The snapshot is complete.
    Complete(Listing),
}

impl SnapshotDownload {
    /// Starts an empty download from the daemon at an address.
    #[must_use]
    pub fn new(from: SocketAddr) -> Self {
        Self {
            from,
            listing: None,
        }
    }

    /// Adds a page. The snapshot has the lowest revision of its pages, which is usually that of the
    /// first one; a peer that restarts between two pages may hold an older copy. Later changes are
    /// requested afterwards.
    pub fn take(&mut self, at: Revision, items: Vec<Change>, has_more: bool) -> DownloadStep {
        let listing = self.listing.get_or_insert(Listing {
            at,
            items: Vec::new(),
        });
        listing.at = listing.at.min(at);
        let last_key = items.last().map(|item| item.key.clone());
        listing.items.extend(items);
        match last_key.filter(|_| has_more) {
            Some(last_key) => DownloadStep::More(last_key),
            None => DownloadStep::Complete(std::mem::replace(
                listing,
                Listing {
                    at,
                    items: Vec::new(),
                },
            )),
        }
    }
}
