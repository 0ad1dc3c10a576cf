//! The key-value service's HTTP part, with its faults and counters.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use types::prelude::*;

use super::json::{self, BadRequest};
use super::table::{Change, LEASE_NOT_FOUND, RawOp, RawReply, RawTxn, Table};
use crate::limit::RateCap;
use crate::server::{Call, Handler, Piece, Reply, Server};

/// How often lapsed leases and left watches are looked for.
const SWEEP: Duration = Duration::from_millis(50);

/// How a stand-in store is started.
#[derive(Debug, Clone)]
pub struct StoreConfig {
    /// Where to listen; port 0 lets the kernel choose.
    pub address: SocketAddr,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}

/// What goes wrong, from now on.
#[derive(Debug, Clone, Default)]
pub struct StoreFaults {
    /// Connections are closed without an answer, watches end.
    pub down: bool,
    /// Every call waits this long before it takes effect.
    pub delay: Span,
    /// The next so many writes take effect but get no reply.
    pub lost_replies: u32,
    /// The next so many writes get no reply and take effect later.
    pub delayed_effects: u32,
    /// How much later.
    pub effect_delay: Span,
    /// The next so many changes are not told to watches.
    pub watch_gap: u32,
    /// Writes a second before 429; 0 for no cap.
    pub max_writes: u32,
    /// Reads a second before 429; 0 for no cap.
    pub max_reads: u32,
}

/// What the service was asked so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Ranges.
    pub ranges: u64,
    /// Single puts and deletes.
    pub puts: u64,
    /// Transactions.
    pub txns: u64,
    /// Transactions among them that can write.
    pub write_txns: u64,
    /// Leases granted.
    pub lease_grants: u64,
    /// Leases renewed.
    pub lease_renewals: u64,
    /// Leases revoked.
    pub lease_revokes: u64,
    /// Watches begun.
    pub watches: u64,
    /// Watches open now.
    pub open_watches: u64,
    /// Changes sent to watches.
    pub watch_events: u64,
    /// Calls refused by the rate caps.
    pub capped: u64,
    /// Calls closed while down.
    pub dropped: u64,
    /// Bytes of requests' bodies.
    pub bytes_in: u64,
}

impl StoreCounters {
    /// Calls of every kind.
    #[must_use]
    pub fn calls(&self) -> u64 {
        let leases = self.lease_grants + self.lease_renewals + self.lease_revokes;
        self.ranges + self.puts + self.txns + leases + self.watches
    }
}

/// A running stand-in store.
#[derive(Debug)]
pub struct StoreServer {
    server: Server,
    shared: Arc<Shared>,
}

impl StoreServer {
    /// Starts with an empty table.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(cfg: &StoreConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start("store", cfg.address, Arc::clone(&shared))?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what goes wrong.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        let mut state = self.shared.lock();
        change(&mut state.faults);
        if state.faults.down {
            state.watchers.clear();
        }
    }

    /// What it was asked so far.
    #[must_use]
    pub fn counters(&self) -> StoreCounters {
        let state = self.shared.lock();
        let mut counters = state.counters.clone();
        counters.open_watches = state.watchers.len() as u64;
        counters
    }

    /// Reads or changes the table behind the service's back.
    pub fn with_table<T>(&self, act: impl FnOnce(&mut Table) -> T) -> T {
        let mut state = self.shared.lock();
        let result = act(&mut state.table);
        state.publish();
        result
    }

    /// Stops at once; the table is lost.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

#[derive(Debug, Default)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    table: Table,
    faults: StoreFaults,
    counters: StoreCounters,
    watchers: Vec<Watcher>,
    published: i64,
    reads: RateCap,
    writes: RateCap,
}

#[derive(Debug)]
struct Watcher {
    start: String,
    end: Option<String>,
    lines: mpsc::UnboundedSender<Piece>,
}

/// One call, understood.
#[derive(Debug, Clone)]
enum Command {
    Step(RawOp),
    Txn(RawTxn),
    Grant { ttl: Span, id: i64 },
    KeepAlive(i64),
    Revoke(i64),
}

