//! Who ended a stream before its end, and what was left that could have completed it.

use std::fmt;

use dispatch::{BudgetUse, NoUpstream};
use prometheus_client::encoding::EncodeLabelValue;
use types::prelude::*;

/// Who ended a stream before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum EndedBy {
    /// The upstream broke off, and nothing could go on with it.
    Upstream,
    /// This daemon gave up an upstream that had not broken off.
    Daemon,
    /// The path to the upstream was lost.
    Path,
    /// The deadline passed.
    Deadline,
    /// The caller disconnected, or left its answer unread.
    Caller,
    /// The daemon stopped before the stream ended.
    Shutdown,
}

/// What was left of a request when its stream ended before its end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Remaining {
    /// Attempts that upstreams may have processed, and how many the route allows.
    pub(crate) runs: (u32, u32),
    /// Sends, and how many the request may make.
    pub(crate) sends: (u32, u32),
    /// Attempts that reached no upstream.
    pub(crate) unreachable: u32,
    pub(crate) retries: BudgetUse,
    /// Why no other upstream could be chosen; none if one could.
    pub(crate) shortage: Option<NoUpstream>,
    pub(crate) time: Span,
}

impl fmt::Display for Remaining {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { runs, sends, .. } = self;
        write!(f, "{} of {} runs made, ", runs.0, runs.1)?;
        write!(f, "{} of {} sends made, ", sends.0, sends.1)?;
        write!(f, "{} unreachable, ", self.unreachable)?;
        match self.shortage {
            Some(no) => write!(f, "no room: {no}, ")?,
            None => f.write_str("room, ")?,
        }
        write!(f, "{} ms; {}", self.time.as_millis(), self.retries)
    }
}
