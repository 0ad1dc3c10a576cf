//! Start of the peers' thread, and the handle through which other threads use it.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use membership::Sender;
use tokio::sync::oneshot;
use tokio::time::Instant;
use types::prelude::*;

use crate::client::{self, Job};
use crate::clocks::{ClockOffsetBound, ClockReading, PeerClocks};
use crate::config::{Config, Keys};
use crate::payload::Payload;
use crate::seal::Refusal;
use crate::server;
use crate::silence::LogLimiter;
use crate::stats::{Counts, Stats};

/// A message queued for longer than this is dropped, since a newer one supersedes it.
const MESSAGE_TTL: Duration = Duration::from_secs(1);
/// Maximum number of commands queued for the peers' thread.
const MAX_COMMANDS: usize = 4_096;

/// A message or query received from another daemon.
#[derive(Debug)]
pub enum Inbound {
    /// A one-way message.
    Message {
        /// The daemon that sent the message.
        from: Sender,
        /// Content of the message.
        payload: Payload,
    },
    /// A query that expects a reply.
    Ask {
        /// The daemon that sent the query.
        from: Sender,
        /// Content of the query.
        payload: Payload,
        /// Channel for the reply; if it is dropped unused, the sender gets the reply that this
        /// daemon is overloaded.
        reply: Reply,
    },
}

/// One-shot channel for the reply to a query.
#[derive(Debug)]
pub struct Reply(pub(crate) oneshot::Sender<Payload>);

impl Reply {
    /// Sends the reply; does nothing if the query has ended.
    pub fn send(self, payload: Payload) {
        let _ = self.0.send(payload);
    }
}

/// Why a query has no reply.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AskError {
    /// There is no connection; the query was not sent.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The connection broke; the query may have arrived.
    #[error("the connection to the peer broke while it was asked")]
    Broken,
    /// The deadline passed without a reply; the query may have arrived.
    #[error("the peer did not answer in time")]
    Timeout,
    /// The peer refused the query or the handshake.
    #[error("the peer refused: {0}")]
    Refused(#[from] Refusal),
    /// A queue is full or too many queries are outstanding; the query was not sent.
    #[error("too many messages wait for the peer")]
    Overloaded,
    /// The query is too large; it was not sent.
    #[error("the question is too large for one message; split it")]
    TooLarge,
    /// The reply cannot be authenticated or decoded.
    #[error("the peer's answer is not one of a daemon with our key")]
    BadReply,
}

/// Why the peers' thread cannot start.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// Listening on the address failed.
    #[error("cannot listen for peers on {address}: {source}; check the address and port")]
    Listen {
        /// The configured listen address.
        address: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The thread or its runtime cannot be created.
    #[error("cannot start the peers' thread: {0}")]
    Thread(std::io::Error),
}

/// A command to the peers' thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// Passes a job to a peer's task.
    Job { to: SocketAddr, job: Job },
    /// Replaces all outgoing connections.
    Reconnect,
}

/// Accepts an inbound message or query, or returns false if there is no room. Must not block.
pub(crate) type Sink = Box<dyn Fn(Inbound) -> bool + Send + Sync>;

/// State shared by the tasks of the peers' thread and the handles.
pub(crate) struct Shared {
    pub(crate) cluster: ClusterName,
    pub(crate) address: SocketAddr,
    pub(crate) counts: Arc<Counts>,
    pub(crate) sink: Sink,
    /// Limits the rate of log lines about unresponsive peers.
    pub(crate) log_limiter: Mutex<LogLimiter>,
    /// Offset bounds of the peers' clocks.
    pub(crate) clocks: Mutex<PeerClocks>,
    pub(crate) clock: Clock,
    /// The incarnation at whose start the local clock began at zero.
    run: Incarnation,
    me: DaemonId,
    incarnation: RwLock<Incarnation>,
    keys: RwLock<Arc<Keys>>,
}

impl Shared {
    pub(crate) fn clocks(&self) -> MutexGuard<'_, PeerClocks> {
        self.clocks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the local clock.
    pub(crate) fn reading(&self) -> ClockReading {
        ClockReading {
            run: self.run,
            clock_ms: self.clock.now().since(Time::ZERO).as_millis(),
        }
    }

