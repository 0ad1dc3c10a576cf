//! A caller that sends a request, checks the response and retries failures through another daemon.

use std::time::{Duration, Instant};

use serde_json::Value;
use standins::engine::text;
use types::prelude::*;

use super::balancer::Balancer;
use super::mix::{Kind, PlannedRequest, RequestMix};
use crate::load::RequestOutcome;
use crate::load::http::{Connection, HttpRequest, HttpResponse};

/// Maximum number of calls for one request.
const MAX_CALLS: usize = 5;
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer to this request, from this version (empty for plain services).
    Answered(String),
    /// An answer to another request, or one that is incomplete although it looked complete.
    Wrong(String),
    /// A stream that ended properly in HTTP terms but without end marker or error event.
    NoMarker,
    /// A refusal with its status, its code and its statement on whether the request ran.
    Refused(u16, String, String),
    /// A stream that ended with an error event with this code.
    ErrorEvent(String),
    /// The connection broke.
    Cut(String),
    /// No connection was made, so no request was sent.
    NotThere,
}

impl CallOutcome {
    /// Name under which an outcome other than an answer is counted.
    pub fn name(&self) -> Option<String> {
        Some(match self {
            Self::Answered(_) => return None,
            Self::Wrong(_) => "wrong".to_owned(),
            Self::NoMarker => "quiet_end".to_owned(),
            Self::Refused(status, code, run) => format!("refused_{status}_{code}_run_{run}"),
            Self::ErrorEvent(code) => format!("error_event_{code}"),
            Self::Cut(_) => "cut".to_owned(),
            Self::NotThere => "not_there".to_owned(),
        })
    }
}

/// A call with its daemon, times and outcome.
#[derive(Debug, Clone)]
pub struct Call {
    /// Index of the daemon.
    pub daemon: usize,
    /// Time at which the call was started.
    pub started_at: Instant,
    /// Time at which the call ended.
    pub ended: Instant,
    /// Outcome of the call.
    pub outcome: CallOutcome,
}

/// All answers that a caller got for one request.
#[derive(Debug, Clone)]
pub struct CallerRecord {
    /// The request.
    pub planned: PlannedRequest,
    /// Calls in order. The first two calls of a duplicated request run concurrently.
    pub calls: Vec<Call>,
}

impl CallerRecord {
    /// Returns whether the request got a complete answer of its own.
    pub fn is_answered(&self) -> bool {
        let mut calls = self.calls.iter();
        calls.any(|call| matches!(call.outcome, CallOutcome::Answered(_)))
    }

    /// Version that answered.
    pub fn version(&self) -> Option<&str> {
        self.calls.iter().find_map(|call| match &call.outcome {
            CallOutcome::Answered(version) if !version.is_empty() => Some(version.as_str()),
            _ => None,
        })
    }
}

/// Caller state of a load worker.
pub struct Caller<'a> {
    balancer: &'a Balancer,
    mix: &'a RequestMix,
}

impl<'a> Caller<'a> {
    /// Creates a caller without open connections.
    pub fn new(balancer: &'a Balancer, mix: &'a RequestMix) -> Self {
        Self { balancer, mix }
    }

