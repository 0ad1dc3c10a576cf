//! Reading a caller's request, and accounting for the body bytes held.

use std::rc::Rc;

use bytes::Bytes;
use callers::{Bounds, ReadError};
use http1::{Framing, Head, HeadError, Wire};
use types::prelude::*;

use crate::answer::LocalReply;
use crate::shared::Shared;

/// Longest head before a configuration is known, in bytes.
const DEFAULT_MAX_HEAD: usize = 16 * 1024;
/// Longest body before a configuration is known, in bytes.
const DEFAULT_MAX_BODY: u64 = 1024 * 1024;
/// Longest time for a complete head before a configuration is known.
const DEFAULT_HEAD_TIMEOUT: Span = Span::from_secs(3);
/// How long an idle connection is kept before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_secs(15);
/// Least pause before a retry that a caller is sent when request bodies use up the memory set aside
/// for them.
const MEMORY_FULL_RETRY: Span = Span::from_millis(500);

/// Why no request was read.
#[derive(Debug)]
pub(crate) enum NoRequest {
    /// The caller closed the connection or was idle for too long; there is no one to answer.
    Closed,
    /// The request gets this reply and the connection is closed.
    Answer(LocalReply),
}

impl From<ReadError> for NoRequest {
    fn from(error: ReadError) -> Self {
        Self::Answer(match error {
            ReadError::Closed => return Self::Closed,
            ReadError::Head(HeadError::Malformed(_)) | ReadError::Body => LocalReply::Malformed,
            ReadError::Head(_) => LocalReply::HeadTooLarge,
            ReadError::HeadTooSlow => LocalReply::HeadTooSlow,
            ReadError::BodyTooSlow => LocalReply::BodyTooSlow,
            ReadError::BodyTooLarge => LocalReply::BodyTooLarge,
            ReadError::BodyRefused => LocalReply::MemoryFull {
                retry_after: MEMORY_FULL_RETRY,
            },
        })
    }
}

/// Limits on what a caller may send, by the newest configuration or the defaults until there is
/// one.
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
            head_within: limits.head_timeout.to_duration(),
            idle: limits.idle.to_duration(),
        },
    )
}

/// Waits for a request's head. Ends early when `leaving` completes before the first byte.
pub(crate) async fn read_head<T>(
    shared: &Shared<T>,
    wire: &Wire,
    leaving: impl Future<Output = ()>,
) -> Result<Head, NoRequest> {
    let bounds = bounds_of(shared);
    Ok(callers::read_head(wire, &bounds, leaving).await?)
}

/// Bytes of a request's body, counted in those that the daemon holds until they are dropped. They
/// count as they arrive: callers that send slowly hold as much as others.
struct HeldBody<T> {
    shared: Rc<Shared<T>>,
    bytes: u64,
}

impl<T> HeldBody<T> {
    /// Sets how many bytes are held; false if there is no memory for so many.
    fn set_len(&mut self, len: usize) -> bool {
        let bytes = len as u64;
        let all = self.shared.held_body_bytes.get() - self.bytes + bytes;
        if all > self.shared.cfg.max_held_body_bytes.0 {
            return false;
        }
        self.shared.held_body_bytes.set(all);
        self.bytes = bytes;
        true
    }
}

impl<T> Drop for HeldBody<T> {
    fn drop(&mut self) {
        let held = self.shared.held_body_bytes.get();
        self.shared
            .held_body_bytes
            .set(held.saturating_sub(self.bytes));
    }
}

/// A request body, which counts until it is dropped.
pub(crate) struct Body<T> {
    pub(crate) bytes: Bytes,
    _held: HeldBody<T>,
}

/// Reads the body that follows a head, until `deadline`.
pub(crate) async fn read_body<T>(
    shared: &Rc<Shared<T>>,
    wire: &Wire,
    head: &Head,
    framing: Framing,
    deadline: Time,
) -> Result<Body<T>, NoRequest> {
    let max = bounds_of(shared).body;
    let until = shared.instant(deadline);
    let mut held = HeldBody {
        shared: Rc::clone(shared),
        bytes: 0,
    };
    let accepts = |len| held.set_len(len);
    let bytes = callers::read_body(wire, head, framing, max, until, accepts).await?;
    Ok(Body { bytes, _held: held })
}
