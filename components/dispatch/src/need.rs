//! What a request needs of an upstream.

use std::sync::Arc;

use types::prelude::*;

use crate::trial::Permit;
use crate::upstreams::UpstreamIndex;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Tells its text from others.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a request needs.
#[derive(Debug, Clone)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// The model, of engines.
    pub model: Option<&'a Arc<str>>,
    /// The prompt's parts in order; the last is the request's own.
    pub parts: &'a [PromptPart],
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Versions that it may run on.
    pub permit: &'a Permit,
    /// Upstreams that it must not go to again.
    pub exclude: &'a [UpstreamIndex],
    /// Whether it is to run where fewest others do: its upstream may end under it.
    pub apart: bool,
    /// Where this daemon stands.
    pub near: &'a FailureDomain,
}
