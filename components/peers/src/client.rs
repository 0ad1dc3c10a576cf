//! Outgoing connections to other daemons.
//!
//! Each peer has a task, which is started by the first message to it and stops when idle.
//! A message that cannot be delivered is dropped: a queue that grows while a peer is
//! unreachable would deliver outdated state and use memory for each of hundreds of peers.
//!
//! A peer that does not answer may be stalled or busy, or its connection may have failed silently;
//! only a new connection distinguishes these cases. A connection is therefore replaced after one
//! message or two consecutive queries without an answer. A query always ends by its deadline,
//! whatever stage it has reached.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use tarpc::client::{Config, RpcError};
use tarpc::context;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use crate::clocks::ClockReading;
use crate::counted::frames;
use crate::handle::{AskError, Command, Shared};
use crate::payload::{Part, Payload};
use crate::seal::{Endpoints, Purpose, Refusal, Sealed};
use crate::service::{Handshake, PeerClient};
use crate::silence::Silence;

/// Maximum number of peers with a queue; the least recently used one is evicted.
const MAX_PEERS: usize = 512;
/// Maximum number of messages queued for one peer.
const MAX_QUEUED: usize = 64;
/// Maximum number of outstanding queries to one peer.
const MAX_QUERIES: usize = 64;
/// Timeout of the connect and of the handshake that follows it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a peer's acknowledgement of a message.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Consecutive unanswered queries after which a connection is replaced. It is more than one,
/// since a peer that is busy with another daemon's query may miss a single deadline.
const MAX_UNANSWERED: u32 = 2;
/// Minimum time between clock queries on one connection.
const MIN_MEASURE_INTERVAL: Duration = Duration::from_secs(2);
/// An outgoing connection without messages for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after the first failed connect; it doubles with each further failure.
const BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay between attempts to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// A command to a peer's task.
#[derive(Debug)]
pub(crate) enum Job {
    /// Delivers a message, unless its content is outdated at `expires_at`.
    Send {
        payload: Payload,
        expires_at: Instant,
    },
    /// Sends a query and waits for its reply.
    Ask {
        payload: Payload,
        deadline: Instant,
        answer: flume::Sender<Result<Payload, AskError>>,
    },
}

struct Queue {
    tx: mpsc::Sender<Job>,
    last_used: u64,
}

/// Routes jobs to the peers' tasks until all handles are dropped.
pub(crate) async fn dispatch(commands: flume::Receiver<Command>, shared: Arc<Shared>) {
    let mut queues = BTreeMap::<SocketAddr, Queue>::new();
    let mut last_used = 0;
    while let Ok(command) = commands.recv_async().await {
        let (to, job) = match command {
            Command::Job { to, job } => (to, job),
            // Dropping the queues stops the tasks, which closes their connections.
            Command::Reconnect => {
                queues.clear();
                continue;
            }
        };
        if let Job::Ask {
            deadline, answer, ..
        } = &job
        {
            tokio::spawn(expire_query(*deadline, answer.clone()));
        }
        last_used += 1;
        queues.retain(|_, queue| !queue.tx.is_closed());
        if queues.len() >= MAX_PEERS && !queues.contains_key(&to) {
            let oldest = queues.iter().min_by_key(|(_, queue)| queue.last_used);
            let oldest = oldest.map(|(address, _)| *address);
            oldest.and_then(|address| queues.remove(&address));
        }
        let queue = queues.entry(to).or_insert_with(|| Queue {
            tx: spawn_link(to, &shared),
            last_used,
        });
        queue.last_used = last_used;
        if let Err(rejected) = queue.tx.try_send(job) {
            reject(rejected.into_inner(), &shared, AskError::Overloaded);
        }
    }
}

/// Fails a query at its deadline, even while its peer's task is blocked.
///
/// Without this, a query can wait for 20 s behind messages that each time out after two seconds,
/// and its sender queries no other peer in the meantime.
async fn expire_query(deadline: Instant, answer: flume::Sender<Result<Payload, AskError>>) {
    sleep_until(deadline).await;
    // Fails if the query was answered: its channel is full or closed.
    let _ = answer.try_send(Err(AskError::Timeout));
}

