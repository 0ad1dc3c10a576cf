//! Exchange of evidence and suspensions between daemons.

use std::collections::BTreeMap;

use rand::Rng;
use types::prelude::*;

use super::Quality;
use crate::fact::{EncodedFact, Evidence, Fact, FactError, decode, encode};
use crate::rating::{DecayedTotals, Totals};
use crate::stream::{Phase, Stream, StreamId};

/// Maximum number of daemons whose counters are kept, departed ones included. Bounds memory.
const MAX_ORIGINS: usize = 2048;
/// Uptime below which a daemon adopts the view of daemons that have run longer.
const JOINING_UPTIME: Span = Span::from_secs(60);
/// How much longer another daemon must have run to count as older.
const MIN_UPTIME_LEAD: Span = Span::from_secs(2);

/// Last known counters of another daemon.
#[derive(Debug, Clone, Default)]
pub(super) struct Origin {
    incarnation: Incarnation,
    totals: BTreeMap<StreamId, Totals>,
    /// When the daemon was last reported as gone.
    gone_at: Option<Time>,
}

impl Quality {
    /// Merges a fact published by another daemon.
    ///
    /// # Errors
    /// When the fact cannot be decoded or a limit on what is kept is reached; nothing changes then.
    pub fn merge_fact(
        &mut self,
        now: Time,
        origin: &DaemonId,
        key: &[u8],
        value: &[u8],
        rng: &mut impl Rng,
    ) -> Result<(), FactError> {
        match decode(key, value)? {
            Fact::Suspension(id, counters) => {
                self.stream(now, id, rng)?;
                self.suspensions.merge(origin, id, counters);
                self.update_phase(now, id, rng);
            }
            Fact::Evidence(id, evidence) => {
                self.stream(now, id, rng)?;
                self.merge_evidence(now, origin, id, &evidence);
                self.update_phase(now, id, rng);
            }
        }
        Ok(())
    }

    fn merge_evidence(&mut self, now: Time, origin: &DaemonId, id: StreamId, evidence: &Evidence) {
        self.evict_if_full(origin);
        let state = self.origins.entry(origin.clone()).or_default();
        // A late fact from before the daemon's restart is ignored: the new process counts from 0,
        // and the old ratings are either in the evidence already or lost with the old process.
        if evidence.incarnation < state.incarnation {
            return;
        }
        if evidence.incarnation > state.incarnation {
            *state = Origin {
                incarnation: evidence.incarnation,
                ..Origin::default()
            };
        }
        state.gone_at = None;
        let first = !state.totals.contains_key(&id);
        let known = state.totals.entry(id).or_default();
        let new_ratings = evidence.totals.beyond(known);
        *known = known.merged(&evidence.totals);
        let uptime = now.since(self.started);
        let joining = uptime < JOINING_UPTIME && evidence.uptime > uptime + MIN_UPTIME_LEAD;
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        if first && joining {
            adopt(stream, evidence, &self.cfg);
            self.generation += 1;
        } else if !new_ratings.is_empty() {
            stream.add_ratings(&new_ratings, &self.cfg);
        }
    }

    /// Drops the daemon that has been gone longest if the table is full and `origin` is not in it.
    fn evict_if_full(&mut self, origin: &DaemonId) {
        if self.origins.len() < MAX_ORIGINS || self.origins.contains_key(origin) {
            return;
        }
        let departed = self
            .origins
            .iter()
            .filter_map(|(id, state)| Some((state.gone_at?, id)));
        let longest_gone = departed.min().map(|(_, id)| id.clone());
        let victim = longest_gone.or_else(|| self.origins.keys().next().cloned());
        if let Some(victim) = victim {
            self.origins.remove(&victim);
        }
    }

    /// Records that a daemon is gone. Its counters are kept; if they were dropped and it came back,
    /// its ratings would be added twice.
    pub fn daemon_gone(&mut self, now: Time, origin: &DaemonId) {
        self.suspensions.forget(origin);
        if let Some(state) = self.origins.get_mut(origin) {
            state.gone_at = Some(now);
        }
    }

    /// Facts that changed and are due to be published.
    pub fn take_unpublished_facts(&mut self, now: Time, rng: &mut impl Rng) -> Vec<EncodedFact> {
        let uptime = now.since(self.started);
        let incarnation = self.incarnation;
        let next_publication = now + self.cfg.publish_every;
        let mut encoded = Vec::new();
        for (id, stream) in &mut self.streams {
            if stream.own == stream.published || !now.has_reached(stream.next_publication) {
                continue;
            }
            stream.published = stream.own;
            stream.next_publication = next_publication;
            let evidence = Evidence {
                incarnation,
                uptime,
                totals: stream.own,
                view: rounded_totals(&stream.decayed),
                reference: stream.reference,
                phase: stream.phase,
            };
            encoded.push(encode(&Fact::Evidence(*id, evidence)));
        }
        let suspensions = self.suspensions.take_unpublished(self.fleet, rng);
        let facts = suspensions
            .into_iter()
            .map(|(id, counters)| Fact::Suspension(id, counters));
        encoded.extend(facts.map(|fact| encode(&fact)));
        encoded
    }
}

/// Replaces a stream's evidence by an older daemon's view if that view holds more ratings.
fn adopt(stream: &mut Stream, evidence: &Evidence, cfg: &crate::config::Config) {
    let mut view = DecayedTotals::default();
    view.add(&evidence.view, cfg.memory);
    if view.sum() <= stream.decayed.sum() {
        return;
    }
    stream.decayed = view;
    stream.reference = evidence.reference;
    stream.ratings_seen = stream.ratings_seen.max(stream.decayed.sum());
    stream.reference_learned_at = if evidence.phase == Phase::Proved {
        stream.ratings_seen
    } else {
        0.0
    };
    stream.thresholds = None;
    if evidence.phase == Phase::Proved && stream.phase == Phase::Unproved {
        stream.phase = Phase::Proved;
    }
}

fn rounded_totals(decayed: &DecayedTotals) -> Totals {
    let mut totals = Totals::default();
    for (rounded, bin) in totals.0.iter_mut().zip(&decayed.0) {
        rounded.good = bin.good.round() as u32;
        rounded.bad = bin.bad.round() as u32;
    }
    totals
}
