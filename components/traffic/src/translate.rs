//! Requests and replies independent of header names on the wire.

use std::sync::Arc;

use dispatch::{Advertised, Brittleness, PromptPart};
use http1::Head;
use routes::ApiKey;
use types::prelude::*;

/// The prompt of a request to a model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt in tokens.
    pub tokens: u32,
    /// Longest answer in tokens.
    pub max_output: u32,
}

/// A caller's request, as read from its head.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The caller's id of this attempt.
    pub attempt: Arc<str>,
    /// How long the caller waits for an answer.
    pub timeout: Option<Span>,
    /// The caller's API key.
    pub key: Option<ApiKey>,
    /// The model named by the caller; none where the daemon chooses.
    pub model: Option<Arc<str>>,
    /// The prompt, if the request goes to a model.
    pub prompt: Option<Prompt>,
    /// Hash of the session that the request belongs to.
    pub session: Option<u64>,
    /// The last event of the stream that the caller already has.
    pub resume_after: Option<u64>,
}

/// Why a caller's head cannot be served.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AskError {
    /// A header that every request carries is missing or given twice.
    #[error("the header {0} must be given exactly once")]
    NotOnce(&'static str),
    /// A header cannot be read.
    #[error("the header {0} cannot be read")]
    Unreadable(&'static str),
}

/// What an upstream is sent besides the caller's own headers.
#[derive(Debug, Clone)]
pub struct Forwarding<'a> {
    /// The caller's head.
    pub head: &'a Head,
    /// How long the answer is waited for.
    pub timeout: Span,
    /// The instance of the upstream that is to process the request.
    pub upstream: &'a UpstreamId,
    /// Name of the customer.
    pub customer: Option<&'a str>,
    /// The model to use, where the daemon chooses.
    pub model: Option<&'a str>,
    /// The event after which the stream is to resume.
    pub resume_after: Option<u64>,
    /// Rank among the upstream's requests; lower goes first.
    pub rank: u8,
}

/// Whether an upstream processed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It processed the request, or may have.
    Ran,
    /// The upstream states that it did not process the request.
    NotRun,
    /// Another instance of the upstream's program answered; it did not process the request.
    OtherInstance,
}

/// An upstream's reply, as read from its head.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The id of the attempt that it answers.
    pub attempt: Option<Arc<str>>,
    /// Whether the upstream signed the answer as its own.
    pub is_signed: bool,
    /// Whether the request was processed.
    pub execution: Execution,
    /// The model's confidence in its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// The rate limit that the upstream advertises.
    pub rate_limit: Advertised,
    /// Whether the upstream falls over when it has to reject too many requests.
    pub brittleness: Brittleness,
    /// When a request may be sent to the upstream again, if this one was not processed.
    pub retry_after: Option<Span>,
    /// Whether the body was encoded on the way, so that it isn't the upstream's own.
    pub is_reencoded: bool,
}

/// Maps requests and replies to header names on the wire.
pub trait Translator: 'static {
    /// Reads a caller's head.
    ///
    /// # Errors
    /// Names the header that is missing, duplicated or malformed.
    fn ask(&self, head: &Head) -> Result<Ask, AskError>;

    /// Writes the header lines of the request to an upstream, without those that frame the body,
    /// which the connection writes itself.
    fn forward(&self, forwarding: &Forwarding<'_>, out: &mut Vec<u8>);

    /// Reads the head of a reply to a request that was meant for `upstream`.
    fn reply(&self, head: &Head, upstream: &UpstreamId) -> Reply;
}
