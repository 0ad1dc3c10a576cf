//! Settings, faults and counters of a stand-in engine.

use std::collections::VecDeque;
use std::net::SocketAddr;

use types::prelude::*;

/// How a stand-in engine is started.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Where to listen; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Versions loaded at the start.
    pub versions: Vec<VersionId>,
    /// Versions that it has room for.
    pub max_versions: usize,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that may wait; more are refused as not run.
    pub max_waiting: usize,
    /// Time of a decode step with nothing else running.
    pub token_time: Span,
    /// Added to a step's time for each request that runs.
    pub token_time_per_running: Span,
    /// Time to read a thousand prompt tokens that are not cached.
    pub prefill_per_1000: Span,
    /// Length of an answer unless the request says less.
    pub answer_tokens: u32,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// Cache events are told so much later.
    pub cache_event_lag: Span,
    /// Every so manieth cache event is lost; 0 for none.
    pub cache_event_gap: u64,
    /// Load reports are up to so old.
    pub load_lag: Span,
    /// Time that loading a version takes.
    pub load_time: Span,
    /// Slots that are out of use while a version loads.
    pub load_slots: u32,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Runs noted one by one, at most; counters go on beyond.
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
            load_slots: 4,
            checks_fencing: true,
            max_run_records: 500_000,
        }
    }
}

/// What goes wrong, from now on.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Connections are closed without an answer, streams break.
    pub down: bool,
    /// Every request waits so much longer for its first token.
    pub delay: Span,
    /// Steps take so many times as long; 0 counts as 1.
    pub slow_factor: u64,
    /// No answer is adequate, whatever the version.
    pub bad_answers: bool,
    /// One each for the next requests, in order.
    pub next: VecDeque<EngineFault>,
}

/// What goes wrong with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// Nothing.
    None,
    /// 503 with `X-Not-Run: true`, not run.
    RefuseNotRun,
    /// 503 without it, although not run.
    Refuse,
    /// 503 with `X-Not-Run: true` that belongs to another request; not run.
    CrossedRefusal,
    /// Runs to the end, then 503 without `X-Not-Run`.
    RefuseAfterRun,
    /// Closes the connection before it runs.
    ResetBefore,
    /// Runs to the end, then closes the connection without an answer.
    ResetAfter,
    /// Gives no further token after so many and keeps the connection open.
    Stall(u32),
    /// Ends the stream after so many tokens in due form but without `[DONE]`.
    Truncate(u32),
    /// Breaks the connection after so many tokens; a whole answer in its middle.
    Break(u32),
    /// Answers with another request's id and text.
    Crossed,
    /// Answers with another request's id and text under the right header.
    CrossedBody,
    /// Goes on with another request's id and text after so many tokens.
    CrossedAfter(u32),
    /// Answers so much later.
    Late(Span),
    /// Drops the answer's last chunk before `[DONE]`, with its finish reason.
    NoFinish,
}

impl EngineFault {
    /// Whether the whole answer is another request's.
    pub(super) fn is_crossed(self) -> bool {
        matches!(self, Self::Crossed | Self::CrossedBody)
    }

    /// Whether the body of an answer that is not streamed is another request's. An answer
    /// with our id and a foreign text could not be told from our own.
    pub(super) fn crosses_body(self) -> bool {
        self.is_crossed() || matches!(self, Self::CrossedAfter(_))
    }

    /// Tokens after which nothing more comes.
    pub(super) fn stall_after(self) -> Option<u32> {
        match self {
            Self::Stall(after) => Some(after),
            _ => None,
        }
    }
}

/// What the engine did so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Chat requests received.
    pub requests: u64,
    /// Refused as not run, for whatever reason.
    pub refused: u64,
    /// Begun.
    pub runs: u64,
    /// Ended with their last token.
    pub finished: u64,
    /// Left by their client before that.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens read.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused for an old fencing number.
    pub orders_refused: u64,
    /// Load reports given.
    pub load_reports: u64,
}

/// One run, noted when it begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// `X-Request-Id` as received.
    pub attempt: String,
    /// The version that ran.
    pub version: VersionId,
    /// First word of the last user message, by which a test knows its request.
    pub tag: String,
    /// Whether it went on from a partial answer.
    pub resumed: bool,
}
