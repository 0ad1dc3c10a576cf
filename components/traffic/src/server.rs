//! The event loop's thread: listening, commands, and the way out.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dispatch::{Advertisement, LastSeen, Upstreams};
use http1::{Pool, Wire, WireOptions};
use poison::{SharedSuspects, UpstreamRun};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::LocalSet;
use types::prelude::*;

use crate::caller;
use crate::config::Config;
use crate::crashes;
use crate::metrics::Metrics;
use crate::plan::{Plan, Proof};
use crate::shared::{Seen, Shared, Stage};
use crate::status;
use crate::translate::Translator;

/// Old kept connections are closed this often.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);
/// What is out is shown to the control thread this often, which tells the other daemons.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);
/// After being told to stop, new requests are taken for this long: new connections come
/// until two questions for readiness in a row, a second apart, were answered with no. What
/// comes later may not end within the grace and is refused, so that it runs elsewhere.
const READINESS_NOTICE: Duration = Duration::from_millis(2_800);
/// The way out is looked at this often.
const EXIT_POLL: Duration = Duration::from_millis(50);
/// Left of the grace for the process to end in.
const EXIT_MARGIN: Span = Span::from_millis(400);
/// Connections of callers that are silent this long while bytes are out are dead.
const CALLER_WIRE: WireOptions = WireOptions {
    user_timeout: Duration::from_secs(5),
    keepalive: Duration::from_secs(5),
};

/// What other daemons say.
#[derive(Debug, Default)]
pub struct Others {
    /// What all of them have out, by upstream.
    pub loads: HashMap<u32, (f64, u32)>,
    /// How current the configuration is known to be.
    pub proof: Option<Proof>,
    /// Rate limits of upstreams.
    pub rate_limits: Vec<Advertisement>,
}

/// What the event loop is told.
#[derive(Debug)]
pub enum Command {
    /// Serve by this from now on.
    Plan(Arc<Plan>),
    /// What other daemons say.
    Others(Others),
    /// These upstreams ended, as other daemons tell.
    Ended(Vec<UpstreamRun>),
    /// Finish what is there and end.
    Stop,
}

/// Why the event loop cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}; check the address and port")]
    Listen {
        /// Which.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The runtime or the thread cannot be made.
    #[error("cannot start the event loop: {0}")]
    Thread(std::io::Error),
}

/// The running event loop.
#[derive(Debug)]
pub struct Handle {
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where readiness, metrics and the state are asked for.
    pub status: SocketAddr,
    /// Tells it something.
    pub commands: flume::Sender<Command>,
    /// What was seen of roll-outs.
    pub seen: Seen,
    /// What is held against contents.
    pub suspects: SharedSuspects,
    /// Closed once it has ended.
    pub ended: flume::Receiver<()>,
}

/// Starts the event loop on a thread of its own.
///
/// # Errors
/// When it cannot listen or the thread cannot be made.
pub fn start<T: Translator + Send>(
    cfg: Config,
    translator: T,
    clock: Clock,
) -> Result<Handle, StartError> {
    let (tx, rx) = flume::unbounded();
    let (started_tx, started_rx) = flume::bounded(1);
    let (ended_tx, ended) = flume::bounded(1);
    let seen = Seen::default();
    let published = seen.clone();
    let suspects = cfg.suspects.clone();
    let thread = std::thread::Builder::new().name("traffic".to_owned());
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(e) => {
                let _ = started_tx.send(Err(StartError::Thread(e)));
                return;
            }
        };
        let (probe_tx, probe_rx) = tokio::sync::mpsc::unbounded_channel();
        let shared = new_shared(cfg, translator, clock, published, probe_tx);
        let tasks = LocalSet::new();
        tasks.spawn_local(crashes::probe_doubtful(Rc::clone(&shared), probe_rx));
        tasks.block_on(&runtime, serve(shared, rx, started_tx));
        drop(ended_tx);
    };
    thread.spawn(run).map_err(StartError::Thread)?;
    let started = started_rx.recv();
    let ended_early = || Err(StartError::Thread(std::io::ErrorKind::Other.into()));
    let (callers, status) = started.unwrap_or_else(|_| ended_early())?;
    Ok(Handle {
        callers,
        status,
        commands: tx,
        seen,
        suspects,
        ended,
    })
}

fn new_shared<T>(
    cfg: Config,
    translator: T,
    clock: Clock,
    seen: Seen,
    probe_tx: UnboundedSender<LastSeen>,
) -> Rc<Shared<T>> {
    let upstreams = Upstreams::new(cfg.policy.placing);
    Rc::new(Shared {
        cfg,
        translator,
        clock,
        proof: Cell::default(),
        metrics: Metrics::new(),
        plan: RefCell::default(),
        upstreams: RefCell::new(upstreams),
        pool: RefCell::new(Pool::default()),
        runs: RefCell::default(),
        broken_answers: RefCell::default(),
        probing: RefCell::default(),
        probe_tx,
        pins: RefCell::default(),
        budgets: RefCell::new(HashMap::new()),
        rng: RefCell::new(SmallRng::seed_from_u64(rand::random())),
        seen,
        stage: watch::Sender::new(Stage::Serving),
        requests_in_flight: Cell::new(0),
        caller_connections: Cell::new(0),
        held_body_bytes: Cell::new(0),
    })
}

/// Addresses listened on, for callers and for questions.
type Started = Result<(SocketAddr, SocketAddr), StartError>;

