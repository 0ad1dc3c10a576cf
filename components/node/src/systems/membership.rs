//! Tracks the fleet's other daemons, shares facts with them and sends them messages.

use bytes::Bytes;
use catalogue::sync::Member;
use membership::{
    Budget, Config, Event, Fact, Membership, Message, Outcome, Sender, Timing, Topic,
};
use peers::{Handle, Inbound, Key, Keys, Part, Payload, Peers};
use rand::SeedableRng;
use rand::rngs::StdRng;
use settings::Settings;
use types::prelude::*;

use crate::error::NodeError;
use crate::sessions::LiveDaemon;

/// Starts the connections to other daemons.
///
/// # Errors
/// When the keys cannot be used or the address cannot be listened on.
pub(crate) fn start_peers(
    settings: &Settings,
    incarnation: Incarnation,
    clock: Clock,
    sink: impl Fn(Inbound) -> bool + Send + Sync + 'static,
) -> Result<Handle, NodeError> {
    let cfg = peers::Config {
        cluster: settings.cluster.clone(),
        me: settings.daemon.clone(),
        incarnation,
        listen: settings.peers.listen,
        advertise: settings.peers.advertise,
        keys: keys(settings)?,
        clock,
    };
    Peers::start(cfg, sink).map_err(|error| NodeError::Peers(error.to_string()))
}

/// The keys of the settings; messages are sent under the first.
fn keys(settings: &Settings) -> Result<Keys, NodeError> {
    let keys = settings.peers.keys.iter();
    let keys = keys.map(|key| Key::named(&key.id, Bytes::copy_from_slice(key.secret.as_bytes())));
    let keys = keys.collect::<Vec<_>>();
    let sending = keys.first().map_or(0, |key| key.id);
    Keys::new(keys, sending).map_err(|error| NodeError::Keys(error.to_string()))
}

/// The fleet's other daemons and the connections to them.
pub struct Table {
    membership: Membership,
    peers: Handle,
    rng: StdRng,
}

