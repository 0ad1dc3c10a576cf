//! The claim of a request that may run only once, and the answer to its repeat.

use callers::{Head, HeaderMap, Responder, StatusCode};
use requests::claim::{ClaimStep, Recorded, Standing};
use requests::life::{Admitted, Billed, Refused, Request, Waiting};
use requests::refusal::{Code, Refusal};

use crate::shared::Shared;

/// Marks an answer that was recorded when the request first ran.
const REPLAYED: &str = "x-replayed";

/// What became of a request that wants to go to an upstream.
pub(crate) enum Entry {
    /// It may.
    Ready(Request<Waiting>),
    /// It ran before: answer so again.
    Repeat(Recorded),
    /// Tell the caller no.
    Refused(Refusal),
}

/// Claims a request that may run only once, and waits for it; others are ready at once.
pub(crate) async fn enter(shared: &Shared, request: Request<Admitted>, fingerprint: u64) -> Entry {
    let request = match request.ready() {
        Ok(ready) => return Entry::Ready(ready),
        Err(request) => request,
    };
    match shared.claims.claim(request.facts(), fingerprint).await {
        ClaimStep::Mine(held) => Entry::Ready(request.claim(held).ready()),
        ClaimStep::Duplicate(Standing::Recorded(recorded)) if recorded.body.is_some() => {
            Entry::Repeat(recorded)
        }
        ClaimStep::Duplicate(Standing::Recorded(_)) => {
            Entry::Refused(Refusal::ran(Code::AnswerNotKept))
        }
        // A repeat that was put into words anew looks like another request: "not run" would
        // have its caller book again under a new id.
        ClaimStep::Duplicate(Standing::Reused) => Entry::Refused(Refusal::unknown(Code::IdReused)),
        ClaimStep::Duplicate(Standing::Open) => {
            Entry::Refused(Refusal::unknown(Code::OutcomeUnknown))
        }
        ClaimStep::Unavailable(doubtful) => {
            if let Some(held) = doubtful {
                shared.claims.release(held);
            }
            Entry::Refused(request.refuse(Code::ClaimUnavailable).refusal())
        }
        // `Claims::claim` makes all calls itself and returns only when none is left.
        ClaimStep::Call(_) => Entry::Refused(request.refuse(Code::ClaimUnavailable).refusal()),
    }
}

/// Gives the claim of work that did not run back, and says what the caller is told.
pub(crate) fn refused(shared: &Shared, request: Request<Refused>) -> Refusal {
    let refusal = request.refusal();
    if let Some(held) = request.into_claim_to_release() {
        shared.claims.release(held);
    }
    refusal
}

/// Records the answer of a request that was claimed.
pub(crate) fn answered(shared: &Shared, request: Request<Billed>, recorded: Recorded) {
    if let Some(held) = request.into_claim() {
        shared.claims.record(held, recorded);
    }
}

/// Answers a repeat with the answer of the first run.
pub(crate) async fn replay(responder: &Responder, recorded: Recorded) {
    let mut headers = HeaderMap::new();
    let marker = (REPLAYED.to_owned(), "true".to_owned());
    for (name, value) in recorded.headers.into_iter().chain([marker]) {
        let name = callers::header::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value.parse()) {
            headers.append(name, value);
        }
    }
    let status = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    let body = recorded.body.unwrap_or_default();
    // A caller that is gone needs no answer.
    let _ = responder.answer(Head { status, headers }, body).await;
}

/// Headers in the form in which they are recorded.
pub(crate) fn listed(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |value: &callers::header::HeaderValue| value.to_str().map(str::to_owned);
    let pairs = headers.iter();
    pairs
        .filter_map(|(name, value)| Some((name.to_string(), text(value).ok()?)))
        .collect()
}
