//! Refusals and errors, in the error format that OpenAI publishes, with our `run` field added.

use bytes::Bytes;
use callers::{CallerDisconnected, Frame, Head, HeaderMap, Responder, StatusCode, header};
use serde::Serialize;
use types::prelude::*;

use callers::header::HeaderValue;

/// An error response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// The `type` field of OpenAI's format.
    pub kind: &'static str,
    /// The `code` field of OpenAI's format: stable, for programs.
    pub code: &'static str,
    /// Explanation for people: what is wrong and what to do.
    pub message: String,
    /// Whether any of the work has run.
    pub run: RunState,
    /// Pause before a retry is worthwhile.
    pub retry_after: Option<Span>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    param: Option<&'a str>,
    code: &'a str,
    run: RunState,
}

impl Refusal {
    fn not_run(status: u16, kind: &'static str, code: &'static str, message: String) -> Self {
        Self {
            status,
            kind,
            code,
            message,
            run: RunState::No,
            retry_after: None,
        }
    }

    /// 400: the request is malformed.
    #[must_use]
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::not_run(400, "invalid_request_error", "bad_request", message.into())
    }

    /// 401: there is no key, or no customer has it.
    #[must_use]
    pub fn unauthorized() -> Self {
        let message = "the key is missing or unknown; send Authorization: Bearer KEY";
        Self::not_run(
            401,
            "invalid_request_error",
            "invalid_api_key",
            message.to_owned(),
        )
    }

    /// 403: the customer may not use the model, offer or service.
    #[must_use]
    pub fn forbidden(message: impl Into<String>) -> Self {
        Self::not_run(403, "permission_error", "permission_denied", message.into())
    }

    /// 404: there is no such model, offer, service or path.
    #[must_use]
    pub fn not_found(code: &'static str, message: impl Into<String>) -> Self {
        Self::not_run(404, "invalid_request_error", code, message.into())
    }

    /// 429: a rate limit is reached.
    #[must_use]
    pub fn too_many(message: impl Into<String>, retry_after: Span) -> Self {
        let refusal = Self::not_run(
            429,
            "rate_limit_error",
            "rate_limit_exceeded",
            message.into(),
        );
        Self {
            retry_after: Some(retry_after),
            ..refusal
        }
    }

    /// 503: this daemon or its upstreams cannot take the request now.
    #[must_use]
    pub fn unavailable(code: &'static str, message: impl Into<String>, retry_after: Span) -> Self {
        let refusal = Self::not_run(503, "server_error", code, message.into());
        Self {
            retry_after: Some(retry_after),
            ..refusal
        }
    }

    /// 504: the deadline passed or cannot be met.
    #[must_use]
    pub fn past_deadline(run: RunState) -> Self {
        let message = "the deadline passed before an answer was whole".to_owned();
        let refusal = Self::not_run(504, "server_error", "deadline_exceeded", message);
        Self { run, ..refusal }
    }

    /// 502: upstreams failed after work may have been done.
    #[must_use]
    pub fn upstream_failed(message: impl Into<String>, run: RunState) -> Self {
        Self {
            run,
            ..Self::not_run(502, "server_error", "upstream_failed", message.into())
        }
    }

    /// 504: the outcome of non-idempotent work is not known.
    #[must_use]
    pub fn outcome_unknown(message: impl Into<String>) -> Self {
        let refusal = Self::not_run(504, "server_error", "outcome_unknown", message.into());
        Self {
            run: RunState::Unknown,
            ..refusal
        }
    }

    /// The JSON body.
    #[must_use]
    pub fn body(&self) -> Bytes {
        let error = ErrorFields {
            message: &self.message,
            kind: self.kind,
            param: None,
            code: self.code,
            run: self.run,
        };
        let text = serde_json::to_vec(&ErrorBody { error });
        Bytes::from(text.unwrap_or_default())
    }

    /// Sends the refusal as the whole response; nothing of another answer may have been sent.
    pub async fn send(&self, responder: &Responder, request_id: Option<&RequestId>) {
        // Fails only if the caller is gone.
        let _ = responder.answer(self.head(request_id), self.body()).await;
    }

    /// Ends a stream that has begun, with an error event and no `[DONE]`.
    ///
    /// # Errors
    /// When the caller is gone.
    pub async fn end_stream(&self, responder: &Responder) -> Result<(), CallerDisconnected> {
        let mut event = Vec::from(&b"data: "[..]);
        event.extend_from_slice(&self.body());
        event.extend_from_slice(b"\n\n");
        responder.send(Frame::Data(Bytes::from(event))).await?;
        responder.send(Frame::End).await
    }

    fn head(&self, request_id: Option<&RequestId>) -> Head {
        let status = StatusCode::from_u16(self.status);
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        set(&mut headers, "x-run", &self.run.to_string());
        if let Some(id) = request_id {
            set(&mut headers, "x-request-id", id.as_str());
        }
        if let Some(span) = self.retry_after {
            // Whole seconds, rounded up: an earlier retry would be refused again.
            let seconds = span.as_micros().div_ceil(1_000_000).max(1);
            set(&mut headers, "retry-after", &seconds.to_string());
        }
        Head {
            status: status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers,
        }
    }
}

