//! A caller: sends a request, checks the answer, repeats what failed through another daemon.

use std::time::{Duration, Instant};

use serde_json::Value;
use standins::engine::text;
use types::prelude::*;

use super::balancer::Balancer;
use super::mix::{Kind, Mix, Wanted};
use crate::load::RequestOutcome;
use crate::load::http::{Connection, HttpRequest, HttpResponse};

/// Calls that a caller makes at most for one request.
const MAX_CALLS: usize = 5;
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// How one call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A whole answer, our own, by this version (empty for plain services).
    Answered(String),
    /// An answer that is not ours or not whole though it looked so.
    Wrong(String),
    /// A stream that ended in due form without end marker or error.
    NoMarker,
    /// Refused, with the status, code and what it says of the run.
    Refused(u16, String, String),
    /// A stream ended by an error event.
    ErrorEvent(String),
    /// The connection broke.
    Cut(String),
    /// No connection: nothing was asked.
    NotThere,
}

impl End {
    /// Names what was not answered, for counting.
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

/// One call with its daemon and time.
#[derive(Debug, Clone)]
pub struct OneCall {
    /// Which daemon.
    pub daemon: usize,
    /// When it was sent.
    pub begun: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How.
    pub end: End,
}

/// What a caller was told about one request.
#[derive(Debug, Clone)]
pub struct Told {
    /// The request.
    pub wanted: Wanted,
    /// Every call, in order; of an impatient caller two at once.
    pub calls: Vec<OneCall>,
}

impl Told {
    /// Whether a whole answer of its own came.
    pub fn is_answered(&self) -> bool {
        let mut calls = self.calls.iter();
        calls.any(|call| matches!(call.end, End::Answered(_)))
    }

    /// The version that answered.
    pub fn version(&self) -> Option<&str> {
        self.calls.iter().find_map(|call| match &call.end {
            End::Answered(version) if !version.is_empty() => Some(version.as_str()),
            _ => None,
        })
    }
}

/// A worker of the load.
pub struct Caller<'a> {
    balancer: &'a Balancer,
    mix: &'a Mix,
}

impl<'a> Caller<'a> {
    /// With nothing open.
    pub fn new(balancer: &'a Balancer, mix: &'a Mix) -> Self {
        Self { balancer, mix }
    }

    /// Sees one request through.
    pub fn act(&mut self, notes: &mut Vec<Told>, number: usize) -> RequestOutcome {
        let wanted = self.mix.wanted(number);
        let mut calls = Vec::new();
        if wanted.is_impatient {
            calls.extend(self.two_at_once(&wanted));
        }
        let mut pause = FIRST_PAUSE;
        let mut avoid = None;
        while !is_settled(&wanted, &calls) && calls.len() < MAX_CALLS {
            if !calls.is_empty() {
                std::thread::sleep(pause);
                pause = (pause * 2).min(MAX_PAUSE);
            }
            let daemon = self.balancer.pick(avoid);
            let call = self.call(&wanted, daemon);
            avoid = Some(daemon);
            if call.end != End::NotThere {
                calls.push(call);
            }
        }
        let told = Told { wanted, calls };
        let counts = told.wanted.kind.is_idempotent() && told.is_answered();
        notes.push(told);
        if counts {
            RequestOutcome::Good
        } else {
            RequestOutcome::Failed
        }
    }

    fn two_at_once(&self, wanted: &Wanted) -> Vec<OneCall> {
        let first = self.balancer.pick(None);
        let second = self.balancer.pick(Some(first));
        std::thread::scope(|scope| {
            let other = scope.spawn(|| self.call(wanted, second));
            let mut calls = vec![self.call(wanted, first)];
            calls.extend(other.join());
            calls.retain(|call| call.end != End::NotThere);
            calls
        })
    }

    fn call(&self, wanted: &Wanted, daemon: usize) -> OneCall {
        let begun = Instant::now();
        let end = send(wanted, &mut Connection::new(self.balancer.address(daemon)));
        let ended = Instant::now();
        OneCall {
            daemon,
            begun,
            ended,
            end,
        }
    }
}

