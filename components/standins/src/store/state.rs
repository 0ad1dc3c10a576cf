//! Executes the calls to a stand-in store under its current faults.

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use types::prelude::*;

use super::faults::{StoreCounters, StoreFaults};
use super::json::{self, BadRequest};
use super::table::{Change, LEASE_NOT_FOUND, RawOp, RawReply, RawTxn, Table};
use crate::limit::RateLimit;
use crate::server::{Piece, Reply};

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) table: Table,
    pub(super) faults: StoreFaults,
    pub(super) counters: StoreCounters,
    pub(super) watchers: Vec<Watcher>,
    pub(super) published: i64,
    pub(super) read_limit: RateLimit,
    pub(super) write_limit: RateLimit,
}

#[derive(Debug)]
pub(super) struct Watcher {
    pub(super) start: String,
    pub(super) end: Option<String>,
    pub(super) lines: mpsc::UnboundedSender<Piece>,
}

/// A parsed call.
#[derive(Debug, Clone)]
pub(super) enum Command {
    Op(RawOp),
    Txn(RawTxn),
    Grant { ttl: Span, id: i64 },
    KeepAlive(i64),
    Revoke(i64),
}

/// How a call is handled under the current faults.
pub(super) enum Action {
    /// Close the connection without running the call.
    Close,
    /// Refuse the call over the rate limit.
    RateLimited,
    /// Run the call after a delay, and reply or close the connection.
    Run { delay: Span, reply: bool },
    /// Close the connection immediately and run the call after this delay.
    RunLater(Span),
}

impl State {
    pub(super) fn action(&mut self, command: &Command, now: Time) -> Action {
        if self.faults.down {
            self.counters.dropped += 1;
            return Action::Close;
        }
        self.count(command);
        let writes = command.is_write();
        if self.exceeds_rate_limit(writes, now) {
            self.counters.capped += 1;
            return Action::RateLimited;
        }
        let delay = self.faults.delay;
        if writes && self.faults.delayed_effects > 0 {
            self.faults.delayed_effects -= 1;
            return Action::RunLater(self.faults.effect_delay);
        }
        if writes && self.faults.lost_replies > 0 {
            self.faults.lost_replies -= 1;
            return Action::Run {
                delay,
                reply: false,
            };
        }
        Action::Run { delay, reply: true }
    }

    fn count(&mut self, command: &Command) {
        let counters = &mut self.counters;
        match command {
            Command::Op(RawOp::Range(..)) => counters.ranges += 1,
            Command::Op(_) => counters.puts += 1,
            Command::Txn(_) => {
                counters.txns += 1;
                counters.write_txns += u64::from(command.is_write());
            }
            Command::Grant { .. } => counters.lease_grants += 1,
            Command::KeepAlive(_) => counters.lease_renewals += 1,
            Command::Revoke(_) => counters.lease_revokes += 1,
        }
    }

    fn exceeds_rate_limit(&mut self, writes: bool, now: Time) -> bool {
        let (limit, max) = if writes {
            (&mut self.write_limit, self.faults.max_writes_per_second)
        } else {
            (&mut self.read_limit, self.faults.max_reads_per_second)
        };
        limit.set(max);
        !limit.try_acquire(now)
    }

    pub(super) fn run(&mut self, now: Time, command: &Command) -> Reply {
        match command {
            Command::Op(op) => self.run_op(op),
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

    fn run_op(&mut self, op: &RawOp) -> Reply {
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

    pub(super) fn start_watch(&mut self, start: String, end: Option<String>, from: i64) -> Reply {
        self.publish();
        let (lines, pieces) = mpsc::unbounded_channel();
        let header = json::header(self.table.revision());
        send(
            &lines,
            &json!({ "result": { "header": header, "created": true } }),
        );
        let past_changes = match from {
            0 => Ok(Vec::new()),
            _ => self.table.changes(from, &start, end.as_deref()),
        };
        match past_changes {
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

    /// Sends the changes since the last call of this function to the watches.
    pub(super) fn publish(&mut self) {
        let revision = self.table.revision();
        if revision <= self.published {
            return;
        }
        let from = self.published + 1;
        self.published = revision;
        let withheld = self.take_watch_gap(from);
        self.watchers.retain(|watcher| {
            let changes = self
                .table
                .changes(from, &watcher.start, watcher.end.as_deref());
            let mut changes = changes.unwrap_or_default();
            changes.retain(|change| !withheld.contains(change));
            self.counters.watch_events += changes.len() as u64;
            send_changes(&watcher.lines, &changes, revision);
            !watcher.lines.is_closed()
        });
    }

    /// Takes the changes to withhold from watches off the `watch_gap` fault.
    fn take_watch_gap(&mut self, from: i64) -> Vec<Change> {
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
    pub(super) fn parse(path: &str, body: &Value) -> Result<Option<Self>, BadRequest> {
        Ok(Some(match path {
            "/v3/kv/range" => Self::Op(json::range_op(body)?),
            "/v3/kv/put" => Self::Op(json::put_op(body)?),
            "/v3/kv/deleterange" => Self::Op(json::delete_op(body)?),
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

    fn is_write(&self) -> bool {
        match self {
            Self::Op(op) => op_is_write(op),
            Self::Txn(txn) => txn_is_write(txn),
            Self::Grant { .. } | Self::KeepAlive(_) | Self::Revoke(_) => true,
        }
    }
}

fn op_is_write(op: &RawOp) -> bool {
    match op {
        RawOp::Put(..) | RawOp::Delete(..) => true,
        RawOp::Range(..) => false,
        RawOp::Txn(txn) => txn_is_write(txn),
    }
}

fn txn_is_write(txn: &RawTxn) -> bool {
    txn.success.iter().chain(&txn.failure).any(op_is_write)
}

fn send(lines: &mpsc::UnboundedSender<Piece>, value: &Value) {
    // Fails when the client disconnected; the watch is removed later.
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

pub(super) fn refusal(message: &str) -> Reply {
    if message == LEASE_NOT_FOUND {
        error(404, 5, message)
    } else {
        error(400, 3, message)
    }
}

pub(super) fn error(status: u16, code: u32, message: &str) -> Reply {
    let body = json!({ "error": message, "code": code, "message": message });
    Reply::json(status, &body)
}
