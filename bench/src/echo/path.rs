//! The two arms, direct to the engines and through the daemon, and how their requests are sent.

use std::net::SocketAddr;

use super::Setup;
use crate::load::http::{Connection, HttpRequest, HttpResponse};
use crate::load::{RequestOutcome, WorkerResult};

/// Name of the arm that sends requests directly to the engines.
pub const DIRECT: &str = "straight";
/// Name of the arm that sends requests through a daemon.
pub const VIA_DAEMON: &str = "through";

/// One side of the comparison.
pub struct Arm {
    /// Name in the report.
    pub name: &'static str,
    /// Addresses to which the workers connect, round robin.
    pub addresses: Vec<SocketAddr>,
    /// Value of the requests' `model` field.
    pub model: &'static str,
}

/// Returns the direct arm and the arm through the daemon.
pub fn arms(setup: &Setup) -> [Arm; 2] {
    [
        Arm {
            name: DIRECT,
            addresses: setup.engines(),
            model: super::VERSION,
        },
        Arm {
            name: VIA_DAEMON,
            addresses: vec![setup.daemon.plan.addresses.callers],
            model: super::OFFER,
        },
    ]
}

/// Counts that a worker keeps in addition to latencies.
#[derive(Debug, Default)]
pub struct Notes {
    /// Requests without a complete response.
    pub failed: u64,
    /// Events received on streams.
    pub tokens: u64,
    /// Message of the first failure.
    pub failure: Option<String>,
}

/// Sends one request, as a stream if `tokens` is given. A stream without its end marker counts as
/// failed.
pub fn send_request(
    connection: &mut Connection,
    notes: &mut Notes,
    arm: &Arm,
    id: &str,
    tokens: Option<u32>,
) -> RequestOutcome {
    let body = super::body(arm.model, id, tokens);
    let headers = [
        ("content-type", "application/json"),
        ("authorization", super::AUTHORIZATION),
        ("x-request-id", id),
    ];
    let request = HttpRequest {
        method: "POST",
        path: "/v1/chat/completions",
        headers: &headers,
        body: body.as_bytes(),
    };
    let mut events = 0;
    let mut last_event = Vec::new();
    let response = connection.send_streaming(&request, |data| {
        events += 1;
        last_event.clear();
        last_event.extend_from_slice(data);
    });
    notes.tokens += events;
    let is_complete = tokens.is_none() || last_event == b"[DONE]";
    match response {
        Ok(HttpResponse { status: 200, .. }) if is_complete => RequestOutcome::Good,
        Ok(response) => record_failure(
            notes,
            format!(
                "{}: {}",
                response.status,
                String::from_utf8_lossy(&response.body)
            ),
        ),
        Err(e) => record_failure(notes, e.to_string()),
    }
}

fn record_failure(notes: &mut Notes, message: String) -> RequestOutcome {
    notes.failed += 1;
    notes.failure.get_or_insert(message);
    RequestOutcome::Failed
}

/// Returns the number of failures of all workers and prints the message of one of them.
pub fn count_failures(arm: &Arm, results: &[WorkerResult<Notes>]) -> f64 {
    if let Some(failure) = results.iter().find_map(|s| s.notes.failure.as_ref()) {
        eprintln!("{}: a request failed: {failure}", arm.name);
    }
    results.iter().map(|s| s.notes.failed as f64).sum()
}