/// Whether the caller is content or has nothing to gain by asking again.
fn is_settled(wanted: &Wanted, calls: &[OneCall]) -> bool {
    calls.iter().any(|call| match &call.end {
        End::Answered(_) | End::Wrong(_) => true,
        // Asked once more under the same id, a request of unknown outcome may be answered
        // from what was recorded; after that its caller gives up.
        End::Refused(_, code, _) if code == "outcome_unknown" => {
            !wanted.kind.is_idempotent() && calls.len() > 1
        }
        End::Refused(status, _, _) => matches!(status, 400..=408 | 410..=422),
        End::NoMarker | End::ErrorEvent(_) | End::Cut(_) | End::NotThere => false,
    })
}

fn send(wanted: &Wanted, connection: &mut Connection) -> End {
    let bearer = format!("Bearer example-{}", wanted.customer);
    let mut headers = vec![
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
        ("idempotency-key", wanted.tag.as_str()),
    ];
    if wanted.kind == Kind::OnceChat {
        headers.push(("x-non-idempotent", "true"));
    }
    if let Some(session) = &wanted.session {
        headers.push(("x-session-id", session));
    }
    let request = HttpRequest {
        method: "POST",
        path: &wanted.path,
        headers: &headers,
        body: wanted.body.as_bytes(),
    };
    if connection.connect().is_err() {
        return End::NotThere;
    }
    let mut events = Vec::new();
    match connection.send_streaming(&request, |data| events.push(data.to_vec())) {
        Err(e) => End::Cut(e.to_string()),
        Ok(got) if got.status != 200 => refused(&got),
        Ok(got) if wanted.kind.is_plain() => plain(wanted, &got),
        Ok(got) if wanted.kind == Kind::Stream => streamed(wanted, &got, &events),
        Ok(got) => whole(wanted, &got),
    }
}

fn refused(got: &HttpResponse) -> End {
    let body = serde_json::from_slice::<Value>(&got.body).unwrap_or_default();
    let text = |field: &str| body["error"][field].as_str().unwrap_or("").to_owned();
    End::Refused(got.status, text("code"), text("run"))
}

/// A plain service tells the tag back.
fn plain(wanted: &Wanted, got: &HttpResponse) -> End {
    let body = serde_json::from_slice::<Value>(&got.body).unwrap_or_default();
    if body["tag"] == wanted.tag.as_str() {
        End::Answered(String::new())
    } else {
        End::Wrong(String::from_utf8_lossy(&got.body).into_owned())
    }
}

fn whole(wanted: &Wanted, got: &HttpResponse) -> End {
    let body = serde_json::from_slice::<Value>(&got.body).unwrap_or_default();
    let content = body["choices"][0]["message"]["content"].as_str();
    compare(wanted, got, content.unwrap_or_default())
}

fn streamed(wanted: &Wanted, got: &HttpResponse, events: &[Vec<u8>]) -> End {
    let mut content = String::new();
    for event in events {
        let chunk = serde_json::from_slice::<Value>(event).unwrap_or_default();
        if !chunk["error"].is_null() {
            return End::ErrorEvent(chunk["error"]["code"].as_str().unwrap_or("").to_owned());
        }
        let text = chunk["choices"][0]["delta"]["content"].as_str();
        content.push_str(text.unwrap_or_default());
    }
    if events.last().is_none_or(|event| event != b"[DONE]") {
        return End::NoMarker;
    }
    compare(wanted, got, &content)
}

/// The stand-in's answers are a function of version, prompt and length.
fn compare(wanted: &Wanted, got: &HttpResponse, content: &str) -> End {
    let version = got.header("x-served-by").to_owned();
    let expected = version
        .parse::<VersionId>()
        .map(|version| text::answer(&version, &wanted.messages, wanted.tokens));
    match expected {
        Ok(expected) if expected == content => End::Answered(version),
        _ => End::Wrong(format!("{version}: {content:?}")),
    }
}
