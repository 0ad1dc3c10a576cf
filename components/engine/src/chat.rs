//! Chat completions, whole and streamed.

use std::net::SocketAddr;
use std::time::Instant;

use attohttpc::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use attohttpc::{Method, Response, ResponseReader};
use bytes::Bytes;
use types::prelude::*;

use crate::call::{Call, Client, EngineLoad, ends, retry_after};
use crate::chunk::{Completion, ErrorBody, Usage};
use crate::error::{AttemptError, Doubt};
use crate::reader::read_whole;
use crate::stream::Stream;

const PATH: &str = "/v1/chat/completions";
const REQUEST_ID: &str = "x-request-id";
/// Largest body of an error that is read.
const MAX_ERROR: ByteSize = ByteSize(64 << 10);

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
    Stream(Stream),
}

impl Client {
    /// Makes one attempt; never more than one.
    ///
    /// # Errors
    /// Says what is known of the attempt.
    pub fn chat(
        &self,
        upstream: SocketAddr,
        req: &ChatRequest<'_>,
    ) -> Result<ChatAnswer, AttemptError> {
        let ends = ends(req.deadline);
        let response = self.send(&chat_call(upstream, req)?)?;
        let (status, headers, reader) = response.split();
        let echo = echo(&headers);
        if status.as_u16() != 200 {
            let body = read_whole(&headers, reader, MAX_ERROR, ends).unwrap_or_default();
            return Err(refusal(
                status.as_u16(),
                &headers,
                &body,
                echo == req.attempt,
            ));
        }
        check_echo(&echo, req.attempt)?;
        let load = EngineLoad::from_headers(&headers);
        if req.stream {
            let max = self.cfg.max_event;
            let stream = Stream::new(req.attempt, reader, max, ends, load);
            return Ok(ChatAnswer::Stream(stream));
        }
        let answer = self.whole(&headers, reader, ends, req.attempt, load)?;
        Ok(ChatAnswer::Whole(answer))
    }

    fn whole(
        &self,
        headers: &HeaderMap,
        reader: ResponseReader,
        ends: Instant,
        attempt: &str,
        load: Option<EngineLoad>,
    ) -> Result<Answer, AttemptError> {
        let cut = |cause| AttemptError::Truncated {
            delivered: 0,
            cause,
        };
        let body = read_whole(headers, reader, self.cfg.max_answer, ends).map_err(cut)?;
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
        deadline: req.deadline.to_duration(),
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
pub(crate) fn read_json<T: serde::de::DeserializeOwned>(
    response: Response,
    ends: Instant,
) -> Result<(u16, T), Doubt> {
    let (status, headers, reader) = response.split();
    let body = read_whole(&headers, reader, ByteSize(1 << 20), ends)?;
    let value = serde_json::from_slice(&body);
    let value = value.map_err(|e| Doubt::Malformed(e.to_string()))?;
    Ok((status.as_u16(), value))
}
