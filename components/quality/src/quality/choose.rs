//! One request's choice: a draw from the offer's table, within the budgets.

use rand::{Rng, RngExt};
use types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use super::{Quality, on_budget};
use crate::choice::{Candidate, ChoiceInput, Escalation, Plan};
use crate::counts::Confidence;
use crate::mixture::Mixture;
use crate::stream::{Phase, StreamId};
use crate::table::Table;

/// Most choices kept ready.
const MAX_TABLES: usize = 1024;

impl Quality {
    /// Chooses how to serve a request; nothing when every version is suspended or none is given.
    pub fn choose(
        &mut self,
        now: Time,
        input: &ChoiceInput<'_>,
        rng: &mut impl Rng,
    ) -> Option<Plan> {
        if let Some(plan) = self.pinned(input) {
            return Some(plan);
        }
        let key = table_key(input);
        self.prepare(now, key, input, rng);
        let mut table = self.tables.remove(&key)?;
        let plan = self.draw(now, &mut table, input, rng);
        self.tables.insert(key, table);
        plan
    }

    /// The session's version, unless it may not serve any more.
    fn pinned(&mut self, input: &ChoiceInput<'_>) -> Option<Plan> {
        let pin = input.pin?;
        let mut permitted = input.candidates.iter();
        permitted.find(|candidate| candidate.version == *pin)?;
        let id = StreamId::new(&input.offer.class, pin);
        if self.phase(id) == Some(Phase::Suspended) {
            return None;
        }
        self.serve(id);
        Some(Plan {
            first: pin.clone(),
            escalation: None,
            repinned: false,
        })
    }

    fn phase(&self, id: StreamId) -> Option<Phase> {
        self.streams.get(&id).map(|stream| stream.phase)
    }

    fn serve(&mut self, id: StreamId) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.served += 1;
            stream.budget.spend();
        }
    }

    /// Has the offer's table ready, built on estimates that are fresh enough.
    fn prepare(&mut self, now: Time, key: u64, input: &ChoiceInput<'_>, rng: &mut impl Rng) {
        let held = self.tables.get(&key);
        let fresh = held.is_some_and(|table| {
            table.generation == self.generation && !now.has_reached(table.rebuild_at)
        });
        if fresh {
            return;
        }
        for candidate in input.candidates {
            self.describe(now, input.offer, candidate, rng);
        }
        let account = self.tables.remove(&key).map(|table| table.account);
        if self.tables.len() >= MAX_TABLES {
            self.tables.pop_first();
        }
        let account = account.unwrap_or_default();
        let mut table = Table::build(
            input.offer,
            input.candidates,
            &self.streams,
            &self.cfg,
            account,
        );
        table.generation = self.generation;
        table.rebuild_at = now + self.cfg.refresh_every;
        self.tables.insert(key, table);
    }

    fn draw(
        &mut self,
        now: Time,
        table: &mut Table,
        input: &ChoiceInput<'_>,
        rng: &mut impl Rng,
    ) -> Option<Plan> {
        let wished = self.wished(table, input, rng)?;
        let way = if self.fits(now, table, wished, input) {
            wished
        } else {
            self.fallback(now, table, input)?
        };
        table.note(way);
        let way = table.ways[way].clone();
        let first = self.taken_over(now, table, way.first, rng);
        let next = way
            .next
            .map(|(next, bin)| (self.taken_over(now, table, next, rng), bin));
        self.serve(table.ids[first]);
        Some(Plan {
            first: table.candidates[first].version.clone(),
            escalation: next.map(|(next, bin)| Escalation {
                to: table.candidates[next].version.clone(),
                below: Confidence::lowest_of(bin),
            }),
            repinned: input.pin.is_some(),
        })
    }

    /// The way that the mixture, or now and then an exploration, asks for.
    fn wished(&self, table: &Table, input: &ChoiceInput<'_>, rng: &mut impl Rng) -> Option<usize> {
        if !table.explore.is_empty() && rng.random_bool(self.cfg.exploration) {
            let index = rng.random_range(0..table.explore.len());
            return Some(table.explore[index]);
        }
        let one_version = input.in_session || !input.may_escalate;
        let mixture = if one_version { table.direct } else { table.any };
        mixture.map(|mixture: Mixture| {
            if rng.random_bool(mixture.strong_share.clamp(0.0, 1.0)) {
                mixture.strong
            } else {
                mixture.weak
            }
        })
    }

    /// Whether a way is in time and within its versions' budgets.
    fn fits(&self, now: Time, table: &Table, way: usize, input: &ChoiceInput<'_>) -> bool {
        let way = &table.ways[way];
        let next = way.next.map(|(next, _)| next);
        way.latency <= input.time_left
            && self.within_budget(now, table.ids[way.first])
            && next.is_none_or(|next| self.within_budget(now, table.ids[next]))
    }

    fn within_budget(&self, now: Time, id: StreamId) -> bool {
        self.streams.get(&id).is_some_and(|stream| {
            let free = !on_budget(stream.phase);
            free || stream.budget.allows(now, stream.seen, self.largest_fleet)
        })
    }

    /// The best version in time and within its budget; else the best in time, which
    /// comes to pass when nothing is proved yet; else the fastest.
    fn fallback(&self, now: Time, table: &Table, input: &ChoiceInput<'_>) -> Option<usize> {
        let mut ways = table.fallback.iter().copied();
        let fitting = ways.find(|way| self.fits(now, table, *way, input));
        let in_time = |way: &usize| table.ways[*way].latency <= input.time_left;
        let trusted = |way: &usize| {
            let phase = self.phase(table.ids[table.ways[*way].first]);
            phase != Some(Phase::Suspect)
        };
        let late = || {
            let ways = table.fallback.iter().copied();
            ways.min_by_key(|way| table.ways[*way].latency)
        };
        fitting
            .or_else(|| {
                table
                    .fallback
                    .iter()
                    .copied()
                    .find(|way| in_time(way) && trusted(way))
            })
            .or_else(|| table.fallback.iter().copied().find(in_time))
            .or_else(late)
    }

    /// The candidate itself, or the one that takes over from it.
    fn taken_over(&self, now: Time, table: &Table, index: usize, rng: &mut impl Rng) -> usize {
        let Some((to, share)) = table.takeover.get(&index).copied() else {
            return index;
        };
        if rng.random_bool(share.clamp(0.0, 1.0)) && self.within_budget(now, table.ids[to]) {
            to
        } else {
            index
        }
    }
}

/// Tells apart offers and sets of candidates.
fn table_key(input: &ChoiceInput<'_>) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(input.offer.name.as_str().as_bytes());
    for candidate in input.candidates {
        hash_candidate(&mut hash, candidate);
    }
    hash.digest()
}

fn hash_candidate(hash: &mut Xxh3, candidate: &Candidate) {
    hash.update(candidate.version.model.as_str().as_bytes());
    hash.update(b"@");
    hash.update(candidate.version.version.as_str().as_bytes());
    let share = candidate
        .rollout
        .as_ref()
        .map(|rollout| rollout.share.get());
    hash.update(&share.unwrap_or(-1.0).to_le_bytes());
    hash.update(&[u8::from(candidate.takes_new)]);
}
