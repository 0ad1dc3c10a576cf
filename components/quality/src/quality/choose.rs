//! One request's choice: a draw from the offer's table, within the budgets.

use rand::{Rng, RngExt};
use types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use super::Quality;
use crate::choice::{Candidate, ChoiceInput, Escalation, Plan};
use crate::mixture::Mixture;
use crate::rating::Confidence;
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
        self.serve(id, true);
        Some(Plan {
            first: pin.clone(),
            escalation: None,
            repinned: false,
        })
    }

    fn phase(&self, id: StreamId) -> Option<Phase> {
        self.streams.get(&id).map(|stream| stream.phase)
    }

    /// Counts a request, against the version's budget where that binds.
    pub(super) fn serve(&mut self, id: StreamId, binds: bool) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.served += 1;
            if binds {
                stream.budget.spend();
            }
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
            self.fleet,
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
            self.fallback(now, table, input, rng)?
        };
        table.note(way);
        let way = table.ways[way].clone();
        let first = self.taken_over(now, table, way.first, rng);
        let binds = table.budgets_bind() || first != way.first;
        self.serve(table.ids[first], binds);
        let mut escalation = None;
        if let Some((next, bin)) = way.next {
            let next = self.taken_over(now, table, next, rng);
            escalation = Some(Escalation {
                to: table.candidates[next].version.clone(),
                below: Confidence::lowest_of(bin),
            });
        }
        Some(Plan {
            first: table.candidates[first].version.clone(),
            escalation,
            repinned: input.pin.is_some(),
        })
    }

    /// The way that the mixture, or now and then an exploration, asks for.
    fn wished(&self, table: &Table, input: &ChoiceInput<'_>, rng: &mut impl Rng) -> Option<usize> {
        for (ways, share) in [
            (&table.trial, self.cfg.trial),
            (&table.explore, self.cfg.exploration),
        ] {
            if !ways.is_empty() && rng.random_bool(share.clamp(0.0, 1.0)) {
                return Some(ways[rng.random_range(0..ways.len())]);
            }
        }
        let one_version = input.in_session || !input.may_escalate;
        let mixture = if one_version { table.direct } else { table.any };
        mixture.map(|mixture| pick(&mixture, rng))
    }

    /// Whether a way is in time and within its versions' budgets.
    fn fits(&self, now: Time, table: &Table, way: usize, input: &ChoiceInput<'_>) -> bool {
        let way = &table.ways[way];
        let bind = table.budgets_bind();
        let within = |id: StreamId| self.within_budget(now, id, bind);
        let next = way.next.map(|(next, _)| next);
        way.latency <= input.time_left
            && within(table.ids[way.first])
            && next.is_none_or(|next| within(table.escalated_ids[next]))
    }

    /// A suspect is always held to its budget, the unproved only where `bind` says so.
    fn within_budget(&self, now: Time, id: StreamId, bind: bool) -> bool {
        self.streams.get(&id).is_some_and(|stream| {
            let held = match stream.phase {
                Phase::Unproved => bind,
                Phase::Suspect => true,
                Phase::Proved => false,
                Phase::Suspended => return false,
            };
            let progress = stream.progress();
            !held || stream.budget.allows(now, &progress, self.largest_fleet)
        })
    }

    /// The proved versions' mixture; else the best version in time, which comes to pass
    /// when nothing is proved; else the fastest.
    fn fallback(
        &self,
        now: Time,
        table: &Table,
        input: &ChoiceInput<'_>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let fits = |way: &usize| self.fits(now, table, *way, input);
        let proved = table.proved.map(|mixture| pick(&mixture, rng));
        let in_time = |way: &usize| table.ways[*way].latency <= input.time_left;
        let trusted = |way: &usize| {
            let phase = self.phase(table.ids[table.ways[*way].first]);
            phase != Some(Phase::Suspect)
        };
        let direct = || table.fallback.iter().copied();
        proved
            .filter(fits)
            .or_else(|| direct().find(fits))
            .or_else(|| direct().find(|way| in_time(way) && trusted(way)))
            .or_else(|| direct().find(in_time))
            .or_else(|| direct().min_by_key(|way| table.ways[*way].latency))
    }

    /// The candidate itself, or the one that takes over from it.
    fn taken_over(&self, now: Time, table: &Table, index: usize, rng: &mut impl Rng) -> usize {
        let Some((to, share)) = table.takeover.get(&index).copied() else {
            return index;
        };
        if rng.random_bool(share.clamp(0.0, 1.0)) && self.within_budget(now, table.ids[to], true) {
            to
        } else {
            index
        }
    }
}

fn pick(mixture: &Mixture, rng: &mut impl Rng) -> usize {
    if rng.random_bool(mixture.strong_share.clamp(0.0, 1.0)) {
        mixture.strong
    } else {
        mixture.weak
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
