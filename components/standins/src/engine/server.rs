//! The engine's HTTP handlers and its public handle.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use types::prelude::*;

use super::batch::JobId;
use super::config::{EngineConfig, EngineCounters, EngineFault, EngineFaults, RunRecord};
use super::job::Whole;
use super::orders::Order;
use super::state::{Answer, Arrival, Refusal, State, Submitted};
use super::wire::{self, ChatRequest, OTHER_REQUEST};
use crate::server::{Call, Handler, Reply, Server, break_after_delay};

/// A running stand-in engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts the engine.
    ///
    /// # Errors
    /// Fails when the address can't be bound or the thread can't be started.
    pub fn start(cfg: EngineConfig) -> io::Result<Self> {
        let address = cfg.address;
        let shared = Arc::new(Shared {
            clock: Clock::new(),
            wake: Notify::new(),
            state: Mutex::new(State::new(cfg)),
        });
        let server = Server::start("engine", address, Arc::clone(&shared))?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the engine listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults; setting `down` also breaks everything in flight.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        let mut state = self.shared.lock();
        change(&mut state.faults);
        if state.faults.down {
            state.break_connections();
        }
    }

    /// Queues a fault for the next request that has no fault queued yet.
    pub fn fail_next(&self, fault: EngineFault) {
        self.set_faults(|faults| faults.next.push_back(fault));
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> EngineCounters {
        self.shared.lock().counters.clone()
    }

    /// Returns the number of requests that run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.shared.lock().running()
    }

    /// Returns the number of requests that wait for a slot now.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.shared.lock().waiting()
    }

    /// Returns the records of the runs so far, up to the configured number.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        self.shared.lock().runs.clone()
    }

    /// Returns the loaded model versions.
    #[must_use]
    pub fn versions(&self) -> Vec<VersionId> {
        self.shared.lock().loaded.versions().cloned().collect()
    }

    /// Stops immediately and breaks open streams.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    wake: Notify,
    state: Mutex<State>,
}

/// Cancels a request whose connection ends before its answer.
struct CancelOnDrop {
    shared: Arc<Shared>,
    id: Option<JobId>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.shared.lock().cancel(id);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn chat(self: Arc<Self>, call: Call) -> Option<Reply> {
        let fault = self.next_fault();
        if fault == EngineFault::ResetBefore {
            return None;
        }
        let attempt = call.header("x-request-id").to_owned();
        let reply = match self.submit(&call, &attempt, fault) {
            Ok(submitted) => {
                self.wake.notify_one();
                Arc::clone(&self).answer(submitted, &attempt, fault).await?
            }
            Err(reply) => reply,
        };
        let reply_id = match fault {
            EngineFault::Crossed | EngineFault::CrossedRefusal => OTHER_REQUEST,
            _ => &attempt,
        };
        Some(reply.with("x-request-id", reply_id))
    }

    fn next_fault(&self) -> EngineFault {
        let mut state = self.lock();
        state.counters.requests += 1;
        state.faults.next.pop_front().unwrap_or(EngineFault::None)
    }

    fn submit(&self, call: &Call, attempt: &str, fault: EngineFault) -> Result<Submitted, Reply> {
        let now = self.clock.now();
        let mut state = self.lock();
        match fault {
            EngineFault::Refuse => return Err(refuse(503, "refused", false)),
            EngineFault::RefuseNotRun | EngineFault::CrossedRefusal => {
                state.counters.refused += 1;
                return Err(refuse(503, "refused", true));
            }
            _ => {}
        }
        let chat = serde_json::from_slice::<ChatRequest>(&call.body);
        let chat = chat.map_err(|e| invalid(&e.to_string()))?;
        let Ok(version) = chat.model.parse::<VersionId>() else {
            return Err(not_loaded());
        };
        let deadline = match call.header("x-deadline-ms").parse() {
            Ok(millis) => now + Span::from_millis(millis),
            Err(_) => Time::NEVER,
        };
        let arrival = Arrival {
            attempt: attempt.to_owned(),
            version,
            deadline,
            chat,
            fault,
        };
        state.submit(now, arrival).map_err(|refusal| {
            state.counters.refused += 1;
            match refusal {
                Refusal::NotLoaded => not_loaded(),
                Refusal::Leaving => refuse(503, "leaving", true),
                Refusal::Full => refuse(503, "full", true),
                Refusal::Expired => refuse(503, "deadline_passed", true),
            }
        })
    }

    async fn answer(
        self: Arc<Self>,
        submitted: Submitted,
        attempt: &str,
        fault: EngineFault,
    ) -> Option<Reply> {
        let id = Some(submitted.id);
        let mut guard = CancelOnDrop { shared: self, id };
        if !submitted.started.await.ok()? {
            return Some(refuse(503, "deadline_passed", true));
        }
        let whole = match submitted.answer {
            Answer::Stream(pieces) => {
                // From here on, a closed body channel shows that the client disconnected.
                guard.id = None;
                return Some(Reply::stream("text/event-stream", pieces));
            }
            Answer::Whole(whole) => whole.await.ok()?,
        };
        match fault {
            EngineFault::ResetAfter => return None,
            EngineFault::RefuseAfterRun => return Some(refuse(503, "failed", false)),
            _ => {}
        }
        let reply_id = if fault.crosses_body() {
            OTHER_REQUEST
        } else {
            attempt
        };
        let (text, interrupted) = match whole {
            Whole::Finished(text) => (text, false),
            Whole::Interrupted(text) => (text, true),
        };
        let version = submitted.version;
        let mut usage = submitted.usage;
        usage.completion = submitted.tokens;
        let mut body = wire::completion(reply_id, &version, &text, submitted.finish_reason, usage);
        if submitted.logprobs {
            body["choices"][0]["logprobs"] = wire::logprobs(&text);
        }
        Some(if interrupted {
            break_halfway(&body)
        } else {
            Reply::json(200, &body)
        })
    }