    pub(crate) fn keys(&self) -> Arc<Keys> {
        Arc::clone(&self.keys.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn sender(&self) -> Sender {
        let incarnation = self.incarnation.read();
        Sender {
            id: self.me.clone(),
            incarnation: *incarnation.unwrap_or_else(PoisonError::into_inner),
            address: self.address,
        }
    }
}

/// The peers' thread, which owns all connections between daemons.
#[derive(Debug)]
pub struct Peers;

impl Peers {
    /// Listens and starts the thread, which stops when the last handle is dropped.
    ///
    /// Inbound messages and queries are passed to `sink`, which must not block: it puts them
    /// into a bounded queue, or returns false if there is no room. These are refused and counted.
    ///
    /// # Errors
    /// If listening on the address fails or the thread cannot be created.
    pub fn start(
        cfg: Config,
        sink: impl Fn(Inbound) -> bool + Send + Sync + 'static,
    ) -> Result<Handle, PeersError> {
        let listen = |source| PeersError::Listen {
            address: cfg.listen,
            source,
        };
        let listener = TcpListener::bind(cfg.listen).map_err(listen)?;
        listener.set_nonblocking(true).map_err(listen)?;
        let local = listener.local_addr().map_err(listen)?;
        let shared = Arc::new(Shared {
            cluster: cfg.cluster,
            address: cfg.advertise.unwrap_or(local),
            counts: Arc::new(Counts::default()),
            sink: Box::new(sink),
            log_limiter: Mutex::default(),
            clocks: Mutex::default(),
            clock: cfg.clock,
            run: cfg.incarnation,
            me: cfg.me,
            incarnation: RwLock::new(cfg.incarnation),
            keys: RwLock::new(Arc::new(cfg.keys)),
        });
        let (tx, rx) = flume::bounded(MAX_COMMANDS);
        spawn_thread(listener, rx, Arc::clone(&shared)).map_err(PeersError::Thread)?;
        tracing::info!("peers: listening on {local}");
        Ok(Handle {
            commands: tx,
            shared,
        })
    }
}

fn spawn_thread(
    listener: TcpListener,
    commands: flume::Receiver<Command>,
    shared: Arc<Shared>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let run = async move {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                tracing::error!("peers: cannot listen: {e}");
                return;
            }
        };
        tokio::spawn(server::accept(listener, Arc::clone(&shared)));
        client::dispatch(commands, shared).await;
    };
    let thread = std::thread::Builder::new().name("peers".to_owned());
    thread.spawn(move || runtime.block_on(run)).map(drop)
}

/// A cloneable handle to the peers' thread.
#[derive(Clone)]
pub struct Handle {
    commands: flume::Sender<Command>,
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Handle({}, {:?})", self.shared.address, self.stats())
    }
}

impl Handle {
    /// Returns the address at which other daemons reach this one.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sends a message without waiting; it may be lost.
    pub fn send(&self, to: SocketAddr, payload: Payload) {
        let expires_at = Instant::now() + MESSAGE_TTL;
        self.command(
            to,
            Job::Send {
                payload,
                expires_at,
            },
        );
    }

    /// Sends a query; the receiver yields the reply or an error within `timeout`.
    #[must_use]
    pub fn ask(
        &self,
        to: SocketAddr,
        payload: Payload,
        timeout: Span,
    ) -> flume::Receiver<Result<Payload, AskError>> {
        let (answer, rx) = flume::bounded(1);
        let job = Job::Ask {
            payload,
            deadline: Instant::now() + timeout.to_duration(),
            answer: answer.clone(),
        };
        if !self.command(to, job) {
            let _ = answer.try_send(Err(AskError::Overloaded));
        }
        rx
    }

    fn command(&self, to: SocketAddr, job: Job) -> bool {
        let is_queued = self.commands.try_send(Command::Job { to, job }).is_ok();
        if !is_queued {
            self.shared.counts.dropped.add(1);
        }
        is_queued
    }

    /// Replaces the keys; connections stay open.
    pub fn set_keys(&self, keys: Keys) {
        let current = self.shared.keys.write();
        *current.unwrap_or_else(PoisonError::into_inner) = Arc::new(keys);
    }

    /// Continues under a later incarnation of this daemon; connections are replaced.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        let current = self.shared.incarnation.write();
        *current.unwrap_or_else(PoisonError::into_inner) = incarnation;
        let _ = self.commands.try_send(Command::Reconnect);
    }

    /// Returns the incarnation at whose start this daemon's clock began at zero.
    #[must_use]
    pub fn run(&self) -> Incarnation {
        self.shared.run
    }

    /// Returns the offset bound of a peer's clock, if it was measured.
    #[must_use]
    pub fn clock_of(&self, peer: SocketAddr) -> Option<ClockOffsetBound> {
        self.shared.clocks().get(peer)
    }

    /// Returns the traffic counts since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.shared.counts.stats()
    }
}
