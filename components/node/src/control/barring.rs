//! Telling other daemons under which requests upstreams ended, and what is barred for it.

use bytes::Bytes;
use peers::Part;
use poison::{Change, ContentUpdates};
use rand::seq::IteratorRandom;
use types::prelude::*;

use super::Control;
use crate::shared::lock;

/// Daemons that are told at a time: all of a small fleet. Who is told tells on, so that word is
/// everywhere in a fleet of hundreds after some four rounds.
const TOLD: usize = 8;

impl Control {
    /// Adds up what a peer tells, and hands on at once what is news.
    pub(super) fn add_up(&mut self, now: Time, from: &DaemonId, body: &Bytes) {
        match ContentUpdates::decode(body) {
            Ok(words) => drop(
                self.shared
                    .barring
                    .suspects
                    .lock()
                    .merge_updates(now, words),
            ),
            Err(e) => tracing::warn!("peers: {from}: {e}"),
        }
        self.tell_words(now);
    }

    /// Forgets what is too old, and tells what is news.
    pub(super) fn tick_barring(&mut self, now: Time) {
        let daemons = self.members.membership().fleet_size();
        let upstreams = lock(&self.shared.router).upstreams().count();
        self.shared.barring.tidy(now, daemons, upstreams);
        self.tell_words(now);
    }

    fn tell_words(&mut self, now: Time) {
        let mut suspects = self.shared.barring.suspects.lock();
        let (words, changes) = (suspects.take_updates(now), suspects.take_changes());
        drop(suspects);
        changes.iter().for_each(log);
        if words.0.is_empty() {
            return;
        }
        let body = match words.encode() {
            Ok(body) => body,
            Err(e) => return tracing::error!("peers: {e}"),
        };
        let others = self.members.other_peers().into_iter();
        for peer in others.sample(&mut rand::rng(), TOLD) {
            self.members.send(&peer.id, Part::Poison, body.clone());
        }
    }
}

fn log(change: &Change) {
    match change {
        Change::Quarantined(bar) => tracing::warn!(
            "traffic: request {} of {} is barred, {} upstreams ended under it",
            bar.content,
            bar.customer.as_deref().unwrap_or("nobody known"),
            bar.crashes.len()
        ),
        Change::Cleared(content) => tracing::info!("traffic: request {content} is barred no more"),
    }
}
