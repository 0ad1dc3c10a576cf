//! Reading a caller's request, and what of it is held.

use std::rc::Rc;

use bytes::Bytes;
use callers::{Bounds, Unread};
use http1::{Framing, Head, HeadError, Wire};
use types::prelude::*;

use crate::answer::LocalReply;
use crate::shared::Shared;

/// Before a configuration is known: longest head.
const DEFAULT_MAX_HEAD: usize = 16 * 1024;
/// Before a configuration is known: longest body.
const DEFAULT_MAX_BODY: u64 = 1024 * 1024;
/// Before a configuration is known: a head must be complete within.
const DEFAULT_HEAD_TIMEOUT: Span = Span::from_secs(3);
/// Before a configuration is known: an idle connection is kept for.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_secs(15);
/// Callers return at least this much later when this daemon holds all that it may.
const MEMORY_FULL_RETRY: Span = Span::from_millis(500);

/// Why no request was read.
#[derive(Debug)]
pub(crate) enum NoRequest {
    /// The caller closed or was idle for too long: nothing to say.
    Closed,
    /// To be answered, then closed.
    Answer(LocalReply),
}

impl From<Unread> for NoRequest {
    fn from(unread: Unread) -> Self {
        Self::Answer(match unread {
            Unread::Closed => return Self::Closed,
            Unread::Head(HeadError::Malformed(_)) | Unread::Body => LocalReply::Malformed,
            Unread::Head(_) => LocalReply::HeadTooLarge,
            Unread::HeadTooSlow => LocalReply::HeadTooSlow,
            Unread::BodyTooSlow => LocalReply::BodyTooSlow,
            Unread::BodyTooLarge => LocalReply::BodyTooLarge,
        })
    }
}

/// What a caller may send, by the newest configuration or until there is one.
fn bounds_of<T>(shared: &Shared<T>) -> Bounds {
    let plan = shared.plan();
    let limits = plan.table.as_ref().map(|table| table.limits);
    limits.map_or(
        Bounds {
            head: DEFAULT_MAX_HEAD,
            body: DEFAULT_MAX_BODY,
            head_within: DEFAULT_HEAD_TIMEOUT.to_duration(),
            idle: DEFAULT_IDLE_TIMEOUT.to_duration(),
        },
        |limits| Bounds {
            head: limits.head.as_usize(),
            body: limits.body.0,
            head_within: limits.head_within.to_duration(),
            idle: limits.idle.to_duration(),
        },
    )
}

/// Waits for a request's head. Ends early when `leaving` completes while no byte is there.
pub(crate) async fn read_head<T>(
    shared: &Shared<T>,
    wire: &Wire,
    leaving: impl Future<Output = ()>,
) -> Result<Head, NoRequest> {
    let bounds = bounds_of(shared);
    Ok(callers::read_head(wire, &bounds, leaving).await?)
}

/// A body, counted against what the daemon may hold.
pub(crate) struct Body<T> {
    pub(crate) bytes: Bytes,
    shared: Rc<Shared<T>>,
}

impl<T> Drop for Body<T> {
    fn drop(&mut self) {
        let held = self.shared.held_body_bytes.get();
        self.shared
            .held_body_bytes
            .set(held.saturating_sub(self.bytes.len() as u64));
    }
}

/// Reads the body behind a head, until `deadline`.
pub(crate) async fn read_body<T>(
    shared: &Rc<Shared<T>>,
    wire: &Wire,
    head: &Head,
    framing: Framing,
    deadline: Time,
) -> Result<Body<T>, NoRequest> {
    let max = bounds_of(shared).body;
    let until = shared.instant(deadline);
    let bytes = callers::read_body(wire, head, framing, max, until).await?;
    let held = shared.held_body_bytes.get() + bytes.len() as u64;
    if held > shared.cfg.max_held.0 {
        let retry_after = MEMORY_FULL_RETRY;
        return Err(NoRequest::Answer(LocalReply::NotRun { retry_after }));
    }
    shared.held_body_bytes.set(held);
    Ok(Body {
        bytes,
        shared: Rc::clone(shared),
    })
}
