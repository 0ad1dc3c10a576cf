//! How fast engines are relative to each other: samples of this daemon, and reports of others.
//!
//! The cost of an engine that is known to be slow counts its work by its pace, see
//! [`crate::choose`]. All others count as before, so a small difference moves no prompt away from
//! the engine that has its prefix cached.

use std::sync::Arc;

use pace::{Pace, PaceChange, PaceReport, PaceSummary, PaceUpdate, UpstreamKey};
use routes::Upstream;
use types::prelude::*;

use crate::upstreams::{AnswerStart, ENGINE_BASE_MS, Entry, Upstreams};

/// Prefill time from which an answer beside it says nothing about its upstream's pace, in ms.
const LONG_PREFILL_MS: f64 = 250.0;
/// Wait, as a multiple of the expected time, from which an answer teaches nothing.
const LARGE_WAIT: f64 = 2.0;
/// Expected times from which answers belong to the next kind, in ms. The error of the expected time
/// depends on the prompt's length.
const KIND_STARTS_MS: [f64; 2] = [60.0, LONG_PREFILL_MS];
/// Models whose usual ratios are remembered. When there are more, all are learned anew, so that
/// names of former models do not stay for ever.
const MAX_MODELS: usize = 1_024;
/// Kinds of answers of one model.
pub(crate) const ANSWER_KINDS: usize = KIND_STARTS_MS.len() + 1;

impl Entry {
    fn key(&self) -> UpstreamKey {
        UpstreamKey(self.instance.0)
    }
}

impl Upstreams {
    /// Follows the list of upstreams; a former instance's pace does not apply to the next.
    pub(crate) fn list_paces(&mut self) {
        if self.policy.uses_pace {
            let listed = self.entries.values().map(Entry::key);
            self.paces.set_listed(listed);
        }
    }

    /// Learns an engine's pace from the start of an answer that met no backlog.
    ///
    /// A prompt that is only assumed to be cached there, since all daemons prefer the engine for it,
    /// takes several times as long if it is not. With such answers, engines of a fleet without any
    /// slow one were taken as slow.
    pub(crate) fn record_pace(&mut self, now: Time, start: &AnswerStart<'_>, is_cache_known: bool) {
        let Some(entry) = self.entries.get_mut(&start.index) else {
            return;
        };
        let Some(model) = start.model.filter(|_| self.policy.uses_pace) else {
            return;
        };
        let load = start.load;
        let is_long = load.expected_ms >= LONG_PREFILL_MS;
        if is_long {
            entry.long_prefill_until = now;
        }
        let max_wait_ms = ENGINE_BASE_MS.min(LARGE_WAIT * load.expected_ms);
        if load.wait_ms >= max_wait_ms || !is_cache_known {
            return;
        }
        let sent_at = now - Span::from_secs_f64(start.elapsed_ms / 1_000.0);
        let is_beside_long = entry.long_prefill_until >= sent_at
            || entry.remote.backlog_ms >= LONG_PREFILL_MS
            || entry.backlog.wait_ms(now) >= LONG_PREFILL_MS;
        if !is_long && is_beside_long {
            return;
        }
        let key = entry.key();
        let kind = KIND_STARTS_MS.iter();
        let kind = kind.take_while(|from| load.expected_ms >= **from).count();
        if self.usual.len() >= MAX_MODELS && !self.usual.contains_key(model) {
            self.usual.clear();
        }
        let usual = self.usual.entry(Arc::clone(model)).or_default();
        let ratio = usual[kind].record(start.elapsed_ms / load.expected_ms);
        if let Some(ratio) = ratio {
            self.paces.record(now, key, ratio);
        }
    }

    /// Merges what another daemon measured.
    pub fn merge_paces(&mut self, now: Time, update: &PaceUpdate) {
        if self.policy.uses_pace {
            self.paces.merge(now, update);
        }
    }

    /// Computes the paces by which upstreams are chosen, unless that was done a moment ago. Returns
    /// the upstreams that have turned slow or recovered, or `None` if nothing was computed.
    pub fn refresh_paces(&mut self, now: Time) -> Option<Vec<PaceChange>> {
        let changes = self.paces.refresh(now)?;
        for entry in self.entries.values_mut() {
            let key = entry.key();
            entry.pace = self.paces.share(key);
        }
        Some(changes)
    }

    /// This daemon's samples for the other daemons.
    #[must_use]
    pub fn pace_reports(&self, now: Time) -> Vec<PaceReport> {
        self.paces.reports(now)
    }

    /// An upstream's pace, as last computed.
    #[must_use]
    pub fn pace(&self, key: UpstreamKey) -> Pace {
        self.paces.pace(key)
    }

    /// The range of the paces.
    #[must_use]
    pub fn pace_summary(&self) -> PaceSummary {
        self.paces.summary()
    }

    /// Finds an upstream's entry in the list by what identifies its pace.
    #[must_use]
    pub fn find_paced(&self, key: UpstreamKey) -> Option<&Arc<Upstream>> {
        let entry = self.entries.values().find(|entry| entry.key() == key);
        entry.map(|entry| &entry.spec)
    }
}
