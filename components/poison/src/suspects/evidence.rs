//! How likely it is that a content was in flight at its crashes by chance.
//!
//! Of two requests that were in flight at the same three crashes, the one that causes them crashes
//! its upstream shortly after each start. The other one had been processed for long, or was hit at
//! a time when many upstreams crash. So the crashes are tested against chance: upstreams crash at
//! some rate by themselves, a content has been processed for some time in total, and the number of
//! crashes that fall into that time by chance has a Poisson distribution.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use types::prelude::*;

use super::Quarantine;
use super::crashes::UpstreamCrashes;
use crate::content::{Content, Contents};
use crate::policy::PoisonPolicy;
use crate::updates::UpstreamInstance;

/// Crashes kept per content; more add no information.
const MAX_CRASHES_PER_CONTENT: usize = 16;
/// An attempt counts for at least this long, since a crash is noticed some ten ms after it.
const MIN_RAN: Span = Span::from_millis(20);

/// The usual crash rate is taken from this long before a content's first crash on, its own crashes
/// included.
const USUAL_WINDOW: Span = Span::from_secs(60);
/// The rate of all other crashes is taken from this long before the first on, and the larger of the
/// two rates counts: crashes come in bursts, in which many harmless requests are hit three times by
/// chance.
const BURST_WINDOW: Span = Span::from_secs(2);
/// A harmless request next to a culprit has been processed for up to this long when the upstream
/// crashes, in seconds: half the time of an answer.
const BYSTANDER_RAN_S: f64 = 0.5;

/// A crash of an upstream while a content was in flight there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Crash {
    /// The customer whose request it was.
    pub(crate) customer: Option<Arc<str>>,
    /// Whether the upstream had shown that it started to process the content.
    pub(crate) had_started: bool,
    /// How long the content had been processed there.
    pub(crate) ran: Span,
    pub(crate) at: Time,
}

impl Crash {
    fn ran_seconds(&self) -> f64 {
        self.ran.max(MIN_RAN).as_secs_f64()
    }
}

/// The evidence against one content.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspect {
    /// Whether it is a part of prompts rather than a whole request.
    pub(crate) is_part: bool,
    pub(crate) customer: Option<Arc<str>>,
    pub(crate) crashes: BTreeMap<UpstreamInstance, Crash>,
    /// When a daemon last sent it as a trial.
    pub(crate) trial_at: Option<Time>,
    /// When this daemon found it quarantined.
    pub(crate) quarantined_since: Option<Time>,
    /// Whether its quarantine was read from the store, and holds without local evidence.
    pub(crate) is_restored: bool,
    /// Whether quarantined contents explain all of its crashes.
    pub(crate) is_explained: bool,
    /// Other parts that were in flight at all of its crashes: while it is quarantined, only
    /// requests that carry them as well are refused.
    pub(crate) companions: Vec<Content>,
}

impl Suspect {
    /// Adds a crash. Returns whether that changed anything. Of two reports on one crash, the one in
    /// which processing had started counts, and of two such the one with the shorter time.
    pub(crate) fn add(&mut self, upstream: UpstreamInstance, crash: Crash) -> bool {
        if let Some(known) = self.crashes.get_mut(&upstream) {
            let is_better = (!crash.had_started, crash.ran) < (!known.had_started, known.ran);
            if is_better {
                let at = known.at;
                *known = Crash { at, ..crash };
            }
            return is_better;
        }
        if self.crashes.len() >= MAX_CRASHES_PER_CONTENT {
            self.drop_oldest();
        }
        self.crashes.insert(upstream, crash);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
        if let Some(upstream) = oldest.map(|(upstream, _)| upstream.clone()) {
            self.crashes.remove(&upstream);
        }
    }

    /// The crashes that count as evidence. If any upstream showed that it started to process the
    /// content, only crashes at such upstreams count: elsewhere it waited next to the culprit. A
    /// content that crashes upstreams before the first sign of an answer never shows a start, so
    /// all its crashes count.
    pub(crate) fn counted(&self) -> impl Iterator<Item = (&UpstreamInstance, &Crash)> {
        let has_started = self.crashes.values().any(|crash| crash.had_started);
        let crashes = self.crashes.iter();
        crashes.filter(move |(_, crash)| crash.had_started || !has_started)
    }