fn spawn_link(to: SocketAddr, shared: &Arc<Shared>) -> mpsc::Sender<Job> {
    let (tx, rx) = mpsc::channel(MAX_QUEUED);
    let peer_link = PeerLink {
        to,
        shared: Arc::clone(shared),
        connection: None,
        failures: 0,
        retry_at: Instant::now(),
        refusal_logged: false,
        silence: Arc::new(Silence::new(to, Arc::clone(shared))),
    };
    tokio::spawn(peer_link.run(rx));
    tx
}

fn reject(job: Job, shared: &Shared, error: AskError) {
    shared.counts.dropped.add(1);
    if let Job::Ask { answer, .. } = job {
        let _ = answer.try_send(Err(error));
    }
}

/// What is known of a peer's replies to clock queries on one connection.
#[derive(Debug, Default)]
struct ClockReplies {
    is_known: AtomicBool,
    is_refused: AtomicBool,
}

/// Schedule of the clock queries on one connection.
struct ClockQuery {
    /// Earliest time of the next query.
    measure_at: Instant,
    answer: Arc<ClockReplies>,
}

impl ClockQuery {
    /// Whether a clock query is due. A new connection always needs one, even if the measurement for
    /// the peer's address is recent, because the daemon may have restarted with another clock.
    fn is_due(&self, is_old: bool) -> bool {
        let is_known = self.answer.is_known.load(Ordering::Relaxed);
        let is_refused = self.answer.is_refused.load(Ordering::Relaxed);
        (is_old || !is_known) && !is_refused && Instant::now() >= self.measure_at
    }
}

/// An open connection.
struct Connection {
    client: PeerClient,
    endpoints: Endpoints,
    number: u32,
    query_slots: Arc<tokio::sync::Semaphore>,
    /// Set when a query found the connection dead.
    is_broken: Arc<AtomicBool>,
    /// Consecutive queries without an answer.
    unanswered_queries: Arc<AtomicU32>,
    clock: ClockQuery,
    shared: Arc<Shared>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.counts.connections_out.decrement();
    }
}

/// A peer's task: its connection, and when to retry after a failure.
struct PeerLink {
    to: SocketAddr,
    shared: Arc<Shared>,
    connection: Option<Connection>,
    failures: u32,
    retry_at: Instant,
    /// Whether a refusal was logged; later ones are only counted.
    refusal_logged: bool,
    /// Whether the peer acknowledges what it is sent.
    silence: Arc<Silence>,
}

