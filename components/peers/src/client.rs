//! Connections to other daemons.
//!
//! One task a peer, made when there is something to say and gone when there is not for
//! a while. What cannot be delivered is dropped: a queue that grows while a peer is away
//! would bring it old news, and cost memory for each of hundreds of peers.
//!
//! A peer that does not answer may stand still or be busy, or the connection to it carries
//! nothing any more, which nobody says: the next connection shows which. So one on which a
//! message or two questions in a row went unanswered is replaced, and a question ends by its
//! deadline wherever it is by then.

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

use crate::clocks::Reading;
use crate::counted::frames;
use crate::handle::{AskError, Command, Shared};
use crate::payload::{Part, Payload};
use crate::seal::{Ends, Refusal, Sealed, Use};
use crate::service::{Greeting, PeerClient};
use crate::silence::Silence;

/// Peers with a queue at once; the one longest unused goes first.
const MAX_PEERS: usize = 512;
/// Messages waiting for one peer.
const MAX_QUEUED: usize = 64;
/// Questions to one peer that wait for an answer.
const MAX_ASKS: usize = 64;
/// A connection must be made and greeted within.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A message must be taken within.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Questions in a row that a connection may leave unanswered: a peer at work on another's may
/// well miss one.
const MAX_UNANSWERED: u32 = 2;
/// A peer that did not tell its clock is asked again after this.
const MEASURE_AGAIN: Duration = Duration::from_secs(2);
/// A connection without messages for so long is closed.
const IDLE: Duration = Duration::from_secs(15);
/// Pause after a first failure to connect; doubled with each more.
const BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause between tries to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// What a peer's task is to do.
#[derive(Debug)]
pub(crate) enum Job {
    /// Hand over a message; after `until` it is old news.
    Send { payload: Payload, until: Instant },
    /// Ask a question.
    Ask {
        payload: Payload,
        deadline: Instant,
        answer: flume::Sender<Result<Payload, AskError>>,
    },
}

struct Queue {
    tx: mpsc::Sender<Job>,
    used: u64,
}

/// Hands jobs to the peers' tasks until all handles are gone.
pub(crate) async fn dispatch(commands: flume::Receiver<Command>, shared: Arc<Shared>) {
    let mut queues = BTreeMap::<SocketAddr, Queue>::new();
    let mut used = 0;
    while let Ok(command) = commands.recv_async().await {
        let (to, job) = match command {
            Command::Job { to, job } => (to, job),
            // The tasks end with their queues, and with them their connections.
            Command::Reconnect => {
                queues.clear();
                continue;
            }
        };
        if let Job::Ask {
            deadline, answer, ..
        } = &job
        {
            tokio::spawn(end_by(*deadline, answer.clone()));
        }
        used += 1;
        queues.retain(|_, queue| !queue.tx.is_closed());
        if queues.len() >= MAX_PEERS && !queues.contains_key(&to) {
            let oldest = queues.iter().min_by_key(|(_, queue)| queue.used);
            let oldest = oldest.map(|(address, _)| *address);
            oldest.and_then(|address| queues.remove(&address));
        }
        let queue = queues.entry(to).or_insert_with(|| Queue {
            tx: start(to, &shared),
            used,
        });
        queue.used = used;
        if let Err(rejected) = queue.tx.try_send(job) {
            give_up(rejected.into_inner(), &shared, AskError::Overloaded);
        }
    }
}

/// Ends a question at its deadline, however long its peer's task is held up.
///
/// Guards against an asker that waits for a peer which does not answer and asks nobody else: its
/// question lay for 20 s behind messages of two seconds each.
async fn end_by(deadline: Instant, answer: flume::Sender<Result<Payload, AskError>>) {
    sleep_until(deadline).await;
    // One that was answered has no room or no receiver any more.
    let _ = answer.try_send(Err(AskError::Timeout));
}

fn start(to: SocketAddr, shared: &Arc<Shared>) -> mpsc::Sender<Job> {
    let (tx, rx) = mpsc::channel(MAX_QUEUED);
    let link = Link {
        to,
        shared: Arc::clone(shared),
        connection: None,
        failures: 0,
        retry_at: Instant::now(),
        refused: false,
        silence: Arc::new(Silence::towards(to, Arc::clone(shared))),
    };
    tokio::spawn(link.run(rx));
    tx
}

