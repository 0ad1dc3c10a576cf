//! Daemons around a store in memory.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dispatch::{Policy, RetryLimits, VersionHistory};
use fleet::{Codec, DecodeError, HistoryRecord, Running, Settings, StateRecord};
use http1::Head;
use poison::{Admission, Content, CrashedAttempt, SharedSuspects, UpstreamInstance};
use rand::RngExt;
use routes::{
    Limits, RolloutOrder, RolloutState, RouteTable, TableVersion, Upstream, UpstreamState,
};
use traffic::{Ask, AskError, Execution, Forwarding, Translator};
use types::prelude::*;

pub use crate::memory::{MemoryStore, StoreLink};

/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A codec of plain text.
#[derive(Default)]
pub struct TextCodec {
    /// Time that decoding a table takes.
    pub table_decode_time: Duration,
}

impl Codec for TextCodec {
    fn table_key(&self) -> &str {
        "table"
    }

    fn upstream_prefix(&self) -> &str {
        "upstream/"
    }

    fn order_prefix(&self) -> &str {
        "order/"
    }

    fn evacuation_prefix(&self) -> &str {
        "evacuation/"
    }

    fn state_key(&self, service: &str) -> String {
        format!("state/{service}")
    }

    fn daemon_prefix(&self) -> &str {
        "daemon/"
    }

    fn quarantine_prefix(&self) -> &str {
        "bar/"
    }

    fn table(&self, value: &Bytes) -> Result<RouteTable, DecodeError> {
        std::thread::sleep(self.table_decode_time);
        let version = String::from_utf8_lossy(value).parse();
        let version = version.map_err(|_| DecodeError {
            key: "table".to_owned(),
            problem: "not a number".to_owned(),
        })?;
        let limits = Limits {
            head: ByteSize(1_000),
            body: ByteSize(1_000),
            head_timeout: Span::from_secs(1),
            idle: Span::from_secs(1),
        };
        let table = RouteTable::new(TableVersion(version), limits, vec![], vec![], None);
        Ok(table.expect("without routes"))
    }

    /// Decodes a version, followed by `@` and the start of the instance if given; a question mark
    /// is unreadable.
    fn upstream(&self, id: &str, value: &Bytes) -> Result<Upstream, DecodeError> {
        let text = String::from_utf8_lossy(value);
        if text.starts_with('?') {
            return Err(DecodeError {
                key: id.to_owned(),
                problem: "not a version".to_owned(),
            });
        }
        let (version, started_at) = match text.split_once('@') {
            Some((version, at)) => (version, Some(WallTime(at.parse().expect("a number")))),
            None => (&*text, None),
        };
        Ok(Upstream {
            id: UpstreamId::new(id).expect("a name"),
            started_at,
            service: Arc::from("service"),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: FailureDomain::new("east").expect("a name"),
            version: Arc::from(version),
            slots: 1,
            state: UpstreamState::Ready,
            warm_up_remaining: Span::ZERO,
        })
    }

    fn order(&self, key: &str, value: &Bytes, revision: u64) -> Result<RolloutOrder, DecodeError> {
        Ok(RolloutOrder {
            service: Arc::from(key.trim_start_matches("order/")),
            to: Arc::from(&*String::from_utf8_lossy(value)),
            decision_timeout: Span::from_secs(60),
            revision,
        })
    }

    fn evacuation(&self, name: &str, _: &Bytes) -> Result<FailureDomain, DecodeError> {
        FailureDomain::new(name).map_err(|e| DecodeError {
            key: name.to_owned(),
            problem: e.to_string(),
        })
    }

    fn state(&self, _: &str, value: &Bytes) -> Result<StateRecord, DecodeError> {
        let text = String::from_utf8_lossy(value).into_owned();
        let (state, to) = text.split_once(' ').expect("two words");
        Ok(StateRecord {
            to: to.to_owned(),
            state: match state {
                "running" => RolloutState::Running,
                "completed" => RolloutState::Completed,
                _ => RolloutState::Reverted,
            },
        })
    }

