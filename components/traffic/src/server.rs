//! The event loop's thread: listening, commands and shutdown.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use balance::PeerLoad;
use dispatch::{Advertisement, BrittleAdvertisement, LastSeen, PaceUpdate, TunnelPeer, Upstreams};
use http1::{Pool, Wire, WireOptions};
use overload::{FleetView, Overload};
use poison::{SharedSuspects, UpstreamInstance};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::LocalSet;
use types::prelude::*;

use crate::caller;
use crate::config::Config;
use crate::connect::probe_lost_paths;
use crate::crashes;
use crate::held::HeldAnswers;
use crate::metrics::Metrics;
use crate::plan::{Plan, Validation};
use crate::shared::{Observed, Shared, Stage};
use crate::status;
use crate::translate::Translator;
use crate::tunnel;

/// Interval at which expired pooled connections and old attempt records are dropped.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which loads are published to the control thread, which sends them to the other
/// daemons.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);
/// How long new requests are accepted after the stop command, if they may end within the grace
/// period: load balancers keep sending until two readiness checks in a row, a second apart, were
/// answered with no.
const READINESS_NOTICE: Duration = Duration::from_millis(2_800);
/// Interval at which shutdown progress is checked.
const EXIT_POLL: Duration = Duration::from_millis(50);
/// Part of the grace period that is left for the last answers and for the process to exit.
const EXIT_MARGIN: Span = Span::from_millis(400);
/// Part of that in which requests that are still in progress get their answers.
const LAST_ANSWERS_TIME: Span = Span::from_millis(200);
/// A caller's connection is closed when sent bytes stay unacknowledged for this long.
const CALLER_WIRE: WireOptions = WireOptions {
    user_timeout: Duration::from_secs(5),
    keepalive: Duration::from_secs(5),
};

/// State received from other daemons.
#[derive(Debug, Default)]
pub struct PeerState {
    /// Load that all other daemons together have in flight, by upstream.
    pub loads: HashMap<u32, (f64, u32)>,
    /// Average load of all other daemons at plain services, by upstream.
    pub averages: HashMap<u32, PeerLoad>,
    /// The configuration version last validated as current.
    pub validation: Option<Validation>,
    /// Rate limits of upstreams that other daemons advertise.
    pub rate_limits: Vec<Advertisement>,
    /// Brittle services that other daemons advertise.
    pub brittle: Vec<BrittleAdvertisement>,
    /// Reports on overload of other daemons.
    pub overload: FleetView,
    /// Paces of upstreams that other daemons report.
    pub paces: Vec<PaceUpdate>,
    /// Peers that offer tunnels.
    pub tunnel_peers: Arc<Vec<TunnelPeer>>,
}

/// A command to the event loop.
#[derive(Debug)]
pub enum Command {
    /// Replace the plan.
    Plan(Arc<Plan>),
    /// Merge the state of other daemons.
    PeerState(PeerState),
    /// These upstreams crashed, as reported by other daemons.
    Crashed(Vec<UpstreamInstance>),
    /// Finish the requests in flight, then exit.
    Stop,
}

/// Why the event loop cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}; check the address and port")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The runtime or the thread cannot be created.
    #[error("cannot start the event loop: {0}")]
    Thread(std::io::Error),
}

/// The running event loop.
#[derive(Debug)]
pub struct Handle {
    /// Address on which it listens for callers.
    pub callers: SocketAddr,
    /// Address that serves readiness, metrics and the state.
    pub status: SocketAddr,
    /// Address on which it listens for peers' tunnels.
    pub tunnels: SocketAddr,
    /// Sends commands to it.
    pub commands: flume::Sender<Command>,
    /// What it observed of rollouts, and its loads.
    pub observed: Observed,
    /// Crash evidence against request contents, shared with the control thread.
    pub suspects: SharedSuspects,
    /// Disconnected once the event loop has ended.
    pub stopped: flume::Receiver<()>,
}

