//! A store in memory that can be cut off from a daemon, and daemons around it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dispatch::{Policy, RetryLimits};
use fleet::{Codec, DecodeError, Running, Settings, StateRecord};
use http1::Head;
use keyvalue::{
    Answer, CallError, Compare, KeyValue, LeaseId, ModRevision, Op, Outcome, Range, Reply, Request,
    TxnReply, WatchEvent,
};
use poison::{Admission, Content, SharedSuspects, Under, UpstreamRun};
use routes::{
    Limits, RolloutOrder, RolloutState, RouteTable, TableVersion, Upstream, UpstreamState,
};
use store::{Sink, Store, Watch, WatchBatch, WatchEnd};
use traffic::{Ask, AskError, Forwarding, Standing, Translator};
use types::prelude::*;

/// What is waited for must come within this.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long a watch waits at the store.
const WATCH_WAIT: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Keys {
    revision: i64,
    items: BTreeMap<String, KeyValue>,
    log: Vec<WatchEvent>,
    /// When each revision was written, the first one first.
    written_at: Vec<Instant>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Memory(Arc<(Mutex<Keys>, Condvar)>);

impl Memory {
    /// Keys that begin so.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.0.0.lock().expect("sound");
        let keys = keys.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Writes a key, or deletes it.
    pub fn set(&self, key: &str, value: Option<&str>) {
        let (keys, changed) = &*self.0;
        let value = value.map(|text| Bytes::copy_from_slice(text.as_bytes()));
        put(&mut keys.lock().expect("sound"), key, value);
        changed.notify_all();
    }

    /// When the newest revision was written.
    pub fn written_at(&self) -> Instant {
        let keys = self.0.0.lock().expect("sound");
        *keys.written_at.last().expect("something was written")
    }

    /// A key's value.
    pub fn get(&self, key: &str) -> Option<String> {
        let keys = self.0.0.lock().expect("sound");
        let item = keys.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }
}

fn put(keys: &mut Keys, key: &str, value: Option<Bytes>) {
    keys.revision += 1;
    keys.written_at.push(Instant::now());
    let revision = ModRevision(keys.revision);
    let item = value.map(|value| KeyValue {
        key: key.to_owned(),
        value,
        mod_revision: revision,
        lease: None,
    });
    match &item {
        Some(item) => drop(keys.items.insert(key.to_owned(), item.clone())),
        None => drop(keys.items.remove(key)),
    }
    keys.log.push(WatchEvent {
        revision,
        key: key.to_owned(),
        value: item,
    });
}

/// One daemon's way to the store.
#[derive(Clone, Default)]
pub struct Way {
    memory: Memory,
    /// Nothing gets through.
    pub is_cut: Arc<AtomicBool>,
    /// Watches begun.
    pub watches: Arc<AtomicUsize>,
    /// Times that all keys were read.
    pub whole_reads: Arc<AtomicUsize>,
    /// Keys that were read.
    pub keys_read: Arc<AtomicUsize>,
    /// Answers to watches are held up for so many ms.
    pub held_up_ms: Arc<AtomicUsize>,
    /// How long each reading was to be waited for.
    pub patience: Arc<Mutex<Vec<Span>>>,
}

impl Way {
    /// To this store.
    pub fn to(memory: &Memory) -> Self {
        Self {
            memory: memory.clone(),
            ..Self::default()
        }
    }

    fn held_up(&self) -> Duration {
        Duration::from_millis(self.held_up_ms.load(Ordering::SeqCst) as u64)
    }

    fn check(&self) -> Result<(), CallError> {
        match self.is_cut.load(Ordering::SeqCst) {
            true => Err(CallError::Unknown("cut".to_owned())),
            false => Ok(()),
        }
    }
}

impl Store for Way {
    fn call(&self, req: Request) -> Outcome {
        self.check()?;
        let (keys, changed) = &*self.memory.0;
        let mut keys = keys.lock().expect("sound");
        let reply = match req {
            Request::Range(range) => {
                let limit = match range.limit {
                    0 => usize::MAX,
                    limit => limit as usize,
                };
                let items = keys.items.range(range.key.clone()..);
                let items = items.filter(|(key, _)| key.starts_with(&range.key));
                let items = items.take(limit);
                let is_whole = range.limit == 0;
                self.whole_reads
                    .fetch_add(usize::from(is_whole), Ordering::SeqCst);
                let items = items.map(|(_, item)| item.clone()).collect::<Vec<_>>();
                self.keys_read.fetch_add(items.len(), Ordering::SeqCst);
                Reply::Range(items)
            }
            Request::Txn(txn) => {
                let holds = txn.compare.iter().all(|compare| match compare {
                    Compare::Absent(key) => !keys.items.contains_key(key),
                    Compare::ModRevision(key, revision) => {
                        let held = keys.items.get(key).map(|item| item.mod_revision);
                        held.unwrap_or_default() == *revision
                    }
                });
                if holds {
                    for op in txn.success {
                        match op {
                            Op::Put(write) => put(&mut keys, &write.key, Some(write.value)),
                            Op::Delete(key) => put(&mut keys, &key, None),
                            other => panic!("no daemon asks for {other:?}"),
                        }
                    }
                }
                changed.notify_all();
                Reply::Txn(TxnReply {
                    succeeded: holds,
                    replies: Vec::new(),
                })
            }
            Request::LeaseGrant { .. } => Reply::LeaseGranted(LeaseId(1)),
            Request::LeaseKeepAlive(_) => Reply::LeaseKept(Some(Span::from_secs(1))),
            Request::LeaseRevoke(_) => Reply::LeaseRevoked,
        };
        Ok(Answer {
            revision: ModRevision(keys.revision),
            reply,
        })
    }

    fn read(&self, range: Range, patience: Span) -> Outcome {
        self.patience.lock().expect("sound").push(patience);
        self.call(Request::Range(range))
    }

    fn watch(&self, watch: &Watch, sink: &mut Sink<'_>) -> WatchEnd {
        self.watches.fetch_add(1, Ordering::SeqCst);
        let mut from = watch.from;
        while !watch.stop.load(Ordering::SeqCst) {
            let (keys, changed) = &*self.memory.0;
            let keys = keys.lock().expect("sound");
            let is_old = |keys: &mut Keys| keys.revision < from.0;
            let waited = changed.wait_timeout_while(keys, WATCH_WAIT, is_old);
            let (keys, _) = waited.expect("sound");
            let events = keys.log.iter().filter(|event| event.revision >= from);
            let batch = WatchBatch {
                revision: ModRevision(keys.revision),
                events: events.cloned().collect(),
                current_at: Instant::now() - self.held_up(),
            };
            from = ModRevision(keys.revision + 1);
            drop(keys);
            if self.check().is_err() {
                return WatchEnd::Broken("cut".to_owned());
            }
            if !sink(batch) {
                return WatchEnd::Stopped;
            }
        }
        WatchEnd::Stopped
    }
}

/// Keys and forms of these tests: plain words.
#[derive(Default)]
pub struct Words {
    /// Reading a table takes so long.
    pub table_takes: Duration,
}

impl Codec for Words {
    fn table_key(&self) -> &str {
        "table"
    }

    fn upstream_prefix(&self) -> &str {
        "upstream/"
    }

    fn order_prefix(&self) -> &str {
        "order/"
    }

    fn state_key(&self, service: &str) -> String {
        format!("state/{service}")
    }

    fn daemon_prefix(&self) -> &str {
        "daemon/"
    }

    fn bar_prefix(&self) -> &str {
        "bar/"
    }

    fn table(&self, value: &Bytes) -> Result<RouteTable, DecodeError> {
        std::thread::sleep(self.table_takes);
        let version = String::from_utf8_lossy(value).parse();
        let version = version.map_err(|_| DecodeError {
            key: "table".to_owned(),
            problem: "not a number".to_owned(),
        })?;
        let limits = Limits {
            head: ByteSize(1_000),
            body: ByteSize(1_000),
            head_within: Span::from_secs(1),
            idle: Span::from_secs(1),
        };
        let table = RouteTable::new(TableVersion(version), limits, vec![], vec![], None);
        Ok(table.expect("without routes"))
    }

    /// A version, and after an at sign the start of the run; a question mark is unreadable.
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
            cold_for: Span::ZERO,
        })
    }

    fn order(&self, key: &str, value: &Bytes, revision: u64) -> Result<RolloutOrder, DecodeError> {
        Ok(RolloutOrder {
            service: Arc::from(key.trim_start_matches("order/")),
            to: Arc::from(&*String::from_utf8_lossy(value)),
            within: Span::from_secs(60),
            revision,
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
}

struct NoNames;

impl Translator for NoNames {
    fn ask(&self, _: &Head) -> Result<Ask, AskError> {
        Err(AskError::NotOnce("id"))
    }

    fn forward(&self, _: &Forwarding<'_>, _: &mut Vec<u8>) {}

    fn reply(&self, _: &Head) -> traffic::Reply {
        traffic::Reply {
            attempt: None,
            is_signed: false,
            standing: Standing::Ran,
            confidence: None,
            retry_after: None,
            rate_limit: dispatch::Advertised::Nothing,
            is_encoded: false,
        }
    }
}

/// A daemon with its way to the store.
pub struct Daemon {
    pub way: Way,
    pub status: SocketAddr,
    pub suspects: SharedSuspects,
    clock: Clock,
    running: Option<Running>,
}

/// Starts daemons that know each other from the store only.
pub fn daemons(count: usize, memory: &Memory) -> Vec<Daemon> {
    (0..count).map(|n| daemon(n, Way::to(memory))).collect()
}

/// An address that nothing uses now.
pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("bound")
}

/// Starts a daemon that knows no seeds.
pub fn daemon(n: usize, way: Way) -> Daemon {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    daemon_at(n, way, any, Vec::new())
}

/// Starts a daemon at an address, with seeds.
pub fn daemon_at(n: usize, way: Way, peers: SocketAddr, seeds: Vec<SocketAddr>) -> Daemon {
    start(way, settings(n, peers, seeds))
}

/// What a daemon is told at its start.
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
        relisted_within: Span::from_secs(2),
        shortest_lease: Span::from_secs(1),
    }
}

