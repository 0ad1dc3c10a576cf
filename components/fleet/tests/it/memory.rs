//! A store in memory, and links to it that can be cut.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use keyvalue::{
    Answer, CallError, Compare, KeyValue, LeaseId, ModRevision, Op, Outcome, Range, Reply, Request,
    TxnReply, WatchEvent,
};
use store::{Sink, Store, Watch, WatchBatch, WatchEnd};
use types::prelude::*;

/// How long a watch waits for changes before it answers.
const WATCH_WAIT: Duration = Duration::from_millis(300);
/// How long the first request of a watch waits.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Keys {
    revision: i64,
    items: BTreeMap<String, KeyValue>,
    log: Vec<WatchEvent>,
    /// When each revision was written, in order.
    written_at: Vec<Instant>,
}

/// A store in memory.
#[derive(Clone, Default)]
pub struct MemoryStore(Arc<(Mutex<Keys>, Condvar)>);

impl MemoryStore {
    /// Lists the keys with a prefix.
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

    /// The value of a key.
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

/// One daemon's link to the store.
#[derive(Clone, Default)]
pub struct StoreLink {
    memory: MemoryStore,
    /// Fails every call while set.
    pub is_cut: Arc<AtomicBool>,
    /// Number of times that waiting watches were closed.
    closings: Arc<AtomicUsize>,
    /// Number of watches started.
    pub watches: Arc<AtomicUsize>,
    /// Number of reads of all keys.
    pub whole_reads: Arc<AtomicUsize>,
    /// Number of keys read.
    pub keys_read: Arc<AtomicUsize>,
    /// Delay of answers to watches, in ms.
    pub answer_delay_ms: Arc<AtomicUsize>,
    /// Number of writes of roll-outs' states that were tried.
    pub state_writes: Arc<AtomicUsize>,
    /// Answers reads that may be old as of revision 0: any change may be missing.
    pub serves_old_copies: Arc<AtomicBool>,
    /// Timeout of each read.
    pub read_timeouts: Arc<Mutex<Vec<Span>>>,
}

impl StoreLink {
    /// Creates a link to a store.
    pub fn to(memory: &MemoryStore) -> Self {
        Self {
            memory: memory.clone(),
            ..Self::default()
        }
    }

    /// Closes the watches that wait without an answer.
    pub fn close_watches(&self) {
        self.closings.fetch_add(1, Ordering::SeqCst);
        // A watch checks under the lock, so none misses this.
        drop(self.memory.0.0.lock().expect("sound"));
        self.memory.0.1.notify_all();
    }

    fn answer_delay(&self) -> Duration {
        Duration::from_millis(self.answer_delay_ms.load(Ordering::SeqCst) as u64)
    }

    fn check(&self) -> Result<(), CallError> {
        match self.is_cut.load(Ordering::SeqCst) {
            true => Err(CallError::Unknown("cut".to_owned())),
            false => Ok(()),
        }
    }
}

impl Store for StoreLink {
    fn call(&self, req: Request) -> Outcome {
        self.check()?;
        let (keys, changed) = &*self.memory.0;
        let mut keys = keys.lock().expect("sound");
        let mut is_old = false;
        let reply = match req {
            Request::Range(range) => {
                is_old = range.serializable && self.serves_old_copies.load(Ordering::SeqCst);
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
                let puts_state =
                    |op: &Op| matches!(op, Op::Put(put) if put.key.starts_with("state/"));
                let state_writes = txn.success.iter().filter(|op| puts_state(op)).count();
                self.state_writes.fetch_add(state_writes, Ordering::SeqCst);
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
            Request::LeaseKeepAlive(_) => Reply::LeaseRenewed(Some(Span::from_secs(1))),
            Request::LeaseRevoke(_) => Reply::LeaseRevoked,
        };
        let revision = match is_old {
            true => ModRevision(0),
            false => ModRevision(keys.revision),
        };
        Ok(Answer { revision, reply })
    }

    fn read(&self, range: Range, timeout: Span) -> Outcome {
        self.read_timeouts.lock().expect("sound").push(timeout);
        self.call(Request::Range(range))
    }

    fn watch(&self, watch: &Watch, sink: &mut Sink<'_>) -> WatchEnd {
        self.watches.fetch_add(1, Ordering::SeqCst);
        let mut from = watch.from;
        let mut wait = FIRST_WATCH_WAIT;
        let closings = self.closings.load(Ordering::SeqCst);
        let is_open = || self.closings.load(Ordering::SeqCst) == closings;
        while !watch.stop.load(Ordering::SeqCst) {
            let (keys, changed) = &*self.memory.0;
            let keys = keys.lock().expect("sound");
            let is_old = |keys: &mut Keys| keys.revision < from.0 && is_open();
            let waited = changed.wait_timeout_while(keys, wait, is_old);
            wait = WATCH_WAIT;
            let (keys, _) = waited.expect("sound");
            let events = keys.log.iter().filter(|event| event.revision >= from);
            let batch = WatchBatch {
                revision: ModRevision(keys.revision),
                events: events.cloned().collect(),
                requested_at: Some(BootInstant::now() - self.answer_delay()),
            };
            from = ModRevision(keys.revision + 1);
            drop(keys);
            if self.check().is_err() {
                return WatchEnd::Broken("cut".to_owned());
            }
            if !is_open() {
                return WatchEnd::Closed("closed".to_owned());
            }
            if !sink(batch) {
                return WatchEnd::Stopped;
            }
        }
        WatchEnd::Stopped
    }
}
