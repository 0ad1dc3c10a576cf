//! What the other threads hold of the peers' thread.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use membership::Sender;
use tokio::sync::oneshot;
use tokio::time::Instant;
use types::prelude::*;

use crate::client::{self, Job};
use crate::clocks::{ClockBound, Clocks, Reading};
use crate::config::{Config, Keys};
use crate::payload::Payload;
use crate::seal::Refusal;
use crate::server;
use crate::silence::Lines;
use crate::stats::{Counts, Stats};

/// A message that has waited so long for its turn is old news; a newer one says more.
const KEEPS: Duration = Duration::from_secs(1);
/// Commands waiting for the peers' thread.
const MAX_COMMANDS: usize = 4_096;

/// What came from another daemon.
#[derive(Debug)]
pub enum Inbound {
    /// A message.
    Message {
        /// Who sent it.
        from: Sender,
        /// What it says.
        payload: Payload,
    },
    /// A question.
    Ask {
        /// Who asks.
        from: Sender,
        /// What is asked.
        payload: Payload,
        /// Where the answer goes; dropped without one, the asker is told to try elsewhere.
        reply: Reply,
    },
}

/// The way back for one answer.
#[derive(Debug)]
pub struct Reply(pub(crate) oneshot::Sender<Payload>);

impl Reply {
    /// Answers. An asker that is gone is no matter.
    pub fn send(self, payload: Payload) {
        let _ = self.0.send(payload);
    }
}

/// Why a question has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AskError {
    /// No connection; the question was not sent.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The connection broke; the question may have arrived.
    #[error("the connection to the peer broke while it was asked")]
    Broken,
    /// No answer in time; the question may have arrived.
    #[error("the peer did not answer in time")]
    Timeout,
    /// The peer refused.
    #[error("the peer refused: {0}")]
    Refused(#[from] Refusal),
    /// Too many wait; the question was not sent.
    #[error("too many messages wait for the peer")]
    Overloaded,
    /// The question is too large; it was not sent.
    #[error("the question is too large for one message; split it")]
    TooLarge,
    /// The answer's code does not fit or it cannot be read.
    #[error("the peer's answer is not one of a daemon with our key")]
    BadReply,
}

/// Why the edge between daemons cannot start.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// The address cannot be listened on.
    #[error("cannot listen for peers on {address}: {source}; check the address and port")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The thread or its runtime cannot be made.
    #[error("cannot start the peers' thread: {0}")]
    Thread(std::io::Error),
}

/// What the peers' thread is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// Do something towards a peer.
    Job { to: SocketAddr, job: Job },
    /// Open all connections anew.
    Reconnect,
}

/// Takes what came in, or says that there is no room. Must not wait.
pub(crate) type Sink = Box<dyn Fn(Inbound) -> bool + Send + Sync>;

/// What the tasks of the peers' thread share.
pub(crate) struct Shared {
    pub(crate) cluster: ClusterName,
    pub(crate) address: SocketAddr,
    pub(crate) counts: Arc<Counts>,
    pub(crate) sink: Sink,
    /// Bounds the lines about silent peers.
    pub(crate) lines: Mutex<Lines>,
    /// What is known of the peers' clocks.
    pub(crate) clocks: Mutex<Clocks>,
    pub(crate) clock: Clock,
    /// The run that the own clock counts from.
    run: Incarnation,
    me: DaemonId,
    incarnation: RwLock<Incarnation>,
    keys: RwLock<Arc<Keys>>,
}

impl Shared {
    pub(crate) fn clocks(&self) -> MutexGuard<'_, Clocks> {
        self.clocks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The own clock.
    pub(crate) fn reading(&self) -> Reading {
        Reading {
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

/// The edge between daemons.
#[derive(Debug)]
pub struct Peers;

impl Peers {
    /// Listens and starts the thread. It ends when the last handle is gone.
    ///
    /// What arrives is given to `sink`, which must not wait: it puts it into a bounded
    /// queue, or says no when there is no room. That is refused and counted.
    ///
    /// # Errors
    /// When the address cannot be listened on or the thread cannot be made.
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
            lines: Mutex::default(),
            clocks: Mutex::default(),
            clock: cfg.clock,
            run: cfg.incarnation,
            me: cfg.me,
            incarnation: RwLock::new(cfg.incarnation),
            keys: RwLock::new(Arc::new(cfg.keys)),
        });
        let (tx, rx) = flume::bounded(MAX_COMMANDS);
        spawn(listener, rx, Arc::clone(&shared)).map_err(PeersError::Thread)?;
        tracing::info!("peers: listening on {local}");
        Ok(Handle {
            commands: tx,
            shared,
        })
    }
}

fn spawn(
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

/// A handle of the peers' thread.
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
    /// Where other daemons reach this one.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sends a message; it may be lost.
    pub fn send(&self, to: SocketAddr, payload: Payload) {
        let until = Instant::now() + KEEPS;
        self.command(to, Job::Send { payload, until });
    }

    /// Asks a question; the answer, or why there is none, comes out of the receiver by the
    /// deadline.
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
        let taken = self.commands.try_send(Command::Job { to, job }).is_ok();
        if !taken {
            self.shared.counts.dropped.add(1);
        }
        taken
    }

    /// Changes the keys; connections stay open.
    pub fn set_keys(&self, keys: Keys) {
        let held = self.shared.keys.write();
        *held.unwrap_or_else(PoisonError::into_inner) = Arc::new(keys);
    }

    /// Goes on as a later run of this daemon; connections are opened anew.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        let held = self.shared.incarnation.write();
        *held.unwrap_or_else(PoisonError::into_inner) = incarnation;
        let _ = self.commands.try_send(Command::Reconnect);
    }

    /// The run that this daemon's clock counts from.
    #[must_use]
    pub fn run(&self) -> Incarnation {
        self.shared.run
    }

    /// What is known of a peer's clock.
    #[must_use]
    pub fn clock_of(&self, peer: SocketAddr) -> Option<ClockBound> {
        self.shared.clocks().get(peer)
    }

    /// Counts since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.shared.counts.stats()
    }
}
