//! The revision that each daemon has in force, and how old its report is.

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::sync::message::Summary;
use crate::sync::{MAX_REPORTS, Reach, Sync};

/// Largest number of laggards asked directly in a round while a caller waits.
const MAX_LAGGARDS_ASKED: usize = 64;

/// How long the last report of a daemon that is no longer a member is kept.
const REPORT_LIFETIME: Span = Span::from_secs(300);

/// The revision that a daemon last reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The revision that the daemon had in force.
    pub revision: Revision,
    /// When that was so, by this daemon's clock.
    pub at: Time,
}

/// How far a revision has propagated through the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Propagation {
    /// The revision that propagates.
    pub revision: Revision,
    /// Number of live daemons that have it in force.
    pub have: usize,
    /// Live daemons that are not known to have it in force.
    pub laggards: Vec<Laggard>,
}

impl Propagation {
    /// Whether every live daemon has the revision in force.
    #[must_use]
    pub fn is_everywhere(&self) -> bool {
        self.laggards.is_empty()
    }
}

/// A live daemon that is not known to have a revision in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Laggard {
    /// The daemon's name.
    pub daemon: DaemonId,
    /// The revision that it last reported, if any.
    pub revision: Option<Revision>,
    /// Age of that report.
    pub heard: Option<Span>,
}

impl Sync {
    /// Records a report received otherwise, such as with the membership, that is `age` old.
    pub fn report(&mut self, now: Time, daemon: &DaemonId, revision: Revision, age: Span) {
        self.note_report(daemon, revision, now - age);
    }

    /// Returns a daemon's last report.
    #[must_use]
    pub fn heard(&self, daemon: &DaemonId) -> Option<&Report> {
        self.reports.get(daemon)
    }

    /// Returns how far a revision has propagated to the live daemons.
    #[must_use]
    pub fn in_force(&self, now: Time, revision: Revision) -> Propagation {
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
        Propagation {
            revision,
            have,
            laggards,
        }
    }

    fn laggard(&self, now: Time, daemon: &DaemonId, revision: Revision) -> Option<Laggard> {
        let report = self.reports.get(daemon);
        if report.is_some_and(|report| report.revision >= revision) {
            return None;
        }
        Some(Laggard {
            daemon: daemon.clone(),
            revision: report.map(|report| report.revision),
            heard: report.map(|report| now.since(report.at)),
        })
    }

    /// Asks laggards directly in each round until a revision is in force everywhere or `until`
    /// has passed.
    pub fn wait_for(&mut self, revision: Revision, until: Time) {
        let before = self.awaited_revision.unwrap_or((revision, until));
        self.awaited_revision = Some((before.0.max(revision), before.1.max(until)));
    }

    pub(super) fn laggards_to_ask(&mut self, now: Time) -> Vec<DaemonId> {
        let Some((revision, until)) = self.awaited_revision else {
            return Vec::new();
        };
        let propagation = self.in_force(now, revision);
        if propagation.is_everywhere() || now.has_reached(until) {
            self.awaited_revision = None;
            return Vec::new();
        }
        let mut laggards = propagation.laggards;
        // Oldest reports first, so that every laggard is asked in turn.
        laggards.sort_by_key(|laggard| std::cmp::Reverse(laggard.heard.unwrap_or(Span(u64::MAX))));
        let ids = laggards.into_iter().map(|laggard| laggard.daemon);
        ids.filter(|id| *id != self.cfg.me)
            .take(MAX_LAGGARDS_ASKED)
            .collect()
    }

    /// Returns the part of the fleet that this daemon can reach. It relies on the membership
    /// for who is live, since hearing from each of hundreds directly would take minutes.
    #[must_use]
    pub fn reach(&self, now: Time) -> Reach {
        let window = self.cfg.reach_window;
        Reach {
            fleet: self.fleet.size,
            reached: self.members.len(),
            reaches_store: self
                .store_answered_at
                .is_some_and(|at| now.since(at) <= window),
            store_leads: self.store_leads(now),
            at: now,
        }
    }

    pub(super) fn note_summary(&mut self, now: Time, from: &DaemonId, summary: &Summary) {
        self.note_report(from, summary.revision, now);
    }

    fn note_report(&mut self, daemon: &DaemonId, revision: Revision, at: Time) {
        let is_new = !self.reports.contains_key(daemon);
        if *daemon == self.cfg.me || (is_new && self.reports.len() >= MAX_REPORTS) {
            return;
        }
        let report = self
            .reports
            .entry(daemon.clone())
            .or_insert(Report { revision, at });
        // A restarted daemon begins without a catalogue, so its revision may be lower than before.
        if at >= report.at {
            report.revision = revision;
            report.at = at;
        }
    }

    pub(super) fn drop_stale_reports(&mut self, now: Time) {
        let members = &self.members;
        self.reports.retain(|daemon, report| {
            now.since(report.at) <= REPORT_LIFETIME
                || members.iter().any(|member| member.id == *daemon)
        });
    }
}
