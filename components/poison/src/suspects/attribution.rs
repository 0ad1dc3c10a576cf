//! Which contents are barred.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use types::prelude::*;

use super::evidence::Suspect;
use super::{Change, Suspects};
use crate::content::Content;
use crate::updates::UpstreamRun;

/// The chance that bars a content of a customer of whom several are barred: one in a thousand of
/// its requests that upstreams ended under in spite of themselves is refused for a while.
const CHANCE_OF_KNOWN: f64 = 1e-3;

impl Suspects {
    /// Bars the contents that explain ends best, and clears those whose ends others explain.
    ///
    /// Guards against a request that is barred for another one's sake: what runs beside the
    /// culprit and is retried with it ends with it, once, twice and now and then three times.
    pub(super) fn judge(&mut self, now: Time) {
        if !self.policy.bars {
            return;
        }
        let mut proved = Proved::default();
        let told = self.suspects.iter().filter(|(_, suspect)| suspect.is_told);
        told.for_each(|(content, suspect)| proved.add(*content, suspect));
        while let Some(content) = self.best(&proved) {
            proved.add(content, &self.suspects[&content]);
        }
        for (content, suspect) in &mut self.suspects {
            match (suspect.barred_since, proved.contents.contains(content)) {
                (None, true) => {
                    suspect.barred_since = Some(now);
                    let bar = suspect.bar(*content, &self.policy);
                    self.changes.extend(bar.map(Change::Barred));
                }
                (Some(_), false) => {
                    suspect.barred_since = None;
                    self.changes.push(Change::Cleared(*content));
                }
                _ => {}
            }
        }
        self.suspects.retain(|_, suspect| !suspect.ends.is_empty());
    }

    /// Of the contents that chance does not explain, the one that it explains worst.
    fn best(&self, proved: &Proved) -> Option<Content> {
        let others = self.suspects.iter();
        let others = others.filter(|(content, _)| !proved.contents.contains(*content));
        let judged = others.filter_map(|(content, suspect)| {
            let needed = self.needed(proved.of_customer(suspect));
            if suspect.count() < needed.ends {
                return None;
            }
            let chance = suspect.chance(&proved.explained, &self.ends)?;
            (chance <= needed.chance).then_some((chance / needed.chance, *content))
        });
        let best = judged.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        best.map(|(_, content)| content)
    }

    /// What bars a content of a customer of whom so many others are barred.
    ///
    /// Guards against a customer that sends one such request after the other: each would end as
    /// many upstreams as the first. One other is no reason yet: its customer's ordinary requests
    /// are hit beside it like everybody's.
    fn needed(&self, others: usize) -> Needed {
        let least = self.policy.least_ends as usize;
        match others {
            0 | 1 => Needed {
                ends: least,
                chance: self.policy.chance,
            },
            others => Needed {
                ends: least.saturating_sub(others - 1).max(1),
                chance: self.policy.chance.max(CHANCE_OF_KNOWN),
            },
        }
    }
}

/// What bars a content.
struct Needed {
    ends: usize,
    chance: f64,
}

/// What is proved so far.
#[derive(Default)]
struct Proved {
    contents: BTreeSet<Content>,
    /// Ends that these explain.
    explained: BTreeSet<UpstreamRun>,
    by_customer: HashMap<Arc<str>, usize>,
}

impl Proved {
    fn add(&mut self, content: Content, suspect: &Suspect) {
        let ends = suspect.counted();
        self.explained
            .extend(ends.map(|(upstream, _)| upstream.clone()));
        self.contents.insert(content);
        if let Some(customer) = &suspect.customer {
            *self.by_customer.entry(customer.clone()).or_default() += 1;
        }
    }

    /// How many others of its customer are proved.
    fn of_customer(&self, suspect: &Suspect) -> usize {
        let customer = suspect.customer.as_ref();
        let proved = customer.and_then(|customer| self.by_customer.get(customer));
        proved.copied().unwrap_or(0)
    }
}