/// Sets a header; does nothing if the text is not a valid header value.
pub fn set(headers: &mut HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

impl Refusal {
    /// The HTTP error for a refusal decided in the request's life cycle.
    #[must_use]
    pub fn from_decision(decision: &requests::refusal::Refusal) -> Self {
        let (status, kind, code, message) = error_texts(decision.code());
        Self {
            status,
            kind,
            code,
            message: message.to_owned(),
            run: decision.run(),
            retry_after: decision.retry_after().or_else(|| default_retry(status)),
        }
    }
}

/// Retry-After for statuses that are worth a retry, where no better pause is known.
fn default_retry(status: u16) -> Option<Span> {
    (status == 503 || status == 429).then_some(Span::from_secs(1))
}

type ErrorTexts = (u16, &'static str, &'static str, &'static str);

const INVALID: &str = "invalid_request_error";
const SERVER: &str = "server_error";

fn error_texts(code: requests::refusal::Code) -> ErrorTexts {
    use requests::refusal::Code;
    match code {
        Code::Invalid => (400, INVALID, "bad_request", "the request is malformed"),
        Code::Unauthorized => (401, INVALID, "invalid_api_key", "the key is unknown"),
        Code::NotPermitted => (
            403,
            "permission_error",
            "permission_denied",
            "not permitted",
        ),
        Code::NotFound => (
            404,
            INVALID,
            "model_not_found",
            "there is nothing of that name",
        ),
        Code::Limited => (
            429,
            "rate_limit_error",
            "rate_limit_exceeded",
            "a limit is reached",
        ),
        Code::UpstreamStatus(status) if (400..500).contains(&status) => (
            status,
            INVALID,
            "upstream_refused",
            "the upstream refused the request",
        ),
        Code::AnswerNotKept => (
            409,
            INVALID,
            "answer_not_kept",
            "it ran before; its answer was too long to keep",
        ),
        Code::IdempotencyKeyReused => (409, INVALID, "id_reused", "the id names another request"),
        Code::CallerGone => (499, INVALID, "caller_gone", "the caller left"),
        other => server_error_texts(other),
    }
}

fn server_error_texts(code: requests::refusal::Code) -> ErrorTexts {
    use requests::refusal::Code;
    let (status, name, message) = match code {
        Code::Overloaded => (503, "overloaded", "too much work waits"),
        Code::Stale => (503, "stale_catalogue", "the catalogue may be out of date"),
        Code::NoUpstream => (503, "no_upstream", "no upstream can take the work now"),
        Code::Quarantined => (503, "barred", "upstreams ended under this request"),
        Code::ClaimUnavailable => (503, "claim_unavailable", "no claim can be made now"),
        Code::LedgerFull => (503, "ledger_full", "too many bills wait for the store"),
        Code::ShuttingDown => (503, "shutting_down", "this daemon is leaving"),
        Code::DeadlinePassed => (504, "deadline_exceeded", "the deadline has passed"),
        Code::OutcomeUnknown => (
            504,
            "outcome_unknown",
            "it may have run; it is not run again",
        ),
        Code::AnswerTruncated => (502, "stream_cut", "the answer broke off"),
        Code::AttemptsFailed => (502, "upstream_failed", "the upstreams tried failed"),
        _ => (502, "upstream_failed", "the upstream failed"),
    };
    (status, SERVER, name, message)
}
