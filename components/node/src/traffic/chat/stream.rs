//! Relays a stream, event by event.

use bytes::{Bytes, BytesMut};
use callers::{Frame, Gone};
use engine::{Event, Stream};
use requests::attempt::{AttemptEnd, Usage};
use requests::life::{Attempted, Request};
use requests::step::{OnCallerGone, on_caller_gone};
use types::prelude::*;

use super::answer::Relay;
use crate::admission::Yielding;
use crate::traffic::upstream::left;

const DATA: &[u8] = b"data: ";
const END: &[u8] = b"\n\n";

impl<'a> Relay<'a> {
    /// Passes a stream on. Its end marker is held back: that is sent once the answer
    /// is known to be whole and billed.
    pub(super) async fn take_stream(
        &mut self,
        mut stream: Box<Stream>,
        attempt: &str,
        request: &mut Request<Attempted>,
    ) -> AttemptEnd {
        let before = self.pieces;
        let id = self.answer_id();
        let mut yielding = None;
        loop {
            let next = tokio::select! {
                biased;
                next = stream.next_event() => next,
                () = left(self.responder, request.facts()) => return AttemptEnd::CallerGone,
            };
            let taken = match next {
                Ok(Event::Delta { data, text }) => {
                    let data = engine::rewrite_id(&data, attempt, &id);
                    self.pass(&data, &text, request).await
                }
                Ok(Event::Finish { data, text, .. }) => {
                    let data = engine::rewrite_id(&data, attempt, &id);
                    self.pass(&data, &text, request).await
                }
                Ok(Event::Usage { usage, .. }) => {
                    let output = Tokens(before) + usage.completion;
                    self.usage = Usage {
                        input: usage.prompt,
                        output,
                    };
                    Ok(())
                }
                Ok(Event::Done) => return self.whole_stream(),
                Err(error) => return self.failed(&error),
            };
            if taken.is_err() {
                return AttemptEnd::CallerGone;
            }
            if yielding.is_none() {
                yielding = self.begin_yielding(request);
            }
            if yielding.as_ref().is_some_and(Yielding::is_asked) {
                return self.give_way();
            }
        }
    }

    /// Batch work that may be resumed can give way once it runs.
    fn begin_yielding(&self, request: &Request<Attempted>) -> Option<Yielding<'a>> {
        let job = self.job;
        let may = job.priority == Priority::Batch && request.facts().idempotent;
        let has_begun = self.first_token.is_some();
        let index = self.at.filter(|_| may && has_begun)?;
        Some(Yielding::begin(&job.cx.shared, index))
    }

    /// Leaves the engine, which cancels the work there; it goes on from the tokens passed on.
    fn give_way(&mut self) -> AttemptEnd {
        self.has_given_way = true;
        AttemptEnd::Truncated {
            received: Tokens(self.pieces),
            shown: self.has_begun,
        }
    }

    /// An engine that counts nothing is billed by the pieces that it sent.
    fn whole_stream(&mut self) -> AttemptEnd {
        if self.usage.output == Tokens(0) {
            self.usage = Usage {
                input: self.job.ask.input,
                output: Tokens(self.pieces),
            };
        }
        AttemptEnd::Whole {
            usage: self.usage,
            adequate: true,
        }
    }

    async fn pass(
        &mut self,
        data: &Bytes,
        text: &str,
        request: &mut Request<Attempted>,
    ) -> Result<(), Gone> {
        if !self.has_begun {
            let head = Frame::Head(self.head("text/event-stream"));
            self.give(head, request).await?;
            self.has_begun = true;
            request.show();
        }
        if !text.is_empty() {
            let now = self.job.cx.shared.now();
            self.times.token(now);
            self.first_token.get_or_insert(now);
            self.pieces += 1;
            self.text.push_str(text);
        }
        let mut event = BytesMut::with_capacity(DATA.len() + data.len() + END.len());
        event.extend_from_slice(DATA);
        event.extend_from_slice(data);
        event.extend_from_slice(END);
        let event = event.freeze();
        self.transcript.push(&event);
        self.give(Frame::Data(event), request).await
    }

    /// Sends a frame. Work that runs only once goes on when its caller has left, so that
    /// the caller's repeat finds its outcome; other work is cancelled.
    async fn give(&mut self, frame: Frame, request: &Request<Attempted>) -> Result<(), Gone> {
        let sent = if self.caller_left {
            Err(Gone)
        } else {
            self.responder.send(frame).await
        };
        self.caller_left = sent.is_err();
        match on_caller_gone(request.facts()) {
            OnCallerGone::Finish => Ok(()),
            OnCallerGone::Cancel => sent,
        }
    }
}