    fn order(&self, kind: &str, body: &[u8]) -> Reply {
        let order = match serde_json::from_slice::<Order>(body) {
            Ok(order) => order,
            Err(e) => return invalid(&e.to_string()),
        };
        let mut state = self.lock();
        let (accepted, reply) = state.loaded.apply(self.clock.now(), kind, &order);
        if accepted {
            state.counters.orders += 1;
        } else {
            state.counters.orders_refused += 1;
        }
        reply
    }

    fn events(&self, query: &str) -> Reply {
        let after = query
            .split('&')
            .find_map(|part| part.strip_prefix("after="));
        let after = after.and_then(|n| n.parse().ok()).unwrap_or(0);
        let now = self.clock.now();
        Reply::json(200, &self.lock().cache.events_after(now, after))
    }

    async fn dispatch(self: Arc<Self>, call: Call) -> Option<Reply> {
        Some(match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => return self.chat(call).await,
            (&Method::GET, "/load") => Reply::json(200, &self.lock().load(self.clock.now())),
            (&Method::POST, "/orders/load") => self.order("load", &call.body),
            (&Method::POST, "/orders/unload") => self.order("unload", &call.body),
            (&Method::POST, "/orders/role") => self.order("role", &call.body),
            (&Method::GET, "/cache/events") => self.events(&call.query),
            (&Method::GET, "/v1/models") => Reply::json(200, &self.lock().models()),
            _ => Reply::json(
                404,
                &wire::error("invalid_request_error", "not_found", "no such path"),
            ),
        })
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, call: Call) -> Option<Reply> {
        if self.lock().faults.down {
            return None;
        }
        let reply = Arc::clone(&self).dispatch(call).await?;
        let state = self.lock();
        if state.faults.down {
            return None;
        }
        let load = format!("{}/{}/{}", state.running(), state.slots(), state.waiting());
        Some(reply.with("x-engine-load", load))
    }

    async fn background(self: Arc<Self>) {
        loop {
            let now = self.clock.now();
            let next = {
                let mut state = self.lock();
                state.tick(now);
                state.next_tick()
            };
            match next {
                None => self.wake.notified().await,
                // The next step is due already. Yield instead of sleeping, so that answers are
                // sent between steps.
                Some(next) if now.has_reached(next) => tokio::task::yield_now().await,
                Some(next) => {
                    let sleep = tokio::time::sleep(now.until(next).to_duration());
                    tokio::select! {
                        () = sleep => {}
                        () = self.wake.notified() => {}
                    }
                }
            }
        }
    }
}

/// Builds a reply whose `Content-Length` is that of the full body but which breaks halfway.
fn break_halfway(body: &Value) -> Reply {
    let body = body.to_string();
    let (tx, pieces) = mpsc::unbounded_channel();
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    // Can't fail: this function still holds the receiver.
    let _ = tx.send(Ok(half));
    break_after_delay(tx);
    Reply::stream("application/json", pieces).with("content-length", body.len())
}

fn refuse(status: u16, code: &str, not_run: bool) -> Reply {
    let body = wire::error(
        "server_error",
        code,
        "the engine does not take this request",
    );
    let reply = Reply::json(status, &body);
    if not_run {
        reply.with("x-not-run", "true")
    } else {
        reply
    }
}

fn not_loaded() -> Reply {
    let message = "the version is not loaded here";
    let body = wire::error("invalid_request_error", "model_not_found", message);
    Reply::json(404, &body)
}

fn invalid(message: &str) -> Reply {
    let body = wire::error("invalid_request_error", "invalid_body", message);
    Reply::json(400, &body)
}

impl State {
    /// Returns the load report, which may be as old as the configured lag.
    fn load(&mut self, now: Time) -> Value {
        self.counters.load_reports += 1;
        self.loaded.finish_loads(now);
        let report = json!({
            "running": self.running(),
            "waiting": self.waiting(),
            "slots": self.slots(),
            "versions": self.loaded.versions().collect::<Vec<_>>(),
            "loading": self.loaded.loading().collect::<Vec<_>>(),
            "role": if self.loaded.is_leaving() { "leaving" } else { "serve" },
            "leaving": self.loaded.is_leaving(),
            "fencing": self.loaded.fencing(),
        });
        self.report.read(now, self.cfg.load_lag, report)
    }

    fn models(&self) -> Value {
        let models = self.loaded.versions().map(|version| {
            json!({ "id": version, "object": "model", "created": 0, "owned_by": "engine" })
        });
        json!({ "object": "list", "data": models.collect::<Vec<_>>() })
    }
}