    /// Number of crashes that count.
    pub(crate) fn count(&self) -> usize {
        self.counted().count()
    }

    /// Time of the last crash that counts.
    pub(crate) fn last_crash_at(&self) -> Time {
        let crashes = self.counted().map(|(_, crash)| crash.at);
        crashes.max().unwrap_or_default()
    }

    /// When its quarantine expires.
    pub(crate) fn expires_at(&self, policy: &PoisonPolicy) -> Time {
        let duration = match self.is_part {
            true => policy.part_quarantine_duration(self.count()),
            false => policy.quarantine_duration(self.count()),
        };
        self.last_crash_at() + duration
    }

    /// The customer whose requests crashed the upstreams; none if there were several.
    pub(crate) fn only_customer(&self) -> Option<&Arc<str>> {
        let mut customers = self.counted().map(|(_, crash)| crash.customer.as_ref());
        let first = customers.next()??;
        customers.all(|other| other == Some(first)).then_some(first)
    }

    /// Whether its quarantine applies to a request that carries it.
    ///
    /// Callers name the parts of their prompts. Until a second customer's request has crashed an
    /// upstream, the part is quarantined for the first one only.
    pub(crate) fn applies_to(&self, contents: &Contents, customer: Option<&str>) -> bool {
        let is_own = |only: &Arc<str>| customer == Some(&**only);
        let is_of_customer = !self.is_part || self.only_customer().is_none_or(is_own);
        is_of_customer && self.companions.iter().all(|part| contents.contains(*part))
    }

    /// Whether another content was in flight at all crashes of this one.
    pub(crate) fn is_always_with(&self, other: &Self) -> bool {
        let mut crashes = self.counted();
        crashes.all(|(upstream, _)| other.crashes.contains_key(upstream))
    }

    /// Its quarantine as shown to operators, if it is quarantined.
    pub(crate) fn quarantine(&self, content: Content, policy: &PoisonPolicy) -> Option<Quarantine> {
        let crashes = self.counted();
        let crashes = crashes.map(|(upstream, crash)| (upstream.clone(), crash.ran));
        Some(Quarantine {
            content,
            customer: self.customer.clone(),
            since: self.quarantined_since?,
            until: self.expires_at(policy),
            crashes: crashes.collect(),
            companions: self.companions.clone(),
        })
    }

    /// Probability of its crashes by chance, or nothing if other contents explain all of them.
    ///
    /// A crash that another content explains still counts a little: a harmless request next to the
    /// culprit may be at any point of its processing then, and has seldom just started.
    pub(crate) fn chance(
        &self,
        explained: &BTreeSet<UpstreamInstance>,
        upstream_crashes: &UpstreamCrashes,
    ) -> Option<f64> {
        let (explained_crashes, unexplained): (Vec<_>, Vec<_>) = self
            .counted()
            .partition(|(upstream, _)| explained.contains(*upstream));
        let first = unexplained.iter().map(|(_, crash)| crash.at).min()?;
        let last = unexplained.iter().map(|(_, crash)| crash.at).max()?;
        let ran = unexplained
            .iter()
            .map(|(_, crash)| crash.ran_seconds())
            .sum::<f64>();
        let bystander_chance = explained_crashes
            .iter()
            .map(|(_, crash)| (crash.ran_seconds() / BYSTANDER_RAN_S).min(1.0));
        let mut excluded = explained.clone();
        let usual_rate = upstream_crashes.rate(USUAL_WINDOW, first, last, &excluded)
            + upstream_crashes.min_rate(USUAL_WINDOW);
        excluded.extend(unexplained.iter().map(|(upstream, _)| (*upstream).clone()));
        let burst_rate = upstream_crashes.rate(BURST_WINDOW, first, last, &excluded)
            + upstream_crashes.min_rate(BURST_WINDOW);
        let expected = usual_rate.max(burst_rate) * ran;
        Some(poisson_tail(unexplained.len(), expected) * bystander_chance.product::<f64>())
    }
}

/// Upper bound on the probability of at least this many crashes where `expected` are expected: the
/// tail of a Poisson distribution.
fn poisson_tail(crashes: usize, expected: f64) -> f64 {
    (1..=crashes).map(|n| expected / n as f64).product()
}
