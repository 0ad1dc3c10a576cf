//! Generates the tokens of one request and sends its answer.

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use super::config::EngineFault;
use super::text;
use super::wire::{ChunkFields, DONE, Usage};
use crate::server::{Broken, Piece, break_after_delay};

/// XORed with an answer's hash to get the hash of a made-up other request's answer.
const OTHER_ANSWER_XOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The text of an answer that is not streamed, with how it ended.
#[derive(Debug)]
pub(super) enum Whole {
    /// All tokens were generated.
    Finished(String),
    /// A fault interrupted the answer.
    Interrupted(String),
}

/// Destination of the generated tokens.
#[derive(Debug)]
pub(super) enum Output {
    /// Sends each token immediately as an event of the stream.
    Stream(mpsc::UnboundedSender<Piece>),
    /// Collects the text and sends it once at the end.
    Whole(Option<oneshot::Sender<Whole>>, String),
}

/// State of a request after a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    Continues,
    Finished,
    /// A fault interrupted the answer.
    Interrupted,
    ClientGone,
}

/// A waiting or running request with the state of its answer.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) chunk_fields: ChunkFields,
    /// Hash from which the tokens are derived.
    pub(super) answer: u64,
    /// Index of the next token in the answer.
    pub(super) index: u32,
    /// Tokens in the whole answer, resumed ones included.
    pub(super) length: u32,
    pub(super) finish_reason: &'static str,
    pub(super) wants_usage: bool,
    pub(super) usage: Usage,
    pub(super) fault: EngineFault,
    pub(super) output: Output,
    /// Tells the connection that the request got a slot, or expired in the queue.
    pub(super) started: Option<oneshot::Sender<bool>>,
}

impl Task {
    /// Returns whether the client disconnected.
    pub(super) fn is_client_gone(&self) -> bool {
        let unstarted = self.started.as_ref();
        if unstarted.is_some_and(oneshot::Sender::is_closed) {
            return true;
        }
        match &self.output {
            Output::Stream(pieces) => pieces.is_closed(),
            Output::Whole(done, _) => done.as_ref().is_some_and(oneshot::Sender::is_closed),
        }
    }

    /// Generates and sends the next token; with `inadequate`, the marker is one that no rater
    /// accepts.
    pub(super) fn emit(&mut self, inadequate: bool) -> Progress {
        if self.interrupt_if_due() {
            return Progress::Interrupted;
        }
        if self.index >= self.length {
            self.finish();
            return Progress::Finished;
        }
        let token = self.next_token(inadequate);
        let first = self.usage.completion == 0;
        self.usage.completion += 1;
        let disconnected = match &mut self.output {
            Output::Stream(pieces) => pieces
                .send(Ok(self.chunk_fields.token(&token, first)))
                .is_err(),
            Output::Whole(_, text) => {
                text.push_str(&token);
                false
            }
        };
        if disconnected {
            return Progress::ClientGone;
        }
        if self.index < self.length {
            return Progress::Continues;
        }
        self.finish();
        Progress::Finished
    }

    fn next_token(&mut self, inadequate: bool) -> String {
        if self.fault == EngineFault::CrossedAfter(self.usage.completion) {
            self.switch_to_other_request();
        }
        let index = self.index;
        self.index += 1;
        if inadequate && self.index == self.length {
            return text::bad_marker();
        }
        text::token(self.answer, index, self.length)
    }

    /// Switches to another request's id and text.
    pub(super) fn switch_to_other_request(&mut self) {
        self.chunk_fields = self.chunk_fields.for_other_request();
        self.answer ^= OTHER_ANSWER_XOR;
    }

    /// Interrupts the answer if its fault is due, and returns whether it did.
    fn interrupt_if_due(&mut self) -> bool {
        let done = self.usage.completion;
        match self.fault {
            EngineFault::Truncate(after) if done >= after => {}
            EngineFault::Break(after) if done >= after => {
                if let Output::Stream(pieces) = &self.output {
                    break_after_delay(pieces.clone());
                }
            }
            _ => return false,
        }
        if let Output::Whole(sender, text) = &mut self.output
            && let Some(sender) = sender.take()
        {
            let _ = sender.send(Whole::Interrupted(std::mem::take(text)));
        }
        true
    }

    /// Sends the end of the answer; sends fail if the client disconnected in the meantime.
    fn finish(&mut self) {
        let usage = self.usage;
        match &mut self.output {
            Output::Stream(pieces) => {
                if self.fault != EngineFault::NoFinish {
                    let _ = pieces.send(Ok(self.chunk_fields.finish(self.finish_reason)));
                }
                let mut end = Vec::new();
                if self.wants_usage {
                    end.extend_from_slice(&self.chunk_fields.usage(usage));
                }
                end.extend_from_slice(&DONE);
                let _ = pieces.send(Ok(Bytes::from(end)));
            }
            Output::Whole(sender, text) => {
                if let Some(sender) = sender.take() {
                    let _ = sender.send(Whole::Finished(std::mem::take(text)));
                }
            }
        }
    }

    /// Breaks the connection of a streamed answer.
    pub(super) fn break_connection(self) {
        if let Output::Stream(pieces) = self.output {
            let _ = pieces.send(Err(Broken));
        }
    }
}