/// Starts a daemon.
pub fn start(way: Way, settings: Settings) -> Daemon {
    let clock = Clock::new();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let traffic = traffic::Config {
        callers: any,
        status: any,
        ready_path: "/ready".to_owned(),
        failure_domain: settings.failure_domain.clone(),
        max_callers: 10,
        max_held: ByteSize(1_000),
        policy: Policy::default(),
        retries: RetryLimits {
            ratio: 1.0,
            allowance: 1.0,
            window: Span::from_secs(1),
        },
        suspects: SharedSuspects::default(),
        current_within: Span::from_secs(2),
        session_idle: Span::from_secs(1),
        grace: Span::from_secs(4),
        dropped_logs: telemetry::logs::Dropped::default(),
    };
    let traffic = traffic::start(traffic, NoNames, clock).expect("starts");
    let (status, suspects) = (traffic.status, traffic.suspects.clone());
    let store = Arc::new(way.clone());
    let running = fleet::start(settings, Words::default(), store, traffic, clock);
    let running = running.expect("starts");
    Daemon {
        way,
        status,
        suspects,
        clock,
        running: Some(running),
    }
}

impl Daemon {
    /// An upstream ends under a content of this daemon's, soon after it began to run there.
    pub fn ends_under(&self, upstream: &str, content: Content) {
        let upstream = UpstreamRun {
            id: UpstreamId::new(upstream).expect("a name"),
            started_at: None,
        };
        let under = Under {
            content,
            customer: None,
            had_begun: true,
            ran: Span::from_millis(90),
        };
        let mut suspects = self.suspects.lock();
        suspects.ended(self.clock.now(), &upstream, &[under]);
    }

    /// A content is answered whole at this daemon.
    pub fn answers_whole(&self, content: Content) {
        self.suspects.lock().whole(self.clock.now(), content);
    }

    /// Whether a content is sent to no upstream here.
    pub fn bars(&self, content: Content) -> bool {
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

    /// A figure of the state's dump.
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

/// Waits until something holds.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < deadline, "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