/// Starts the event loop on a thread of its own.
///
/// # Errors
/// When an address cannot be listened on, or the thread cannot be created.
pub fn start<T: Translator + Send>(
    cfg: Config,
    translator: T,
    clock: Clock,
) -> Result<Handle, StartError> {
    let (tx, rx) = flume::unbounded();
    let (started_tx, started_rx) = flume::bounded(1);
    let (stopped_tx, stopped) = flume::bounded(1);
    let observed = Observed::default();
    let published = observed.clone();
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
        drop(stopped_tx);
    };
    thread.spawn(run).map_err(StartError::Thread)?;
    let started = started_rx.recv();
    let ended_early = || Err(StartError::Thread(std::io::ErrorKind::Other.into()));
    let Listening {
        callers,
        status,
        tunnels,
    } = started.unwrap_or_else(|_| ended_early())?;
    Ok(Handle {
        callers,
        status,
        tunnels,
        commands: tx,
        observed,
        suspects,
        stopped,
    })
}

fn new_shared<T>(
    cfg: Config,
    translator: T,
    clock: Clock,
    observed: Observed,
    probe_tx: UnboundedSender<LastSeen>,
) -> Rc<Shared<T>> {
    let upstreams = Upstreams::new(cfg.policy.placing);
    let upstreams = upstreams.with_cold_tolerance(cfg.cold_tolerance);
    let overload = Overload::new(cfg.policy.overload);
    let held_answers = HeldAnswers::new(cfg.max_held_answer_bytes);
    Rc::new(Shared {
        cfg,
        translator,
        clock,
        validation: Cell::default(),
        metrics: Metrics::new(),
        plan: RefCell::default(),
        upstreams: RefCell::new(upstreams),
        paths: RefCell::default(),
        tunnel_peers: RefCell::default(),
        served_tunnels: Cell::new(0),
        lent: Cell::new(0),
        pool: RefCell::new(Pool::default()),
        attempts: RefCell::default(),
        awaited: RefCell::default(),
        broken_answers: RefCell::default(),
        probing: RefCell::default(),
        probe_tx,
        pins: RefCell::default(),
        budgets: RefCell::new(HashMap::new()),
        pauses: RefCell::default(),
        overload: RefCell::new(overload),
        overload_view: RefCell::default(),
        overload_view_at: Cell::default(),
        overload_updated_at: Cell::default(),
        rng: RefCell::new(SmallRng::seed_from_u64(rand::random())),
        observed,
        stage: watch::Sender::new(Stage::Serving),
        ends_at: Cell::new(Time::NEVER),
        durations: RefCell::default(),
        requests_in_flight: Cell::new(0),
        caller_connections: Cell::new(0),
        held_body_bytes: Cell::new(0),
        held_answers,
    })
}

/// The addresses listened on.
struct Listening {
    callers: SocketAddr,
    status: SocketAddr,
    tunnels: SocketAddr,
}

/// The sockets listened on.
struct Listeners {
    callers: TcpListener,
    status: TcpListener,
    tunnels: TcpListener,
}

fn listen_all(cfg: &Config) -> Result<(Listeners, Listening), StartError> {
    let (callers, callers_at) = listen(cfg.callers)?;
    let (status, status_at) = listen(cfg.status)?;
    let (tunnels, tunnels_at) = listen(cfg.tunnels.listen)?;
    let listening = Listening {
        callers: callers_at,
        status: status_at,
        tunnels: tunnels_at,
    };
    let listeners = Listeners {
        callers,
        status,
        tunnels,
    };
    Ok((listeners, listening))
}

async fn serve<T: Translator>(
    shared: Rc<Shared<T>>,
    commands: flume::Receiver<Command>,
    started: flume::Sender<Result<Listening, StartError>>,
) {
    let (listeners, listening) = match listen_all(&shared.cfg) {
        Ok(started) => started,
        Err(e) => {
            // The starting thread waits for this result.
            let _ = started.send(Err(e));
            return;
        }
    };
    let _ = started.send(Ok(listening));
    tokio::task::spawn_local(accept_callers(Rc::clone(&shared), listeners.callers));
    tokio::task::spawn_local(accept_status(Rc::clone(&shared), listeners.status));
    tokio::task::spawn_local(tunnel::server::accept(
        Rc::clone(&shared),
        listeners.tunnels,
    ));
    tokio::task::spawn_local(probe_lost_paths(Rc::clone(&shared)));
    tokio::task::spawn_local(tidy_periodically(Rc::clone(&shared)));
    tokio::task::spawn_local(publish_state(Rc::clone(&shared)));
    // On a task of its own, because the future the runtime blocks on is polled with every event.
    let running = tokio::task::spawn_local(run_commands(Rc::clone(&shared), commands));
    match running.await {
        Ok(commands) => drain(&shared, &commands).await,
        Err(e) => tracing::error!("traffic: the command task failed: {e}"),
    }
}