impl PeerLink {
    async fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        while let Ok(Some(job)) = timeout(IDLE_TIMEOUT, jobs.recv()).await {
            if let Err(error) = self.ensure_connected().await {
                reject(job, &self.shared, error);
                continue;
            }
            let now = Instant::now();
            match job {
                Job::Send {
                    payload,
                    expires_at,
                } if now < expires_at => self.deliver(payload).await,
                Job::Ask {
                    payload,
                    deadline,
                    answer,
                } if now < deadline => self.ask(payload, deadline, answer),
                late => reject(late, &self.shared, AskError::Timeout),
            }
        }
    }

    async fn ensure_connected(&mut self) -> Result<(), AskError> {
        if self.connection.as_ref().is_some_and(Connection::is_dead) {
            self.connection = None;
        }
        if self.connection.is_some() {
            return Ok(());
        }
        if Instant::now() < self.retry_at {
            return Err(AskError::Unreachable);
        }
        let opened = timeout(CONNECT_TIMEOUT, open(self.to, &self.shared)).await;
        match opened.unwrap_or(Err(AskError::Unreachable)) {
            Ok(connection) => {
                self.shared.counts.connects.add(1);
                self.shared.counts.connections_out.add(1);
                self.failures = 0;
                self.connection = Some(connection);
                Ok(())
            }
            Err(error) => {
                if let AskError::Refused(refusal) = error {
                    self.note_refusal(refusal);
                }
                self.back_off(&error);
                Err(error)
            }
        }
    }

    fn back_off(&mut self, error: &AskError) {
        self.shared.counts.connect_failures.add(1);
        let pause = BACKOFF * 2_u32.pow(self.failures.min(6));
        self.failures += 1;
        self.retry_at = Instant::now() + pause.min(MAX_BACKOFF);
        tracing::debug!("peers: no connection to {}: {error}", self.to);
    }

    fn note_refusal(&mut self, refusal: Refusal) {
        self.shared.counts.refused_by_peer.add(1);
        if !std::mem::replace(&mut self.refusal_logged, true) {
            tracing::warn!("peers: {} refuses us: {refusal}", self.to);
        }
    }

    /// Delivers a message, over a second connection if the first one turns out to be broken.
    ///
    /// A connection that has failed silently is replaced on a timeout. If it were kept, nothing
    /// would reach the peer until the kernel gives up after a quarter of an hour, although a new
    /// connection would work at once.
    async fn deliver(&mut self, payload: Payload) {
        let body = match payload.encode() {
            Ok(body) => body,
            Err(e) => {
                self.shared.counts.dropped.add(1);
                tracing::error!("peers: {e}");
                return;
            }
        };
        for _ in 0..2 {
            if self.ensure_connected().await.is_err() {
                break;
            }
            match self.try_deliver(body.clone()).await {
                Ok(Ok(())) => {
                    self.note_answer();
                    self.shared.counts.sent.add(1);
                    self.measure_clock();
                    return;
                }
                Ok(Err(refusal)) => {
                    self.note_refusal(refusal);
                    return;
                }
                Err(RpcError::DeadlineExceeded) => {
                    self.silence.record_timeout("message", DELIVER_TIMEOUT);
                    self.connection = None;
                    break;
                }
                Err(_) => self.connection = None,
            }
        }
        self.shared.counts.dropped.add(1);
    }

    fn note_answer(&self) {
        self.silence.record_answer();
        if let Some(connection) = &self.connection {
            connection.unanswered_queries.store(0, Ordering::Relaxed);
        }
    }

    async fn try_deliver(&mut self, body: bytes::Bytes) -> Result<Result<(), Refusal>, RpcError> {
        let Some(connection) = &mut self.connection else {
            return Err(RpcError::Shutdown);
        };
        let sealed = connection.seal(Purpose::Deliver, body);
        let cx = context_with_timeout(DELIVER_TIMEOUT);
        connection.client.deliver(cx, sealed).await
    }

    /// Queries the clock of a peer that has just acknowledged a message, if that is due.
    fn measure_clock(&mut self) {
        let (to, shared) = (self.to, Arc::clone(&self.shared));
        let Some(connection) = &mut self.connection else {
            return;
        };
        let is_old = shared.clocks().is_old(to, shared.clock.now());
        if !connection.clock.is_due(is_old) {
            return;
        }
        connection.clock.measure_at = Instant::now() + MIN_MEASURE_INTERVAL;
        let query = Payload::Part {
            part: Part::Clock,
            body: bytes::Bytes::new(),
        };
        let Ok(body) = query.encode() else {
            return;
        };
        let sealed = connection.seal(Purpose::Ask, body);
        let (client, endpoints) = (connection.client.clone(), connection.endpoints.clone());
        let answer = Arc::clone(&connection.clock.answer);
        tokio::spawn(async move {
            let asked_at = shared.clock.now();
            let number = sealed.number;
            let reply = client
                .ask(context_with_timeout(DELIVER_TIMEOUT), sealed)
                .await;
            let answered_at = shared.clock.now();
            match read_reply(&shared, &endpoints, number, reply) {
                Ok(Payload::Part { body, .. }) => {
                    if let Ok(reading) = ClockReading::decode(&body) {
                        shared.clocks().note(to, reading, asked_at, answered_at);
                        answer.is_known.store(true, Ordering::Relaxed);
                    }
                }
                // The peer's release does not support clock queries.
                Err(AskError::Refused(_)) => answer.is_refused.store(true, Ordering::Relaxed),
                Ok(Payload::Membership(_)) | Err(_) => {}
            }
        });
    }

    /// Sends a query on a task of its own, so that a slow reply blocks nothing else.
    fn ask(
        &mut self,
        payload: Payload,
        deadline: Instant,
        answer: flume::Sender<Result<Payload, AskError>>,
    ) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let Ok(body) = payload.encode() else {
            let _ = answer.try_send(Err(AskError::TooLarge));
            return;
        };
        let Ok(permit) = Arc::clone(&connection.query_slots).try_acquire_owned() else {
            let _ = answer.try_send(Err(AskError::Overloaded));
            return;
        };
        let sealed = connection.seal(Purpose::Ask, body);
        let number = sealed.number;
        let endpoints = connection.endpoints.clone();
        let client = connection.client.clone();
        let shared = Arc::clone(&self.shared);
        let is_broken = Arc::clone(&connection.is_broken);
        let unanswered_queries = Arc::clone(&connection.unanswered_queries);
        let silence = Arc::clone(&self.silence);
        let timeout = deadline.saturating_duration_since(Instant::now());
        tokio::spawn(async move {
            let reply = client.ask(context_with_timeout(timeout), sealed).await;
            match &reply {
                Ok(_) => {
                    silence.record_answer();
                    unanswered_queries.store(0, Ordering::Relaxed);
                }
                Err(RpcError::DeadlineExceeded) => {
                    silence.record_timeout("question", timeout);
                    let consecutive = unanswered_queries.fetch_add(1, Ordering::Relaxed) + 1;
                    is_broken.fetch_or(consecutive >= MAX_UNANSWERED, Ordering::Relaxed);
                }
                Err(_) => is_broken.store(true, Ordering::Relaxed),
            }
            let reply = read_reply(&shared, &endpoints, number, reply);
            shared.counts.sent.add(u64::from(reply.is_ok()));
            let _ = answer.try_send(reply);
            drop(permit);
        });
    }
}