/// What becomes of a call under the present faults.
enum Fate {
    Close,
    Cap,
    Do { delay: Span, reply: bool },
    Late(Span),
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn command(self: Arc<Self>, command: Command) -> Option<Reply> {
        let fate = self.lock().fate(&command, self.clock.now());
        match fate {
            Fate::Close => None,
            Fate::Cap => Some(error(429, 8, "too many requests")),
            Fate::Do { delay, reply } => {
                // A task of its own: a client that gives up does not undo its call.
                let done = tokio::spawn(self.after(delay, command)).await.ok();
                done.filter(|_| reply)
            }
            Fate::Late(delay) => {
                tokio::spawn(self.after(delay, command));
                None
            }
        }
    }

    async fn after(self: Arc<Self>, delay: Span, command: Command) -> Reply {
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
        let start = json::needed_key(create)?;
        let end = json::key(create, "range_end")?;
        let from = json::number(create, "start_revision")?;
        let mut state = self.lock();
        if state.faults.down {
            state.counters.dropped += 1;
            return Ok(None);
        }
        state.counters.watches += 1;
        Ok(Some(state.begin_watch(start, end, from)))
    }
}

impl State {
    fn fate(&mut self, command: &Command, now: Time) -> Fate {
        if self.faults.down {
            self.counters.dropped += 1;
            return Fate::Close;
        }
        self.count(command);
        let writes = command.writes();
        if self.is_capped(writes, now) {
            self.counters.capped += 1;
            return Fate::Cap;
        }
        let delay = self.faults.delay;
        if writes && self.faults.delayed_effects > 0 {
            self.faults.delayed_effects -= 1;
            return Fate::Late(self.faults.effect_delay);
        }
        if writes && self.faults.lost_replies > 0 {
            self.faults.lost_replies -= 1;
            return Fate::Do {
                delay,
                reply: false,
            };
        }
        Fate::Do { delay, reply: true }
    }

    fn count(&mut self, command: &Command) {
        let counters = &mut self.counters;
        match command {
            Command::Step(RawOp::Range(..)) => counters.ranges += 1,
            Command::Step(_) => counters.puts += 1,
            Command::Txn(_) => {
                counters.txns += 1;
                counters.write_txns += u64::from(command.writes());
            }
            Command::Grant { .. } => counters.lease_grants += 1,
            Command::KeepAlive(_) => counters.lease_renewals += 1,
            Command::Revoke(_) => counters.lease_revokes += 1,
        }
    }

    fn is_capped(&mut self, writes: bool, now: Time) -> bool {
        let (cap, max) = if writes {
            (&mut self.writes, self.faults.max_writes)
        } else {
            (&mut self.reads, self.faults.max_reads)
        };
        cap.set(max);
        !cap.take(now)
    }

    fn run(&mut self, now: Time, command: &Command) -> Reply {
        match command {
            Command::Step(op) => self.step(op),
            Command::Txn(txn) => match self.table.txn(txn) {
                Ok((succeeded, replies)) => Reply::json(
                    200,
                    &json::txn_reply(succeeded, &replies, self.table.revision()),
                ),
                Err(message) => refusal(&message),
            },
            Command::Grant { ttl, id } => {
                let id = self.table.grant(now, *ttl, *id);
                let mut body = self.body();
                body["ID"] = json!(id.to_string());
                body["TTL"] = json!(seconds(*ttl));
                Reply::json(200, &body)
            }
            Command::KeepAlive(id) => {
                let mut body = self.body();
                body["ID"] = json!(id.to_string());
                if let Some(ttl) = self.table.keep_alive(now, *id) {
                    body["TTL"] = json!(seconds(ttl));
                }
                Reply::json(200, &json!({ "result": body }))
            }
            Command::Revoke(id) if self.table.revoke(*id) => Reply::json(200, &self.body()),
            Command::Revoke(_) => refusal(LEASE_NOT_FOUND),
        }
    }

    fn step(&mut self, op: &RawOp) -> Reply {
        let txn = RawTxn {
            success: vec![op.clone()],
            ..RawTxn::default()
        };
        match self.table.txn(&txn) {
            Ok((_, replies)) => {
                let reply = replies.first().unwrap_or(&RawReply::Put);
                Reply::json(200, &json::reply(reply, self.table.revision()).1)
            }
            Err(message) => refusal(&message),
        }
    }

    fn body(&self) -> Value {
        json!({ "header": json::header(self.table.revision()) })
    }

