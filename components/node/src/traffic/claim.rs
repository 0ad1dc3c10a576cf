//! Claims requests that may run only once, and replays recorded answers.

use callers::{Head, HeaderMap, Responder, StatusCode};
use requests::claim::{ClaimStep, ExistingClaim, RecordedAnswer};
use requests::life::{Admitted, Billed, Refused, Request, Waiting};
use requests::refusal::{Code, Refusal};

use crate::shared::Shared;

/// Header of a replayed answer: one that was recorded when the request first ran.
const REPLAYED: &str = "x-replayed";

/// Whether a request may go to an upstream.
pub(crate) enum Claimed {
    /// It may: it is claimed, or needs no claim.
    Ready(Request<Waiting>),
    /// It ran before; this answer was recorded then.
    Replay(RecordedAnswer),
    /// It may not.
    Refused(Refusal),
}

/// Claims a request that may run only once and waits for the claim; others need none.
pub(crate) async fn claim(
    shared: &Shared,
    request: Request<Admitted>,
    fingerprint: u64,
) -> Claimed {
    let request = match request.ready() {
        Ok(ready) => return Claimed::Ready(ready),
        Err(request) => request,
    };
    match shared.claims.claim(request.spec(), fingerprint).await {
        ClaimStep::Acquired(held) => Claimed::Ready(request.claim(held).ready()),
        ClaimStep::Duplicate(ExistingClaim::Recorded(recorded)) if recorded.body.is_some() => {
            Claimed::Replay(recorded)
        }
        ClaimStep::Duplicate(ExistingClaim::Recorded(_)) => {
            Claimed::Refused(Refusal::ran(Code::AnswerNotKept))
        }
        // A retry may reuse the id with another wording of the same work. If it were refused as
        // "not run", its caller would send the work again under a new id.
        ClaimStep::Duplicate(ExistingClaim::KeyReused) => {
            Claimed::Refused(Refusal::unknown(Code::IdempotencyKeyReused))
        }
        ClaimStep::Duplicate(ExistingClaim::Open) => {
            Claimed::Refused(Refusal::unknown(Code::OutcomeUnknown))
        }
        ClaimStep::Unavailable(doubtful) => {
            if let Some(held) = doubtful {
                shared.claims.release(held);
            }
            Claimed::Refused(request.refuse(Code::ClaimUnavailable).refusal())
        }
        // `Claims::claim` makes all calls itself and returns only when none is left.
        ClaimStep::Call(_) => Claimed::Refused(request.refuse(Code::ClaimUnavailable).refusal()),
    }
}

/// Releases the claim of a request that did not run, and returns the refusal for its caller.
pub(crate) fn release_refused(shared: &Shared, request: Request<Refused>) -> Refusal {
    let refusal = request.refusal();
    if let Some(held) = request.into_claim_to_release() {
        shared.claims.release(held);
    }
    refusal
}

/// Records the answer of a claimed request for replays; does nothing for other requests.
pub(crate) fn record_answer(shared: &Shared, request: Request<Billed>, recorded: RecordedAnswer) {
    if let Some(held) = request.into_claim() {
        shared.claims.record(held, recorded);
    }
}

/// Answers a retry with the recorded answer of the first run.
pub(crate) async fn replay(responder: &Responder, recorded: RecordedAnswer) {
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
    // Fails only if the caller is gone.
    let _ = responder.answer(Head { status, headers }, body).await;
}

/// Headers in the form in which they are recorded; those that are not plain text are left out.
pub(crate) fn header_list(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |value: &callers::header::HeaderValue| value.to_str().map(str::to_owned);
    let pairs = headers.iter();
    pairs
        .filter_map(|(name, value)| Some((name.to_string(), text(value).ok()?)))
        .collect()
}
