//! Stand-in of the weight store, which lets few loads begin at a time.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Deserialize;
use serde_json::json;
use types::prelude::*;

use crate::limit::{RateCap, too_many};
use crate::server::{Call, Handler, Reply, Server};

/// How a stand-in weight store is started.
#[derive(Debug, Clone)]
pub struct WeightsConfig {
    /// Where to listen; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Slots given a second before 429; 0 for no cap.
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
    /// Starts it.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(cfg: &WeightsConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            clock: Clock::new(),
            state: Mutex::new(State {
                cap: RateCap::new(cfg.max_slots),
                ..State::default()
            }),
        });
        let server = Server::start("weights", cfg.address, Arc::clone(&shared))?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Slots given by version.
    #[must_use]
    pub fn slots(&self) -> BTreeMap<VersionId, u64> {
        self.shared.lock().slots.clone()
    }

    /// Changes how many slots a second it gives, 0 for no cap.
    pub fn set_max_slots(&self, max: u32) {
        self.shared.lock().cap.set(max);
    }

    /// Closes connections without an answer, or no longer.
    pub fn set_down(&self, down: bool) {
        self.shared.lock().down = down;
    }

    /// Stops at once.
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
    cap: RateCap,
    slots: BTreeMap<VersionId, u64>,
    given: u64,
    down: bool,
}

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
        let wanted = match serde_json::from_slice::<Wanted>(&call.body) {
            Ok(wanted) => wanted,
            Err(e) => return Some(Reply::json(400, &json!({ "error": e.to_string() }))),
        };
        let mut state = self.lock();
        if state.down {
            return None;
        }
        if !state.cap.take(self.clock.now()) {
            return Some(too_many());
        }
        state.given += 1;
        *state.slots.entry(wanted.version).or_default() += 1;
        Some(Reply::json(200, &json!({ "slot": state.given })))
    }
}
