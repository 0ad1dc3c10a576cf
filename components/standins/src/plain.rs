//! Stand-in for a plain service, such as a booking service.
//!
//! A POST has an effect, counted per tag: the first word of its body, or its request id if
//! the body is empty. A test thus detects duplicate effects. Other methods only read.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::Method;
use serde_json::json;
use types::prelude::*;

use crate::server::{Call, Handler, Reply, Server};

/// Configuration of a stand-in plain service.
#[derive(Debug, Clone)]
pub struct PlainConfig {
    /// Address to listen on; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Time to answer a request.
    pub service_time: Span,
}

impl Default for PlainConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            service_time: Span::ZERO,
        }
    }
}

/// Faults in effect until they are changed.
#[derive(Debug, Clone, Default)]
pub struct PlainFaults {
    /// Closes connections without an answer.
    pub down: bool,
    /// Delay added to every answer.
    pub delay: Span,
    /// Faults for the next requests, one each, in order.
    pub next: VecDeque<PlainFault>,
}

/// A fault in the handling of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainFault {
    /// No fault.
    None,
    /// Closes the connection without having the effect.
    ResetBefore,
    /// Closes the connection after the effect.
    ResetAfter,
    /// Has the effect immediately but delays the answer by this much.
    Slow(Span),
    /// Replies 503 without having the effect; true adds `X-Not-Run: true`.
    Refuse(bool),
    /// Replies 500 after the effect.
    Fail,
    /// Replies with this status after the effect.
    FailWith(u16),
}

/// A running stand-in plain service.
#[derive(Debug)]
pub struct PlainService {
    server: Server,
    shared: Arc<Shared>,
}

impl PlainService {
    /// Starts the service.
    ///
    /// # Errors
    /// Fails when the address can't be bound or the thread can't be started.
    pub fn start(cfg: &PlainConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            service_time: cfg.service_time,
            state: Mutex::default(),
        });
        let server = Server::start("plain", cfg.address, Arc::clone(&shared))?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlainFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Queues a fault for the next request that has no fault queued yet.
    pub fn fail_next(&self, fault: PlainFault) {
        self.set_faults(|faults| faults.next.push_back(fault));
    }

    /// Returns the number of effects by tag: the body's first word, or the request id of an
    /// empty body.
    #[must_use]
    pub fn effects(&self) -> BTreeMap<String, u64> {
        self.shared.lock().effects.clone()
    }

    /// Returns the number of requests received, with or without effect.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.shared.lock().requests
    }

    /// Stops immediately and breaks open connections.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

#[derive(Debug)]
struct Shared {
    service_time: Span,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    faults: PlainFaults,
    effects: BTreeMap<String, u64>,
    requests: u64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Applies the call and returns how often its tag has had its effect by now.
    fn run(&mut self, call: &Call) -> u64 {
        let tag = tag(call);
        if call.method != Method::POST {
            return self.effects.get(&tag).copied().unwrap_or(0);
        }
        let count = self.effects.entry(tag).or_default();
        *count += 1;
        *count
    }

    fn next_fault(&mut self) -> PlainFault {
        self.requests += 1;
        if self.faults.down {
            return PlainFault::ResetBefore;
        }
        self.faults.next.pop_front().unwrap_or(PlainFault::None)
    }
}

fn tag(call: &Call) -> String {
    let body = String::from_utf8_lossy(&call.body);
    let word = body.split_whitespace().next();
    word.unwrap_or(call.header("x-request-id")).to_owned()
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, call: Call) -> Option<Reply> {
        let (fault, delay) = {
            let mut state = self.lock();
            (state.next_fault(), state.faults.delay)
        };
        match fault {
            PlainFault::ResetBefore => return None,
            PlainFault::Refuse(not_run) => return Some(refuse(not_run)),
            _ => {}
        }
        let effects = self.lock().run(&call);
        let slow = match fault {
            PlainFault::Slow(slow) => slow,
            _ => Span::ZERO,
        };
        let wait = self.service_time + delay + slow;
        if wait > Span::ZERO {
            tokio::time::sleep(wait.to_duration()).await;
        }
        let id = call.header("x-request-id").to_owned();
        let body = json!({ "tag": tag(&call), "path": call.path, "effects": effects });
        match fault {
            PlainFault::ResetAfter => None,
            PlainFault::Fail => Some(Reply::json(500, &body)),
            PlainFault::FailWith(status) => Some(Reply::json(status, &body)),
            _ => Some(Reply::json(200, &body).with("x-request-id", id)),
        }
    }
}

fn refuse(not_run: bool) -> Reply {
    let reply = Reply::json(503, &json!({ "error": "busy" }));
    if not_run {
        reply.with("x-not-run", "true")
    } else {
        reply
    }
}