impl Connection {
    fn seal(&mut self, purpose: Purpose, body: bytes::Bytes) -> Sealed {
        self.number += 1;
        let keys = self.shared.keys();
        self.endpoints.seal(&keys, purpose, self.number, body)
    }

    /// Whether the connection broke or its sequence numbers are used up.
    fn is_dead(&self) -> bool {
        self.number == u32::MAX || self.is_broken.load(Ordering::Relaxed)
    }
}

fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + timeout;
    cx
}

/// Connects to a peer and performs the handshake.
async fn open(to: SocketAddr, shared: &Arc<Shared>) -> Result<Connection, AskError> {
    let stream = TcpStream::connect(to).await;
    let stream = stream.map_err(|_| AskError::Unreachable)?;
    let transport = frames(stream, Arc::clone(&shared.counts));
    let client = PeerClient::new(Config::default(), transport).spawn();
    let from = shared.sender();
    let greeting = Handshake {
        cluster: shared.cluster.clone(),
        id: from.id.clone(),
        incarnation: from.incarnation,
        address: from.address,
        to,
    };
    let greeted = client
        .greet(context_with_timeout(CONNECT_TIMEOUT), greeting)
        .await;
    let greeted = greeted.map_err(|_| AskError::Unreachable)?;
    let challenge = greeted?;
    let endpoints = Endpoints {
        cluster: shared.cluster.clone(),
        from,
        to,
        challenge,
    };
    Ok(Connection {
        client,
        endpoints,
        number: 0,
        query_slots: Arc::new(tokio::sync::Semaphore::new(MAX_QUERIES)),
        is_broken: Arc::default(),
        unanswered_queries: Arc::default(),
        clock: ClockQuery {
            measure_at: Instant::now(),
            answer: Arc::default(),
        },
        shared: Arc::clone(shared),
    })
}

fn read_reply(
    shared: &Shared,
    endpoints: &Endpoints,
    number: u32,
    reply: Result<Result<Sealed, Refusal>, RpcError>,
) -> Result<Payload, AskError> {
    let sealed = match reply {
        Ok(Ok(sealed)) => sealed,
        Ok(Err(refusal)) => {
            shared.counts.refused_by_peer.add(1);
            return Err(AskError::Refused(refusal));
        }
        Err(RpcError::DeadlineExceeded) => return Err(AskError::Timeout),
        Err(_) => return Err(AskError::Broken),
    };
    let opened = endpoints.open(&shared.keys(), Purpose::Reply, &sealed);
    if sealed.number != number {
        return Err(AskError::BadReply);
    }
    opened.map_err(|_| AskError::BadReply)?;
    Payload::decode(&sealed.body).map_err(|_| AskError::BadReply)
}
