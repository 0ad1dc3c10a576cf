//! Which contents are barred.

use std::collections::BTreeSet;

use types::prelude::*;

use super::{Change, Suspects};
use crate::content::Content;
use crate::word::UpstreamRun;

impl Suspects {
    /// Bars the contents that explain ends best, and clears those whose ends others explain.
    ///
    /// Guards against a request that is barred for another one's sake: what runs beside the
    /// culprit and is retried with it ends with it, once, twice and now and then three times.
    pub(super) fn judge(&mut self, now: Time) {
        if !self.policy.bars {
            return;
        }
        let mut explained = BTreeSet::new();
        let mut proved = BTreeSet::new();
        while let Some(content) = self.best(&explained, &proved) {
            let ends = self.suspects[&content].counted();
            explained.extend(ends.map(|(upstream, _)| upstream.clone()));
            proved.insert(content);
        }
        for (content, suspect) in &mut self.suspects {
            match (suspect.barred_since, proved.contains(content)) {
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
    fn best(
        &self,
        explained: &BTreeSet<UpstreamRun>,
        proved: &BTreeSet<Content>,
    ) -> Option<Content> {
        let least = self.policy.least_ends as usize;
        let many = self.suspects.iter();
        let many = many.filter(|(c, s)| s.count() >= least && !proved.contains(*c));
        let judged = many.filter_map(|(content, suspect)| {
            let chance = suspect.chance(explained, &self.ends)?;
            (chance <= self.policy.chance).then_some((chance, *content))
        });
        let best = judged.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        best.map(|(_, content)| content)
    }
}
