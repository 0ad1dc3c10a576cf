//! Chooses the version for one request: a random draw from the offer's table, within the budgets.

use rand::{Rng, RngExt};
use types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use super::Quality;
use crate::choice::{Candidate, ChoiceInput, Escalation, Plan};
use crate::mixture::Mixture;
use crate::rating::Confidence;
use crate::stream::{Phase, StreamId};
use crate::table::Table;

/// Maximum number of tables kept, which bounds memory.
const MAX_TABLES: usize = 1024;

impl Quality {
    /// Chooses how to serve a request. Returns `None` when every version is suspended or there is
    /// no candidate.
    pub fn choose(
        &mut self,
        now: Time,
        input: &ChoiceInput<'_>,
        rng: &mut impl Rng,
    ) -> Option<Plan> {
        if let Some(plan) = self.pinned_plan(input) {
            return Some(plan);
        }
        let key = table_key(input);
        self.refresh_table(now, key, input, rng);
        let mut table = self.tables.remove(&key)?;
        let plan = self.draw_plan(now, &mut table, input, rng);
        self.tables.insert(key, table);
        plan
    }

    /// Plan to stay on the session's version, unless that version may no longer serve.
    fn pinned_plan(&mut self, input: &ChoiceInput<'_>) -> Option<Plan> {
        let pin = input.pin?;
        let mut permitted = input.candidates.iter();
        permitted.find(|candidate| candidate.version == *pin)?;
        let id = StreamId::new(&input.offer.class, pin);
        if self.phase(id) == Some(Phase::Suspended) {
            return None;
        }
        self.record_served(id, true);
        Some(Plan {
            first: pin.clone(),
            escalation: None,
            session_moved: false,
        })
    }

    fn phase(&self, id: StreamId) -> Option<Phase> {
        self.streams.get(&id).map(|stream| stream.phase)
    }

