//! Relays a stream, event by event.

use bytes::{Bytes, BytesMut};
use callers::{Frame, Gone};
use engine::{Event, Stream};
use requests::attempt::{AttemptEnd, Usage};
use requests::life::{Attempted, Request};
use requests::step::{OnCallerGone, on_caller_gone};
use types::prelude::*;

use super::answer::Relay;

const DATA: &[u8] = b"data: ";
const END: &[u8] = b"\n\n";

impl Relay<'_> {
    /// Passes a stream on. Its end marker is held back: that is sent once the answer
    /// is known to be whole and billed.
    pub(super) fn take_stream(
        &mut self,
        mut stream: Stream,
        attempt: &str,
        request: &mut Request<Attempted>,
    ) -> AttemptEnd {
        let before = self.pieces;
        let id = self.answer_id();
        loop {
            let taken = match stream.next_event() {
                Ok(Event::Delta { data, text }) => {
                    let data = engine::rewrite_id(&data, attempt, &id);
                    self.pass(&data, &text, request)
                }
                Ok(Event::Finish { data, text, .. }) => {
                    let data = engine::rewrite_id(&data, attempt, &id);
                    self.pass(&data, &text, request)
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

    fn pass(
        &mut self,
        data: &Bytes,
        text: &str,
        request: &mut Request<Attempted>,
    ) -> Result<(), Gone> {
        if !self.has_begun {
            let head = Frame::Head(self.head("text/event-stream"));
            self.give(head, request)?;
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
        self.give(Frame::Data(event), request)
    }

    /// Sends a frame. Work that runs only once goes on when its caller has left, so that
    /// the caller's repeat finds its outcome; other work is cancelled.
    fn give(&mut self, frame: Frame, request: &Request<Attempted>) -> Result<(), Gone> {
        let sent = if self.caller_left {
            Err(Gone)
        } else {
            self.responder.send(frame)
        };
        self.caller_left = sent.is_err();
        match on_caller_gone(request.facts()) {
            OnCallerGone::Finish => Ok(()),
            OnCallerGone::Cancel => sent,
        }
    }
}
