//! Stand-in for the service that rates answers, with a rate limit and a delay.
//!
//! Only the rater knows the true quality of a model version in a class. An answer is
//! adequate when the uniformly distributed number in its marker is below that quality, so
//! the same answer always gets the same rating until a test changes the quality.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Deserialize;
use serde_json::json;
use types::prelude::*;

use crate::engine::text;
use crate::limit::RateLimit;
use crate::server::{Call, Handler, Reply, Server};

/// Configuration of a stand-in rater.
#[derive(Debug, Clone)]
pub struct RaterConfig {
    /// Address to listen on; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Ratings per second before the rater replies 429; 0 is no limit.
    pub max_ratings: u32,
    /// Time that one rating takes.
    pub lag: Span,
    /// Share of adequate answers where `quality` has no entry.
    pub default_quality: f64,
    /// Share of adequate answers by model version and class.
    pub quality: BTreeMap<(VersionId, ClassName), f64>,
}

impl Default for RaterConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_ratings: 0,
            lag: Span::from_millis(200),
            default_quality: 0.95,
            quality: BTreeMap::new(),
        }
    }
}

/// A running stand-in rater.
#[derive(Debug)]
pub struct Rater {
    server: Server,
    shared: Arc<Shared>,
}

impl Rater {
    /// Starts the rater.
    ///
    /// # Errors
    /// Fails when the address can't be bound or the thread can't be started.
    pub fn start(cfg: &RaterConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            clock: Clock::new(),
            state: Mutex::new(State {
                rate_limit: RateLimit::new(cfg.max_ratings),
                lag: cfg.lag,
                default_quality: cfg.default_quality,
                quality: cfg.quality.clone(),
                down: false,
                ratings: BTreeMap::new(),
                refused: 0,
            }),
        });
        let server = Server::start("rater", cfg.address, Arc::clone(&shared))?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the rater listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the true quality of a model version in a class.
    pub fn set_quality(&self, version: VersionId, class: ClassName, quality: f64) {
        let mut state = self.shared.lock();
        state.quality.insert((version, class), quality);
    }

    /// Sets whether connections are closed without an answer.
    pub fn set_down(&self, down: bool) {
        self.shared.lock().down = down;
    }

    /// Changes the time that one rating takes.
    pub fn set_lag(&self, lag: Span) {
        self.shared.lock().lag = lag;
    }

    /// Returns the number of ratings by model version.
    #[must_use]
    pub fn ratings(&self) -> BTreeMap<VersionId, u64> {
        self.shared.lock().ratings.clone()
    }

    /// Returns the number of ratings refused over the rate limit.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.shared.lock().refused
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

#[derive(Debug)]
struct State {
    rate_limit: RateLimit,
    lag: Span,
    default_quality: f64,
    quality: BTreeMap<(VersionId, ClassName), f64>,
    down: bool,
    ratings: BTreeMap<VersionId, u64>,
    refused: u64,
}

/// A request to rate an answer. Replies to invalid bodies quote the type's name.
#[derive(Debug, Deserialize)]
struct Question {
    class: ClassName,
    version: VersionId,
    answer: String,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn rate(&mut self, request: Question) -> bool {
        *self.ratings.entry(request.version.clone()).or_default() += 1;
        let key = (request.version, request.class);
        let quality = self.quality.get(&key).unwrap_or(&self.default_quality);
        text::marker(&request.answer).is_some_and(|marker| marker < *quality)
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, call: Call) -> Option<Reply> {
        let request = match serde_json::from_slice::<Question>(&call.body) {
            Ok(request) => request,
            Err(e) => return Some(Reply::json(400, &json!({ "error": e.to_string() }))),
        };
        let lag = {
            let mut state = self.lock();
            if state.down {
                return None;
            }
            if !state.rate_limit.try_acquire(self.clock.now()) {
                state.refused += 1;
                return Some(crate::limit::too_many_requests());
            }
            state.lag
        };
        tokio::time::sleep(lag.to_duration()).await;
        let adequate = self.lock().rate(request);
        Some(Reply::json(200, &json!({ "adequate": adequate })))
    }
}
