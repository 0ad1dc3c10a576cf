//! Whole copies of the store's keys, from daemon to daemon.
//!
//! A fleet that starts, or that was killed, wants the store's keys at every daemon at once.
//! Read by each from the store that is daemons times upstreams: 300 before 2,800 upstreams
//! waited 4.3 s for it, on the store's link. So a few read the store and the others copy
//! from whoever has a copy already, page by page; each daemon hands out a few copies at a
//! time, so that those who have one are several times as many each round.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use mirror::{Answer, Change, Listing, MessageError, Mirror, Question, Revision};
use types::prelude::*;

/// Copies handed out side by side: a taker spends most of its time on what it has got. With more of
/// them each takes longer on the same link, and the first one to be whole can hand on in turn.
const MAX_COPIES: usize = 4;
/// Who asked for no further page in this time has given up.
const DOWNLOAD_IDLE: Span = Span::from_millis(400);

/// Pages are handed out for so long after they were made, though the store goes on: a taker asks
/// for what is newer anyway, and packing a configuration of 1,400 routes anew for each change
/// takes a host with an eighth of a core a tenth of a second.
const PAGE_TTL: Span = Span::from_secs(1);

/// A page as bytes, and whether it is the last one.
#[derive(Debug, Clone)]
struct Page {
    body: Bytes,
    is_last: bool,
}

/// Hands out copies.
#[derive(Debug, Default)]
pub struct SnapshotServer {
    /// Who copies from here, and when it last asked.
    downloads: HashMap<DaemonId, Time>,
    /// Pages as bytes, by the key that they begin behind: many ask for the same ones, and
    /// compressing them anew for each took longer than sending them.
    pages: HashMap<Option<String>, Page>,
    /// What the pages are as of: none of them is older.
    pages_at: Revision,
    /// When the first of them was made.
    pages_since: Time,
}

impl SnapshotServer {
    /// The answer to a peer's question; nothing if it is to ask elsewhere or later.
    ///
    /// # Errors
    /// When the answer is too large for a message.
    pub fn answer(
        &mut self,
        now: Time,
        from: &DaemonId,
        question: &Question,
        mirror: &Mirror,
    ) -> Result<Option<Bytes>, MessageError> {
        let is_copy = question.page_after.is_some() || mirror.since(question.held).is_none();
        if !is_copy || mirror.at() <= question.held {
            return Answer::to(question, mirror).encode().map(Some);
        }
        if !self.admit(now, from) {
            return Ok(None);
        }
        let page = self.page(now, question, mirror)?;
        if page.is_last {
            self.downloads.remove(from);
        }
        Ok(Some(page.body))
    }

    fn admit(&mut self, now: Time, from: &DaemonId) -> bool {
        self.downloads
            .retain(|_, asked_at| now.since(*asked_at) < DOWNLOAD_IDLE);
        let may = self.downloads.contains_key(from) || self.downloads.len() < MAX_COPIES;
        if may {
            self.downloads.insert(from.clone(), now);
        }
        may
    }

    fn page(
        &mut self,
        now: Time,
        question: &Question,
        mirror: &Mirror,
    ) -> Result<Page, MessageError> {
        if self.pages.is_empty() || now.since(self.pages_since) >= PAGE_TTL {
            self.pages.clear();
            self.pages_at = mirror.at();
            self.pages_since = now;
        }
        if let Some(page) = self.pages.get(&question.page_after) {
            return Ok(page.clone());
        }
        let mut answer = Answer::to(question, mirror);
        if let Answer::Page { at, .. } = &mut answer {
            *at = self.pages_at;
        }
        let page = Page {
            body: answer.encode()?,
            is_last: !matches!(answer, Answer::Page { has_more: true, .. }),
        };
        self.pages.insert(question.page_after.clone(), page.clone());
        Ok(page)
    }
}

/// A copy that is being taken.
#[derive(Debug)]
pub struct SnapshotDownload {
    /// From whom.
    pub from: SocketAddr,
    listing: Option<Listing>,
}

/// What a page makes of a copy.
#[derive(Debug)]
pub enum DownloadStep {
    /// The next page is to be asked for, behind this key.
    More(String),
    /// All of it is there.
    Complete(Listing),
}

impl SnapshotDownload {
    /// From a daemon at an address; nothing is there yet.
    #[must_use]
    pub fn new(from: SocketAddr) -> Self {
        Self {
            from,
            listing: None,
        }
    }

    /// Takes a page. The copy is as of its first one: what changed since is asked for anew.
    pub fn take(&mut self, at: Revision, items: Vec<Change>, has_more: bool) -> DownloadStep {
        let listing = self.listing.get_or_insert(Listing {
            at,
            items: Vec::new(),
        });
        let last = items.last().map(|item| item.key.clone());
        listing.items.extend(items);
        match last.filter(|_| has_more) {
            Some(last) => DownloadStep::More(last),
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
