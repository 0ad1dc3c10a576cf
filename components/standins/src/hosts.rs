//! Stand-in for the platform's list of live and leaving hosts, which shows changes with a lag.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::{Value, json};
use types::prelude::*;

use crate::server::{Call, Handler, Reply, Server};

/// Configuration of a stand-in host list.
#[derive(Debug, Clone)]
pub struct HostsConfig {
    /// Address to listen on; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Delay before a change becomes visible.
    pub lag: Span,
    /// Live hosts at the start.
    pub live: Vec<SocketAddr>,
}

impl Default for HostsConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag: Span::from_secs(1),
            live: Vec::new(),
        }
    }
}

/// State of a host in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// The host is up.
    Live,
    /// The host is about to shut down.
    Leaving,
    /// The host is not listed.
    Gone,
}

/// A running stand-in host list.
#[derive(Debug)]
pub struct HostList {
    server: Server,
    shared: Arc<Shared>,
}

impl HostList {
    /// Starts the host list.
    ///
    /// # Errors
    /// Fails when the address can't be bound or the thread can't be started.
    pub fn start(cfg: &HostsConfig) -> io::Result<Self> {
        let live = cfg.live.iter().map(|host| (*host, HostState::Live));
        let shared = Arc::new(Shared {
            clock: Clock::new(),
            lag: cfg.lag,
            state: Mutex::new(State {
                listed: live.collect(),
                ..State::default()
            }),
        });
        let server = Server::start("hosts", cfg.address, Arc::clone(&shared))?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the host list listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes a host's state; readers see the change after the lag.
    pub fn set(&self, host: SocketAddr, state: HostState) {
        let visible_from = self.shared.clock.now() + self.shared.lag;
        let mut guard = self.shared.lock();
        guard.pending.push_back((visible_from, host, state));
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
    lag: Span,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    listed: BTreeMap<SocketAddr, HostState>,
    pending: VecDeque<(Time, SocketAddr, HostState)>,
    down: bool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply_due_changes(&mut self, now: Time) {
        while self.pending.front().is_some_and(|c| now.has_reached(c.0)) {
            if let Some((_, host, state)) = self.pending.pop_front() {
                self.listed.insert(host, state);
            }
        }
    }

    fn list(&self) -> Value {
        let hosts = self.listed.iter().filter_map(|(host, state)| {
            let state = match state {
                HostState::Live => "live",
                HostState::Leaving => "leaving",
                HostState::Gone => return None,
            };
            Some(json!({ "address": host, "state": state }))
        });
        json!({ "hosts": hosts.collect::<Vec<_>>() })
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, _: Call) -> Option<Reply> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.down {
            return None;
        }
        state.apply_due_changes(now);
        Some(Reply::json(200, &state.list()))
    }
}
