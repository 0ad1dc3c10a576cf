//! Reading a caller's request, and what of it is held.

use std::rc::Rc;

use bytes::Bytes;
use callers::{Bounds, Unread};
use http1::{Framing, Head, HeadError, Wire};
use types::prelude::*;

use crate::answer::Own;
use crate::shared::World;

/// Before a configuration is known: longest head.
const FIRST_HEAD: usize = 16 * 1024;
/// Before a configuration is known: longest body.
const FIRST_BODY: u64 = 1024 * 1024;
/// Before a configuration is known: a head must be complete within.
const FIRST_HEAD_WITHIN: Span = Span::from_secs(3);
/// Before a configuration is known: an idle connection is kept for.
const FIRST_IDLE: Span = Span::from_secs(15);
/// Callers return at least this much later when this daemon holds all that it may.
const FULL_RETRY: Span = Span::from_millis(500);

/// Why no request was read.
#[derive(Debug)]
pub(crate) enum NoRequest {
    /// The caller closed or was idle for too long: nothing to say.
    Closed,
    /// To be answered, then closed.
    Answer(Own),
}

impl From<Unread> for NoRequest {
    fn from(unread: Unread) -> Self {
        Self::Answer(match unread {
            Unread::Closed => return Self::Closed,
            Unread::Head(HeadError::Malformed(_)) | Unread::Body => Own::Malformed,
            Unread::Head(_) => Own::HeadTooLarge,
            Unread::HeadTooSlow => Own::HeadTooSlow,
            Unread::BodyTooSlow => Own::BodyTooSlow,
            Unread::BodyTooLarge => Own::BodyTooLarge,
        })
    }
}

/// What a caller may send, by the newest configuration or until there is one.
fn bounds_of<T>(world: &World<T>) -> Bounds {
    let plan = world.plan();
    let limits = plan.table.as_ref().map(|table| table.limits);
    limits.map_or(
        Bounds {
            head: FIRST_HEAD,
            body: FIRST_BODY,
            head_within: FIRST_HEAD_WITHIN.to_duration(),
            idle: FIRST_IDLE.to_duration(),
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
    world: &World<T>,
    wire: &Wire,
    leaving: impl Future<Output = ()>,
) -> Result<Head, NoRequest> {
    let bounds = bounds_of(world);
    Ok(callers::read_head(wire, &bounds, leaving).await?)
}

/// A body, counted against what the daemon may hold.
pub(crate) struct Body<T> {
    pub(crate) bytes: Bytes,
    world: Rc<World<T>>,
}

impl<T> Drop for Body<T> {
    fn drop(&mut self) {
        let held = self.world.held.get();
        self.world
            .held
            .set(held.saturating_sub(self.bytes.len() as u64));
    }
}

/// Reads the body behind a head, until `deadline`.
pub(crate) async fn read_body<T>(
    world: &Rc<World<T>>,
    wire: &Wire,
    head: &Head,
    framing: Framing,
    deadline: Time,
) -> Result<Body<T>, NoRequest> {
    let max = bounds_of(world).body;
    let until = world.instant(deadline);
    let bytes = callers::read_body(wire, head, framing, max, until).await?;
    let held = world.held.get() + bytes.len() as u64;
    if held > world.cfg.max_held.0 {
        let retry_after = FULL_RETRY;
        return Err(NoRequest::Answer(Own::NotRun { retry_after }));
    }
    world.held.set(held);
    Ok(Body {
        bytes,
        world: Rc::clone(world),
    })
}
