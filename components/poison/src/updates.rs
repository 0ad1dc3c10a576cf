//! What daemons tell each other of contents and of upstreams that ended.
//!
//! Words are added up by content and upstream, so that order, repeats and loss do not matter:
//! the same end told by two daemons, or twice, is one end. Ages travel, not moments; a word is
//! handed on with the age that it has by then.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::content::Content;

/// Words taken of one message at most.
const MAX_WORDS: usize = 256;

/// One run of an upstream's program: an id may be used again, with another start.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamRun {
    /// Of the program.
    pub id: UpstreamId,
    /// Of this run, by its own clock, where it tells.
    pub started_at: Option<WallTime>,
}

/// What became of a content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// An upstream ended under it.
    Ended {
        /// Which.
        upstream: UpstreamRun,
        /// Whose request it was.
        customer: Option<Arc<str>>,
        /// Whether there was a sign that it ran there.
        had_begun: bool,
        /// How long it had run there.
        ran_ms: u32,
    },
    /// It was answered whole.
    Whole,
    /// It is sent once more to see whether its bar still holds.
    Tried,
    /// An operator lifted its bar.
    Lifted,
}

/// A word on one content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// Which.
    pub content: Content,
    /// What became of it.
    pub fate: Fate,
    /// How long ago.
    pub age_ms: u32,
}

/// Words that travel together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Words(pub Vec<Word>);

/// Bytes that are no words.
#[derive(Debug, thiserror::Error)]
#[error("a peer's words on contents cannot be read: {0}")]
pub struct WordsError(#[from] postcard::Error);

impl Words {
    /// As bytes.
    ///
    /// # Errors
    /// Never for words of this form.
    pub fn encode(&self) -> Result<Bytes, WordsError> {
        Ok(postcard::to_allocvec(self)?.into())
    }

    /// From bytes.
    ///
    /// # Errors
    /// When they are not of the expected form.
    pub fn decode(bytes: &[u8]) -> Result<Self, WordsError> {
        let mut words = postcard::from_bytes::<Self>(bytes)?;
        words.0.truncate(MAX_WORDS);
        Ok(words)
    }
}
