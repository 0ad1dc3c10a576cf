//! Which daemons have which revision in force, and how old their reports are.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::sync::message::Told;
use crate::sync::{MAX_HEARD, Reach, Sync};

/// Laggards asked directly in a round while somebody waits.
const LAGGARDS_ASKED: usize = 64;

/// A daemon that is not a member is forgotten when silent for so long.
const SILENT: Span = Span::from_secs(300);

/// A daemon's last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heard {
    /// The revision that it had in force.
    pub revision: Revision,
    /// When it was heard.
    pub at: Time,
}

/// How far the fleet is with a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The revision asked for.
    pub revision: Revision,
    /// Live daemons that have it in force.
    pub have: usize,
    /// Live daemons that have not, or were not heard.
    pub laggards: Vec<Laggard>,
}

impl InForce {
    /// Every live daemon has it.
    #[must_use]
    pub fn is_everywhere(&self) -> bool {
        self.laggards.is_empty()
    }
}

/// A live daemon that is not known to have a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Laggard {
    /// The daemon.
    pub daemon: DaemonId,
    /// What it reported last, if anything.
    pub revision: Option<Revision>,
    /// How old the report is.
    pub heard: Option<Span>,
}

impl Sync {
    /// Takes a report that came another way, such as with the membership, of so long ago.
    pub fn report(&mut self, now: Time, daemon: &DaemonId, revision: Revision, age: Span) {
        self.note(daemon, revision, now - age);
    }

    /// A daemon's last report.
    #[must_use]
    pub fn heard(&self, daemon: &DaemonId) -> Option<&Heard> {
        self.heard.get(daemon)
    }

    /// How far the live daemons are with a revision.
    #[must_use]
    pub fn in_force(&self, now: Time, revision: Revision) -> InForce {
        let others = self
            .members
            .iter()
            .filter(|member| member.id != self.cfg.me);
        let mut laggards: Vec<Laggard> = others
            .filter_map(|member| self.laggard(now, &member.id, revision))
            .collect();
        if self.catalogue.revision() < revision {
            laggards.push(Laggard {
                daemon: self.cfg.me.clone(),
                revision: Some(self.catalogue.revision()),
                heard: Some(Span::ZERO),
            });
        }
        let have = self.members.len().saturating_sub(laggards.len());
        InForce {
            revision,
            have,
            laggards,
        }
    }

    fn laggard(&self, now: Time, daemon: &DaemonId, revision: Revision) -> Option<Laggard> {
        let heard = self.heard.get(daemon);
        if heard.is_some_and(|heard| heard.revision >= revision) {
            return None;
        }
        Some(Laggard {
            daemon: daemon.clone(),
            revision: heard.map(|heard| heard.revision),
            heard: heard.map(|heard| now.since(heard.at)),
        })
    }

    /// Someone waits for a revision to be everywhere: laggards are asked directly.
    pub fn wait_for(&mut self, revision: Revision, until: Time) {
        let before = self.awaited.unwrap_or((revision, until));
        self.awaited = Some((before.0.max(revision), before.1.max(until)));
    }

    pub(super) fn awaited_laggards(&mut self, now: Time) -> Vec<DaemonId> {
        let Some((revision, until)) = self.awaited else {
            return Vec::new();
        };
        let state = self.in_force(now, revision);
        if state.is_everywhere() || now.has_reached(until) {
            self.awaited = None;
            return Vec::new();
        }
        let mut laggards = state.laggards;
        // Those heard longest ago first, so that each is asked in its turn.
        laggards.sort_by_key(|laggard| std::cmp::Reverse(laggard.heard.unwrap_or(Span(u64::MAX))));
        let ids = laggards.into_iter().map(|laggard| laggard.daemon);
        ids.filter(|id| *id != self.cfg.me)
            .take(LAGGARDS_ASKED)
            .collect()
    }

    /// The part of the fleet that this daemon is in touch with. The membership tells
    /// who is live; hearing each of hundreds directly would take minutes.
    #[must_use]
    pub fn reach(&self, now: Time) -> Reach {
        let window = self.cfg.reach;
        Reach {
            fleet: self.fleet.size,
            reached: self.members.len(),
            touches_store: self
                .store_answered
                .is_some_and(|at| now.since(at) <= window),
            store_leads: self.store_leads(now),
            at: now,
        }
    }

    pub(super) fn hear(&mut self, now: Time, from: &DaemonId, told: &Told) {
        self.note(from, told.revision, now);
    }

    fn note(&mut self, daemon: &DaemonId, revision: Revision, at: Time) {
        let is_new = !self.heard.contains_key(daemon);
        if *daemon == self.cfg.me || (is_new && self.heard.len() >= MAX_HEARD) {
            return;
        }
        let heard = self
            .heard
            .entry(daemon.clone())
            .or_insert(Heard { revision, at });
        // A daemon that was replaced begins anew and may have less than before.
        if at >= heard.at {
            heard.revision = revision;
            heard.at = at;
        }
    }

    pub(super) fn forget_silent(&mut self, now: Time) {
        let members = &self.members;
        self.heard.retain(|daemon, heard| {
            now.since(heard.at) <= SILENT || members.iter().any(|member| member.id == *daemon)
        });
    }
}