/// Applies commands until the stop command; returns the receiver for later commands.
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
        Command::PeerState(peer_state) => {
            let mut upstreams = shared.upstreams.borrow_mut();
            upstreams.set_remote_loads(&peer_state.loads);
            upstreams.set_peer_averages(&peer_state.averages);
            drop(upstreams);
            shared.validation.set(peer_state.validation);
            shared
                .tunnel_peers
                .borrow_mut()
                .set(peer_state.tunnel_peers);
            shared.merge_rate_limits(&peer_state.rate_limits);
            shared.merge_brittleness(&peer_state.brittle);
            shared.overload_view.replace(peer_state.overload);
            shared.overload_view_at.set(shared.now());
            shared.merge_paces(&peer_state.paces);
        }
        Command::Crashed(instances) => instances
            .iter()
            .for_each(|instance| shared.peer_reported_crash(instance)),
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
            // A load balancer also uses daemons that are not ready when too few are; a closed port
            // sends callers elsewhere at once.
            _ = stages.wait_for(|stage| *stage >= Stage::Closing) => return,
            (stream, _) = callers::accept(&listener) => stream,
        };
        // A connection beyond the limit is closed unread, which shows the caller that its request
        // was not processed.
        if shared.caller_connections.get() >= shared.cfg.max_caller_connections {
            tracing::warn!(
                callers = shared.caller_connections.get(),
                "callers: connection limit reached, new connection closed"
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
        pool.purge(now, |index| upstreams.spec(index).is_some());
        shared
            .paths
            .borrow_mut()
            .retain(now, |index| upstreams.spec(index).is_some());
        shared.attempts.borrow_mut().expire(now);
        shared.durations.borrow_mut().expire(now);
        shared.tidy_quarantine(now);
    }
}

async fn publish_state<T>(shared: Rc<Shared<T>>) {
    loop {
        tokio::time::sleep(PUBLISH_INTERVAL).await;
        shared.pauses.borrow_mut().record_awake(shared.now());
        let loads = shared.upstreams.borrow().own_loads(shared.now());
        shared.observed.set_loads(loads);
        let averages = shared.upstreams.borrow().own_averages(shared.now());
        shared.observed.set_averages(averages);
        shared.publish_rate_limits();
        shared.update_overload();
        shared.publish_paces();
        let lost = i64::try_from(shared.paths.borrow().lost()).unwrap_or(i64::MAX);
        shared.metrics.lost_paths.set(lost);
        shared.count_slow_answers();
        shared.count_broken_answers();
    }
}

/// Shuts down: reports not ready, serves until load balancers have noticed, then until no request
/// or connection is left or the grace period ends.
async fn drain<T>(shared: &Shared<T>, commands: &flume::Receiver<Command>) {
    let stop_at = shared.now();
    let deadline = stop_at + (shared.cfg.grace_period - EXIT_MARGIN);
    shared.ends_at.set(deadline);
    shared.stage.send_replace(Stage::Leaving);
    tracing::info!(
        requests = shared.requests_in_flight.get(),
        "traffic: shutting down"
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
        let has_requests = shared.requests_in_flight.get() > 0 || shared.served_tunnels.get() > 0;
        let is_empty = !has_requests && shared.caller_connections.get() == 0;
        if now >= deadline || (now >= closing_at && is_empty) {
            break;
        }
        tokio::time::sleep(EXIT_POLL).await;
    }
    let requests = shared.requests_in_flight.get();
    shared.stage.send_replace(Stage::Ended);
    let answered_by = shared.now() + LAST_ANSWERS_TIME;
    while shared.requests_in_flight.get() > 0 && !shared.now().has_reached(answered_by) {
        tokio::time::sleep(EXIT_POLL).await;
    }
    tracing::info!(
        requests,
        callers = shared.caller_connections.get(),
        "traffic: shutdown finished"
    );
}
