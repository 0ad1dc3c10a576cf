//! Gossip between daemons about contents and upstream crashes.
//!
//! Receivers merge updates by content and upstream, so order, duplicates and loss do not matter: a
//! crash reported by two daemons, or twice, counts once. Updates carry ages, not times; each is
//! forwarded with the age that it has by then.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::content::Content;

/// Updates read from one message at most.
const MAX_UPDATES: usize = 256;

/// One instance of an upstream's program. An id may be reused by a later instance with another
/// start time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamInstance {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Start of this instance by the upstream's own clock, if it reports one.
    pub started_at: Option<WallTime>,
}

/// What happened to a content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContentEvent {
    /// An upstream crashed while it was in flight there.
    Crashed {
        /// The upstream that crashed.
        upstream: UpstreamInstance,
        /// The customer that sent the request.
        customer: Option<Arc<str>>,
        /// Whether the upstream had shown that it started to process the request.
        had_started: bool,
        /// How long the request had been processed there, in ms.
        ran_ms: u32,
    },
    /// It was answered completely.
    Answered,
    /// It is sent once as the half-open trial after its quarantine expired.
    Trial,
    /// An operator lifted its quarantine.
    Lifted,
}

/// An event of one content, with its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentUpdate {
    /// The content that it is about.
    pub content: Content,
    /// What happened to it.
    pub event: ContentEvent,
    /// How long ago it happened, in ms.
    pub age_ms: u32,
}

/// Updates sent in one message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentUpdates(pub Vec<ContentUpdate>);

/// A message of updates that does not decode.
#[derive(Debug, thiserror::Error)]
#[error("a peer's updates on request contents cannot be read: {0}")]
pub struct UpdatesError(#[from] postcard::Error);

impl ContentUpdates {
    /// Encodes the updates for a message to other daemons.
    ///
    /// # Errors
    /// Returns the encoder's error, which does not occur for values of this type.
    pub fn encode(&self) -> Result<Bytes, UpdatesError> {
        Ok(postcard::to_allocvec(self)?.into())
    }

    /// Decodes updates that another daemon sent.
    ///
    /// # Errors
    /// Returns an error when the bytes are not of the expected form.
    pub fn decode(bytes: &[u8]) -> Result<Self, UpdatesError> {
        let mut updates = postcard::from_bytes::<Self>(bytes)?;
        updates.0.truncate(MAX_UPDATES);
        Ok(updates)
    }
}
