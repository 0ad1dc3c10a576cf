//! Relays an engine's stream to the caller, event by event.

use bytes::{Bytes, BytesMut};
use callers::{CallerDisconnected, Frame};
use engine::{Event, Stream};
use requests::attempt::{AttemptEnd, Usage};
use requests::life::{Attempted, Request};
use requests::step::{OnCallerGone, on_caller_gone};
use types::prelude::*;

use super::answer::{Relay, stalled};
use crate::admission::Preemptible;
use crate::traffic::upstream::cancellation;

const DATA: &[u8] = b"data: ";
const END: &[u8] = b"\n\n";

impl<'a> Relay<'a> {
    /// Relays a stream. Its end marker is held back: it is sent once the answer is known to be
    /// whole and is billed.
    pub(super) async fn relay_stream(
        &mut self,
        mut stream: Box<Stream>,
        attempt: &str,
        request: &mut Request<Attempted>,
        can_replace: &impl Fn(&Request<Attempted>) -> bool,
    ) -> AttemptEnd {
        let before = self.delivered_chunks;
        let id = self.answer_id();
        let mut preemptible = None;
        loop {
            let next = tokio::select! {
                biased;
                next = stream.next_event() => next,
                () = cancellation(self.responder, request.spec()) => return AttemptEnd::CallerGone,
                () = stalled(|| can_replace(request)) => return self.truncated_end(),
            };
            let forwarded = match next {
                Ok(Event::Delta { data, text }) => {
                    let data = engine::rewrite_id(&data, attempt, &id);
                    self.forward_event(&data, &text, request).await
                }
                Ok(Event::Finish { data, text, .. }) => {
                    let data = engine::rewrite_id(&data, attempt, &id);
                    self.forward_event(&data, &text, request).await
                }
                Ok(Event::Usage { usage, .. }) => {
                    let output = Tokens(before) + usage.completion;
                    self.usage = Usage {
                        input: usage.prompt,
                        output,
                    };
                    Ok(())
                }
                Ok(Event::Done) => return self.whole_stream_end(),
                Err(error) => return self.failed_end(&error),
            };
            if forwarded.is_err() {
                return AttemptEnd::CallerGone;
            }
            if preemptible.is_none() {
                preemptible = self.register_preemptible(request);
            }
            if preemptible.as_ref().is_some_and(Preemptible::is_preempted) {
                return self.preempted_end();
            }
        }
    }

    /// Registers batch work that may be resumed as preemptible, once its first token has come.
    fn register_preemptible(&self, request: &Request<Attempted>) -> Option<Preemptible<'a>> {
        let job = self.job;
        let may_resume = job.priority == Priority::Batch && request.spec().idempotent;
        let has_begun = self.first_token.is_some();
        let index = self.upstream.filter(|_| may_resume && has_begun)?;
        Some(Preemptible::register(&job.cx.shared, index))
    }

    /// Ends the attempt for interactive work. Closing the stream cancels the work at the engine;
    /// the next attempt resumes after the tokens relayed so far.
    fn preempted_end(&mut self) -> AttemptEnd {
        self.was_preempted = true;
        self.truncated_end()
    }

    fn truncated_end(&self) -> AttemptEnd {
        AttemptEnd::Truncated {
            received: Tokens(self.delivered_chunks),
            shown: self.has_begun,
        }
    }

    /// Ends the attempt with a whole answer. If the engine reported no usage, the chunks that it
    /// sent are billed as tokens.
    fn whole_stream_end(&mut self) -> AttemptEnd {
        if self.usage.output == Tokens(0) {
            self.usage = Usage {
                input: self.job.params.input,
                output: Tokens(self.delivered_chunks),
            };
        }
        AttemptEnd::Complete {
            usage: self.usage,
            adequate: true,
        }
    }

    async fn forward_event(
        &mut self,
        data: &Bytes,
        text: &str,
        request: &mut Request<Attempted>,
    ) -> Result<(), CallerDisconnected> {
        if !self.has_begun {
            let head = Frame::Head(self.head("text/event-stream"));
            self.send_frame(head, request).await?;
            self.has_begun = true;
            request.show();
        }
        if !text.is_empty() {
            let now = self.job.cx.shared.now();
            self.times.token(now);
            self.first_token.get_or_insert(now);
            self.delivered_chunks += 1;
            self.delivered_text.push_str(text);
        }
        let mut event = BytesMut::with_capacity(DATA.len() + data.len() + END.len());
        event.extend_from_slice(DATA);
        event.extend_from_slice(data);
        event.extend_from_slice(END);
        let event = event.freeze();
        self.transcript.push(&event);
        self.send_frame(Frame::Data(event), request).await
    }

    /// Sends a frame. Work that runs only once goes on when its caller has left, so that the
    /// caller's retry finds its outcome; other work is cancelled.
    async fn send_frame(
        &mut self,
        frame: Frame,
        request: &Request<Attempted>,
    ) -> Result<(), CallerDisconnected> {
        let sent = if self.caller_left {
            Err(CallerDisconnected)
        } else {
            self.responder.send(frame).await
        };
        self.caller_left = sent.is_err();
        match on_caller_gone(request.spec()) {
            OnCallerGone::Finish => Ok(()),
            OnCallerGone::Cancel => sent,
        }
    }
}
