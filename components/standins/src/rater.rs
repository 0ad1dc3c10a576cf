//! Stand-in of the service that rates answers: limited and late.
//!
//! It alone knows the true quality of a version in a class. An answer is adequate when
//! the uniform number in its marker lies below that quality, so the same answer always
//! gets the same rating until a test changes the quality.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Deserialize;
use serde_json::json;
use types::prelude::*;

use crate::engine::text;
use crate::limit::RateCap;
use crate::server::{Call, Handler, Reply, Server};

/// How a stand-in rater is started.
#[derive(Debug, Clone)]
pub struct RaterConfig {
    /// Where to listen; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Ratings a second before 429; 0 for no cap.
    pub max_ratings: u32,
    /// Time that a rating takes.
    pub lag: Span,
    /// Share of adequate answers where nothing else is set.
    pub default_quality: f64,
    /// Share of adequate answers by version and class.
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
    /// Starts it.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(cfg: &RaterConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            clock: Clock::new(),
            state: Mutex::new(State {
                cap: RateCap::new(cfg.max_ratings),
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

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the true quality of a version in a class.
    pub fn set_quality(&self, version: VersionId, class: ClassName, quality: f64) {
        let mut state = self.shared.lock();
        state.quality.insert((version, class), quality);
    }

    /// Closes connections without an answer, or no longer.
    pub fn set_down(&self, down: bool) {
        self.shared.lock().down = down;
    }

    /// Changes how long a rating takes.
    pub fn set_lag(&self, lag: Span) {
        self.shared.lock().lag = lag;
    }

    /// Ratings given by version.
    #[must_use]
    pub fn ratings(&self) -> BTreeMap<VersionId, u64> {
        self.shared.lock().ratings.clone()
    }

    /// Ratings refused over the cap.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.shared.lock().refused
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

#[derive(Debug)]
struct State {
    cap: RateCap,
    lag: Span,
    default_quality: f64,
    quality: BTreeMap<(VersionId, ClassName), f64>,
    down: bool,
    ratings: BTreeMap<VersionId, u64>,
    refused: u64,
}

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
    fn rate(&mut self, question: Question) -> bool {
        *self.ratings.entry(question.version.clone()).or_default() += 1;
        let key = (question.version, question.class);
        let quality = self.quality.get(&key).unwrap_or(&self.default_quality);
        text::marker(&question.answer).is_some_and(|marker| marker < *quality)
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, call: Call) -> Option<Reply> {
        let question = match serde_json::from_slice::<Question>(&call.body) {
            Ok(question) => question,
            Err(e) => return Some(Reply::json(400, &json!({ "error": e.to_string() }))),
        };
        let lag = {
            let mut state = self.lock();
            if state.down {
                return None;
            }
            if !state.cap.take(self.clock.now()) {
                state.refused += 1;
                return Some(crate::limit::too_many());
            }
            state.lag
        };
        tokio::time::sleep(lag.to_duration()).await;
        let adequate = self.lock().rate(question);
        Some(Reply::json(200, &json!({ "adequate": adequate })))
    }
}
