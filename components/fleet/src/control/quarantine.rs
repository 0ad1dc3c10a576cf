//! Telling other daemons under which contents upstreams ended, and what is barred for it.

use poison::{Barred, Change, Content, Words};
use traffic::Command;
use types::prelude::*;

use super::Control;
use crate::codec::Codec;
use crate::quarantine::QuarantineEntry;

/// Words on contents go out at most this often; after a pause at once.
const MIN_GOSSIP_INTERVAL: Span = Span::from_millis(50);

impl<C: Codec> Control<C> {
    /// Adds up what a peer tells of contents, and hands on at once what is news.
    ///
    /// Guards against a request that ends an upstream at each daemon: one end at each of three is
    /// three, and every daemon must know before the caller's next attempt.
    pub(super) fn merge_words(&mut self, now: Time, words: Words) {
        let ended = self.traffic.suspects.lock().take(now, words);
        if !ended.is_empty() {
            // The event loop may have ended before this thread when the process leaves.
            let _ = self.traffic.commands.send(Command::Ended(ended));
        }
        self.gossip_suspects(now);
    }

    /// Tells a few others what is new of contents, and the log what is barred.
    pub(super) fn gossip_suspects(&mut self, now: Time) {
        if now < self.next_suspect_gossip_at {
            return;
        }
        self.next_suspect_gossip_at = now + MIN_GOSSIP_INTERVAL;
        let mut suspects = self.traffic.suspects.lock();
        let words = suspects.news(now);
        let changes = suspects.changes();
        drop(suspects);
        if !words.0.is_empty() {
            self.peering.send_suspects(now, &words);
        }
        for change in changes {
            log(now, &change);
        }
    }
}

impl<C: Codec> Control<C> {
    /// Takes bars that others wrote into the store, and ends those that are gone from it: an
    /// operator or another daemon lifted them.
    pub(super) fn apply_quarantine_changes(&mut self, now: Time, changes: &[mirror::Change]) {
        let prefix = self.codec.bar_prefix();
        for change in changes {
            let name = change.key.strip_prefix(prefix);
            let Some(Ok(content)) = name.map(str::parse::<Content>) else {
                continue;
            };
            let mut suspects = self.traffic.suspects.lock();
            match change.value.as_deref().map(QuarantineEntry::decode) {
                Some(Ok(entry)) => {
                    let ends = entry.ends.into_iter();
                    let ends = ends.map(|end| (end.upstream, Span::from_millis(end.ran_ms)));
                    suspects.restore(now, content, entry.customer.as_ref(), ends);
                }
                Some(Err(e)) => tracing::warn!(%content, "poison: {e}"),
                None => drop(suspects.lift(now, content)),
            }
        }
    }

    /// Writes bars that the store lacks and deletes those that are over, in this daemon's turn.
    pub(super) fn sync_quarantines(&mut self, now: Time, rank: u64) {
        let suspects = self.traffic.suspects.lock();
        if !suspects.bars() || !self.mirror.is_filled() {
            return;
        }
        let quarantined = suspects.barred();
        drop(suspects);
        let (wall, prefix) = (self.clock.wall(), self.codec.bar_prefix());
        let calls = self
            .quarantine_sync
            .calls(now, wall, rank, prefix, &quarantined, &self.mirror);
        for (purpose, req) in calls {
            self.call(purpose, req);
        }
    }
}

fn log(now: Time, change: &Change) {
    match change {
        Change::Barred(quarantined) => tracing::warn!(
            content = %quarantined.content,
            for_s = now.until(quarantined.until).as_secs_f64(),
            under = crash_list(quarantined),
            "poison: barred"
        ),
        Change::Cleared(content) => tracing::info!(%content, "poison: cleared"),
    }
}

/// The upstreams that ended, and how long the content had run there.
fn crash_list(quarantined: &Barred) -> String {
    let ends = quarantined.ends.iter();
    let ends = ends.map(|(upstream, ran)| format!("{} {}ms", upstream.id, ran.as_millis()));
    ends.collect::<Vec<_>>().join("; ")
}
