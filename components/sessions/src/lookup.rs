//! Finding a named session's pin at its homes.
//!
//! Both homes are asked at once. The first that holds the pin settles it, and a home that said
//! it holds none gets a copy. If neither holds one, the session is new: the version chosen here
//! is pinned at the first home that answered, whose word stands if another daemon was quicker,
//! and then copied to the other. If no home answers, the choice by hash serves alone.

use types::prelude::*;

use crate::SessionKey;
use crate::pins::{Message, Pin, Reply};

/// A search under way.
#[derive(Debug, Clone)]
pub struct Lookup {
    key: SessionKey,
    waiting: Vec<DaemonId>,
    missing: Vec<DaemonId>,
}

/// What a search has come to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupStep {
    /// Wait for the other home.
    Wait,
    /// The session has this pin; send copies to homes that lack it.
    Found(Pin, Vec<DaemonId>),
    /// No home holds one: choose, and pin at the first of these, then copy what stands to the
    /// others. With none, no home answered.
    New(Vec<DaemonId>),
}

/// A home's answer, or nothing if it did not answer in time.
pub type HomeReply = Option<Reply>;

impl Lookup {
    /// Begins with what to send to each home.
    #[must_use]
    pub fn start(key: SessionKey, homes: Vec<DaemonId>) -> (Self, Vec<(DaemonId, Message)>) {
        let ask = |id: &DaemonId| (id.clone(), Message::Ask(key.clone()));
        let asks = homes.iter().map(ask).collect();
        let lookup = Self {
            key,
            waiting: homes,
            missing: Vec::new(),
        };
        (lookup, asks)
    }

    /// Takes a home's answer. A pin of another session is taken for no answer at all.
    #[must_use]
    pub fn on_reply(&mut self, from: &DaemonId, reply: HomeReply) -> LookupStep {
        self.waiting.retain(|id| id != from);
        match reply {
            Some(Reply::Found(pin)) if pin.key == self.key => {
                return LookupStep::Found(pin, std::mem::take(&mut self.missing));
            }
            Some(Reply::Missing) => self.missing.push(from.clone()),
            Some(Reply::Found(_)) | None => {}
        }
        if self.waiting.is_empty() {
            LookupStep::New(std::mem::take(&mut self.missing))
        } else {
            LookupStep::Wait
        }
    }

    /// The message that pins a new session, or one whose version may no longer serve it.
    #[must_use]
    pub fn pin(&self, version: VersionId, under: Revision, over: Option<VersionId>) -> Message {
        Message::Pin(Pin {
            key: self.key.clone(),
            version,
            revision: under,
            age: Span::ZERO,
            over,
        })
    }
}
