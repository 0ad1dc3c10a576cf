//! The HTTP handlers of the key-value store, with its faults and counters.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::Value;
use types::prelude::*;

use super::faults::{StoreCounters, StoreFaults};
use super::json::{self, BadRequest};
use super::state::{Action, Command, State, error};
use super::table::Table;
use crate::server::{Call, Handler, Reply, Server};

/// Interval between searches for expired leases and disconnected watches.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Configuration of a stand-in store.
#[derive(Debug, Clone)]
pub struct StoreConfig {
    /// Address to listen on; port 0 lets the kernel choose.
    pub address: SocketAddr,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}

/// A running stand-in store.
#[derive(Debug)]
pub struct StoreServer {
    server: Server,
    shared: Arc<Shared>,
}

impl StoreServer {
    /// Starts a store with an empty table.
    ///
    /// # Errors
    /// Fails when the address can't be bound or the thread can't be started.
    pub fn start(cfg: &StoreConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start("store", cfg.address, Arc::clone(&shared))?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults; setting `down` also ends the open watches.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        let mut state = self.shared.lock();
        change(&mut state.faults);
        if state.faults.down {
            state.watchers.clear();
        }
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> StoreCounters {
        let state = self.shared.lock();
        let mut counters = state.counters.clone();
        counters.open_watches = state.watchers.len() as u64;
        counters
    }

    /// Reads or changes the table directly, without a call, then sends the changes to watches.
    pub fn with_table<T>(&self, act: impl FnOnce(&mut Table) -> T) -> T {
        let mut state = self.shared.lock();
        let result = act(&mut state.table);
        state.publish();
        result
    }

    /// Stops immediately; the table is lost.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

#[derive(Debug, Default)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn command(self: Arc<Self>, command: Command) -> Option<Reply> {
        let action = self.lock().action(&command, self.clock.now());
        match action {
            Action::Close => None,
            Action::RateLimited => Some(error(429, 8, "too many requests")),
            Action::Run { delay, reply } => {
                // A separate task, so that the call takes effect even if its client disconnects.
                let done = tokio::spawn(self.run_after(delay, command)).await.ok();
                done.filter(|_| reply)
            }
            Action::RunLater(delay) => {
                tokio::spawn(self.run_after(delay, command));
                None
            }
        }
    }

    async fn run_after(self: Arc<Self>, delay: Span, command: Command) -> Reply {
        if delay > Span::ZERO {
            tokio::time::sleep(delay.to_duration()).await;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        state.table.expire(now);
        let reply = state.run(now, &command);
        state.publish();
        reply
    }

    fn watch(&self, body: &Value) -> Result<Option<Reply>, BadRequest> {
        let missing = || "create_request is missing".to_owned();
        let create = json::field(body, "create_request").ok_or_else(missing)?;
        let start = json::required_key(create)?;
        let end = json::key(create, "range_end")?;
        let from = json::number(create, "start_revision")?;
        let mut state = self.lock();
        if state.faults.down {
            state.counters.dropped += 1;
            return Ok(None);
        }
        state.counters.watches += 1;
        Ok(Some(state.start_watch(start, end, from)))
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, call: Call) -> Option<Reply> {
        self.lock().counters.bytes_in += call.body.len() as u64;
        let body = match serde_json::from_slice::<Value>(&call.body) {
            Ok(body) => body,
            Err(e) => return Some(error(400, 3, &e.to_string())),
        };
        if call.path == "/v3/watch" {
            let reply = self.watch(&body);
            return reply.unwrap_or_else(|e| Some(error(400, 3, &e)));
        }
        match Command::parse(&call.path, &body) {
            Ok(Some(command)) => self.command(command).await,
            Ok(None) => Some(error(404, 5, "Not Found")),
            Err(message) => Some(error(400, 3, &message)),
        }
    }

    async fn background(self: Arc<Self>) {
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            sweep.tick().await;
            let now = self.clock.now();
            let mut state = self.lock();
            if !state.faults.down && state.table.expire(now) {
                state.publish();
            }
            state.watchers.retain(|watcher| !watcher.lines.is_closed());
        }
    }
}
