//! Test setup with one daemon, four engines, one customer and one offer, without limits.

pub mod path;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use standins::engine::EngineConfig;
use standins::platform::{Platform, PlatformConfig};
use types::prelude::*;

use crate::daemons::{CLUSTER, Daemon, DaemonPlan, Scratch};

/// Offer requested by callers of the daemon.
pub const OFFER: &str = "echo";
/// Version requested by direct callers of the engines.
pub const VERSION: &str = "echo-large@2026-12";
const CUSTOMER_KEY: &str = "example-bench";
/// Value of the `authorization` header with the customer's key.
pub const AUTHORIZATION: &str = "Bearer example-bench";
/// Number of tokens in each slow stream.
pub const SLOW_TOKENS: u32 = 20;

const ENGINES: usize = 4;
const SLOTS: u32 = 1024;
/// Tokens of an answer unless the request asks for more.
const ANSWER_TOKENS: u32 = 8;

/// Settings of an engine that answers without delay.
pub fn instant_engine() -> EngineConfig {
    EngineConfig {
        answer_tokens: ANSWER_TOKENS,
        cache_tokens: 10_000,
        max_run_records: 0,
        ..EngineConfig::default()
    }
}

/// Settings of an engine that produces tokens faster than the daemon is expected to relay them.
pub fn token_rate_engine() -> EngineConfig {
    EngineConfig {
        answer_tokens: 4096,
        token_time: Span::from_millis(5),
        ..instant_engine()
    }
}

/// Settings of an engine that spreads the tokens of a slow stream evenly over a time.
pub fn slow_engine(length: Duration) -> EngineConfig {
    EngineConfig {
        answer_tokens: SLOW_TOKENS,
        token_time: Span::from(length / SLOW_TOKENS),
        ..instant_engine()
    }
}

/// Returns the body of a chat request, which asks for a stream if `tokens` is given.
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

/// A running stand-in platform with one daemon.
pub struct Setup {
    /// The daemon. Declared first so that it stops before the platform.
    pub daemon: Daemon,
    /// Stand-ins of the platform's services.
    pub platform: Platform,
    _scratch: Scratch,
}

impl Setup {
    /// Starts the platform and the daemon.
    pub fn start(engine: &EngineConfig) -> eyre::Result<Self> {
        let catalogue_yaml = catalogue::file::parse("overhead", &catalogue_yaml())?;
        let cfg = PlatformConfig {
            engine: engine.clone(),
            ..PlatformConfig::default()
        };
        let platform = Platform::start(&cfg, &catalogue_yaml)?;
        platform.seed(&CLUSTER.parse()?, &"bench".parse()?, Clock::new().wall());
        let scratch = Scratch::new("buckthorncross-overhead")?;
        let plan = DaemonPlan::alone(CUSTOMER_KEY)?;
        let daemon = Daemon::start(plan, &platform, scratch.path())?;
        Ok(Self {
            daemon,
            platform,
            _scratch: scratch,
        })
    }

    /// Addresses of the engines.
    pub fn engines(&self) -> Vec<SocketAddr> {
        self.platform
            .engines
            .values()
            .map(|e| e.address())
            .collect()
    }
}

/// Returns the catalogue entries of one customer, one service, one model and one offer.
fn catalogue_yaml() -> String {
    let hash = catalogue::entry::KeyHash::from_key(CUSTOMER_KEY);
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
