//! Stand-in for the weight store, which limits how many model loads may start per second.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Deserialize;
use serde_json::json;
use types::prelude::*;

use crate::limit::{RateLimit, too_many_requests};
use crate::server::{Call, Handler, Reply, Server};

/// Configuration of a stand-in weight store.
#[derive(Debug, Clone)]
pub struct WeightsConfig {
    /// Address to listen on; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Slots granted per second before the store replies 429; 0 is no limit.
    pub max_slots: u32,
}

impl Default for WeightsConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_slots: 2,
        }
    }
}

/// A running stand-in weight store.
#[derive(Debug)]
pub struct WeightStore {
    server: Server,
    shared: Arc<Shared>,
}

impl WeightStore {
    /// Starts the weight store.
    ///
    /// # Errors
    /// Fails when the address can't be bound or the thread can't be started.
    pub fn start(cfg: &WeightsConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            clock: Clock::new(),
            state: Mutex::new(State {
                rate_limit: RateLimit::new(cfg.max_slots),
                ..State::default()
            }),
        });
        let server = Server::start("weights", cfg.address, Arc::clone(&shared))?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the weight store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of slots granted by model version.
    #[must_use]
    pub fn slots(&self) -> BTreeMap<VersionId, u64> {
        self.shared.lock().slots.clone()
    }

    /// Changes how many slots are granted per second; 0 is no limit.
    pub fn set_max_slots(&self, max: u32) {
        self.shared.lock().rate_limit.set(max);
    }

    /// Sets whether connections are closed without an answer.
    pub fn set_down(&self, down: bool) {
        self.shared.lock().down = down;
    }

    /// Stops immediately and breaks open connections.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rate_limit: RateLimit,
    slots: BTreeMap<VersionId, u64>,
    granted: u64,
    down: bool,
}

/// A request for a load slot. Replies to invalid bodies quote the type's name.
#[derive(Debug, Deserialize)]
struct Wanted {
    version: VersionId,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, call: Call) -> Option<Reply> {
        let request = match serde_json::from_slice::<Wanted>(&call.body) {
            Ok(request) => request,
            Err(e) => return Some(Reply::json(400, &json!({ "error": e.to_string() }))),
        };
        let mut state = self.lock();
        if state.down {
            return None;
        }
        if !state.rate_limit.try_acquire(self.clock.now()) {
            return Some(too_many_requests());
        }
        state.granted += 1;
        *state.slots.entry(request.version).or_default() += 1;
        Some(Reply::json(200, &json!({ "slot": state.granted })))
    }
}