    /// Sends one request with retries until it is settled.
    pub fn act(&mut self, notes: &mut Vec<CallerRecord>, number: usize) -> RequestOutcome {
        let planned = self.mix.request(number);
        let mut calls = Vec::new();
        if planned.is_duplicated {
            calls.extend(self.call_two_daemons(&planned));
        }
        let mut backoff = FIRST_BACKOFF;
        let mut avoid = None;
        while !is_settled(&planned, &calls) && calls.len() < MAX_CALLS {
            if !calls.is_empty() {
                std::thread::sleep(backoff);
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
            let daemon = self.balancer.pick(avoid);
            let call = self.call(&planned, daemon);
            avoid = Some(daemon);
            if call.outcome != CallOutcome::NotThere {
                calls.push(call);
            }
        }
        let record = CallerRecord { planned, calls };
        let is_good = record.planned.kind.is_idempotent() && record.is_answered();
        notes.push(record);
        if is_good {
            RequestOutcome::Good
        } else {
            RequestOutcome::Failed
        }
    }

    fn call_two_daemons(&self, planned: &PlannedRequest) -> Vec<Call> {
        let first = self.balancer.pick(None);
        let second = self.balancer.pick(Some(first));
        std::thread::scope(|scope| {
            let other = scope.spawn(|| self.call(planned, second));
            let mut calls = vec![self.call(planned, first)];
            calls.extend(other.join());
            calls.retain(|call| call.outcome != CallOutcome::NotThere);
            calls
        })
    }

    fn call(&self, planned: &PlannedRequest, daemon: usize) -> Call {
        let started_at = Instant::now();
        let outcome = send(planned, &mut Connection::new(self.balancer.address(daemon)));
        let ended = Instant::now();
        Call {
            daemon,
            started_at,
            ended,
            outcome,
        }
    }
}

/// Whether the request was answered or another call can't help.
fn is_settled(planned: &PlannedRequest, calls: &[Call]) -> bool {
    calls.iter().any(|call| match &call.outcome {
        CallOutcome::Answered(_) | CallOutcome::Wrong(_) => true,
        // If a request of unknown outcome is sent again under the same id, it may be answered from
        // its recorded outcome. After one such retry the caller gives up.
        CallOutcome::Refused(_, code, _) if code == "outcome_unknown" => {
            !planned.kind.is_idempotent() && calls.len() > 1
        }
        CallOutcome::Refused(status, _, _) => matches!(status, 400..=408 | 410..=422),
        CallOutcome::NoMarker
        | CallOutcome::ErrorEvent(_)
        | CallOutcome::Cut(_)
        | CallOutcome::NotThere => false,
    })
}

fn send(planned: &PlannedRequest, connection: &mut Connection) -> CallOutcome {
    let bearer = format!("Bearer example-{}", planned.customer);
    let mut headers = vec![
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
        ("idempotency-key", planned.tag.as_str()),
    ];
    if planned.kind == Kind::OnceChat {
        headers.push(("x-non-idempotent", "true"));
    }
    if let Some(session) = &planned.session {
        headers.push(("x-session-id", session));
    }
    let request = HttpRequest {
        method: "POST",
        path: &planned.path,
        headers: &headers,
        body: planned.body.as_bytes(),
    };
    if connection.connect().is_err() {
        return CallOutcome::NotThere;
    }
    let mut events = Vec::new();
    match connection.send_streaming(&request, |data| events.push(data.to_vec())) {
        Err(e) => CallOutcome::Cut(e.to_string()),
        Ok(response) if response.status != 200 => parse_refusal(&response),
        Ok(response) if planned.kind.is_plain() => check_plain(planned, &response),
        Ok(response) if planned.kind == Kind::Stream => check_stream(planned, &response, &events),
        Ok(response) => check_chat(planned, &response),
    }
}

fn parse_refusal(response: &HttpResponse) -> CallOutcome {
    let body = serde_json::from_slice::<Value>(&response.body).unwrap_or_default();
    let text = |field: &str| body["error"][field].as_str().unwrap_or("").to_owned();
    CallOutcome::Refused(response.status, text("code"), text("run"))
}

/// Checks the answer of a plain service, which returns the request's tag.
fn check_plain(planned: &PlannedRequest, response: &HttpResponse) -> CallOutcome {
    let body = serde_json::from_slice::<Value>(&response.body).unwrap_or_default();
    if body["tag"] == planned.tag.as_str() {
        CallOutcome::Answered(String::new())
    } else {
        CallOutcome::Wrong(String::from_utf8_lossy(&response.body).into_owned())
    }
}

fn check_chat(planned: &PlannedRequest, response: &HttpResponse) -> CallOutcome {
    let body = serde_json::from_slice::<Value>(&response.body).unwrap_or_default();
    let content = body["choices"][0]["message"]["content"].as_str();
    check_content(planned, response, content.unwrap_or_default())
}

fn check_stream(
    planned: &PlannedRequest,
    response: &HttpResponse,
    events: &[Vec<u8>],
) -> CallOutcome {
    let mut content = String::new();
    for event in events {
        let chunk = serde_json::from_slice::<Value>(event).unwrap_or_default();
        if !chunk["error"].is_null() {
            return CallOutcome::ErrorEvent(
                chunk["error"]["code"].as_str().unwrap_or("").to_owned(),
            );
        }
        let text = chunk["choices"][0]["delta"]["content"].as_str();
        content.push_str(text.unwrap_or_default());
    }
    if events.last().is_none_or(|event| event != b"[DONE]") {
        return CallOutcome::NoMarker;
    }
    check_content(planned, response, &content)
}

/// Checks a chat's content, which the stand-in derives from version, prompt and length.
fn check_content(planned: &PlannedRequest, response: &HttpResponse, content: &str) -> CallOutcome {
    let version = response.header("x-served-by").to_owned();
    let expected = version
        .parse::<VersionId>()
        .map(|version| text::answer(&version, &planned.messages, planned.tokens));
    match expected {
        Ok(expected) if expected == content => CallOutcome::Answered(version),
        _ => CallOutcome::Wrong(format!("{version}: {content:?}")),
    }
}
