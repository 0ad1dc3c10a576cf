//! Starts and stops a daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use callers::{Callers, Limits};
use operators::auth::Tokens;
use operators::health::Health;
use quality::Quality;
use requests::claim::Windows;
use routing::{Location, Router, Tuning};
use sessions::token::{Key, Keys};
use settings::Settings;
use store::{EtcdClient, Store};
use telemetry::metrics::Metrics;
use types::prelude::*;

use crate::admission::Admissions;
use crate::claims::{self, Claims};
use crate::control::Control;
use crate::error::NodeError;
use crate::event::{Event, MAX_WAITING_EVENTS};
use crate::measured::CountedStore;
use crate::quarantine::Quarantine;
use crate::rating::RatingPool;
use crate::sessions::Sessions;
use crate::shared::Shared;
use crate::snapshot::Snapshot;
use crate::store_pool::StorePool;
use crate::systems;
use crate::traffic::{InFlight, Traffic};

/// Interval between two checks for requests still in flight at a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a leaving daemon waits for the store to take its bills.
const SEAL_TIMEOUT: Span = Span::from_secs(10);

/// A running daemon.
pub struct Node {
    shared: Arc<Shared>,
    callers: Callers,
    operators: operators::Handle,
    peers_address: SocketAddr,
    control: JoinHandle<()>,
    claims: JoinHandle<()>,
}

impl Node {
    /// Builds a daemon from checked settings and starts to serve.
    ///
    /// # Errors
    /// When an address cannot be listened on or a thread cannot be started.
    pub fn start(settings: Settings) -> Result<Self, NodeError> {
        let (events, events_rx) = flume::bounded(MAX_WAITING_EVENTS);
        let (shared, claims) = build(settings, events.clone())?;
        let shared = Arc::new(shared);
        if let Some(list) = shared.settings.platform.hosts {
            crate::hosts::start(list, events.clone())?;
        }
        let sink = systems::membership::sink(events.clone());
        let incarnation = shared.incarnation;
        let clock = shared.clock;
        let peers = systems::membership::start_peers(&shared.settings, incarnation, clock, sink)?;
        let peers_address = peers.address();
        let store_pool = StorePool::start(&shared.store, events)?;
        shared.sessions.set_peers(peers.clone());
        let control = Control::new(shared.clone(), store_pool, peers)?;
        let thread = std::thread::Builder::new().name("control".to_owned());
        let control = thread.spawn(move || control.run(&events_rx))?;
        let operators = start_operators(&shared)?;
        let traffic_shared = shared.clone();
        let make_traffic = move || Traffic::new(traffic_shared.clone());
        let cfg = &shared.settings.callers;
        let callers = Callers::start(cfg.listen, cfg.threads, limits(cfg), make_traffic)?;
        tracing::info!(
            "node: {} serves callers on {}",
            shared.settings.daemon,
            callers.address()
        );
        Ok(Self {
            shared,
            callers,
            operators,
            peers_address,
            control,
            claims,
        })
    }

    /// The address on which callers are served.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The address on which other daemons reach this one.
    #[must_use]
    pub fn peers_address(&self) -> SocketAddr {
        self.peers_address
    }

    /// The address on which operators are served.
    #[must_use]
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Stops without a handover or a notice to the other daemons, as a crash would.
    pub fn abandon(self) {
        let _ = self.shared.events.send(Event::Stop);
        let _ = self.control.join();
        self.operators.stop();
        let _ = self.callers.close(Duration::ZERO);
        self.shared.claims.stop();
    }

    /// Shuts down: reports not ready, serves on while load balancers notice, drains the requests in
    /// flight, then stops. Returns how many connections were cut at the deadline.
    #[must_use]
    pub fn shutdown(self) -> usize {
        let _ = self.shared.events.send(Event::Leave);
        std::thread::sleep(self.shared.settings.shutdown.notice.to_duration());
        let deadline = self.shared.now() + self.shared.settings.shutdown.deadline;
        let cut = self
            .callers
            .close(self.shared.settings.shutdown.deadline.to_duration());
        if cut > 0 {
            tracing::warn!("node: {cut} open connections were cut at the shutdown deadline");
        }
        drain_requests(&self.shared, deadline);
        self.shared.claims.stop();
        let _ = self.claims.join();
        seal_bills(&self.shared, deadline);
        self.operators.stop();
        let _ = self.shared.events.send(Event::Stop);
        let _ = self.control.join();
        tracing::info!("node: stopped");
        cut
    }
}

