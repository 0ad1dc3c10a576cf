//! The stream that a caller is sent, kept while it is short enough to be recorded.

use bytes::{Bytes, BytesMut};
use callers::StatusCode;
use requests::claim::{MAX_BODY, Recorded};

/// What was sent so far; nothing once it is too long, or for work that may run again.
pub(crate) struct Transcript(Option<BytesMut>);

impl Transcript {
    /// Keeps what is sent if `kept` says so.
    pub(crate) fn new(kept: bool) -> Self {
        Self(kept.then(BytesMut::new))
    }

    /// Adds an event.
    pub(crate) fn push(&mut self, data: &Bytes) {
        let kept = self.0.take();
        self.0 = kept.filter(|kept| kept.len() + data.len() <= MAX_BODY.as_usize());
        if let Some(kept) = &mut self.0 {
            kept.extend_from_slice(data);
        }
    }

    /// The answer as it is recorded.
    pub(crate) fn into_recorded(self, headers: Vec<(String, String)>) -> Recorded {
        match self.0 {
            Some(body) => Recorded::new(StatusCode::OK.as_u16(), headers, body.freeze()),
            None => Recorded {
                status: StatusCode::OK.as_u16(),
                headers: Vec::new(),
                body: None,
            },
        }
    }
}