    fn encode_state(&self, order: &RolloutOrder, state: RolloutState) -> Bytes {
        Bytes::from(format!("{state} {}", order.to))
    }

    fn history_key(&self, service: &str) -> String {
        format!("history/{service}")
    }

    /// Decodes the order's revision, its version, and the barred and stable versions.
    fn history(&self, _: &str, value: &Bytes) -> Result<HistoryRecord, DecodeError> {
        let text = String::from_utf8_lossy(value).into_owned();
        let parts = text.split(' ').collect::<Vec<_>>();
        let versions = |part: &str| {
            let versions = part.split(',').filter(|version| !version.is_empty());
            versions.map(Arc::from).collect()
        };
        Ok(HistoryRecord {
            order: parts[0].parse().expect("a revision"),
            to: parts[1].to_owned(),
            history: VersionHistory {
                barred: versions(parts[2]),
                stable: versions(parts[3]),
            },
        })
    }

    fn encode_history(&self, record: &HistoryRecord) -> Bytes {
        let join = |versions: &BTreeSet<Arc<str>>| {
            let versions = versions.iter().map(|version| &**version);
            versions.collect::<Vec<_>>().join(",")
        };
        let VersionHistory { barred, stable } = &record.history;
        let (barred, stable) = (join(barred), join(stable));
        Bytes::from(format!("{} {} {barred} {stable}", record.order, record.to))
    }
}

struct NoTranslator;

impl Translator for NoTranslator {
    fn ask(&self, _: &Head) -> Result<Ask, AskError> {
        Err(AskError::NotOnce("id"))
    }