fn give_up(job: Job, shared: &Shared, error: AskError) {
    shared.counts.dropped.add(1);
    if let Job::Ask { answer, .. } = job {
        let _ = answer.try_send(Err(error));
    }
}

/// What a connection's peer said when it was asked for its clock.
#[derive(Debug, Default)]
struct ClockAnswer {
    is_known: AtomicBool,
    is_refused: AtomicBool,
}

/// When a connection's peer is asked for its clock.
struct ClockQuestion {
    /// Not before.
    measure_at: Instant,
    answer: Arc<ClockAnswer>,
}

impl ClockQuestion {
    /// Whether it is due, also where what is known of the peer's address is not old: behind a new
    /// connection there may be another run, with another clock.
    fn is_due(&self, is_old: bool) -> bool {
        let is_known = self.answer.is_known.load(Ordering::Relaxed);
        let is_refused = self.answer.is_refused.load(Ordering::Relaxed);
        (is_old || !is_known) && !is_refused && Instant::now() >= self.measure_at
    }
}

/// An open connection.
struct Connection {
    client: PeerClient,
    ends: Ends,
    number: u32,
    asks: Arc<tokio::sync::Semaphore>,
    /// Set by a question that found the connection dead.
    broken: Arc<AtomicBool>,
    /// Questions in a row without an answer.
    unanswered: Arc<AtomicU32>,
    clock: ClockQuestion,
    shared: Arc<Shared>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.counts.connections_out.less();
    }
}

/// One peer: its connection, and when to try again after a failure.
struct Link {
    to: SocketAddr,
    shared: Arc<Shared>,
    connection: Option<Connection>,
    failures: u32,
    retry_at: Instant,
    /// Whether a refusal was logged; the rest are only counted.
    refused: bool,
    /// Whether the peer takes what it is sent.
    silence: Arc<Silence>,
}

impl Link {
    async fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        while let Ok(Some(job)) = timeout(IDLE, jobs.recv()).await {
            if let Err(error) = self.ensure_connected().await {
                give_up(job, &self.shared, error);
                continue;
            }
            let now = Instant::now();
            match job {
                Job::Send { payload, until } if now < until => self.deliver(payload).await,
                Job::Ask {
                    payload,
                    deadline,
                    answer,
                } if now < deadline => self.ask(payload, deadline, answer),
                late => give_up(late, &self.shared, AskError::Timeout),
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
        if !std::mem::replace(&mut self.refused, true) {
            tracing::warn!("peers: {} refuses us: {refusal}", self.to);
        }
    }

    /// Hands a message over, on a second connection if the first turns out dead.
    ///
    /// Guards against a connection that went silent and is kept: nothing would reach the peer
    /// until the kernel gives up, after a quarter of an hour, though a new one would work at once.
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
                    self.silence.goes_on("message", DELIVER_TIMEOUT);
                    self.connection = None;
                    break;
                }
                Err(_) => self.connection = None,
            }
        }
        self.shared.counts.dropped.add(1);
    }

    fn note_answer(&self) {
        self.silence.ends();
        if let Some(connection) = &self.connection {
            connection.unanswered.store(0, Ordering::Relaxed);
        }
    }

    async fn try_deliver(&mut self, body: bytes::Bytes) -> Result<Result<(), Refusal>, RpcError> {
        let Some(connection) = &mut self.connection else {
            return Err(RpcError::Shutdown);
        };
        let sealed = connection.seal(Use::Deliver, body);
        let cx = within(DELIVER_TIMEOUT);
        connection.client.deliver(cx, sealed).await
    }

    /// Asks a peer that takes messages for its clock where that is due.
    fn measure_clock(&mut self) {
        let (to, shared) = (self.to, Arc::clone(&self.shared));
        let Some(connection) = &mut self.connection else {
            return;
        };
        let is_old = shared.clocks().is_old(to, shared.clock.now());
        if !connection.clock.is_due(is_old) {
            return;
        }
        connection.clock.measure_at = Instant::now() + MEASURE_AGAIN;
        let question = Payload::Part {
            part: Part::Clock,
            body: bytes::Bytes::new(),
        };
        let Ok(body) = question.encode() else {
            return;
        };
        let sealed = connection.seal(Use::Ask, body);
        let (client, ends) = (connection.client.clone(), connection.ends.clone());
        let answer = Arc::clone(&connection.clock.answer);
        tokio::spawn(async move {
            let asked_at = shared.clock.now();
            let number = sealed.number;
            let reply = client.ask(within(DELIVER_TIMEOUT), sealed).await;
            let answered_at = shared.clock.now();
            match read_reply(&shared, &ends, number, reply) {
                Ok(Payload::Part { body, .. }) => {
                    if let Ok(reading) = Reading::decode(&body) {
                        shared.clocks().note(to, reading, asked_at, answered_at);
                        answer.is_known.store(true, Ordering::Relaxed);
                    }
                }
                // Of a release that does not know the question.
                Err(AskError::Refused(_)) => answer.is_refused.store(true, Ordering::Relaxed),
                Ok(Payload::Membership(_)) | Err(_) => {}
            }
        });
    }

    /// Asks on a task of its own, so that a slow answer holds up nothing else.
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
        let Ok(permit) = Arc::clone(&connection.asks).try_acquire_owned() else {
            let _ = answer.try_send(Err(AskError::Overloaded));
            return;
        };
        let sealed = connection.seal(Use::Ask, body);
        let number = sealed.number;
        let ends = connection.ends.clone();
        let client = connection.client.clone();
        let shared = Arc::clone(&self.shared);
        let broken = Arc::clone(&connection.broken);
        let unanswered = Arc::clone(&connection.unanswered);
        let silence = Arc::clone(&self.silence);
        let timeout = deadline.saturating_duration_since(Instant::now());
        tokio::spawn(async move {
            let reply = client.ask(within(timeout), sealed).await;
            match &reply {
                Ok(_) => {
                    silence.ends();
                    unanswered.store(0, Ordering::Relaxed);
                }
                Err(RpcError::DeadlineExceeded) => {
                    silence.goes_on("question", timeout);
                    let in_a_row = unanswered.fetch_add(1, Ordering::Relaxed) + 1;
                    broken.fetch_or(in_a_row >= MAX_UNANSWERED, Ordering::Relaxed);
                }
                Err(_) => broken.store(true, Ordering::Relaxed),
            }
            let reply = read_reply(&shared, &ends, number, reply);
            shared.counts.sent.add(u64::from(reply.is_ok()));
            let _ = answer.try_send(reply);
            drop(permit);
        });
    }
}

