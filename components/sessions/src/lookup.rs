//! Looks up a named session's pin at its homes.
//!
//! Both homes are asked at once. The first pin that a home returns is used, and a home that
//! answered before that it holds none gets a copy. If neither holds one, the session is new: the
//! version chosen here is pinned at the first home that answered. If another daemon has pinned
//! the session there meanwhile, the home returns that pin, which is used instead. The pin is
//! then copied to the other home. If no home answers, the version is chosen by hash only.

use types::prelude::*;

use crate::SessionKey;
use crate::pins::{Message, Pin, Reply};

/// State machine of one lookup.
#[derive(Debug, Clone)]
pub struct Lookup {
    key: SessionKey,
    waiting: Vec<DaemonId>,
    without_pin: Vec<DaemonId>,
}

/// What follows a home's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupStep {
    /// Wait for the answer of the other home.
    Wait,
    /// The session has this pin; send copies to these homes, which do not hold it.
    Found(Pin, Vec<DaemonId>),
    /// No home holds a pin: choose a version, pin it at the first of these homes, and copy the
    /// pin that it returns to the others. The list is empty if no home answered.
    New(Vec<DaemonId>),
}

/// A home's answer, or `None` if it did not answer in time.
pub type HomeReply = Option<Reply>;

impl Lookup {
    /// Starts a lookup and returns the message to send to each home.
    #[must_use]
    pub fn start(key: SessionKey, homes: Vec<DaemonId>) -> (Self, Vec<(DaemonId, Message)>) {
        let ask = |id: &DaemonId| (id.clone(), Message::Ask(key.clone()));
        let messages = homes.iter().map(ask).collect();
        let lookup = Self {
            key,
            waiting: homes,
            without_pin: Vec::new(),
        };
        (lookup, messages)
    }

    /// Takes a home's answer. A pin of another session counts as no answer.
    #[must_use]
    pub fn on_reply(&mut self, from: &DaemonId, reply: HomeReply) -> LookupStep {
        self.waiting.retain(|id| id != from);
        match reply {
            Some(Reply::Found(pin)) if pin.key == self.key => {
                return LookupStep::Found(pin, std::mem::take(&mut self.without_pin));
            }
            Some(Reply::Missing) => self.without_pin.push(from.clone()),
            Some(Reply::Found(_)) | None => {}
        }
        if self.waiting.is_empty() {
            LookupStep::New(std::mem::take(&mut self.without_pin))
        } else {
            LookupStep::Wait
        }
    }

    /// Creates the message that pins a new session, or one whose version may no longer serve it
    /// (`replaces`), under a catalogue revision.
    #[must_use]
    pub fn pin(
        &self,
        version: VersionId,
        catalogue_revision: Revision,
        replaces: Option<VersionId>,
    ) -> Message {
        Message::Pin(Pin {
            key: self.key.clone(),
            version,
            revision: catalogue_revision,
            age: Span::ZERO,
            replaces,
        })
    }
}