    fn begin_watch(&mut self, start: String, end: Option<String>, from: i64) -> Reply {
        self.publish();
        let (lines, pieces) = mpsc::unbounded_channel();
        let header = json::header(self.table.revision());
        send(
            &lines,
            &json!({ "result": { "header": header, "created": true } }),
        );
        let past = match from {
            0 => Ok(Vec::new()),
            _ => self.table.changes(from, &start, end.as_deref()),
        };
        match past {
            Ok(changes) => {
                self.counters.watch_events += changes.len() as u64;
                send_changes(&lines, &changes, self.table.revision());
                self.watchers.push(Watcher { start, end, lines });
            }
            Err(compaction) => send(
                &lines,
                &json!({ "result": {
                    "header": json::header(self.table.revision()),
                    "canceled": true,
                    "compact_revision": compaction.0.to_string(),
                } }),
            ),
        }
        Reply::stream("application/json", pieces)
    }

    /// Tells watches what changed since the last time.
    fn publish(&mut self) {
        let revision = self.table.revision();
        if revision <= self.published {
            return;
        }
        let from = self.published + 1;
        self.published = revision;
        let dropped = self.gap(from);
        self.watchers.retain(|watcher| {
            let changes = self
                .table
                .changes(from, &watcher.start, watcher.end.as_deref());
            let mut changes = changes.unwrap_or_default();
            changes.retain(|change| !dropped.contains(change));
            self.counters.watch_events += changes.len() as u64;
            send_changes(&watcher.lines, &changes, revision);
            !watcher.lines.is_closed()
        });
    }

    /// The changes that the watch gap swallows.
    fn gap(&mut self, from: i64) -> Vec<Change> {
        if self.faults.watch_gap == 0 {
            return Vec::new();
        }
        let mut changes = self
            .table
            .changes(from, "\0", Some("\0"))
            .unwrap_or_default();
        changes.truncate(self.faults.watch_gap as usize);
        self.faults.watch_gap -= changes.len() as u32;
        changes
    }
}

impl Command {
    fn parse(path: &str, body: &Value) -> Result<Option<Self>, BadRequest> {
        Ok(Some(match path {
            "/v3/kv/range" => Self::Step(json::range_op(body)?),
            "/v3/kv/put" => Self::Step(json::put_op(body)?),
            "/v3/kv/deleterange" => Self::Step(json::delete_op(body)?),
            "/v3/kv/txn" => Self::Txn(json::txn(body)?),
            "/v3/lease/grant" => Self::Grant {
                ttl: Span::from_secs(u64::try_from(json::number(body, "TTL")?).unwrap_or(1)),
                id: json::number(body, "ID")?,
            },
            "/v3/lease/keepalive" => Self::KeepAlive(json::number(body, "ID")?),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => Self::Revoke(json::number(body, "ID")?),
            _ => return Ok(None),
        }))
    }

    fn writes(&self) -> bool {
        match self {
            Self::Step(op) => op_writes(op),
            Self::Txn(txn) => txn_writes(txn),
            Self::Grant { .. } | Self::KeepAlive(_) | Self::Revoke(_) => true,
        }
    }
}

fn op_writes(op: &RawOp) -> bool {
    match op {
        RawOp::Put(..) | RawOp::Delete(..) => true,
        RawOp::Range(..) => false,
        RawOp::Txn(txn) => txn_writes(txn),
    }
}

fn txn_writes(txn: &RawTxn) -> bool {
    txn.success.iter().chain(&txn.failure).any(op_writes)
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
        let mut sweep = tokio::time::interval(SWEEP);
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

fn send(lines: &mpsc::UnboundedSender<Piece>, value: &Value) {
    // A watch whose client left is swept away later.
    let _ = lines.send(Ok(Bytes::from(format!("{value}\n"))));
}

fn send_changes(lines: &mpsc::UnboundedSender<Piece>, changes: &[Change], revision: i64) {
    if !changes.is_empty() {
        send(lines, &json::watch_events(changes, revision));
    }
}

fn seconds(span: Span) -> String {
    (span.as_millis() / 1_000).to_string()
}

fn refusal(message: &str) -> Reply {
    if message == LEASE_NOT_FOUND {
        error(404, 5, message)
    } else {
        error(400, 3, message)
    }
}

fn error(status: u16, code: u32, message: &str) -> Reply {
    let body = json!({ "error": message, "code": code, "message": message });
    Reply::json(status, &body)
}
