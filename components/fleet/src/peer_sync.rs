//! Asking peers for what is new in the store, one question at a time.

use std::net::SocketAddr;

use mirror::{Change, Listing, Question, Revision};
use peers::{AskError, Handle, Part, Payload};
use rand::RngExt;
use types::prelude::*;

use crate::snapshot::{Taken, Taking};

/// Longest wait for a peer's answer about the store's keys, a new connection to it included: a
/// page takes a host's link of 10 Mbit/s a fortieth of a second, and a busy host some more; then
/// another peer is asked.
const ASK_WITHIN: Span = Span::from_millis(600);
/// After a peer that gives no answer another is asked so much later, spread over as long
/// again: a copy of some hundred upstreams takes about so long.
const ASK_AGAIN: Span = Span::from_millis(15);
/// A daemon whose own watch works gives it this long to bring what a peer has already.
const OWN_WATCH_FIRST: Span = Span::from_millis(150);

/// The question that is out, and when the next one is due.
pub(crate) struct Asking {
    handle: Handle,
    /// The next moment to ask a peer that is ahead.
    ask_at: Option<Time>,
    asked: Option<flume::Receiver<Result<Payload, AskError>>>,
    /// Whom the last question went to, and when.
    last: Option<(SocketAddr, Time)>,
    /// The copy that the last question is about.
    taking: Option<Taking>,
}

impl Asking {
    /// Nothing was asked yet.
    pub(crate) fn new(handle: Handle) -> Self {
        Self {
            handle,
            ask_at: None,
            asked: None,
            last: None,
            taking: None,
        }
    }

    /// Whether no question is out.
    pub(crate) fn is_idle(&self) -> bool {
        self.asked.is_none()
    }

    /// Asks `whom`, a peer that is ahead of `held`, when it is time to; nobody else is ahead
    /// where there is none.
    pub(crate) fn catch_up(
        &mut self,
        now: Time,
        held: Revision,
        whom: Option<SocketAddr>,
        own_watch_works: bool,
    ) {
        let Some(address) = whom else {
            self.ask_at = None;
            return;
        };
        let patience = match own_watch_works {
            true => OWN_WATCH_FIRST,
            false => Span::ZERO,
        };
        let ask_at = *self.ask_at.get_or_insert(now + patience);
        if now < ask_at {
            return;
        }
        self.ask_at = None;
        self.taking = Some(Taking::new(address));
        let page_after = None;
        self.ask(now, address, &Question { held, page_after });
    }

    /// Whom the last question went to, and when.
    pub(crate) fn last(&self) -> Option<(SocketAddr, Time)> {
        self.last
    }

    fn ask(&mut self, now: Time, address: SocketAddr, question: &Question) {
        self.last = Some((address, now));
        match question.encode() {
            Ok(body) => {
                let part = Part::Mirror;
                let payload = Payload::Part { part, body };
                self.asked = Some(self.handle.ask(address, payload, ASK_WITHIN));
            }
            Err(e) => tracing::error!("peers: {e}"),
        }
    }

    /// Takes a page of a copy, and asks for the next one or returns the whole.
    pub(crate) fn take_page(
        &mut self,
        now: Time,
        held: Revision,
        at: Revision,
        items: Vec<Change>,
        has_more: bool,
    ) -> Option<Listing> {
        let taking = self.taking.as_mut()?;
        match taking.take(at, items, has_more) {
            Taken::Whole(listing) => Some(listing),
            Taken::More(last) => {
                let address = taking.from;
                let page_after = Some(last);
                self.ask(now, address, &Question { held, page_after });
                None
            }
        }
    }

    /// Notes that a peer gave no answer: another one is asked soon.
    pub(crate) fn was_refused(&mut self, now: Time) {
        let pause = ASK_AGAIN + Span(rand::rng().random_range(0..ASK_AGAIN.0));
        self.ask_at = Some(now + pause);
    }

    /// When a peer is to be asked next, if that is known.
    pub(crate) fn ask_at(&self) -> Option<Time> {
        self.ask_at.filter(|_| self.is_idle())
    }

    /// Where the answer to the last question comes.
    pub(crate) fn asked(&self) -> Option<&flume::Receiver<Result<Payload, AskError>>> {
        self.asked.as_ref()
    }

    /// Notes that the last question was answered.
    pub(crate) fn answered(&mut self) {
        self.asked = None;
    }
}
