//! Chat completions, whole and streamed.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method};
use types::prelude::*;

use crate::call::{Answering, Call, Client, EngineLoad, Reuse, ends, retry_after};
use crate::chunk::{Completion, ErrorBody, Usage};
use crate::error::{AttemptError, Doubt};
use crate::stream::Stream;

const PATH: &str = "/v1/chat/completions";
const REQUEST_ID: &str = "x-request-id";
/// Largest body of an error that is read.
const MAX_ERROR: ByteSize = ByteSize(64 << 10);
/// Largest body of a report or of an order's answer.
const MAX_JSON: ByteSize = ByteSize(1 << 20);

/// One attempt at an engine.
#[derive(Debug, Clone)]
pub struct ChatRequest<'a> {
    /// The attempt's id, echoed by the engine.
    pub attempt: &'a str,
    /// OpenAI's JSON, with the fields for engines.
    pub body: Bytes,
    /// Time left for all of it; told to the engine as well.
    pub deadline: Span,
    /// Longest wait for the head and between tokens; for whole answers the deadline.
    pub stall: Span,
    /// Whether the body asks for a stream.
    pub stream: bool,
    /// Whether the work may run more than once.
    pub may_repeat: bool,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Its JSON, to be passed on.
    pub body: Bytes,
    /// Its text.
    pub text: String,
    /// Such as `stop`.
    pub finish: String,
    /// Tokens used.
    pub usage: Usage,
    /// The tokens' mean probability, from 0 to 1, where the request asked for `logprobs`.
    pub confidence: Option<f64>,
    /// The engine's load.
    pub load: Option<EngineLoad>,
}

/// What an attempt gives.
#[derive(Debug)]
pub enum ChatAnswer {
    /// All at once.
    Whole(Answer),
    /// Piece by piece.
    Stream(Box<Stream>),
}

impl Client {
    /// Makes one attempt. Work that may not run again is sent once at most.
    ///
    /// # Errors
    /// Says what is known of the attempt.
    pub async fn chat(
        &self,
        upstream: SocketAddr,
        req: &ChatRequest<'_>,
    ) -> Result<ChatAnswer, AttemptError> {
        let mut answering = self.send(&chat_call(upstream, req)?).await?;
        let echo = echo(&answering.headers);
        if answering.status != 200 {
            let body = answering.whole(MAX_ERROR).await.unwrap_or_default();
            let is_ours = echo == req.attempt;
            let error = refusal(answering.status, &answering.headers, &body, is_ours);
            self.keep(answering);
            return Err(error);
        }
        check_echo(&echo, req.attempt)?;
        let load = EngineLoad::from_headers(&answering.headers);
        if req.stream {
            let stream = Stream::new(self, req.attempt, answering, load);
            return Ok(ChatAnswer::Stream(Box::new(stream)));
        }
        let answer = self.whole(answering, req.attempt, load).await?;
        Ok(ChatAnswer::Whole(answer))
    }

    async fn whole(
        &self,
        mut answering: Answering,
        attempt: &str,
        load: Option<EngineLoad>,
    ) -> Result<Answer, AttemptError> {
        let cut = |cause| AttemptError::Truncated {
            delivered: 0,
            cause,
        };
        let body = answering.whole(self.cfg.max_answer).await.map_err(cut)?;
        self.keep(answering);
        let completion = serde_json::from_slice::<Completion>(&body);
        let completion = completion.map_err(|e| cut(Doubt::Malformed(e.to_string())))?;
        check_echo(&completion.id, attempt)?;
        let choice = completion.choices.into_iter().next();
        let choice = choice.ok_or_else(|| cut(Doubt::NoEnd))?;
        let confidence = choice.confidence();
        let finish = choice.finish_reason.ok_or_else(|| cut(Doubt::NoEnd))?;
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
    headers.insert("x-deadline-ms", HeaderValue::from(req.deadline.as_millis()));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let stall = if req.stream { req.stall } else { req.deadline };
    Ok(Call {
        upstream,
        method: Method::POST,
        path: PATH,
        headers,
        body: req.body.clone(),
        read_timeout: stall.to_duration(),
        ends: ends(req.deadline),
        reuse: match req.may_repeat {
            true => Reuse::Allowed,
            false => Reuse::Never,
        },
    })
}

fn echo(headers: &HeaderMap) -> String {
    let value = headers.get(REQUEST_ID).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Guards against another attempt's answer: late or crossed, it carries another id.
fn check_echo(got: &str, attempt: &str) -> Result<(), AttemptError> {
    if got == attempt {
        return Ok(());
    }
    Err(AttemptError::Crossed {
        got: got.to_owned(),
        delivered: 0,
    })
}

/// What a status other than 200 says.
///
/// Guards against a false "not run": a 503 may come after the run, or be another
/// attempt's. Only the engine's own mark, on an answer with our id, says "not run".
fn refusal(status: u16, headers: &HeaderMap, body: &[u8], is_ours: bool) -> AttemptError {
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

/// A short JSON answer of an engine that is not a chat.
pub(crate) async fn read_json<T: serde::de::DeserializeOwned>(
    client: &Client,
    mut answering: Answering,
) -> Result<(u16, T), Doubt> {
    let body = answering.whole(MAX_JSON).await?;
    let status = answering.status;
    client.keep(answering);
    let value = serde_json::from_slice(&body);
    let value = value.map_err(|e| Doubt::Malformed(e.to_string()))?;
    Ok((status, value))
}
