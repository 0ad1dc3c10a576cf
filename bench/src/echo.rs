//! One daemon before four engines, one customer and one offer, without limits.

pub mod path;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use standins::engine::EngineConfig;
use standins::platform::{Platform, PlatformConfig};
use types::prelude::*;

use crate::daemons::{CLUSTER, Daemon, DaemonPlan, Scratch};

/// What callers through the daemon ask for.
pub const OFFER: &str = "echo";
/// What callers of the engines ask for.
pub const VERSION: &str = "echo-large@2026-12";
const KEY: &str = "example-bench";
/// The customer's key, as a header.
pub const AUTHORIZATION: &str = "Bearer example-bench";
/// Tokens of each slow stream.
pub const SLOW_TOKENS: u32 = 20;

const ENGINES: usize = 4;
const SLOTS: u32 = 1024;
/// Length of an answer unless the request says more.
const SHORT_ANSWER: u32 = 8;

/// Answers at once.
pub fn quick_engine() -> EngineConfig {
    EngineConfig {
        answer_tokens: SHORT_ANSWER,
        cache_tokens: 10_000,
        max_run_records: 0,
        ..EngineConfig::default()
    }
}

/// Gives tokens faster than the daemon is expected to pass on.
pub fn token_engine() -> EngineConfig {
    EngineConfig {
        answer_tokens: 4096,
        token_time: Span::from_millis(5),
        ..quick_engine()
    }
}

/// Spreads the tokens of a slow stream over a time.
pub fn slow_engine(length: Duration) -> EngineConfig {
    EngineConfig {
        answer_tokens: SLOW_TOKENS,
        token_time: Span::from(length / SLOW_TOKENS),
        ..quick_engine()
    }
}

/// A request's body; a stream when tokens are given.
pub fn body(model: &str, id: &str, tokens: Option<u32>) -> String {
    let text = format!("{id} say something short about the price of a manicure");
    let mut body = json!({
        "model": model,
        "messages": [{ "role": "user", "content": text }],
    });
    if let Some(tokens) = tokens {
        body["stream"] = json!(true);
        body["max_tokens"] = json!(tokens);
    }
    body.to_string()
}

/// A running platform with one daemon.
pub struct Setup {
    /// The daemon; stops before the platform.
    pub daemon: Daemon,
    /// The stand-ins.
    pub platform: Platform,
    _scratch: Scratch,
}

impl Setup {
    /// Starts all.
    pub fn start(engine: &EngineConfig) -> eyre::Result<Self> {
        let entries = catalogue::file::parse("overhead", &entries())?;
        let cfg = PlatformConfig {
            engine: engine.clone(),
            ..PlatformConfig::default()
        };
        let platform = Platform::start(&cfg, &entries)?;
        platform.seed(&CLUSTER.parse()?, &"bench".parse()?, Clock::new().wall());
        let scratch = Scratch::new("buckthorncross-overhead")?;
        let plan = DaemonPlan::alone(KEY)?;
        let daemon = Daemon::start(plan, &platform, scratch.path())?;
        Ok(Self {
            daemon,
            platform,
            _scratch: scratch,
        })
    }

    /// Where the engines listen.
    pub fn engines(&self) -> Vec<SocketAddr> {
        self.platform
            .engines
            .values()
            .map(|e| e.address())
            .collect()
    }
}

/// One customer, one pool, one offer, no limits.
fn entries() -> String {
    let hash = catalogue::entry::KeyHash::from_key(KEY);
    let upstreams = (1..=ENGINES).map(|n| {
        format!(
            "      - {{id: echo-{n}, address: '10.0.0.{n}:80', failure_domain: one, slots: {SLOTS}}}\n"
        )
    });
    format!(
        "entries:\n  \
         customers/bench: {{kind: customer, owner: bench, key_sha256: [{hash}]}}\n  \
         services/echo:\n    kind: service\n    owner: bench\n    protocol: engine\n    \
         upstreams:\n{}  \
         models/echo-large:\n    kind: model\n    owner: bench\n    service: services/echo\n    \
         versions: {{2026-12: {{state: offered, price: {{input: '1', output: '2'}}}}}}\n  \
         offers/{OFFER}: {{kind: offer, owner: bench, class: echo, candidates: [echo-large], \
         quality_target: '0.5', customers: {{bench: [echo-large]}}}}\n",
        upstreams.collect::<String>()
    )
}