impl Connection {
    fn seal(&mut self, what: Use, body: bytes::Bytes) -> Sealed {
        self.number += 1;
        let keys = self.shared.keys();
        self.ends.seal(&keys, what, self.number, body)
    }

    /// Whether it broke or its numbers are used up; a new connection begins anew.
    fn is_dead(&self) -> bool {
        self.number == u32::MAX || self.broken.load(Ordering::Relaxed)
    }
}

fn within(timeout: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + timeout;
    cx
}

/// Connects and greets.
async fn open(to: SocketAddr, shared: &Arc<Shared>) -> Result<Connection, AskError> {
    let stream = TcpStream::connect(to).await;
    let stream = stream.map_err(|_| AskError::Unreachable)?;
    let transport = frames(stream, Arc::clone(&shared.counts));
    let client = PeerClient::new(Config::default(), transport).spawn();
    let from = shared.sender();
    let greeting = Greeting {
        cluster: shared.cluster.clone(),
        id: from.id.clone(),
        incarnation: from.incarnation,
        address: from.address,
        to,
    };
    let greeted = client.greet(within(CONNECT_TIMEOUT), greeting).await;
    let greeted = greeted.map_err(|_| AskError::Unreachable)?;
    let challenge = greeted?;
    let ends = Ends {
        cluster: shared.cluster.clone(),
        from,
        to,
        challenge,
    };
    Ok(Connection {
        client,
        ends,
        number: 0,
        asks: Arc::new(tokio::sync::Semaphore::new(MAX_ASKS)),
        broken: Arc::default(),
        unanswered: Arc::default(),
        clock: ClockQuestion {
            measure_at: Instant::now(),
            answer: Arc::default(),
        },
        shared: Arc::clone(shared),
    })
}

fn read_reply(
    shared: &Shared,
    ends: &Ends,
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
    let opened = ends.open(&shared.keys(), Use::Reply, &sealed);
    if sealed.number != number {
        return Err(AskError::BadReply);
    }
    opened.map_err(|_| AskError::BadReply)?;
    Payload::decode(&sealed.body).map_err(|_| AskError::BadReply)
}
