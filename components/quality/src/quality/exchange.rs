//! What daemons tell each other.

use std::collections::BTreeMap;

use rand::Rng;
use types::prelude::*;

use super::Quality;
use crate::fact::{Cell, CellError, Evidence, Fact, decode, encode};
use crate::rating::{Faded, Totals};
use crate::stream::{Phase, Stream, StreamId};

/// Most daemons whose counters are held, live or gone.
const MAX_ORIGINS: usize = 2048;
/// A daemon younger than this takes over older ones' views.
const JOINING: Span = Span::from_secs(60);
/// A daemon counts as older when it has run longer by more than this.
const OLDER_BY: Span = Span::from_secs(2);

/// What was last heard of a daemon's counters.
#[derive(Debug, Clone, Default)]
pub(super) struct Origin {
    incarnation: Incarnation,
    heard: BTreeMap<StreamId, Totals>,
    /// When it was said to be gone.
    gone_at: Option<Time>,
}

impl Quality {
    /// Takes a fact of another daemon.
    ///
    /// # Errors
    /// When it cannot be read or more is known than is kept; nothing is taken over then.
    pub fn merge(
        &mut self,
        now: Time,
        origin: &DaemonId,
        key: &[u8],
        value: &[u8],
        rng: &mut impl Rng,
    ) -> Result<(), CellError> {
        match decode(key, value)? {
            Fact::Suspension(id, rounds) => {
                self.stream(now, id, rng)?;
                self.suspensions.merge(origin, id, rounds);
                self.settle(now, id, rng);
            }
            Fact::Evidence(id, evidence) => {
                self.stream(now, id, rng)?;
                self.merge_evidence(now, origin, id, &evidence);
                self.settle(now, id, rng);
            }
        }
        Ok(())
    }

    fn merge_evidence(&mut self, now: Time, origin: &DaemonId, id: StreamId, told: &Evidence) {
        self.make_room(origin);
        let held = self.origins.entry(origin.clone()).or_default();
        // Guards against a restart: the new process counts from nought, and what a late
        // fact of the old one says is already in the evidence or lost with it.
        if told.incarnation < held.incarnation {
            return;
        }
        if told.incarnation > held.incarnation {
            *held = Origin {
                incarnation: told.incarnation,
                ..Origin::default()
            };
        }
        held.gone_at = None;
        let first = !held.heard.contains_key(&id);
        let heard = held.heard.entry(id).or_default();
        let more = told.totals.beyond(heard);
        *heard = heard.merged(&told.totals);
        let uptime = now.since(self.started);
        let joining = uptime < JOINING && told.uptime > uptime + OLDER_BY;
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        if first && joining {
            adopt(stream, told, &self.cfg);
            self.generation += 1;
        } else if !more.is_empty() {
            stream.learn(&more, &self.cfg);
        }
    }

    /// Forgets the daemon that has been gone longest when the table is full.
    fn make_room(&mut self, origin: &DaemonId) {
        if self.origins.len() < MAX_ORIGINS || self.origins.contains_key(origin) {
            return;
        }
        let gone = self
            .origins
            .iter()
            .filter_map(|(id, held)| Some((held.gone_at?, id)));
        let oldest = gone.min().map(|(_, id)| id.clone());
        let victim = oldest.or_else(|| self.origins.keys().next().cloned());
        if let Some(victim) = victim {
            self.origins.remove(&victim);
        }
    }

    /// A daemon is gone. Its counters stay held, lest they count twice if it is not.
    pub fn forget(&mut self, now: Time, origin: &DaemonId) {
        self.suspensions.forget(origin);
        if let Some(held) = self.origins.get_mut(origin) {
            held.gone_at = Some(now);
        }
    }

    /// The facts to publish now, since they changed.
    pub fn own_cells_changed(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Cell> {
        let uptime = now.since(self.started);
        let incarnation = self.incarnation;
        let next = now + self.cfg.publish_every;
        let mut cells = Vec::new();
        for (id, stream) in &mut self.streams {
            if stream.own == stream.published || !now.has_reached(stream.next_publication) {
                continue;
            }
            stream.published = stream.own;
            stream.next_publication = next;
            let evidence = Evidence {
                incarnation,
                uptime,
                totals: stream.own,
                view: rounded(&stream.faded),
                reference: stream.reference,
                phase: stream.phase,
            };
            cells.push(encode(&Fact::Evidence(*id, evidence)));
        }
        let rounds = self.suspensions.take_unpublished(self.fleet, rng);
        let facts = rounds
            .into_iter()
            .map(|(id, rounds)| Fact::Suspension(id, rounds));
        cells.extend(facts.map(|fact| encode(&fact)));
        cells
    }
}

/// Takes over an older daemon's view, if it rests on more than one's own.
fn adopt(stream: &mut Stream, told: &Evidence, cfg: &crate::config::Config) {
    let mut view = Faded::default();
    view.add(&told.view, cfg.memory);
    if view.sum() <= stream.faded.sum() {
        return;
    }
    stream.faded = view;
    stream.reference = told.reference;
    stream.seen = stream.seen.max(stream.faded.sum());
    stream.checked_at = if told.phase == Phase::Proved {
        stream.seen
    } else {
        0.0
    };
    stream.thresholds = None;
    if told.phase == Phase::Proved && stream.phase == Phase::Unproved {
        stream.phase = Phase::Proved;
    }
}

fn rounded(faded: &Faded) -> Totals {
    let mut totals = Totals::default();
    for (rounded, bin) in totals.0.iter_mut().zip(&faded.0) {
        rounded.good = bin.good.round() as u32;
        rounded.bad = bin.bad.round() as u32;
    }
    totals
}
