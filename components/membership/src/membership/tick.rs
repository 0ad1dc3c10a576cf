//! Periodic work: probes, suspicion timeouts, pushes, repair, joins and cleanup.

use rand::{Rng, RngExt};
use types::prelude::*;

use super::{Membership, Outcome};
use crate::member::State;
use crate::message::Message;
use crate::probe::PendingProbe;

/// Daemons asked to probe a target that did not answer.
const INDIRECT_PROBES: usize = 3;
/// With more rumors than this, one message cannot hold them all, as when a fleet starts or a
/// partition healed. They are then pushed at each tick, as far as the budget allows.
const RUMOR_BACKLOG: usize = 48;
/// Delay before the first join retry, doubled each time. Hosts that come back together start some
/// tenths of a second apart.
const JOIN_RETRY_MIN: Span = Span::from_millis(100);
/// Maximum delay between join retries.
const JOIN_RETRY_MAX: Span = Span::from_secs(10);
/// Join requests sent at the start, even if members are already known.
const INITIAL_JOINS: u32 = 3;
/// Interval between cleanups of the tables.
const CLEANUP_INTERVAL: Span = Span::from_secs(1);

impl Membership {
    /// Does the work that is due. Must be called a few times per second; no action is due more
    /// often.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Outcome {
        let mut outcome = Outcome::default();
        self.gossip_budget.refill(now);
        self.repair_budget.refill(now);
        self.detect_pause(now);
        self.probe_expiring_suspects(now, &mut outcome);
        self.expire_suspects(now, rng, &mut outcome);
        self.probe(now, rng, &mut outcome);
        self.push_urgent(now, None, rng, &mut outcome);
        self.push_pending(now, rng, &mut outcome);
        self.repair(now, rng, &mut outcome);
        self.heal_partition(now, rng, &mut outcome);
        self.join(now, rng, &mut outcome);
        self.clean_up(now);
        outcome
    }

    /// Discards conclusions that would only stem from a pause of this process.
    ///
    /// After a pause every probe in flight looks unanswered and every suspicion unrefuted, though
    /// the answers wait in the socket queues. The paused daemon would declare others down. So
    /// probes are reset and suspicions are extended by the length of the pause.
    fn detect_pause(&mut self, now: Time) {
        let gap = self.last_tick_at.map_or(Span::ZERO, |at| now.since(at));
        self.last_tick_at = Some(now);
        if gap < self.cfg.timing.pause {
            return;
        }
        self.counters.pauses += 1;
        self.prober.reset();
        self.prober.next_at = now + self.cfg.timing.probe;
        self.members.extend_suspicions(gap);
    }

    /// Declares suspects down that did not refute in time.
    ///
    /// A suspect that sent this daemon a message since the suspicion began is alive, though its
    /// refutation was lost: its suspicion is restarted.
    fn expire_suspects(&mut self, now: Time, rng: &mut impl Rng, outcome: &mut Outcome) {
        let overdue = self.members.overdue_suspects(now).into_iter();
        let overdue = overdue.map(|member| {
            let heard_since = member.heard_at.is_some_and(|at| at > member.state_since);
            (member.record.clone(), heard_since)
        });
        for (mut record, heard_since) in overdue.collect::<Vec<_>>() {
            if heard_since {
                let span = self.suspicion_timeout();
                self.members.start_suspicion(now, &record.id, span);
                continue;
            }
            record.state = State::Down;
            self.apply_record(now, record, rng, outcome);
        }
    }

    /// Probes suspects directly before their suspicion expires.
    ///
    /// A refutation may fail to reach a daemon by chance. In a large fleet that daemon would then
    /// be the only one to consider a living member down.
    fn probe_expiring_suspects(&mut self, now: Time, outcome: &mut Outcome) {
        for id in self.members.due_direct_probes(now) {
            let seq = self.prober.next_seq();
            self.send_probe(&id, seq, outcome);
        }
    }

    fn probe(&mut self, now: Time, rng: &mut impl Rng, outcome: &mut Outcome) {
        self.request_indirect_probes(now, rng, outcome);
        self.suspect_unresponsive(now, rng, outcome);
        if now.has_reached(self.prober.next_at) && self.prober.pending.is_none() {
            self.prober.next_at = now + self.cfg.timing.probe;
            self.start_probe(now, rng, outcome);
        }
    }

    fn start_probe(&mut self, now: Time, rng: &mut impl Rng, outcome: &mut Outcome) {
        let members = &self.members;
        let is_present =
            |id: &DaemonId| members.get(id).is_some_and(|m| m.record.state.is_present());
        let Some(target) = self.prober.next_target(is_present, rng) else {
            return;
        };
        let seq = self.prober.next_seq();
        self.prober.pending = Some(PendingProbe {
            target: target.clone(),
            seq,
            indirect_at: Some(now + self.cfg.timing.ack),
            ends_at: now + self.cfg.timing.probe,
        });
        self.send_probe(&target, seq, outcome);
    }

    fn send_probe(&mut self, target: &DaemonId, seq: u32, outcome: &mut Outcome) {
        let Some(to) = self.members.get(target).map(|m| m.record.address) else {
            return;
        };
        let gossip = self.build_gossip(Some(target));
        self.send(to, Message::Probe { seq, gossip }, outcome);
    }

    /// Asks others to probe a target that did not answer, since only the path to it may have
    /// failed.
    fn request_indirect_probes(&mut self, now: Time, rng: &mut impl Rng, outcome: &mut Outcome) {
        let Some(pending) = &mut self.prober.pending else {
            return;
        };
        if !pending.indirect_at.is_some_and(|at| now.has_reached(at)) {
            return;
        }
        pending.indirect_at = None;
        let (seq, target) = (pending.seq, pending.target.clone());
        for peer in self.random_peers(INDIRECT_PROBES, Some(&target), rng) {
            let target = target.clone();
            self.send(peer.address, Message::ProbeFor { seq, target }, outcome);
        }
    }

    fn suspect_unresponsive(&mut self, now: Time, rng: &mut impl Rng, outcome: &mut Outcome) {
        let pending = self.prober.pending.as_ref();
        if !pending.is_some_and(|pending| now.has_reached(pending.ends_at)) {
            return;
        }
        let Some(pending) = self.prober.pending.take() else {
            return;
        };
        self.prober.record_outcome(false);
        let Some(member) = self.members.get(&pending.target) else {
            return;
        };
        let mut record = member.record.clone();
        if record.state == State::Alive {
            record.state = State::Suspect;
            self.apply_report(now, &record, rng, outcome);
            self.push_gossip(&record, outcome);
        }
    }

    fn push_pending(&mut self, now: Time, rng: &mut impl Rng, outcome: &mut Outcome) {
        if !now.has_reached(self.schedule.push_at) {
            return;
        }
        let is_behind = self.rumors.len() > RUMOR_BACKLOG;
        if !is_behind {
            self.schedule.push_at = now + self.cfg.timing.push;
        }
        if self.rumors.len() == 0 || self.gossip_budget.available() == 0 {
            return;
        }
        for peer in self.random_peers(1, None, rng) {
            self.push_gossip(&peer, outcome);
        }
    }

    fn repair(&mut self, now: Time, rng: &mut impl Rng, outcome: &mut Outcome) {
        if !now.has_reached(self.schedule.repair_at) {
            return;
        }
        let timing = &self.cfg.timing;
        let delay = match self.cursor.is_catching_up() {
            true => timing.catch_up,
            false => timing.repair,
        };
        self.schedule.repair_at = now + delay;
        for peer in self.random_peers(1, None, rng) {
            let digest = self.next_digest();
            self.send_repair(peer.address, Message::Digest(digest), outcome);
        }
    }

    /// Contacts a member that is down, or a seed address without a present member.
    ///
    /// Otherwise the two sides of a region partition, each of which considers the other down,
    /// would never contact each other again.
    fn heal_partition(&mut self, now: Time, rng: &mut impl Rng, outcome: &mut Outcome) {
        if !now.has_reached(self.schedule.heal_at) {
            return;
        }
        let first = self.schedule.heal_at == Time::ZERO;
        self.schedule.heal_at = now + self.cfg.timing.heal;
        if first {
            return;
        }
        let down = self.members.iter().map(|member| &member.record);
        let down = down.filter(|record| record.state == State::Down);
        let down = down.map(|record| record.id.clone()).collect::<Vec<_>>();
        let seeds = self.seeds_without_member();
        let chosen = match down.len() + seeds.len() {
            0 => return,
            count => rng.random_range(0..count),
        };
        match down.get(chosen) {
            Some(id) => {
                let seq = self.prober.next_seq();
                self.send_probe(id, seq, outcome);
            }
            None => {
                let join = Message::Join(self.local.clone());
                self.send(seeds[chosen - down.len()], join, outcome);
            }
        }
    }

    fn seeds_without_member(&self) -> Vec<std::net::SocketAddr> {
        let seeds = self.cfg.seeds.iter().copied();
        let others = seeds.filter(|seed| *seed != self.local.address);
        others
            .filter(|seed| !self.members.has_present_at(*seed))
            .collect()
    }

    /// Sends a join request to a seed while no member is known, and a few times after the start in
    /// any case.
    ///
    /// Otherwise daemons that start together would form an island around each seed: the seeds
    /// already know some members and would not contact each other.
    fn join(&mut self, now: Time, rng: &mut impl Rng, outcome: &mut Outcome) {
        let is_alone = self.members.present() == 0;
        let is_new = self.schedule.join_attempts < INITIAL_JOINS;
        if !(is_alone || is_new) || !now.has_reached(self.schedule.join_at) {
            return;
        }
        let attempts = self.schedule.join_attempts.min(16);
        self.schedule.join_attempts += 1;
        let delay = JOIN_RETRY_MIN.times(1 << attempts).min(JOIN_RETRY_MAX);
        self.schedule.join_at = now + delay;
        let seeds = self.seeds_without_member();
        if !seeds.is_empty() {
            let seed = seeds[rng.random_range(0..seeds.len())];
            let join = Message::Join(self.local.clone());
            self.send(seed, join, outcome);
        }
    }

    fn clean_up(&mut self, now: Time) {
        if !now.has_reached(self.schedule.cleanup_at) {
            return;
        }
        self.schedule.cleanup_at = now + CLEANUP_INTERVAL;
        self.members.remove_expired(now);
        let members = &self.members;
        let me = &self.local.id;
        self.origins.remove_expired(now, |id| {
            let known = members.get(&id.daemon).map(|m| m.record.stamp.incarnation);
            id.daemon == *me || known == Some(id.incarnation)
        });
    }
}