async fn serve<T: Translator>(
    shared: Rc<Shared<T>>,
    commands: flume::Receiver<Command>,
    started: flume::Sender<Started>,
) {
    let listeners = listen(shared.cfg.callers).and_then(|c| Ok((c, listen(shared.cfg.status)?)));
    let ((callers, at), (status_listener, status_at)) = match listeners {
        Ok(listeners) => listeners,
        Err(e) => {
            // The starting thread waits for this.
            let _ = started.send(Err(e));
            return;
        }
    };
    let _ = started.send(Ok((at, status_at)));
    tokio::task::spawn_local(accept_callers(Rc::clone(&shared), callers));
    tokio::task::spawn_local(accept_status(Rc::clone(&shared), status_listener));
    tokio::task::spawn_local(tidy_periodically(Rc::clone(&shared)));
    tokio::task::spawn_local(publish_state(Rc::clone(&shared)));
    // On a task of its own: what the runtime is blocked on is looked at with every event.
    let listening = tokio::task::spawn_local(run_commands(Rc::clone(&shared), commands));
    match listening.await {
        Ok(commands) => drain(&shared, &commands).await,
        Err(e) => tracing::error!("traffic: the task that takes commands ended: {e}"),
    }
}

/// Takes what the control thread says until that is to stop; gives back where it says it.
async fn run_commands<T: Translator>(
    shared: Rc<Shared<T>>,
    commands: flume::Receiver<Command>,
) -> flume::Receiver<Command> {
    while let Ok(command) = commands.recv_async().await {
        match command {
            Command::Stop => break,
            other => apply(&shared, other),
        }
    }
    commands
}

fn apply<T>(shared: &Shared<T>, command: Command) {
    match command {
        Command::Plan(plan) => shared.set_plan(plan),
        Command::Others(others) => {
            shared.upstreams.borrow_mut().set_others(&others.loads);
            shared.proof.set(others.proof);
            shared.merge_rate_limits(&others.rate_limits);
        }
        Command::Ended(runs) => runs.iter().for_each(|run| shared.peer_reported_crash(run)),
        Command::Stop => {}
    }
}

fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = callers::listen(address).and_then(|listener| {
        let at = listener.local_addr()?;
        Ok((TcpListener::from_std(listener)?, at))
    });
    listener.map_err(|source| StartError::Listen { address, source })
}

async fn accept_callers<T: Translator>(shared: Rc<Shared<T>>, listener: TcpListener) {
    let mut stages = shared.stage.subscribe();
    loop {
        let stream = tokio::select! {
            biased;
            // The balancer sends callers also to daemons that are not ready when too few
            // are; a closed port tells them at once to try another.
            _ = stages.wait_for(|stage| *stage == Stage::Closing) => return,
            (stream, _) = callers::accept(&listener) => stream,
        };
        // Beyond the bound a connection is closed unread, which tells the caller that
        // nothing was run.
        if shared.caller_connections.get() >= shared.cfg.max_callers {
            tracing::warn!(
                callers = shared.caller_connections.get(),
                "callers: too many connections"
            );
            continue;
        }
        let Ok(wire) = Wire::new(stream, CALLER_WIRE) else {
            continue;
        };
        shared
            .caller_connections
            .set(shared.caller_connections.get() + 1);
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            caller::serve(Rc::clone(&shared), wire).await;
            shared
                .caller_connections
                .set(shared.caller_connections.get() - 1);
        });
    }
}

async fn accept_status<T: Translator>(shared: Rc<Shared<T>>, listener: TcpListener) {
    loop {
        let (stream, _) = callers::accept(&listener).await;
        if let Ok(wire) = Wire::new(stream, CALLER_WIRE) {
            tokio::task::spawn_local(status::serve(Rc::clone(&shared), wire));
        }
    }
}

async fn tidy_periodically<T>(shared: Rc<Shared<T>>) {
    loop {
        tokio::time::sleep(TIDY_INTERVAL).await;
        let now = shared.now();
        let upstreams = shared.upstreams.borrow();
        let mut pool = shared.pool.borrow_mut();
        pool.tidy(now, |index| upstreams.spec(index).is_some());
        shared.runs.borrow_mut().tidy(now);
        shared.tidy_quarantine(now);
    }
}

async fn publish_state<T>(shared: Rc<Shared<T>>) {
    loop {
        tokio::time::sleep(PUBLISH_INTERVAL).await;
        let loads = shared.upstreams.borrow().own_loads(shared.now());
        shared.seen.set_loads(loads);
        shared.publish_rate_limits();
        shared.count_broken_answers();
    }
}

/// Leaves: not ready at once, serving until that was noticed, then until nothing is left.
async fn drain<T>(shared: &Shared<T>, commands: &flume::Receiver<Command>) {
    let stop_at = shared.now();
    let deadline = stop_at + (shared.cfg.grace - EXIT_MARGIN);
    shared.stage.send_replace(Stage::Leaving);
    tracing::info!(
        requests = shared.requests_in_flight.get(),
        "traffic: leaving"
    );
    let closing_at = stop_at + Span::from(READINESS_NOTICE);
    loop {
        while let Ok(command) = commands.try_recv() {
            apply(shared, command);
        }
        let now = shared.now();
        if now >= closing_at && shared.stage() < Stage::Closing {
            shared.stage.send_replace(Stage::Closing);
        }
        let is_empty = shared.requests_in_flight.get() == 0 && shared.caller_connections.get() == 0;
        if now >= deadline || (now >= closing_at && is_empty) {
            break;
        }
        tokio::time::sleep(EXIT_POLL).await;
    }
    tracing::info!(
        requests = shared.requests_in_flight.get(),
        callers = shared.caller_connections.get(),
        "traffic: ended"
    );
}
