//! Starting and stopping the threads of a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

use keyvalue::Request;
use membership::{Config, Membership};
use mirror::Mirror;
use peers::{Key, Keys, Peers};
use poison::SharedSuspects;
use store::Store;
use traffic::Command;
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::codec::Codec;
use crate::control::{Control, SuspectGossip};
use crate::error::FleetError;
use crate::event::{Event, Purpose};
use crate::peer_sync::PeerSync;
use crate::peering::{Peering, REPORT_TTL_LARGE_FLEET};
use crate::planner::Planner;
use crate::presence::Presence;
use crate::quarantine::QuarantineSync;
use crate::queue_delay::QueueDelay;
use crate::rollouts::Rollouts;
use crate::settings::Settings;
use crate::sharing::FleetSize;
use crate::snapshot::SnapshotServer;
use crate::succession::Succession;
use crate::watcher::{Mode, Progress, WatchControl, Watcher};

/// Besides the seeds, one daemon in this many reads a large store at start: enough to pass
/// snapshots on to a large fleet in a few rounds.
const DIRECT_READER_RATIO: u64 = 16;
/// Capacity of the control thread's event queue.
const MAX_EVENTS: usize = 4_096;
/// Name of the fleet's shared key.
const KEY_NAME: &str = "fleet";

/// A running daemon.
pub struct Running {
    events: flume::Sender<Event>,
    commands: flume::Sender<Command>,
    stopped: flume::Receiver<()>,
    control: JoinHandle<()>,
}

/// Starts the daemon's threads for an event loop that is already running.
///
/// # Errors
/// When the transport between daemons or a thread cannot be started.
pub fn start(
    settings: Settings,
    codec: impl Codec,
    store: Arc<dyn Store>,
    traffic: traffic::Handle,
    clock: Clock,
) -> Result<Running, FleetError> {
    let (events, rx) = flume::bounded(MAX_EVENTS);
    let tunnel_port = traffic.tunnels.port();
    let peering = join(&settings, clock, tunnel_port, events.clone())?;
    let progress = Arc::new(Progress::default());
    let (modes, modes_rx) = flume::unbounded();
    let is_seed = is_seed(&settings, peering.address());
    let succession = Succession::new(is_seed, REPORT_TTL_LARGE_FLEET);
    let mode = match is_seed {
        true => Mode::Watch,
        false => Mode::Rest,
    };
    let watcher = Watcher {
        reads_first: is_seed || reads_first(&settings),
        mode,
        daemon_prefix: codec.daemon_prefix().to_owned(),
        modes: modes_rx,
        store: Arc::clone(&store),
        progress: Arc::clone(&progress),
        events: events.clone(),
        clock,
    };
    spawn("watch", move || watcher.run())?;
    let calls = spawn_calls(store, events.clone())?;
    gossip_at_once(&traffic.suspects, events.clone());
    let (commands, stopped) = (traffic.commands.clone(), traffic.stopped.clone());
    let key = format!("{}{}", codec.daemon_prefix(), settings.me);
    let control = Control {
        mirror: Mirror::default(),
        planner: Planner::new(settings.upstream_lease),
        rollouts: Rollouts::new(settings.trial),
        presence: Presence::new(key, peering.address(), settings.shortest_lease),
        quarantine_sync: QuarantineSync::default(),
        peer_sync: PeerSync::new(peering.handle()),
        snapshots: SnapshotServer::default(),
        peering,
        watch_control: WatchControl::new(modes, progress, mode),
        traffic,
        calls,
        watch_answered_at: None,
        validated_at: None,
        succession,
        store_works: true,
        // Spreads the roll-out reports of daemons that start together.
        ticks: xxh3_64(settings.me.as_str().as_bytes()) as u32,
        must_plan: false,
        was_ready: false,
        size: FleetSize::ALONE,
        fleet: Arc::default(),
        queue_delay: QueueDelay::default(),
        suspect_gossip: SuspectGossip::default(),
        settings,
        codec,
        clock,
    };
    let control = spawn("control", move || control.run(&rx))?;
    Ok(Running {
        events,
        commands,
        stopped,
        control,
    })
}

/// Lets the event loop's updates on suspected contents go out without waiting for the next tick.
fn gossip_at_once(suspects: &SharedSuspects, events: flume::Sender<Event>) {
    suspects.listen(move || {
        // With a full queue the next tick sends the updates.
        let _ = events.try_send(Event::Suspected);
    });
}

/// Starts the thread that makes calls of the store, one after the other.
fn spawn_calls(
    store: Arc<dyn Store>,
    events: flume::Sender<Event>,
) -> Result<flume::Sender<(Purpose, Request)>, FleetError> {
    let (calls, rx) = flume::unbounded::<(Purpose, Request)>();
    spawn("store", move || {
        for (purpose, req) in rx {
            let outcome = store.call(req);
            if events.send(Event::Called(purpose, outcome)).is_err() {
                return;
            }
        }
    })?;
    Ok(calls)
}

/// Whether other daemons join through this one; a daemon without seeds may be the first.
fn is_seed(settings: &Settings, me: SocketAddr) -> bool {
    settings.seeds.is_empty() || settings.seeds.contains(&me)
}

/// Whether this daemon reads a large store at its start without waiting for a peer's snapshot.
fn reads_first(settings: &Settings) -> bool {
    let hash = xxh3_64(settings.me.as_str().as_bytes());
    hash.is_multiple_of(DIRECT_READER_RATIO)
}

fn spawn(
    name: &'static str,
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, FleetError> {
    let thread = Builder::new().name(name.to_owned());
    thread.spawn(run).map_err(|e| FleetError::Thread(name, e))
}

fn join(
    settings: &Settings,
    clock: Clock,
    tunnel_port: u16,
    events: flume::Sender<Event>,
) -> Result<Peering, FleetError> {
    let incarnation = Incarnation(clock.wall().0);
    let key = Key::named(KEY_NAME, settings.secret.clone());
    let sending = key.id;
    let handle = Peers::start(
        peers::Config {
            cluster: settings.cluster.clone(),
            me: settings.me.clone(),
            incarnation,
            listen: settings.peers,
            advertise: settings.advertise,
            keys: Keys::new(vec![key], sending)?,
            clock,
        },
        move |inbound| {
            let arrived_at = clock.now();
            let event = Event::Peer {
                inbound,
                arrived_at,
            };
            events.try_send(event).is_ok()
        },
    )?;
    let members = Membership::new(Config {
        local_id: settings.me.clone(),
        incarnation,
        address: handle.address(),
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
        seeds: settings.seeds.clone(),
        timing: membership::Timing::default(),
        budget: membership::Budget::default(),
    });
    Ok(Peering::new(members, handle, tunnel_port))
}

impl Running {
    /// Stops the daemon: the event loop finishes its requests, then the other threads stop.
    pub fn stop(self) {
        // Fails only if the event loop has already ended.
        let _ = self.commands.send(Command::Stop);
        let _ = self.stopped.recv();
        let _ = self.events.send(Event::Stop);
        if self.control.join().is_err() {
            tracing::error!("control: the thread panicked");
        }
    }
}
