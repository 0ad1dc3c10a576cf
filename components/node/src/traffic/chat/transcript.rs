//! Keeps a copy of the stream sent to a caller, if it is short enough to be recorded.

use bytes::{Bytes, BytesMut};
use callers::StatusCode;
use requests::claim::{MAX_BODY, RecordedAnswer};

/// The events sent so far; `None` once they are too long, or if nothing is to be recorded.
pub(crate) struct Transcript(Option<BytesMut>);

impl Transcript {
    /// Creates an empty transcript; it records nothing unless `kept` is set.
    pub(crate) fn new(kept: bool) -> Self {
        Self(kept.then(BytesMut::new))
    }

    /// Appends an event.
    pub(crate) fn push(&mut self, data: &Bytes) {
        let kept = self.0.take();
        self.0 = kept.filter(|kept| kept.len() + data.len() <= MAX_BODY.as_usize());
        if let Some(kept) = &mut self.0 {
            kept.extend_from_slice(data);
        }
    }

    /// The recorded form of the answer, without a body if the transcript was not kept.
    pub(crate) fn into_recorded(self, headers: Vec<(String, String)>) -> RecordedAnswer {
        match self.0 {
            Some(body) => RecordedAnswer::new(StatusCode::OK.as_u16(), headers, body.freeze()),
            None => RecordedAnswer {
                status: StatusCode::OK.as_u16(),
                headers: Vec::new(),
                body: None,
            },
        }
    }
}
