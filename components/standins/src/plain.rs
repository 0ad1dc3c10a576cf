//! Stand-in of a plain service, such as a booking desk.
//!
//! A POST has an effect, counted by its request id, so that a test sees doubles. Any
//! other method only reads.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::Method;
use serde_json::json;
use types::prelude::*;

use crate::server::{Call, Handler, Reply, Server};

/// How a stand-in plain service is started.
#[derive(Debug, Clone)]
pub struct PlainConfig {
    /// Where to listen; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Time that an answer takes.
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

/// What goes wrong, from now on.
#[derive(Debug, Clone, Default)]
pub struct PlainFaults {
    /// Connections are closed without an answer.
    pub down: bool,
    /// Every answer takes so much longer.
    pub delay: Span,
    /// One each for the next requests, in order.
    pub next: VecDeque<PlainFault>,
}

/// What goes wrong with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainFault {
    /// Nothing.
    None,
    /// Closes the connection without effect.
    ResetBefore,
    /// Closes the connection after the effect.
    ResetAfter,
    /// Has its effect at once and answers so much later.
    Slow(Span),
    /// 503 without effect; says so when true.
    Refuse(bool),
    /// 500 after the effect.
    Fail,
}

/// A running stand-in plain service.
#[derive(Debug)]
pub struct PlainService {
    server: Server,
    shared: Arc<Shared>,
}

impl PlainService {
    /// Starts it.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(cfg: &PlainConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            service_time: cfg.service_time,
            state: Mutex::default(),
        });
        let server = Server::start("plain", cfg.address, Arc::clone(&shared))?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what goes wrong.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlainFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Lets the next request, not yet spoken for, meet a fault.
    pub fn fail_next(&self, fault: PlainFault) {
        self.set_faults(|faults| faults.next.push_back(fault));
    }

    /// Effects by tag: the body's first word, or the request id of an empty body.
    #[must_use]
    pub fn effects(&self) -> BTreeMap<String, u64> {
        self.shared.lock().effects.clone()
    }

    /// Requests received, with or without effect.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.shared.lock().requests
    }

    /// Stops at once.
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
    /// Does what a call asks for: how often its tag has had its effect by now.
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
            PlainFault::Refuse(says_so) => return Some(refuse(says_so)),
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
            _ => Some(Reply::json(200, &body).with("x-request-id", id)),
        }
    }
}

fn refuse(says_so: bool) -> Reply {
    let reply = Reply::json(503, &json!({ "error": "busy" }));
    if says_so {
        reply.with("x-not-run", "true")
    } else {
        reply
    }
}
