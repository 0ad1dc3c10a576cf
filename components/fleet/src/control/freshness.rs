//! How current the mirror of the store's keys is, and whether to watch the store to find out.
//!
//! A mirror was current at a moment if a claim for that moment names no later revision than the
//! mirror holds. Claims come from the own watch or from another daemon. They validate the mirror
//! for a limited time: once that has passed, the daemon watches the store itself, whatever it hears
//! of other watchers.

use traffic::Validation;
use types::prelude::*;

use super::Control;
use crate::codec::Codec;
use crate::peering::MirrorState;
use crate::succession::SuccessionInput;
use crate::watcher::Mode;

/// The own watch works if it was answered within this time: it is answered every second, and a slow
/// store adds some hundred ms.
const WATCH_FRESH: Span = Span::from_millis(1_500);
/// A daemon watches the store itself once its mirror has not been validated for this fraction of
/// the time within which a change must be in force. That leaves a quarter of the time for the watch
/// to be answered.
const STALE_AFTER: f64 = 0.6;
/// Stale daemons start to watch one after the other over this further fraction, so that the first
/// ones can report a store that answers nobody to the rest.
const STALE_STAGGER: f64 = 0.15;

impl<C: Codec> Control<C> {
    /// Whether the store answered the own watch recently.
    pub(super) fn watch_works(&self, now: Time) -> bool {
        let watched = self
            .watch_answered_at
            .is_some_and(|at| now.since(at) < WATCH_FRESH);
        self.store_works && watched && self.watch_control.mode() == Mode::Watch
    }

    pub(super) fn mirror_state(&self) -> MirrorState {
        MirrorState {
            held: self.mirror.at(),
            validated_at: self.validated_at,
        }
    }

    /// How current the configuration in force is known to be; `None` if the store holds one that
    /// cannot be read.
    pub(super) fn validation(&self) -> Option<Validation> {
        let version = self
            .planner
            .version()
            .filter(|_| self.planner.is_readable());
        let (version, validated_at) = version.zip(self.validated_at)?;
        Some(Validation {
            version,
            validated_at,
        })
    }

    /// Updates [`Self::validated_at`] from the known claims.
    pub(super) fn update_validated_at(&mut self) {
        let validated_at = self.peering.validated_at(self.mirror.at());
        self.validated_at = self.validated_at.max(validated_at);
    }

    /// Whether the mirror was last validated so long ago that this daemon must watch the store
    /// itself; false while the store is unreachable for every daemon.
    fn is_stale(&self, now: Time) -> bool {
        let validated_at = self.validated_at.unwrap_or_default();
        let age = now.since(validated_at).as_secs_f64();
        let within = self.settings.in_force_within.as_secs_f64();
        let position = self.peering.watch_rank() as f64 / self.size.present.max(1) as f64;
        let is_unreachable = self
            .peering
            .peer_states()
            .is_store_unreachable(self.size.present);
        !is_unreachable && age > within * (STALE_AFTER + STALE_STAGGER * position)
    }

    /// Decides whether this daemon watches the store.
    pub(super) fn decide_watch_mode(&mut self, now: Time) {
        let input = SuccessionInput {
            before: self.peering.watchers_ahead(now),
            rank: self.peering.watch_rank(),
            fleet: self.peering.daemons(),
            hears_peers: self.peering.hears_peers(),
            own_watch_works: self.watch_works(now),
            report_ttl: self.peering.report_ttl(),
            is_stale: self.is_stale(now),
        };
        let mode = self.succession.decide(now, input);
        if self.watch_control.set(mode) {
            let SuccessionInput { before, rank, .. } = input;
            tracing::info!(?mode, rank, before, "store: watching changed");
        }
        if mode == Mode::Rest {
            self.adopt_peer_view(now);
        }
    }

    /// Adopts what peers report about the store while this daemon does not call it itself.
    ///
    /// In an outage the leases of live upstreams expire. A daemon that had not noticed the outage
    /// would drop all of these upstreams once it receives the deletion of their entries.
    fn adopt_peer_view(&mut self, now: Time) {
        let peers = self.peering.peer_states();
        match self.store_works {
            false if peers.has_watcher() => self.store_answered(now),
            true if peers.is_store_unreachable(self.size.present) => {
                self.store_failed(now, "no daemon gets an answer from the store");
            }
            _ => {}
        }
    }

    /// Records whether the store answers any daemon. Upstreams renew their entries as long as it
    /// does, also while this daemon alone is cut off from it.
    pub(super) fn update_store_availability(&mut self, now: Time) {
        let lapsed = &mut self.planner.lapsed;
        match self.store_works || self.peering.peer_states().has_watcher() {
            true => lapsed.store_answered(now),
            false => lapsed.store_failed(),
        }
        if let Some(at) = self.peering.store_last_answered_at() {
            lapsed.store_available_at(now, at);
        }
    }
}