    /// Counts a request sent to a stream, also against its budget if `on_budget` is set.
    pub(super) fn record_served(&mut self, id: StreamId, on_budget: bool) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.served += 1;
            if on_budget {
                stream.budget.spend();
            }
        }
    }

    /// Rebuilds the table of the offer and its candidates unless the present one is recent enough.
    fn refresh_table(&mut self, now: Time, key: u64, input: &ChoiceInput<'_>, rng: &mut impl Rng) {
        let table = self.tables.get(&key);
        let is_recent = table.is_some_and(|table| {
            table.generation == self.generation && !now.has_reached(table.rebuild_at)
        });
        if is_recent {
            return;
        }
        for candidate in input.candidates {
            self.describe(now, input.offer, candidate, rng);
        }
        let served = self.tables.remove(&key).map(|table| table.served);
        if self.tables.len() >= MAX_TABLES {
            self.tables.pop_first();
        }
        let served = served.unwrap_or_default();
        let mut table = Table::build(
            input.offer,
            input.candidates,
            &self.streams,
            &self.cfg,
            served,
            self.fleet,
        );
        table.generation = self.generation;
        table.rebuild_at = now + self.cfg.refresh_every;
        self.tables.insert(key, table);
    }

    fn draw_plan(
        &mut self,
        now: Time,
        table: &mut Table,
        input: &ChoiceInput<'_>,
        rng: &mut impl Rng,
    ) -> Option<Plan> {
        let drawn = self.draw_strategy(table, input, rng)?;
        let strategy = if self.is_allowed(now, table, drawn, input) {
            drawn
        } else {
            self.fallback(now, table, input, rng)?
        };
        table.record_use(strategy);
        let strategy = table.strategies[strategy].clone();
        let first = self.apply_rollout(now, table, strategy.first, rng);
        let on_budget = table.budgets_apply() || first != strategy.first;
        self.record_served(table.ids[first], on_budget);
        let mut escalation = None;
        if let Some((next, bin)) = strategy.next {
            let next = self.apply_rollout(now, table, next, rng);
            escalation = Some(Escalation {
                to: table.candidates[next].version.clone(),
                below: Confidence::lowest_of(bin),
            });
        }
        Some(Plan {
            first: table.candidates[first].version.clone(),
            escalation,
            session_moved: input.pin.is_some(),
        })
    }

    /// The strategy drawn from the mixture or, for a small share of requests, from the trials or
    /// explorations.
    fn draw_strategy(
        &self,
        table: &Table,
        input: &ChoiceInput<'_>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        for (strategies, share) in [
            (&table.trial, self.cfg.trial),
            (&table.explore, self.cfg.exploration),
        ] {
            if !strategies.is_empty() && rng.random_bool(share.clamp(0.0, 1.0)) {
                return Some(strategies[rng.random_range(0..strategies.len())]);
            }
        }
        let single_version = input.in_session || !input.may_escalate;
        let mixture = if single_version {
            table.direct_mixture
        } else {
            table.any_mixture
        };
        mixture.map(|mixture| draw_from(&mixture, rng))
    }

    /// Whether a strategy meets the deadline and its versions' budgets.
    fn is_allowed(
        &self,
        now: Time,
        table: &Table,
        strategy: usize,
        input: &ChoiceInput<'_>,
    ) -> bool {
        let strategy = &table.strategies[strategy];
        let limit_unproved = table.budgets_apply();
        let within = |id: StreamId| self.within_budget(now, id, limit_unproved);
        let next = strategy.next.map(|(next, _)| next);
        strategy.latency <= input.time_left
            && within(table.ids[strategy.first])
            && next.is_none_or(|next| within(table.escalated_ids[next]))
    }

    /// Whether a stream may give one more answer. The budget always limits a suspect version, and
    /// an unproved one only if `limit_unproved` is set.
    fn within_budget(&self, now: Time, id: StreamId, limit_unproved: bool) -> bool {
        self.streams.get(&id).is_some_and(|stream| {
            let limited = match stream.phase {
                Phase::Unproved => limit_unproved,
                Phase::Suspect => true,
                Phase::Proved => false,
                Phase::Suspended => return false,
            };
            let progress = stream.progress();
            !limited || stream.budget.allows(now, &progress, self.largest_fleet)
        })
    }

    /// The strategy used when the drawn one is not allowed.
    ///
    /// The first of these that exists:
    ///
    /// * a draw from the proved versions' mixture, if it meets deadline and budget;
    /// * the best single version that meets both;
    /// * the best one that meets the deadline and is not suspect, even beyond its budget, since no
    ///   proved version meets the deadline;
    /// * the best one that meets the deadline, even beyond its budget;
    /// * the fastest one.
    fn fallback(
        &self,
        now: Time,
        table: &Table,
        input: &ChoiceInput<'_>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let is_allowed = |strategy: &usize| self.is_allowed(now, table, *strategy, input);
        let proved = table.proved_mixture.map(|mixture| draw_from(&mixture, rng));
        let in_time = |strategy: &usize| table.strategies[*strategy].latency <= input.time_left;
        let not_suspect = |strategy: &usize| {
            let phase = self.phase(table.ids[table.strategies[*strategy].first]);
            phase != Some(Phase::Suspect)
        };
        let direct = || table.fallback.iter().copied();
        proved
            .filter(is_allowed)
            .or_else(|| direct().find(is_allowed))
            .or_else(|| direct().find(|strategy| in_time(strategy) && not_suspect(strategy)))
            .or_else(|| direct().find(in_time))
            .or_else(|| direct().min_by_key(|strategy| table.strategies[*strategy].latency))
    }

    /// Index of the candidate itself, or of the one being rolled out in its place, drawn by the
    /// rollout's share.
    fn apply_rollout(&self, now: Time, table: &Table, index: usize, rng: &mut impl Rng) -> usize {
        let Some((to, share)) = table.successors.get(&index).copied() else {
            return index;
        };
        if rng.random_bool(share.clamp(0.0, 1.0)) && self.within_budget(now, table.ids[to], true) {
            to
        } else {
            index
        }
    }
}

fn draw_from(mixture: &Mixture, rng: &mut impl Rng) -> usize {
    if rng.random_bool(mixture.strong_share.clamp(0.0, 1.0)) {
        mixture.strong
    } else {
        mixture.weak
    }
}

/// Hash of the offer and the set of candidates that a table was built for.
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
    hash.update(&[u8::from(candidate.accepts_new_sessions)]);
}
