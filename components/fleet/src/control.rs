//! The control thread: handles events and does the work that is due at each tick.

use std::sync::Arc;
use std::time::{Duration, Instant};

use keyvalue::{CallError, Outcome, Request};
use mirror::{Change, Mirror, Revision, SyncReply, SyncRequest};
use peers::{AskError, Inbound, Part, Payload};
use routes::TableVersion;
use traffic::{Command, PeerState, Plan};
use types::prelude::*;

use crate::codec::Codec;
use crate::entry::DaemonEntry;
use crate::event::{Event, Purpose};
use crate::freshness::Claim;
use crate::peer_sync::PeerSync;
use crate::peering::{Followup, Peering};
use crate::planner::Planner;
use crate::presence::Presence;
use crate::quarantine::QuarantineSync;
use crate::queue_delay::QueueDelay;
use crate::rollouts::Rollouts;
use crate::settings::Settings;
use crate::sharing::{FleetSize, REGISTERED_DAEMONS, sharing_daemons};
use crate::snapshot::SnapshotServer;
use crate::succession::{MEMBERSHIP_SETTLED_AFTER, Succession};
use crate::watcher::{Mode, WatchControl};

mod freshness;
mod quarantine;
mod rollouts;

pub(crate) use quarantine::SuspectGossip;

/// Interval at which all periodic work is done.
const TICK: Duration = Duration::from_millis(100);
/// A daemon that has reached no peer by its configured seeds this long after its start writes an
/// entry to the store so that its peers find it.
const ALONE_AFTER: Span = Span::from_millis(1_500);
/// An unanswered request to a peer is logged as slow after this time.
const SLOW_REQUEST: Span = Span::from_millis(1_000);
/// Changes of upstreams are logged one by one up to this many at a time: logging all of them at
/// each daemon's start would be thousands of lines.
const MAX_LOGGED: usize = 32;

/// State of the control thread and the channels to the other threads.
pub(crate) struct Control<C> {
    pub(crate) settings: Settings,
    pub(crate) codec: C,
    pub(crate) clock: Clock,
    pub(crate) mirror: Mirror,
    pub(crate) planner: Planner,
    pub(crate) rollouts: Rollouts,
    pub(crate) presence: Presence,
    pub(crate) quarantine_sync: QuarantineSync,
    pub(crate) peering: Peering,
    pub(crate) peer_sync: PeerSync,
    pub(crate) snapshots: SnapshotServer,
    pub(crate) watch_control: WatchControl,
    pub(crate) traffic: traffic::Handle,
    pub(crate) calls: flume::Sender<(Purpose, Request)>,
    /// When the store last answered this daemon's own watch.
    pub(crate) watch_answered_at: Option<Time>,
    /// Latest moment at which the store was known to hold nothing newer than the mirror.
    pub(crate) validated_at: Option<Time>,
    pub(crate) store_works: bool,
    pub(crate) succession: Succession,
    pub(crate) ticks: u32,
    pub(crate) must_plan: bool,
    pub(crate) was_ready: bool,
    pub(crate) size: FleetSize,
    /// The daemons that share upstreams' rate limits.
    pub(crate) fleet: Arc<dispatch::Fleet>,
    pub(crate) queue_delay: QueueDelay,
    pub(crate) suspect_gossip: SuspectGossip,
}

/// Who delivered a change; logged under the variant's name.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// The store, through the own watch or a full read.
    Store,
    /// A peer, by gossip or in answer to a request.
    Peer,
}

/// Why the control thread woke up.
enum Waited {
    Event(Event),
    /// A peer's answer to the request in flight.
    Answer(Result<Payload, AskError>),
    Tick,
    /// Every sender of events is gone.
    Ended,
}

impl<C: Codec> Control<C> {
    /// Runs until a stop event arrives.
    pub(crate) fn run(mut self, events: &flume::Receiver<Event>) {
        let mut next_tick = Instant::now();
        loop {
            match self.wait(events, self.wake_at(next_tick)) {
                Waited::Event(Event::Stop) | Waited::Ended => break,
                Waited::Event(event) => self.handle_event(event),
                Waited::Answer(answer) => self.handle_peer_answer(self.clock.now(), answer),
                Waited::Tick => {}
            }
            if self.suspect_gossip.due_at().is_some() {
                self.gossip_suspects(self.clock.now());
            }
            let now = Instant::now();
            if now >= next_tick {
                self.tick();
                next_tick = now + TICK;
            }
            self.catch_up(self.clock.now());
            self.plan();
        }
        self.peering.leave(self.clock.now());
    }

