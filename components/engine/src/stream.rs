//! Streamed chat completions, checked chunk by chunk.

use bytes::Bytes;
use http1::events::Splitter;

use crate::call::{Client, EngineLoad, Response};
use crate::chunk::{Chunk, Usage};
use crate::error::{AttemptError, FailureCause};

/// Data of the event that ends a stream.
const END_MARKER: &[u8] = b"[DONE]";

/// An event of a streamed answer. `data` is the chunk's JSON, to be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// More text, or a chunk of another kind with empty text.
    Delta {
        /// The chunk's JSON.
        data: Bytes,
        /// The chunk's text.
        text: String,
    },
    /// The chunk with the finish reason.
    Finish {
        /// The chunk's JSON.
        data: Bytes,
        /// The chunk's text, usually empty.
        text: String,
        /// The finish reason, such as `stop`.
        reason: String,
    },
    /// A chunk with token counts.
    Usage {
        /// The chunk's JSON.
        data: Bytes,
        /// The token counts.
        usage: Usage,
    },
    /// The end marker: the answer is complete.
    Done,
}

/// A streamed answer. Dropping it before its end closes the connection, which cancels the
/// request at the upstream.
#[derive(Debug)]
pub struct Stream {
    client: Client,
    attempt: String,
    /// `None` once the end marker was read.
    response: Option<Response>,
    events: Splitter,
    delivered: u32,
    has_finished: bool,
    load: Option<EngineLoad>,
}

impl Stream {
    pub(crate) fn new(
        client: &Client,
        attempt: &str,
        response: Response,
        load: Option<EngineLoad>,
    ) -> Self {
        Self {
            client: client.clone(),
            attempt: attempt.to_owned(),
            response: Some(response),
            events: Splitter::new(client.cfg.max_event.as_usize()),
            delivered: 0,
            has_finished: false,
            load,
        }
    }

    /// The engine's load at the start of the answer, if it stated it.
    #[must_use]
    pub fn load(&self) -> Option<EngineLoad> {
        self.load
    }

    /// Number of pieces of text returned so far.
    #[must_use]
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Waits for the next event. [`Event::Done`] or an error is the last.
    ///
    /// # Errors
    /// [`AttemptError::Truncated`] if the answer ends early, stalls or exceeds its deadline;
    /// [`AttemptError::WrongAttempt`] if a chunk belongs to another attempt.
    pub async fn next_event(&mut self) -> Result<Event, AttemptError> {
        let data = self
            .next_data()
            .await
            .map_err(|doubt| self.truncated(doubt))?;
        if data == END_MARKER {
            return self.finish();
        }
        self.read_chunk(data)
    }

    async fn next_data(&mut self) -> Result<Bytes, FailureCause> {
        loop {
            let max = self.client.cfg.max_event;
            let event = self.events.next_event();
            if let Some(event) = event.map_err(|_| FailureCause::TooLarge(max))? {
                match event.data() {
                    Some(data) => return Ok(data),
                    None => continue,
                }
            }
            let response = self.response.as_mut().ok_or(FailureCause::NoEnd)?;
            // An event without its closing blank line is incomplete and is discarded.
            let bytes = response.next().await?.ok_or(FailureCause::NoEnd)?;
            self.events.push(&bytes);
        }
    }

    /// Ends the stream at the end marker. Without a finish reason the text may lack its end,
    /// even if the stream was closed properly, so the answer counts as truncated.
    fn finish(&mut self) -> Result<Event, AttemptError> {
        if !self.has_finished {
            return Err(self.truncated(FailureCause::NoEnd));
        }
        if let Some(mut response) = self.response.take() {
            response.consume_end();
            self.client.recycle(response);
        }
        Ok(Event::Done)
    }

    fn read_chunk(&mut self, data: Bytes) -> Result<Event, AttemptError> {
        let parsed = serde_json::from_slice::<Chunk<'_>>(&data);
        let chunk = parsed.map_err(|e| self.truncated(FailureCause::Malformed(e.to_string())))?;
        if let Some(error) = &chunk.error {
            return Err(self.truncated(FailureCause::Reported(error.to_string())));
        }
        // A chunk of another request, sent by mistake on this connection, must not reach the
        // caller. The attempt's id, echoed by the engine, distinguishes them.
        if chunk.id != self.attempt {
            return Err(AttemptError::WrongAttempt {
                got: chunk.id.into_owned(),
                delivered: self.delivered,
            });
        }
        let usage = chunk.usage.map(Usage::from);
        let choice = chunk.choices.into_iter().next();
        let (text, reason) = choice.map_or((None, None), |c| (c.delta.content, c.finish_reason));
        let text = text.map(|text| text.into_owned()).unwrap_or_default();
        let reason = reason.map(|reason| reason.into_owned());
        if !text.is_empty() {
            self.delivered += 1;
        }
        Ok(match (reason, usage) {
            (Some(reason), _) => {
                self.has_finished = true;
                Event::Finish { data, text, reason }
            }
            (None, Some(usage)) if text.is_empty() => Event::Usage { data, usage },
            (None, _) => Event::Delta { data, text },
        })
    }

    fn truncated(&self, cause: FailureCause) -> AttemptError {
        AttemptError::Truncated {
            delivered: self.delivered,
            cause,
        }
    }
}