    fn forward(&self, _: &Forwarding<'_>, _: &mut Vec<u8>) {}

    fn reply(&self, _: &Head, _: &UpstreamId) -> traffic::Reply {
        traffic::Reply {
            attempt: None,
            is_signed: false,
            execution: Execution::Ran,
            confidence: None,
            retry_after: None,
            brittleness: dispatch::Brittleness::Nothing,
            rate_limit: dispatch::Advertised::Nothing,
            is_reencoded: false,
        }
    }
}

/// A store with a configuration and an upstream.
pub fn seeded_store() -> MemoryStore {
    let memory = MemoryStore::default();
    memory.set("table", Some("1"));
    memory.set("upstream/u1", Some("v1"));
    memory
}

/// A daemon and its link to the store.
pub struct Daemon {
    pub link: StoreLink,
    pub status: SocketAddr,
    pub suspects: SharedSuspects,
    clock: Clock,
    running: Option<Running>,
}

/// Starts daemons that find each other through the store only.
pub fn daemons(count: usize, memory: &MemoryStore) -> Vec<Daemon> {
    (0..count)
        .map(|n| daemon(n, StoreLink::to(memory)))
        .collect()
}

/// An address that is not in use, below the ports that the kernel gives to connections: one of
/// another test may take such a port before it is listened on.
pub fn free_address() -> SocketAddr {
    let mut rng = rand::rng();
    let mut ports = std::iter::repeat_with(|| rng.random_range(12_000..30_000));
    let mut addresses = ports
        .by_ref()
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let is_free = |address: &SocketAddr| std::net::TcpListener::bind(address).is_ok();
    addresses.find(is_free).expect("a free port")
}

/// Starts a daemon without seeds.
pub fn daemon(n: usize, link: StoreLink) -> Daemon {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    daemon_at(n, link, any, Vec::new())
}

/// Starts a daemon with a listen address for peers and with seeds.
pub fn daemon_at(n: usize, link: StoreLink, peers: SocketAddr, seeds: Vec<SocketAddr>) -> Daemon {
    start(link, settings(n, peers, seeds))
}

/// Settings of daemon `n`.
pub fn settings(n: usize, peers: SocketAddr, seeds: Vec<SocketAddr>) -> Settings {
    Settings {
        cluster: ClusterName::new("test").expect("a name"),
        secret: Bytes::from_static(b"a secret of sixteen bytes"),
        me: DaemonId::new(&format!("d{n}")).expect("a name"),
        peers,
        advertise: None,
        seeds,
        failure_domain: FailureDomain::new("east").expect("a name"),
        region: Region::new("here").expect("a name"),
        in_force_within: Span::from_secs(2),
        trial: dispatch::TrialLimits {
            exposure: 0.1,
            allowance: 30.0,
        },
        upstream_lease: dispatch::EntryLease {
            ttl: Span::from_millis(3_600),
            renewed_within: Span::from_millis(1_800),
            relisted_within: Span::from_secs(2),
        },
        shortest_lease: Span::from_secs(1),
    }
}

/// Starts a daemon.
pub fn start(link: StoreLink, settings: Settings) -> Daemon {
    let clock = Clock::new();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let traffic = traffic::Config {
        callers: any,
        status: any,
        source: None,
        tunnels: traffic::TunnelConfig {
            listen: any,
            key: traffic::FleetKey([7; 16]),
            max_served: 10,
        },
        ready_path: "/ready".to_owned(),
        failure_domain: settings.failure_domain.clone(),
        max_caller_connections: 10,
        max_held_body_bytes: ByteSize(1_000),
        max_held_answer_bytes: ByteSize(1_000),
        policy: Policy::default(),
        retries: RetryLimits {
            ratio: 1.0,
            allowance: 1.0,
            window: Span::from_secs(1),
        },
        suspects: SharedSuspects::default(),
        cold_tolerance: dispatch::ColdTolerance::default(),
        max_staleness: Span::from_secs(2),
        session_idle: Span::from_secs(1),
        grace_period: Span::from_secs(4),
        dropped_logs: telemetry::logs::Dropped::default(),
    };
    let traffic = traffic::start(traffic, NoTranslator, clock).expect("starts");
    let (status, suspects) = (traffic.status, traffic.suspects.clone());
    let store = Arc::new(link.clone());
    let running = fleet::start(settings, TextCodec::default(), store, traffic, clock);
    let running = running.expect("starts");
    Daemon {
        link,
        status,
        suspects,
        clock,
        running: Some(running),
    }
}

impl Daemon {
    /// Records that an upstream crashed soon after it began to process a content sent by this
    /// daemon.
    pub fn upstream_crashes(&self, upstream: &str, content: Content) {
        let upstream = UpstreamInstance {
            id: UpstreamId::new(upstream).expect("a name"),
            started_at: None,
        };
        let under = CrashedAttempt {
            contents: content.into(),
            customer: None,
            had_started: true,
            ran: Span::from_millis(90),
        };
        let mut suspects = self.suspects.lock();
        suspects.upstream_crashed(self.clock.now(), &upstream, &[under]);
    }

    /// Records that this daemon received a complete answer to a content.
    pub fn completes(&self, content: Content) {
        self.suspects.lock().answered(self.clock.now(), content);
    }

    /// Whether this daemon quarantines a content.
    pub fn quarantines(&self, content: Content) -> bool {
        let admission = self.suspects.lock().admission(self.clock.now(), content);
        admission != Admission::Open
    }

    fn get(&self, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.status).expect("listening");
        let ask = format!("GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n");
        stream.write_all(ask.as_bytes()).expect("open");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("an answer");
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
        (status.unwrap_or(0), body.to_owned())
    }

    pub fn is_ready(&self) -> bool {
        self.get("/ready").0 == 200
    }

    /// A field of the state's dump.
    pub fn state(&self, name: &str) -> serde_json::Value {
        self.dump()[name].clone()
    }

    /// The state's dump.
    pub fn dump(&self) -> serde_json::Value {
        let (_, text) = self.get("/state");
        serde_json::from_str(&text).expect("JSON")
    }

    pub fn table(&self) -> Option<u64> {
        self.state("table_version").as_u64()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(running) = self.running.take() {
            running.stop();
        }
    }
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
