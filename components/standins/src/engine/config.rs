//! Configuration, faults and counters of a stand-in engine.

use std::collections::VecDeque;
use std::net::SocketAddr;

use types::prelude::*;

/// Configuration of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Address to listen on; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Model versions loaded at the start.
    pub versions: Vec<VersionId>,
    /// Most model versions that may be loaded or loading at once.
    pub max_versions: usize,
    /// Most requests that run at once.
    pub slots: u32,
    /// Most requests that may wait for a slot; further ones are refused as not run.
    pub max_waiting: usize,
    /// Base time of a decode step.
    pub token_time: Span,
    /// Time added to a decode step for each running request.
    pub token_time_per_running: Span,
    /// Prefill time for 1000 prompt tokens that are not cached.
    pub prefill_per_1000: Span,
    /// Length of an answer in tokens, unless the request asks for fewer.
    pub answer_tokens: u32,
    /// Capacity of the prefix cache in prompt tokens.
    pub cache_tokens: u64,
    /// Delay before a cache event becomes visible.
    pub cache_event_lag: Span,
    /// Every n-th cache event is lost; 0 loses none.
    pub cache_event_gap: u64,
    /// Greatest age of a load report.
    pub load_lag: Span,
    /// Time to load a model version.
    pub load_time: Span,
    /// Slots that are unavailable while a model version loads.
    pub slots_used_by_loading: u32,
    /// Whether orders with a stale fencing token are refused.
    pub checks_fencing: bool,
    /// Most run records kept; later runs appear in the counters only.
    pub max_run_records: usize,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            versions: Vec::new(),
            max_versions: 8,
            slots: 16,
            max_waiting: 256,
            token_time: Span::ZERO,
            token_time_per_running: Span::ZERO,
            prefill_per_1000: Span::ZERO,
            answer_tokens: 16,
            cache_tokens: 100_000,
            cache_event_lag: Span::from_millis(100),
            cache_event_gap: 0,
            load_lag: Span::ZERO,
            load_time: Span::from_millis(200),
            slots_used_by_loading: 4,
            checks_fencing: true,
            max_run_records: 500_000,
        }
    }
}

/// Faults in effect until they are changed.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Closes connections without an answer and breaks open streams.
    pub down: bool,
    /// Extra wait of every request for its first token.
    pub delay: Span,
    /// Factor on the time of a decode step; 0 counts as 1.
    pub slow_factor: u64,
    /// Makes every answer inadequate, whatever the model version.
    pub bad_answers: bool,
    /// Faults for the next requests, one each, in order.
    pub next: VecDeque<EngineFault>,
}

/// A fault in the handling of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// No fault.
    None,
    /// Replies 503 with `X-Not-Run: true` without running the request.
    RefuseNotRun,
    /// Replies 503 without `X-Not-Run`, although the request was not run.
    Refuse,
    /// Replies 503 with `X-Not-Run: true` and another request's id, without running this one.
    CrossedRefusal,
    /// Runs the request to its end, then replies 503 without `X-Not-Run`.
    RefuseAfterRun,
    /// Closes the connection without running the request.
    ResetBefore,
    /// Runs the request to its end, then closes the connection without an answer.
    ResetAfter,
    /// Sends no further token after this many and keeps the connection open.
    Stall(u32),
    /// Ends the stream after this many tokens with a valid HTTP end but without `[DONE]`.
    Truncate(u32),
    /// Breaks the connection after this many tokens, or halfway through the body of an answer
    /// that is not streamed.
    Break(u32),
    /// Answers with another request's id and text, in both header and body.
    Crossed,
    /// Answers with another request's id and text in the body but the right id in the header.
    CrossedBody,
    /// Continues with another request's id and text after this many tokens.
    CrossedAfter(u32),
    /// Delays the first token by this much.
    Late(Span),
    /// Leaves out the chunk with the finish reason, which precedes `[DONE]`.
    NoFinish,
}

impl EngineFault {
    /// Returns whether the answer is entirely another request's.
    pub(super) fn is_crossed(self) -> bool {
        matches!(self, Self::Crossed | Self::CrossedBody)
    }

    /// Returns whether the body of an answer that is not streamed carries another request's
    /// id. A body with the right id and another request's text could not be told from a
    /// correct answer.
    pub(super) fn crosses_body(self) -> bool {
        self.is_crossed() || matches!(self, Self::CrossedAfter(_))
    }

    /// Returns the number of tokens after which the request stalls, if it does.
    pub(super) fn stall_after(self) -> Option<u32> {
        match self {
            Self::Stall(after) => Some(after),
            _ => None,
        }
    }
}

/// Counts of what the engine did since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Chat requests received.
    pub requests: u64,
    /// Chat requests refused as not run on arrival; excludes those that expired in the queue.
    pub refused: u64,
    /// Requests that got a slot.
    pub runs: u64,
    /// Requests that ended with their last token.
    pub finished: u64,
    /// Requests whose client disconnected before their last token.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens received, cached ones included.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Orders applied.
    pub orders: u64,
    /// Orders refused, for a stale fencing token or any other reason.
    pub orders_refused: u64,
    /// Load reports sent.
    pub load_reports: u64,
}

/// A record of one run, made when the request gets a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Value of the `X-Request-Id` header as received.
    pub attempt: String,
    /// Model version that ran.
    pub version: VersionId,
    /// First word of the last user message, by which a test recognizes its request.
    pub tag: String,
    /// Whether the run resumed a partial answer.
    pub resumed: bool,
}