    /// Time of the next tick, or earlier if a message to peers is due before.
    fn wake_at(&self, next_tick: Instant) -> Instant {
        let now = self.clock.now();
        let ask_at = self.peer_sync.next_request_at();
        let due_at = ask_at.into_iter().chain(self.suspect_gossip.due_at()).min();
        let due_in = due_at.map(|at| now.until(at).to_duration());
        due_in.map_or(next_tick, |left| next_tick.min(Instant::now() + left))
    }

    fn catch_up(&mut self, now: Time) {
        let works = self.watch_works(now);
        if self.peer_sync.is_idle() {
            let held = self.mirror.at();
            let whom = self.peering.choose_catch_up_peer(held);
            self.peer_sync.catch_up(now, held, whom, works);
        }
    }

    /// Waits for an event, a peer's answer or the next tick.
    fn wait(&mut self, events: &flume::Receiver<Event>, next_tick: Instant) -> Waited {
        let waited = match self.peer_sync.reply_rx() {
            Some(answer) => flume::Selector::new()
                .recv(events, |event| event.map_or(Waited::Ended, Waited::Event))
                .recv(answer, |answer| {
                    Waited::Answer(answer.unwrap_or(Err(AskError::Broken)))
                })
                .wait_deadline(next_tick)
                .unwrap_or(Waited::Tick),
            None => match events.recv_deadline(next_tick) {
                Ok(event) => Waited::Event(event),
                Err(flume::RecvTimeoutError::Disconnected) => Waited::Ended,
                Err(flume::RecvTimeoutError::Timeout) => Waited::Tick,
            },
        };
        if matches!(waited, Waited::Answer(_)) {
            self.peer_sync.request_done();
        }
        waited
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Listed(listing) => {
                tracing::info!(
                    at = listing.at.0,
                    keys = listing.items.len(),
                    "store: listed"
                );
                let changes = self.mirror.take_listing(listing);
                self.apply_changes(now, &changes, Source::Store);
            }
            Event::Changed {
                after,
                at,
                changes,
                current_at,
            } => {
                let reply = SyncReply::Changes { after, at, changes };
                self.apply_reply(now, reply, Source::Store);
                if let Some(current_at) = current_at {
                    self.peering.note_claim(Claim {
                        held: at,
                        at: current_at,
                    });
                    self.update_validated_at();
                }
            }
            Event::StoreHealth(health) => self.handle_store_health(now, health),
            Event::Called(purpose, outcome) => self.handle_call_result(now, &purpose, &outcome),
            Event::Peer {
                inbound,
                arrived_at,
            } => {
                self.queue_delay.note(now, arrived_at);
                self.handle_inbound(now, inbound);
            }
            Event::Suspected => self.gossip_suspects(now),
            Event::Stop => {}
        }
    }

    fn handle_inbound(&mut self, now: Time, inbound: Inbound) {
        match self.peering.receive(now, inbound) {
            Followup::Nothing => {}
            Followup::ApplyReply(reply) => self.apply_reply(now, reply, Source::Peer),
            Followup::MergeContentUpdates(updates) => self.merge_content_updates(now, updates),
            Followup::ServeMirror(from, request, reply) => {
                self.serve_mirror(now, &from, &request, reply);
            }
        }
    }

    /// Answers a peer's request from the mirror. Dropping the reply makes the peer ask elsewhere.
    fn serve_mirror(
        &mut self,
        now: Time,
        from: &DaemonId,
        request: &SyncRequest,
        reply: peers::Reply,
    ) {
        match self.snapshots.answer(now, from, request, &self.mirror) {
            Ok(Some(body)) => {
                let part = Part::Mirror;
                reply.send(Payload::Part { part, body });
            }
            Ok(None) => {}
            Err(e) => tracing::warn!("peers: {e}"),
        }
    }

    fn handle_store_health(&mut self, now: Time, health: Result<(), String>) {
        match health {
            Ok(()) => {
                self.watch_answered_at = Some(now);
                self.store_answered(now);
            }
            Err(why) => {
                self.peering.note_store_failure(now, self.mirror_state());
                self.store_failed(now, &why);
            }
        }
    }

    fn store_answered(&mut self, now: Time) {
        if !self.store_works {
            tracing::info!("store: regained");
        }
        self.store_works = true;
        self.update_store_availability(now);
    }

    fn store_failed(&mut self, now: Time, why: &str) {
        if self.store_works {
            tracing::warn!(at = self.mirror.at().0, "store: lost: {why}");
        }
        self.store_works = false;
        self.update_store_availability(now);
    }

    fn handle_call_result(&mut self, now: Time, purpose: &Purpose, outcome: &Outcome) {
        if let Err(e @ CallError::Unknown(_)) = outcome {
            tracing::info!("store: outcome of {purpose:?} is unknown: {e}");
        }
        match purpose {
            Purpose::State(service) => self.rollouts.on_written(now, service),
            // The mirror shows whether the write took effect.
            Purpose::Bar => {}
            _ => self.presence.on_called(now, purpose, outcome),
        }
    }

    fn handle_peer_answer(&mut self, now: Time, answer: Result<Payload, AskError>) {
        let body = match answer {
            Ok(Payload::Part { body, .. }) => body,
            Ok(Payload::Membership(_)) => return,
            Err(e) => {
                self.log_failed_request(now, &e);
                self.peer_sync.retry_later(now);
                return;
            }
        };
        match SyncReply::decode(&body) {
            Ok(reply) => {
                self.apply_reply(now, reply, Source::Peer);
                tracing::debug!(at = self.mirror.at().0, "peers: caught up");
            }
            Err(e) => tracing::warn!("peers: {e}"),
        }
    }

    /// Logs a failed request. A slow one kept this daemon from sending a request to another peer
    /// meanwhile.
    fn log_failed_request(&self, now: Time, why: &AskError) {
        let Some((peer, since)) = self.peer_sync.last_request() else {
            return;
        };
        let waited = now.since(since);
        if waited > SLOW_REQUEST {
            let (at, waited_ms) = (self.mirror.at().0, waited.as_millis());
            tracing::warn!(%peer, waited_ms, at, "peers: a question was out for long: {why}");
        } else {
            tracing::debug!(%peer, "peers: request failed: {why}");
        }
    }

    /// Applies changes or a snapshot page from the own watch or a peer to the mirror.
    fn apply_reply(&mut self, now: Time, reply: SyncReply, source: Source) {
        let before = self.mirror.at();
        let changes = match reply {
            SyncReply::Changes { after, at, changes } => {
                match self.mirror.apply(after, at, changes) {
                    Ok(changes) => changes,
                    Err(e) => {
                        // The missing changes are requested at the next tick.
                        tracing::debug!("peers: {e}");
                        return;
                    }
                }
            }
            SyncReply::Page {
                at,
                items,
                has_more,
            } => match self.peer_sync.apply_page(now, before, at, items, has_more) {
                Some(listing) => {
                    tracing::info!(
                        at = at.0,
                        keys = listing.items.len(),
                        "peers: snapshot copied"
                    );
                    self.mirror.take_listing(listing)
                }
                None => return,
            },
            SyncReply::Nothing => {
                self.peer_sync.retry_later(now);
                return;
            }
        };
        self.forward_changes(now, before);
        self.apply_changes(now, &changes, source);
    }

    /// Gossips new changes once: whoever receives a change forwards it to some peers, so that it
    /// reaches every daemon within a few hops. A daemon that missed it requests it at its next
    /// tick.
    fn forward_changes(&mut self, now: Time, before: Revision) {
        let from_watch = self.watch_control.mode() == Mode::Watch;
        let is_told = from_watch || !self.peering.is_small();
        if before == Revision::default() || !is_told {
            return;
        }
        if let Some(reply) = SyncReply::news(&self.mirror, before) {
            self.peering.send_changes(now, &reply);
        }
    }

    /// Updates everything that is derived from the mirror.
    fn apply_changes(&mut self, now: Time, changes: &[Change], source: Source) {
        self.watch_control.progress.set(self.mirror.at());
        if changes.is_empty() {
            return;
        }
        let are_few = changes.len() <= MAX_LOGGED;
        let version = self.planner.version();
        for change in changes {
            self.must_plan |= self.planner.apply(now, &self.codec, change, are_few);
        }
        self.log_version(now, version, source);
        if !are_few {
            let upstreams = self.planner.upstreams().len();
            tracing::info!(
                changes = changes.len(),
                upstreams,
                "upstreams: many changed"
            );
        }
        self.apply_quarantine_changes(now, changes);
        let versions = |service: &str| self.planner.versions(service);
        self.rollouts
            .refresh(now, &self.codec, &self.mirror, versions);
        let prefix = self.codec.daemon_prefix().to_owned();
        if changes.iter().any(|change| change.key.starts_with(&prefix)) {
            self.set_seeds(&prefix);
        }
        self.step_rollouts(now, false);
    }

    /// Logs which configuration is now in force, who delivered it, and how long ago the former copy
    /// was last known to be current.
    fn log_version(&self, now: Time, before: Option<TableVersion>, source: Source) {
        let version = self.planner.version();
        if let Some(version) = version.filter(|_| version != before) {
            let (at, version) = (self.mirror.at().0, version.0);
            let proven_ms = self.validated_at.map(|at| now.since(at).as_millis());
            tracing::info!(version, at, ?source, proven_ms, "config: in force");
        }
    }

    fn set_seeds(&mut self, prefix: &str) {
        let listed = self.mirror.prefixed(prefix);
        let listed = listed.filter_map(|(_, _, value)| DaemonEntry::decode(value).ok());
        let mut seeds = listed.map(|entry| entry.address).collect::<Vec<_>>();
        seeds.extend(&self.settings.seeds);
        let own = self.peering.address();
        seeds.retain(|seed| *seed != own);
        seeds.dedup();
        self.peering.set_seeds(seeds);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.queue_delay.log(now);
        self.peering.tick(now);
        self.update_validated_at();
        self.decide_watch_mode(now);
        self.update_store_availability(now);
        let (fleet, keys) = (self.peering.daemons(), self.mirror.len());
        if self.needs_entry(now)
            && let Some((purpose, req)) = self.presence.tick(now, fleet, keys)
        {
            self.call(purpose, req);
        }
        self.share_status(now);
        self.gossip_suspects(now);
        self.must_plan |= self.planner.lapsed.expire(now);
        self.ticks = self.ticks.wrapping_add(1);
        self.step_rollouts(now, true);
        // The first watchers collect the evidence, so theirs is the newest.
        let rank = self.peering.watch_rank() as u64;
        for (purpose, req) in self.rollouts.writes(now, rank, &self.codec, &self.mirror) {
            self.call(purpose, req);
        }
        self.sync_quarantines(now, self.peering.rank());
        let fleet = self.peering.fleet(now);
        let size = FleetSize {
            present: self.peering.daemons(),
            sharing: self.count_sharing(now, &fleet),
        };
        self.must_plan |= size != self.size;
        self.size = size;
        if *self.fleet != fleet {
            self.fleet = Arc::new(fleet);
            self.must_plan = true;
        }
    }

    /// Number of daemons that share the fleet's bounds: the known `fleet` and those never heard of.
    fn count_sharing(&self, now: Time, fleet: &dispatch::Fleet) -> usize {
        let prefix = self.codec.daemon_prefix();
        let listed = self.mirror.prefixed(prefix);
        let unknown = listed.filter(|(key, ..)| {
            let id = DaemonId::new(&key[prefix.len()..]);
            id.is_ok_and(|id| !self.peering.shares_bounds(now, &id))
        });
        let unknown = unknown.filter_map(|(_, _, value)| DaemonEntry::decode(value).ok());
        sharing_daemons(fleet.size(), unknown)
    }

    /// Sends a heartbeat, and sends the event loop the peers' load and how current its plan is. The
    /// plan goes first, because the validation of freshness refers to it.
    fn share_status(&mut self, now: Time) {
        self.plan();
        let watches = self.watch_works(now);
        self.peering.set_own_paces(self.traffic.observed.paces());
        let copy = self.mirror_state();
        let observed = &self.traffic.observed;
        self.peering.send_heartbeat(now, copy, watches, observed);
        let peer_state = PeerState {
            rate_limits: self.peering.take_rate_limits(),
            brittle: self.peering.take_brittle(),
            overload: self.peering.overload_view(now),
            paces: self.peering.take_paces(),
            tunnel_peers: self.peering.tunnel_peers(),
            loads: self.peering.peer_loads(now),
            averages: self.peering.peer_averages(now),
            validation: self.validation(),
        };
        // The event loop may have ended before this thread when the process stops.
        let _ = self.traffic.commands.send(Command::PeerState(peer_state));
    }

    /// Whether this daemon keeps an entry in the store by which its peers find it: the first few
    /// do, and any daemon that knows no peer. Every entry costs calls of the store, and each change
    /// of one is an event for the watchers.
    fn needs_entry(&self, now: Time) -> bool {
        let running = now.since(Time::ZERO);
        match self.peering.daemons() {
            1 => running > ALONE_AFTER,
            _ => {
                running > MEMBERSHIP_SETTLED_AFTER && self.peering.watch_rank() < REGISTERED_DAEMONS
            }
        }
    }

    fn call(&self, purpose: Purpose, req: Request) {
        // The receiving thread lives as long as this one.
        let _ = self.calls.send((purpose, req));
    }

    /// Sends a new plan to the event loop if something changed.
    fn plan(&mut self) {
        if !self.must_plan {
            return;
        }
        self.must_plan = false;
        let is_ready = self.planner.is_ready(&self.mirror);
        if is_ready != self.was_ready {
            tracing::info!(is_ready, "readiness: changed");
            self.was_ready = is_ready;
        }
        let plan = Plan {
            table: self.planner.table().cloned(),
            upstreams: self.planner.upstreams(),
            evacuated: Arc::clone(self.planner.evacuated()),
            gates: self.rollouts.gates(),
            daemons: self.size.present,
            sharing_daemons: self.size.sharing,
            fleet: Arc::clone(&self.fleet),
            unreadable_upstreams: self.planner.unreadable(),
            lapsed_upstreams: self.planner.lapsed.len(),
            is_ready,
        };
        // The event loop may have ended before this thread when the process stops.
        let _ = self.traffic.commands.send(Command::Plan(Arc::new(plan)));
    }
}