impl Table {
    /// Creates a table that knows the seed addresses but no daemon yet.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: Incarnation, peers: Handle, seed: u64) -> Self {
        let membership = Membership::new(Config {
            local_id: settings.daemon.clone(),
            incarnation,
            address: peers.address(),
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            seeds: settings.peers.seeds.clone(),
            timing: Timing::default(),
            budget: Budget::default(),
        });
        Self {
            membership,
            peers,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Runs timed work: probes and gossip.
    pub fn tick(&mut self, now: Time) -> Vec<Event> {
        let outcome = self.membership.tick(now, &mut self.rng);
        self.carry_out(outcome)
    }

    /// Handles a membership message.
    pub fn on_message(&mut self, now: Time, from: &Sender, message: Message) -> Vec<Event> {
        let received = self.membership.receive(now, from, message, &mut self.rng);
        self.carry_out(received)
    }

    /// Tells the other daemons that this one is leaving.
    pub fn leave(&mut self, now: Time) {
        let outcome = self.membership.leave(now, &mut self.rng);
        self.carry_out(outcome);
    }

    /// Publishes a fact to every daemon; facts on urgent topics are sent at once.
    pub fn publish(&mut self, now: Time, topic: Topic, key: Bytes, value: Bytes) {
        if let Err(e) = self.membership.publish(now, topic, key, value) {
            tracing::error!("membership: a fact on {topic:?} is not published: {e}");
        }
        if topic.is_urgent() {
            let outcome = self.membership.flush(now, &mut self.rng);
            self.carry_out(outcome);
        }
    }

    /// Facts on a topic published by every daemon, this one included.
    pub fn facts(&self, topic: Topic) -> impl Iterator<Item = Fact> {
        self.membership.facts(topic)
    }

    /// Sends a message for a part of the daemon to another one; it may be lost.
    pub fn send(&self, to: &DaemonId, part: Part, body: Bytes) {
        if let Some(member) = self.membership.member(to) {
            let payload = Payload::Part { part, body };
            self.peers.send(member.record.address, payload);
        }
    }

    /// The connections to the other daemons.
    #[must_use]
    pub fn peers(&self) -> &Handle {
        &self.peers
    }

    /// The membership table.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The live daemons, this one included.
    #[must_use]
    pub fn live(&self) -> Vec<Member> {
        let others = self.membership.members().map(|member| &member.record);
        let present = others.filter(|record| record.state.is_present());
        let all = present.chain([self.membership.local()]);
        let members = all.map(|record| Member {
            id: record.id.clone(),
            failure_domain: record.failure_domain.clone(),
        });
        members.collect()
    }

    /// The other daemons that are live and not leaving, as the ledger needs them.
    #[must_use]
    pub fn other_peers(&self) -> Vec<ledger::Peer> {
        let others = self.membership.members().map(|member| &member.record);
        let present = others.filter(|record| record.state.is_present());
        let peers = present.map(|record| ledger::Peer {
            id: record.id.clone(),
            incarnation: record.stamp.incarnation,
            failure_domain: record.failure_domain.clone(),
            region: record.region.clone(),
        });
        peers.collect()
    }

    /// The live daemons, this one included, with their addresses, as possible homes of sessions.
    pub(crate) fn session_members(&self) -> Vec<LiveDaemon> {
        let others = self.membership.members().map(|member| &member.record);
        let present = others.filter(|record| record.state.is_present());
        let homes = present
            .chain([self.membership.local()])
            .map(|record| LiveDaemon {
                member: sessions::homes::Member {
                    id: record.id.clone(),
                    domain: record.failure_domain.clone(),
                    run: record.stamp.incarnation,
                },
                address: record.address,
            });
        homes.collect()
    }

    fn carry_out(&mut self, outcome: Outcome) -> Vec<Event> {
        for envelope in outcome.send {
            let payload = Payload::Membership(envelope.message);
            self.peers.send(envelope.to, payload);
        }
        for event in &outcome.events {
            self.handle_event(event);
        }
        outcome.events
    }

    fn handle_event(&self, event: &Event) {
        match event {
            Event::MemberUp { id, incarnation } => {
                tracing::info!("membership: {id} is up, run {incarnation}");
            }
            Event::MemberSuspect { id } => tracing::debug!("membership: {id} does not answer"),
            Event::MemberDown { id, left: true } => tracing::info!("membership: {id} left"),
            Event::MemberDown { id, left: false } => tracing::warn!("membership: {id} is down"),
            Event::DuplicateName { address } => tracing::error!(
                "membership: {address} goes by our name; give each daemon a name of its own"
            ),
            Event::IncarnationRaised(incarnation) => {
                tracing::warn!(
                    "membership: our clock is behind an earlier run's; now run {incarnation}"
                );
                self.peers.set_incarnation(*incarnation);
            }
            Event::FactChanged { .. } | Event::Attachment { .. } => {}
        }
    }

    /// The table's state, for the dump.
    #[must_use]
    pub fn dump(&self, now: Time) -> serde_json::Value {
        let members = self.membership.members().map(|member| {
            let record = &member.record;
            serde_json::json!({
                "daemon": record.id,
                "run": record.stamp.incarnation,
                "state": format!("{:?}", record.state),
                "address": record.address,
                "failure_domain": record.failure_domain,
                "heard_ago": member.heard_at.map(|at| now.since(at).to_string()),
            })
        });
        serde_json::json!({
            "reachable": self.membership.reachable(),
            "fill": self.membership.fill(),
            "counters": self.membership.counters(),
            "peers": self.peers.stats(),
            "members": members.collect::<Vec<_>>(),
        })
    }
}

/// A sink that queues messages of peers for the control thread. It fills at most half of the
/// queue, so that peers alone cannot fill it and make traffic wait.
pub(crate) fn sink(
    events: flume::Sender<crate::event::Event>,
) -> impl Fn(Inbound) -> bool + Send + Sync + 'static {
    move |inbound| {
        let has_room = events.len() < crate::event::MAX_WAITING_EVENTS / 2;
        has_room && events.try_send(crate::event::Event::Peer(inbound)).is_ok()
    }
}
