//! Chat completions, complete and streamed.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method};
use types::prelude::*;

use crate::call::{Call, Client, EngineLoad, Response, Reuse, instant_after, retry_after};
use crate::chunk::{Completion, ErrorBody, Usage};
use crate::error::{AttemptError, FailureCause};
use crate::stream::Stream;

const PATH: &str = "/v1/chat/completions";
const REQUEST_ID: &str = "x-request-id";
/// Largest error body that is read.
const MAX_ERROR_BODY: ByteSize = ByteSize(64 << 10);
/// Largest body of a load report, of cache events or of the answer to an order.
const MAX_JSON_BODY: ByteSize = ByteSize(1 << 20);

/// One attempt to have an engine complete a chat.
#[derive(Debug, Clone)]
pub struct ChatRequest<'a> {
    /// Id of the attempt, which the engine echoes.
    pub attempt: &'a str,
    /// Body in OpenAI's JSON format, with the additional fields for engines.
    pub body: Bytes,
    /// Time left until the answer must be complete; also sent to the engine.
    pub timeout: Span,
    /// Longest wait for the head and between tokens of a stream. Without a stream, the timeout
    /// applies instead.
    pub read_timeout: Span,
    /// Whether the body asks for a stream.
    pub stream: bool,
    /// Whether the work may run more than once.
    pub is_idempotent: bool,
}

/// An answer that is not streamed.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The JSON body, to be passed on.
    pub body: Bytes,
    /// The generated text.
    pub text: String,
    /// The finish reason, such as `stop`.
    pub finish: String,
    /// Token counts.
    pub usage: Usage,
    /// Geometric mean of the tokens' probabilities, from 0 to 1, if the request asked for
    /// `logprobs`.
    pub confidence: Option<f64>,
    /// The engine's load, if it stated it.
    pub load: Option<EngineLoad>,
}

/// The answer to an attempt.
#[derive(Debug)]
pub enum ChatAnswer {
    /// The complete answer.
    Whole(Answer),
    /// A stream of events.
    Stream(Box<Stream>),
}

impl Client {
    /// Makes one attempt. Work that must not run more than once is sent at most once.
    ///
    /// # Errors
    /// States what is known of the attempt.
    pub async fn chat(
        &self,
        upstream: SocketAddr,
        req: &ChatRequest<'_>,
    ) -> Result<ChatAnswer, AttemptError> {
        let mut response = self.send(&chat_call(upstream, req)?).await?;
        let echo = echoed_id(&response.headers);
        if response.status != 200 {
            let body = response.read_body(MAX_ERROR_BODY).await.unwrap_or_default();
            let is_ours = echo == req.attempt;
            let error = status_error(response.status, &response.headers, &body, is_ours);
            self.recycle(response);
            return Err(error);
        }
        check_echo(&echo, req.attempt)?;
        let load = EngineLoad::from_headers(&response.headers);
        if req.stream {
            let stream = Stream::new(self, req.attempt, response, load);
            return Ok(ChatAnswer::Stream(Box::new(stream)));
        }
        let answer = self.read_answer(response, req.attempt, load).await?;
        Ok(ChatAnswer::Whole(answer))
    }

    async fn read_answer(
        &self,
        mut response: Response,
        attempt: &str,
        load: Option<EngineLoad>,
    ) -> Result<Answer, AttemptError> {
        let truncated = |cause| AttemptError::Truncated {
            delivered: 0,
            cause,
        };
        let body = response
            .read_body(self.cfg.max_answer)
            .await
            .map_err(truncated)?;
        self.recycle(response);
        let completion = serde_json::from_slice::<Completion>(&body);
        let completion =
            completion.map_err(|e| truncated(FailureCause::Malformed(e.to_string())))?;
        check_echo(&completion.id, attempt)?;
        let choice = completion.choices.into_iter().next();
        let choice = choice.ok_or_else(|| truncated(FailureCause::NoEnd))?;
        let confidence = choice.confidence();
        let finish = choice
            .finish_reason
            .ok_or_else(|| truncated(FailureCause::NoEnd))?;
        Ok(Answer {
            confidence,
            body,
            text: choice.message.content.unwrap_or_default(),
            finish,
            usage: completion.usage.map(Usage::from).unwrap_or_default(),
            load,
        })
    }
}

fn chat_call<'a>(upstream: SocketAddr, req: &ChatRequest<'_>) -> Result<Call<'a>, AttemptError> {
    let mut headers = HeaderMap::new();
    let attempt = HeaderValue::from_str(req.attempt);
    let attempt = attempt.map_err(|e| AttemptError::NotSent(e.to_string()))?;
    headers.insert(REQUEST_ID, attempt);
    headers.insert("x-deadline-ms", HeaderValue::from(req.timeout.as_millis()));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let read_timeout = if req.stream {
        req.read_timeout
    } else {
        req.timeout
    };
    Ok(Call {
        upstream,
        method: Method::POST,
        path: PATH,
        headers,
        body: req.body.clone(),
        read_timeout: read_timeout.to_duration(),
        expires_at: instant_after(req.timeout),
        reuse: match req.is_idempotent {
            true => Reuse::Allowed,
            false => Reuse::Never,
        },
    })
}

fn echoed_id(headers: &HeaderMap) -> String {
    let value = headers.get(REQUEST_ID).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Rejects the answer to another attempt, whether late or crossed: it carries another id.
fn check_echo(got: &str, attempt: &str) -> Result<(), AttemptError> {
    if got == attempt {
        return Ok(());
    }
    Err(AttemptError::WrongAttempt {
        got: got.to_owned(),
        delivered: 0,
    })
}

/// Converts an answer with a status other than 200 to an error.
///
/// A 503 may come after the work has run, or belong to another attempt. Only the engine's
/// `x-not-run` header on an answer with this attempt's id shows that the work was not begun.
fn status_error(status: u16, headers: &HeaderMap, body: &[u8], is_ours: bool) -> AttemptError {
    let error = serde_json::from_slice::<ErrorBody>(body).unwrap_or_default();
    let code = error.error.code.unwrap_or_default();
    let message = error.error.message.unwrap_or_else(|| code.clone());
    let retry_after = retry_after(headers);
    let not_run = headers.get("x-not-run").is_some_and(|v| v == "true");
    match status {
        404 if is_ours && code == "model_not_found" => AttemptError::NotLoaded,
        503 if is_ours && not_run => AttemptError::NotRun {
            reason: if code.is_empty() { message } else { code },
            retry_after,
        },
        _ => AttemptError::Status {
            status,
            message,
            retry_after,
        },
    }
}

/// Reads the status and JSON body of a response that is not a chat completion.
pub(crate) async fn read_json<T: serde::de::DeserializeOwned>(
    client: &Client,
    mut response: Response,
) -> Result<(u16, T), FailureCause> {
    let body = response.read_body(MAX_JSON_BODY).await?;
    let status = response.status;
    client.recycle(response);
    let value = serde_json::from_slice(&body);
    let value = value.map_err(|e| FailureCause::Malformed(e.to_string()))?;
    Ok((status, value))
}
