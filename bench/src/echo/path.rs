//! The straight and the through arm, and how one request of an arm is made.

use std::net::SocketAddr;

use super::Setup;
use crate::load::http::{Ask, Connection, Got};
use crate::load::{Counted, Seen};

/// Name of the arm without a daemon.
pub const STRAIGHT: &str = "straight";
/// Name of the arm through a daemon.
pub const THROUGH: &str = "through";

/// An arm with the addresses that its workers use in turn.
pub struct Arm {
    /// Its name in the report.
    pub name: &'static str,
    /// Where its workers connect, in turn.
    pub addresses: Vec<SocketAddr>,
    /// What its requests ask for.
    pub model: &'static str,
}

/// Both arms.
pub fn arms(setup: &Setup) -> [Arm; 2] {
    [
        Arm {
            name: STRAIGHT,
            addresses: setup.engines(),
            model: super::VERSION,
        },
        Arm {
            name: THROUGH,
            addresses: vec![setup.daemon.plan.addresses.callers],
            model: super::OFFER,
        },
    ]
}

/// What workers count besides latencies.
#[derive(Debug, Default)]
pub struct Notes {
    /// Requests without a whole answer.
    pub failed: u64,
    /// Events of streams.
    pub tokens: u64,
    /// What the first failure said.
    pub failure: Option<String>,
}

/// Makes one request; a stream when tokens are given, which is good only with its end marker.
pub fn ask(
    connection: &mut Connection,
    notes: &mut Notes,
    arm: &Arm,
    id: &str,
    tokens: Option<u32>,
) -> Counted {
    let body = super::body(arm.model, id, tokens);
    let headers = [
        ("content-type", "application/json"),
        ("authorization", super::AUTHORIZATION),
        ("x-request-id", id),
    ];
    let ask = Ask {
        method: "POST",
        path: "/v1/chat/completions",
        headers: &headers,
        body: body.as_bytes(),
    };
    let mut events = 0;
    let mut last = Vec::new();
    let got = connection.ask_stream(&ask, |data| {
        events += 1;
        last.clear();
        last.extend_from_slice(data);
    });
    notes.tokens += events;
    let is_whole = tokens.is_none() || last == b"[DONE]";
    match got {
        Ok(Got { status: 200, .. }) if is_whole => Counted::Good,
        Ok(got) => fail(
            notes,
            format!("{}: {}", got.status, String::from_utf8_lossy(&got.body)),
        ),
        Err(e) => fail(notes, e.to_string()),
    }
}

fn fail(notes: &mut Notes, message: String) -> Counted {
    notes.failed += 1;
    notes.failure.get_or_insert(message);
    Counted::Failed
}

/// Failures of all workers; the first is printed for the reader.
pub fn failures(arm: &Arm, seen: &[Seen<Notes>]) -> f64 {
    if let Some(failure) = seen.iter().find_map(|s| s.notes.failure.as_ref()) {
        eprintln!("{}: a request failed: {failure}", arm.name);
    }
    seen.iter().map(|s| s.notes.failed as f64).sum()
}
