//! What a request requires of an upstream.

use std::sync::Arc;

use types::prelude::*;

use crate::trial::Permit;
use crate::upstreams::UpstreamIndex;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a request requires of an upstream.
#[derive(Debug, Clone)]
pub struct Requirements<'a> {
    /// Requested service.
    pub service: &'a Arc<str>,
    /// Requested model; `None` for services that are not engines.
    pub model: Option<&'a Arc<str>>,
    /// The prompt's parts in order; only the last is not shared with other requests.
    pub parts: &'a [PromptPart],
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Versions that the request may be sent to.
    pub permit: &'a Permit,
    /// Upstreams that are not tried again.
    pub exclude: &'a [UpstreamIndex],
    /// Whether to choose the upstream with the fewest outstanding requests, since this request
    /// may crash it.
    pub isolated: bool,
    /// The daemon's own failure domain.
    pub local_domain: &'a FailureDomain,
}
