//! What callers and upstreams say, free of the names on the wire.

use std::sync::Arc;

use dispatch::{Advertised, PromptPart};
use http1::Head;
use routes::ApiKey;
use types::prelude::*;

/// The prompt of a request to a model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// Its whole length in tokens.
    pub tokens: u32,
    /// Longest answer in tokens.
    pub max_output: u32,
}

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The caller's id of this attempt.
    pub attempt: Arc<str>,
    /// How long the caller waits.
    pub patience: Option<Span>,
    /// The caller's key.
    pub key: Option<ApiKey>,
    /// The model named by the caller; absent where this system chooses.
    pub model: Option<Arc<str>>,
    /// The prompt, of requests to models.
    pub prompt: Option<Prompt>,
    /// A hash of the session, of requests that belong together.
    pub session: Option<u64>,
    /// The last event that the caller has of this stream.
    pub resume_after: Option<u64>,
}

/// Why a caller's head cannot be served.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AskError {
    /// A field that every request carries is missing or given twice.
    #[error("the field {0} must be given once")]
    NotOnce(&'static str),
    /// A field cannot be read.
    #[error("the field {0} cannot be read")]
    Unreadable(&'static str),
}

/// What an upstream is told beside what the caller sent.
#[derive(Debug, Clone)]
pub struct Forwarding<'a> {
    /// The caller's head.
    pub head: &'a Head,
    /// How long the answer is waited for.
    pub patience: Span,
    /// Which run of the upstream is meant.
    pub upstream: &'a UpstreamId,
    /// Whose request it is.
    pub customer: Option<&'a str>,
    /// The model to use, where this system chooses.
    pub model: Option<&'a str>,
    /// Go on after this event.
    pub resume_after: Option<u64>,
    /// Rank among other requests at the upstream.
    pub rank: u8,
}

/// Whether an upstream ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It did, or may have.
    Ran,
    /// It promises that it did not.
    NotRun,
    /// Another run of a program answered; it did not run it.
    OtherRun,
}

/// What an upstream's head says.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The attempt that it answers.
    pub attempt: Option<Arc<str>>,
    /// Whether the upstream vouches for it.
    pub is_signed: bool,
    /// Whether it ran.
    pub standing: Standing,
    /// The model's opinion of its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// The upstream's rate limit.
    pub rate_limit: Advertised,
    /// When the upstream wants to be asked again, of an answer that says it did not run.
    pub retry_after: Option<Span>,
    /// The body was encoded on the way and is not the upstream's.
    pub is_encoded: bool,
}

/// Names and forms on the wire.
pub trait Translator: 'static {
    /// Reads a caller's head.
    ///
    /// # Errors
    /// Says which field is at fault.
    fn ask(&self, head: &Head) -> Result<Ask, AskError>;

    /// Writes the fields of the request to an upstream, each as a line; framing, which is
    /// the connection's own, is left to the caller of this.
    fn forward(&self, forwarding: &Forwarding<'_>, out: &mut Vec<u8>);

    /// Reads an upstream's head.
    fn reply(&self, head: &Head) -> Reply;
}
