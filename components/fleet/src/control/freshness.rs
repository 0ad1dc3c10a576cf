//! How current the own copy of the store's keys is, and whether to look at the store for it.
//!
//! A copy is proven current by a claim of no more than it holds, from the own watch or from another
//! daemon. The proof is a lease: when it runs out a daemon looks at the
//! store itself, whatever it hears of watchers.

use traffic::Proof;
use types::prelude::*;

use super::Control;
use crate::codec::Codec;
use crate::peering::OwnCopy;
use crate::succession::Around;
use crate::watcher::Mode;

/// An own watch that was heard of within this works: it is answered every second, and a
/// slow store adds some hundred ms.
const WATCH_FRESH: Span = Span::from_millis(1_500);
/// A daemon looks at the store itself once its copy was not proven current for this part of the time
/// in which a change is to be in force: that leaves it a quarter for the look.
const LOOK_AFTER: f64 = 0.6;
/// Daemons do so one after the other within this further part: where the store answers nobody the
/// first ones tell the rest.
const LOOK_SPREAD: f64 = 0.15;

impl<C: Codec> Control<C> {
    /// Whether the own watch was lately answered.
    pub(super) fn watch_works(&self, now: Time) -> bool {
        let watched = self
            .watched_at
            .is_some_and(|at| now.since(at) < WATCH_FRESH);
        self.store_works && watched && self.watching.mode() == Mode::Watch
    }

    pub(super) fn own_copy(&self) -> OwnCopy {
        OwnCopy {
            held: self.mirror.at(),
            proven_at: self.proven_at,
        }
    }

    /// How current the configuration that was read last is known to be; nothing if the store holds one
    /// that cannot be read.
    pub(super) fn proof(&self) -> Option<Proof> {
        let version = self
            .planner
            .version()
            .filter(|_| self.planner.is_readable());
        let (version, at) = version.zip(self.proven_at)?;
        Some(Proof { version, at })
    }

    /// Takes what is known of how current the own copy is.
    pub(super) fn prove(&mut self) {
        let proof = self.peering.proof(self.mirror.at());
        self.proven_at = self.proven_at.max(proof);
    }

    /// Whether the own copy was last proven current so long ago that this daemon is to look at the
    /// store itself; not where the store answers nobody.
    fn is_old(&self, now: Time) -> bool {
        let proven_at = self.proven_at.unwrap_or_default();
        let age = now.since(proven_at).as_secs_f64();
        let within = self.settings.in_force_within.as_secs_f64();
        let place = self.peering.watch_rank() as f64 / self.daemons.max(1) as f64;
        let is_away = self.peering.standings().is_store_away(self.daemons);
        !is_away && age > within * (LOOK_AFTER + LOOK_SPREAD * place)
    }

    /// Decides whether this daemon is to watch the store.
    pub(super) fn decide_watch(&mut self, now: Time) {
        let around = Around {
            before: self.peering.watchers_before(now),
            rank: self.peering.watch_rank(),
            fleet: self.peering.daemons(),
            hears_others: self.peering.hears_others(),
            watches: self.watch_works(now),
            fresh: self.peering.fresh(),
            is_old: self.is_old(now),
        };
        let mode = self.turns.decide(now, around);
        if self.watching.set(mode) {
            let Around { before, rank, .. } = around;
            tracing::info!(?mode, rank, before, "store: watching changed");
        }
        if mode == Mode::Rest {
            self.believe_others(now);
        }
    }

    /// Takes the others' word on the store while this daemon does not ask it itself.
    ///
    /// Guards against an outage in which leases of living upstreams run out: a daemon that had
    /// not noticed it would drop all of them when it hears that their entries went.
    fn believe_others(&mut self, now: Time) {
        let others = self.peering.standings();
        match self.store_works {
            false if others.has_watcher() => self.store_answered(now),
            true if others.is_store_away(self.daemons) => {
                self.store_failed("no daemon is answered");
            }
            _ => {}
        }
    }
}
