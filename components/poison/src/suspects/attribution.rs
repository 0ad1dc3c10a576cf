//! Decides which contents crashes are attributed to, and so which are quarantined.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use types::prelude::*;

use super::evidence::Suspect;
use super::{Change, Suspects};
use crate::content::Content;
use crate::updates::UpstreamInstance;

/// Largest chance at which a content is quarantined when several other contents of its customer
/// are: one in a thousand of that customer's harmless requests that are in flight at a crash is
/// refused for a while.
const MAX_CHANCE_OF_REPEATED: f64 = 1e-3;

impl Suspects {
    /// Quarantines the contents that explain crashes best, and clears those whose crashes other
    /// contents explain.
    ///
    /// A harmless request must not be quarantined for the culprit's crashes: one that is in flight
    /// next to the culprit and retried with it is hit by the same crashes once, twice and now and
    /// then three times.
    pub(super) fn reevaluate(&mut self, now: Time) {
        if !self.policy.bars {
            return;
        }
        let mut culprits = Culprits::default();
        let restored = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_restored);
        restored.for_each(|(content, suspect)| culprits.add(*content, suspect));
        while let Some(content) = self.least_likely(&culprits) {
            culprits.add(content, &self.suspects[&content]);
        }
        let companions = self.companions(&culprits);
        for (content, suspect) in &mut self.suspects {
            let explained = match suspect.is_part {
                true => &culprits.explained_by_parts,
                false => &culprits.explained,
            };
            let mut crashes = suspect.crashes.keys();
            suspect.is_explained = crashes.all(|upstream| explained.contains(upstream));
            let companions = companions.get(content);
            suspect.companions = companions.cloned().unwrap_or_default();
            match (
                suspect.quarantined_since,
                culprits.contents.contains(content),
            ) {
                (None, true) => {
                    suspect.quarantined_since = Some(now);
                    let quarantine = suspect.quarantine(*content, &self.policy);
                    self.changes.extend(quarantine.map(Change::Quarantined));
                }
                (Some(_), false) => {
                    suspect.quarantined_since = None;
                    self.changes.push(Change::Cleared(*content));
                }
                _ => {}
            }
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
    }

    /// For each part of prompts among the culprits, the other parts that cannot be told from it: they
    /// were in flight at all of its crashes as well.
    fn companions(&self, culprits: &Culprits) -> HashMap<Content, Vec<Content>> {
        let parts = culprits.contents.iter().filter(|content| content.is_part());
        let with_companions = parts.map(|part| {
            let suspect = &self.suspects[part];
            let others = self.suspects.iter();
            let others = others.filter(|(other, _)| other.is_part() && *other != part);
            let companions = others.filter(|(_, other)| suspect.is_always_with(other));
            let mut companions = companions.map(|(other, _)| *other).collect::<Vec<_>>();
            companions.sort_unstable();
            (*part, companions)
        });
        with_companions.collect()
    }

    /// Of the contents whose crashes chance does not explain, the one with the least likely
    /// crashes; of two with the same, a whole request rather than a part of its prompt.
    fn least_likely(&self, culprits: &Culprits) -> Option<Content> {
        let others = self.suspects.iter();
        let others = others.filter(|(content, _)| !culprits.contents.contains(*content));
        let candidates = others.filter_map(|(content, suspect)| {
            let threshold = self.threshold(culprits.count_of_customer(suspect));
            if suspect.count() < threshold.crashes {
                return None;
            }
            let chance = suspect.chance(&culprits.explained, &self.crashes)?;
            (chance <= threshold.chance).then_some((chance / threshold.chance, *content))
        });
        let least_likely = candidates.min_by(|(a_chance, a), (b_chance, b)| {
            let by_chance = a_chance.total_cmp(b_chance);
            by_chance.then((a.is_part(), a).cmp(&(b.is_part(), b)))
        });
        least_likely.map(|(_, content)| content)
    }

    /// The evidence required to quarantine a content when this many other contents of its customer
    /// are quarantined.
    ///
    /// Less evidence is required once a customer sends one such request after another, since each
    /// would otherwise crash as many upstreams as the first. A single other content is not enough:
    /// the customer's ordinary requests are hit next to it like everybody's.
    fn threshold(&self, other_culprits: usize) -> Threshold {
        let min_crashes = self.policy.least_ends as usize;
        match other_culprits {
            0 | 1 => Threshold {
                crashes: min_crashes,
                chance: self.policy.chance,
            },
            other_culprits => Threshold {
                crashes: min_crashes.saturating_sub(other_culprits - 1).max(1),
                chance: self.policy.chance.max(MAX_CHANCE_OF_REPEATED),
            },
        }
    }
}

/// The evidence required to quarantine a content.
struct Threshold {
    crashes: usize,
    chance: f64,
}

/// Contents that crashes are attributed to so far.
#[derive(Default)]
struct Culprits {
    contents: BTreeSet<Content>,
    /// Crashes that these contents explain.
    explained: BTreeSet<UpstreamInstance>,
    /// Those of them that a part of prompts explains. A single request does not clear the parts of
    /// its own prompt.
    explained_by_parts: BTreeSet<UpstreamInstance>,
    by_customer: HashMap<Arc<str>, usize>,
}

impl Culprits {
    fn add(&mut self, content: Content, suspect: &Suspect) {
        let upstreams = suspect.counted().map(|(upstream, _)| upstream.clone());
        let upstreams = upstreams.collect::<Vec<_>>();
        if suspect.is_part {
            self.explained_by_parts.extend(upstreams.iter().cloned());
        }
        self.explained.extend(upstreams);
        self.contents.insert(content);
        if let Some(customer) = &suspect.customer {
            *self.by_customer.entry(customer.clone()).or_default() += 1;
        }
    }

    /// Number of culprits of the same customer.
    fn count_of_customer(&self, suspect: &Suspect) -> usize {
        let customer = suspect.customer.as_ref();
        let culprits = customer.and_then(|customer| self.by_customer.get(customer));
        culprits.copied().unwrap_or(0)
    }
}