/// Waits for requests whose callers have left: work that runs only once goes on, and its
/// outcome is recorded for the caller's retry.
fn drain_requests(shared: &Shared, deadline: Time) {
    while shared.in_flight.count() > 0 && !shared.now().has_reached(deadline) {
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
    let left = shared.in_flight.count();
    if left > 0 {
        tracing::warn!("node: {left} requests in flight were cut at the shutdown deadline");
    }
}

/// Waits until all bills are in the store. While the store is down they stay with the daemon
/// that holds a second copy, which seals them in place of this one.
fn seal_bills(shared: &Shared, deadline: Time) {
    let (tx, rx) = flume::bounded(1);
    let _ = shared.events.send(Event::SealBills(tx));
    let timeout = shared.now().until(deadline).min(SEAL_TIMEOUT);
    if rx.recv_timeout(timeout.to_duration()).is_err() {
        tracing::warn!("ledger: the store did not take all bills, the second holder has them");
    }
}

fn start_operators(shared: &Shared) -> Result<operators::Handle, NodeError> {
    let cfg = &shared.settings.operators;
    let events = shared.events.clone();
    let handle = operators::start(operators::Config {
        listen: cfg.listen,
        bounds: operators::Bounds::default(),
        tokens: Tokens::new(&cfg.tokens),
        submit: Box::new(move |command| events.try_send(Event::Operator(command)).is_ok()),
        metrics: shared.metrics.clone(),
        health: shared.health.clone(),
    });
    Ok(handle?)
}

type Built = (Shared, JoinHandle<()>);

fn build(settings: Settings, events: flume::Sender<Event>) -> Result<Built, NodeError> {
    let clock = Clock::new();
    let place = Location {
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
    };
    let router = Router::new(&settings.daemon, place, Tuning::default());
    let incarnation = Incarnation(clock.wall().0);
    let metrics = Arc::new(Metrics::new());
    let store = open_store(&settings, metrics.clone())?;
    let (claims, thread) = Claims::start(&store, clock, claims_config(&settings, incarnation))?;
    let shared = Shared {
        clock,
        incarnation,
        snapshot: ArcSwap::from_pointee(Snapshot::default()),
        router: Mutex::new(router),
        admissions: Admissions::new(&settings.daemon, settings.callers.max_in_flight),
        in_flight: InFlight::new(settings.callers.max_in_flight),
        session_keys: session_keys(&settings)?,
        sessions: Sessions::new(settings.daemon.clone()),
        store,
        claims,
        events,
        health: Arc::new(Health::new(clock)),
        metrics,
        quality: Mutex::new(Quality::new(
            quality_config(&settings),
            incarnation,
            clock.now(),
        )),
        latencies: Mutex::default(),
        rating: RatingPool::new(settings.platform.rater),
        quarantine: Quarantine::new(&settings.daemon, clock),
        budgets: Mutex::new(BTreeMap::new()),
        settings,
    };
    Ok((shared, thread))
}

fn quality_config(settings: &Settings) -> quality::Config {
    let mut cfg = quality::Config::default();
    if let Some(rate) = settings.platform.rater_rate {
        cfg.ratings = rate;
    }
    cfg
}

fn claims_config(settings: &Settings, incarnation: Incarnation) -> claims::Config {
    claims::Config {
        daemon: settings.daemon.clone(),
        incarnation,
        prefix: format!("/buckthorncross/{}/claims/", settings.cluster),
        windows: Windows {
            retry: settings.claims.retry_window,
            slot: settings.claims.lease_slot,
        },
    }
}

fn open_store(settings: &Settings, metrics: Arc<Metrics>) -> Result<Arc<dyn Store>, NodeError> {
    let mut cfg = store::Config::new(settings.store.endpoints.clone());
    cfg.call_timeout = settings.store.timeout;
    let client = EtcdClient::new(cfg).map_err(|error| NodeError::Store(error.to_string()))?;
    Ok(Arc::new(CountedStore::new(client, metrics)))
}

fn session_keys(settings: &Settings) -> Result<Keys, NodeError> {
    let keys = settings.peers.keys.iter();
    let keys = keys.map(|key| Key::new(&key.id, key.secret.as_bytes()));
    let keys = keys.collect::<Result<Vec<_>, _>>().and_then(Keys::new);
    keys.map_err(|error| NodeError::Keys(error.to_string()))
}

fn limits(cfg: &settings::model::Callers) -> Limits {
    Limits {
        connections: cfg.max_connections,
        head: cfg.max_head,
        body: cfg.max_body,
        head_timeout: cfg.head_timeout,
        body_timeout: cfg.body_timeout,
        write_timeout: cfg.write_timeout,
    }
}
