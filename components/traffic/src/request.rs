//! Reading a caller's request.

use std::io;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http1::{BodyReader, Framing, Head, HeadError, Progress, Wire};
use types::prelude::*;

use crate::answer::Own;
use crate::world::World;

/// Before a configuration is known: longest head.
const FIRST_HEAD: usize = 16 * 1024;
/// Before a configuration is known: longest body.
const FIRST_BODY: u64 = 1024 * 1024;
/// Before a configuration is known: a head must be complete within.
const FIRST_HEAD_WITHIN: Span = Span::from_secs(3);
/// Before a configuration is known: an idle connection is kept for.
const FIRST_IDLE: Span = Span::from_secs(15);

/// Why no request was read.
#[derive(Debug)]
pub(crate) enum NoRequest {
    /// The caller closed or was idle for too long: nothing to say.
    Closed,
    /// To be answered, then closed.
    Answer(Own),
}

impl From<io::Error> for NoRequest {
    fn from(_: io::Error) -> Self {
        // A caller's broken connection is its own affair; nobody is left to be told.
        Self::Closed
    }
}

/// What a caller may send, of the newest configuration or until there is one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    head: usize,
    body: u64,
    head_within: Span,
    idle: Span,
}

impl Bounds {
    pub(crate) fn of<T>(world: &World<T>) -> Self {
        let plan = world.plan();
        plan.table.as_ref().map_or(
            Self {
                head: FIRST_HEAD,
                body: FIRST_BODY,
                head_within: FIRST_HEAD_WITHIN,
                idle: FIRST_IDLE,
            },
            |table| Self {
                head: usize::try_from(table.limits.head.0).unwrap_or(usize::MAX),
                body: table.limits.body.0,
                head_within: table.limits.head_within,
                idle: table.limits.idle,
            },
        )
    }
}

/// Waits for a request's head. Ends early when `leaving` completes while no byte is there.
pub(crate) async fn read_head<T>(
    world: &World<T>,
    wire: &Wire,
    leaving: impl Future<Output = ()>,
) -> Result<Head, NoRequest> {
    let bounds = Bounds::of(world);
    if wire.buf().is_empty() {
        let idle_until = world.instant(world.now() + bounds.idle);
        tokio::select! {
            biased;
            read = wire.fill() => if read? == 0 { return Err(NoRequest::Closed) },
            () = tokio::time::sleep_until(idle_until) => return Err(NoRequest::Closed),
            () = leaving => return Err(NoRequest::Closed),
        }
    }
    let until = world.instant(world.now() + bounds.head_within);
    let read = async {
        loop {
            let taken = Head::take_request(&mut wire.buf(), bounds.head);
            if let Some(head) = taken.map_err(refuse_head)? {
                return Ok(head);
            }
            if wire.fill().await? == 0 {
                return Err(NoRequest::Closed);
            }
        }
    };
    match tokio::time::timeout_at(until, read).await {
        Ok(done) => done,
        Err(_) => Err(NoRequest::Answer(Own::HeadTooSlow)),
    }
}

fn refuse_head(e: HeadError) -> NoRequest {
    NoRequest::Answer(match e {
        HeadError::TooLarge(_) | HeadError::TooManyFields => Own::HeadTooLarge,
        HeadError::Malformed(_) => Own::Malformed,
    })
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
    let max = Bounds::of(world).body;
    if matches!(framing, Framing::Length(length) if length > max) {
        return Err(NoRequest::Answer(Own::BodyTooLarge));
    }
    if head.has_token("expect", "100-continue") && framing != Framing::Empty {
        wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let read = read_to_end(wire, framing, max);
    let bytes = match tokio::time::timeout_at(world.instant(deadline), read).await {
        Ok(done) => done?,
        Err(_) => return Err(NoRequest::Answer(Own::BodyTooSlow)),
    };
    let held = world.held.get() + bytes.len() as u64;
    if held > world.cfg.max_held.0 {
        let retry_after = Span::from_millis(500);
        return Err(NoRequest::Answer(Own::NotRun { retry_after }));
    }
    world.held.set(held);
    Ok(Body {
        bytes,
        world: Rc::clone(world),
    })
}

async fn read_to_end(wire: &Wire, framing: Framing, max: u64) -> Result<Bytes, NoRequest> {
    let mut reader = BodyReader::new(framing);
    let mut body = BytesMut::new();
    loop {
        let progress = reader.read(&mut wire.buf());
        match progress.map_err(|_| NoRequest::Answer(Own::Malformed))? {
            Progress::Done => return Ok(body.freeze()),
            Progress::Data(data) => {
                if (body.len() + data.len()) as u64 > max {
                    return Err(NoRequest::Answer(Own::BodyTooLarge));
                }
                body.extend_from_slice(&data);
            }
            Progress::NeedMore => {
                if wire.fill().await? == 0 {
                    return Err(NoRequest::Closed);
                }
            }
        }
    }
}
