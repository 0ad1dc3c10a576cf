//! Sharing updates on request contents that crashed upstreams, and the quarantine of such contents.

use poison::{Change, Content, ContentUpdates, Quarantine};
use traffic::Command;
use types::prelude::*;

use super::Control;
use crate::codec::Codec;
use crate::quarantine::QuarantineEntry;

/// Updates on contents are sent at most this often; the first one after a pause goes out at once.
const MIN_GOSSIP_INTERVAL: Span = Span::from_millis(50);

/// When updates on contents go to peers.
#[derive(Debug, Default)]
pub(crate) struct SuspectGossip {
    next_at: Time,
    /// Whether updates may wait until then.
    is_owed: bool,
}

impl SuspectGossip {
    /// When waiting updates are due; none if nothing waits.
    pub(super) fn due_at(&self) -> Option<Time> {
        self.is_owed.then_some(self.next_at)
    }

    /// Whether updates may go out now; if not, they are due later.
    fn is_due(&mut self, now: Time) -> bool {
        self.is_owed = now < self.next_at;
        if !self.is_owed {
            self.next_at = now + MIN_GOSSIP_INTERVAL;
        }
        !self.is_owed
    }
}

impl<C: Codec> Control<C> {
    /// Merges a peer's updates on contents and forwards what is new at once.
    ///
    /// A request may crash one upstream at each daemon it reaches. One crash at each of three
    /// daemons counts as three, and every daemon must know of them before the caller's next
    /// attempt.
    pub(super) fn merge_content_updates(&mut self, now: Time, updates: ContentUpdates) {
        let crashed = self.traffic.suspects.lock().merge_updates(now, updates);
        if !crashed.is_empty() {
            // The event loop may have ended before this thread when the process stops.
            let _ = self.traffic.commands.send(Command::Crashed(crashed));
        }
        self.gossip_suspects(now);
    }

    /// Gossips new updates on contents and logs changes of the quarantine.
    pub(super) fn gossip_suspects(&mut self, now: Time) {
        if !self.suspect_gossip.is_due(now) {
            return;
        }
        let mut suspects = self.traffic.suspects.lock();
        let updates = suspects.take_updates(now);
        let changes = suspects.take_changes();
        drop(suspects);
        if !updates.0.is_empty() {
            self.peering.send_suspects(now, &updates);
        }
        for change in changes {
            log(now, &change);
        }
    }
}

impl<C: Codec> Control<C> {
    /// Applies quarantine entries that peers wrote to the store, and lifts those deleted from it by
    /// an operator or another daemon.
    pub(super) fn apply_quarantine_changes(&mut self, now: Time, changes: &[mirror::Change]) {
        let prefix = self.codec.quarantine_prefix();
        for change in changes {
            let name = change.key.strip_prefix(prefix);
            let Some(Ok(content)) = name.map(str::parse::<Content>) else {
                continue;
            };
            let mut suspects = self.traffic.suspects.lock();
            match change.value.as_deref().map(QuarantineEntry::decode) {
                Some(Ok(entry)) => {
                    let crashes = entry.crashes.into_iter();
                    let crashes =
                        crashes.map(|crash| (crash.upstream, Span::from_millis(crash.ran_ms)));
                    let (customer, companions) = (entry.customer.as_ref(), &entry.companions);
                    suspects.restore(now, content, customer, crashes, companions);
                }
                Some(Err(e)) => tracing::warn!(%content, "poison: {e}"),
                None => drop(suspects.lift_quarantine(now, content)),
            }
        }
    }

    /// Writes quarantine entries that the store lacks and deletes those that are over, when it is
    /// this daemon's turn.
    pub(super) fn sync_quarantines(&mut self, now: Time, rank: u64) {
        let suspects = self.traffic.suspects.lock();
        if !suspects.is_enabled() || !self.mirror.is_filled() {
            return;
        }
        let quarantined = suspects.quarantined();
        drop(suspects);
        let (wall, prefix) = (self.clock.wall(), self.codec.quarantine_prefix());
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
        Change::Quarantined(quarantined) => tracing::warn!(
            content = %quarantined.content,
            for_s = now.until(quarantined.until).as_secs_f64(),
            under = crash_list(quarantined),
            "poison: barred"
        ),
        Change::Cleared(content) => tracing::info!(%content, "poison: cleared"),
    }
}

/// The upstreams that crashed, each with the time for which it had been processing the content.
fn crash_list(quarantined: &Quarantine) -> String {
    let crashes = quarantined.crashes.iter();
    let crashes = crashes.map(|(upstream, ran)| format!("{} {}ms", upstream.id, ran.as_millis()));
    crashes.collect::<Vec<_>>().join("; ")
}
