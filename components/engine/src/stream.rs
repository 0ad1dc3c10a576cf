//! A streamed answer, checked chunk by chunk.

use bytes::Bytes;
use http1::events::Splitter;

use crate::call::{Answering, Client, EngineLoad};
use crate::chunk::{Chunk, Usage};
use crate::error::{AttemptError, Doubt};

/// Ends a stream.
const DONE: &[u8] = b"[DONE]";

/// A piece of a streamed answer. `data` is the chunk's JSON, to be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// More text, or a chunk of another kind (with no text).
    Delta {
        /// The chunk.
        data: Bytes,
        /// Its text.
        text: String,
    },
    /// The answer's last chunk.
    Finish {
        /// The chunk.
        data: Bytes,
        /// Its text, mostly empty.
        text: String,
        /// Such as `stop`.
        reason: String,
    },
    /// Tokens used.
    Usage {
        /// The chunk.
        data: Bytes,
        /// What it says.
        usage: Usage,
    },
    /// The end marker: the answer is whole.
    Done,
}

/// A streamed answer. Dropping it before its end closes the connection and so cancels it.
#[derive(Debug)]
pub struct Stream {
    client: Client,
    attempt: String,
    /// Nothing once the end marker came.
    answering: Option<Answering>,
    events: Splitter,
    delivered: u32,
    has_finished: bool,
    load: Option<EngineLoad>,
}

impl Stream {
    pub(crate) fn new(
        client: &Client,
        attempt: &str,
        answering: Answering,
        load: Option<EngineLoad>,
    ) -> Self {
        Self {
            client: client.clone(),
            attempt: attempt.to_owned(),
            answering: Some(answering),
            events: Splitter::new(client.cfg.max_event.as_usize()),
            delivered: 0,
            has_finished: false,
            load,
        }
    }

    /// The engine's load when the answer began.
    #[must_use]
    pub fn load(&self) -> Option<EngineLoad> {
        self.load
    }

    /// Pieces of text handed on so far.
    #[must_use]
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Waits for the next event. After [`Event::Done`] or an error nothing more comes.
    ///
    /// # Errors
    /// [`AttemptError::Truncated`] when the answer ends early, stalls or runs out of time;
    /// [`AttemptError::Crossed`] when a chunk is another attempt's.
    pub async fn next_event(&mut self) -> Result<Event, AttemptError> {
        let data = self.next_data().await.map_err(|doubt| self.cut(doubt))?;
        if data == DONE {
            return self.done();
        }
        self.chunk(data)
    }

    async fn next_data(&mut self) -> Result<Bytes, Doubt> {
        loop {
            let max = self.client.cfg.max_event;
            let event = self.events.next_event();
            if let Some(event) = event.map_err(|_| Doubt::TooLarge(max))? {
                match event.data() {
                    Some(data) => return Ok(data),
                    None => continue,
                }
            }
            let answering = self.answering.as_mut().ok_or(Doubt::NoEnd)?;
            // An event without its blank line is cut: it is not handed on.
            let bytes = answering.next().await?.ok_or(Doubt::NoEnd)?;
            self.events.push(&bytes);
        }
    }

    /// Guard: a stream cut after its text but before its finish reason, then closed in due
    /// form, would pass for whole.
    fn done(&mut self) -> Result<Event, AttemptError> {
        if !self.has_finished {
            return Err(self.cut(Doubt::NoEnd));
        }
        if let Some(mut answering) = self.answering.take() {
            answering.take_end();
            self.client.keep(answering);
        }
        Ok(Event::Done)
    }

    fn chunk(&mut self, data: Bytes) -> Result<Event, AttemptError> {
        let parsed = serde_json::from_slice::<Chunk<'_>>(&data);
        let chunk = parsed.map_err(|e| self.cut(Doubt::Malformed(e.to_string())))?;
        if let Some(error) = &chunk.error {
            return Err(self.cut(Doubt::Reported(error.to_string())));
        }
        // Guard: a chunk of another request, sent by mistake on this connection, would
        // reach our caller. The engine's echo of the attempt's id tells them apart.
        if chunk.id != self.attempt {
            return Err(AttemptError::Crossed {
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

    fn cut(&self, cause: Doubt) -> AttemptError {
        AttemptError::Truncated {
            delivered: self.delivered,
            cause,
        }
    }
}
