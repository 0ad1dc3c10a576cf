//! What must hold, counted for each request and each call of it.

use std::collections::{BTreeMap, BTreeSet};

use requests::refusal::Refusal;
use types::prelude::*;

use crate::world::{TOKENS, is_idempotent, whole_answer};

/// One call of a caller: the same request may be called several times.
#[derive(Debug, Clone, Default)]
pub(crate) struct Call {
    pub(crate) request: u8,
    /// Times that an engine began it for this call.
    pub(crate) runs: u32,
    pub(crate) saw: Option<Saw>,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Saw {
    Answer(Vec<String>),
    Refusal(Refusal),
    /// The connection broke, as when the daemon crashed.
    Broken,
}

#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) calls: Vec<Call>,
    pub(crate) runs: BTreeMap<u8, u32>,
    pub(crate) answered: BTreeSet<u8>,
    /// Whose bill may be lost: all daemons that held it crashed before it was sealed.
    pub(crate) excused: BTreeSet<u8>,
    /// Bills that are not yet known to be sealed.
    pub(crate) copies: Vec<Copy>,
    pub(crate) bills_lost: usize,
    /// Claimed by a daemon that crashed before it could release the claim.
    pub(crate) stranded: BTreeSet<u8>,
}

/// A bill and the daemons that hold it until it is sealed.
#[derive(Debug)]
pub(crate) struct Copy {
    pub(crate) request: u8,
    pub(crate) origin: DaemonId,
    pub(crate) holders: BTreeSet<DaemonId>,
}

impl Oracle {
    /// A daemon and all that it held are gone. A bill that nobody holds any more is lost by
    /// design: the window is stated, and it is not asked for.
    pub(crate) fn crashed(&mut self, daemon: &DaemonId) {
        for copy in &mut self.copies {
            copy.holders.remove(daemon);
        }
        let is_held = |request: u8| {
            let mut copies = self.copies.iter().filter(|copy| copy.request == request);
            copies.any(|copy| !copy.holders.is_empty())
        };
        let lost = self.copies.iter().map(|copy| copy.request);
        let lost: Vec<_> = lost.filter(|request| !is_held(*request)).collect();
        self.excused.extend(lost);
    }

    /// All bills of a daemon are held by a second one.
    pub(crate) fn held_by(&mut self, origin: &DaemonId, holder: &DaemonId) {
        for copy in &mut self.copies {
            if copy.origin == *origin && copy.holders.contains(origin) {
                copy.holders.insert(holder.clone());
            }
        }
    }

    pub(crate) fn call(&mut self, request: u8) -> usize {
        self.calls.push(Call {
            request,
            ..Call::default()
        });
        self.calls.len() - 1
    }

    pub(crate) fn ran(&mut self, call: usize) {
        let call = &mut self.calls[call];
        call.runs += 1;
        *self.runs.entry(call.request).or_default() += 1;
    }

    pub(crate) fn saw(&mut self, call: usize, saw: Saw) {
        let call = &mut self.calls[call];
        assert!(
            call.saw.is_none(),
            "a call ended twice: {:?} {saw:?}",
            call.saw
        );
        if let Saw::Answer(tokens) = &saw {
            let whole = whole_answer(call.request);
            assert_eq!(*tokens, whole, "not the whole answer to its own request");
            self.answered.insert(call.request);
        }
        call.saw = Some(saw);
    }

    pub(crate) fn last_answer(&self) -> Option<Vec<String>> {
        match &self.calls.last()?.saw {
            Some(Saw::Answer(tokens)) => Some(tokens.clone()),
            _ => None,
        }
    }

    pub(crate) fn check(&self) {
        for (request, runs) in &self.runs {
            let is_allowed = is_idempotent(*request) || *runs <= 1;
            assert!(is_allowed, "request {request} ran {runs} times");
        }
        for call in &self.calls {
            if let Some(Saw::Refusal(refusal)) = &call.saw {
                let is_true = refusal.run() != RunState::No || call.runs == 0;
                assert!(is_true, "false not run: {call:?}");
            }
        }
    }

    pub(crate) fn check_bills(&self, bills: &BTreeMap<u8, (u64, u64)>) {
        for (request, (count, tokens)) in bills {
            assert_eq!(*count, 1, "request {request} is billed {count} times");
            assert_eq!(*tokens, TOKENS as u64, "request {request}'s tokens");
        }
        for request in self.answered.difference(&self.excused) {
            assert!(bills.contains_key(request), "no bill of request {request}");
        }
    }
}

/// How often each end was reached.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    sequences: u64,
    calls: u64,
    runs: u64,
    answers: u64,
    not_run: u64,
    unknown: u64,
    ran_in_part: u64,
    broken: u64,
    bills_excused: u64,
    bills_lost: u64,
}

impl Tally {
    pub(crate) fn add(&mut self, one: Self) {
        self.sequences += 1;
        self.calls += one.calls;
        self.runs += one.runs;
        self.answers += one.answers;
        self.not_run += one.not_run;
        self.unknown += one.unknown;
        self.ran_in_part += one.ran_in_part;
        self.broken += one.broken;
        self.bills_excused += one.bills_excused;
        self.bills_lost += one.bills_lost;
    }

    pub(crate) fn check_coverage(&self) {
        let ends = [
            self.answers,
            self.not_run,
            self.unknown,
            self.ran_in_part,
            self.broken,
        ];
        assert!(ends.iter().all(|count| *count > 0), "an end is not reached");
        assert!(
            self.bills_excused * 50 < self.answers,
            "too much is excused"
        );
    }
}

impl Oracle {
    pub(crate) fn tally(&self) -> Tally {
        let mut tally = Tally {
            calls: self.calls.len() as u64,
            runs: self.runs.values().map(|runs| u64::from(*runs)).sum(),
            bills_excused: self.excused.len() as u64,
            bills_lost: self.bills_lost as u64,
            ..Tally::default()
        };
        for call in &self.calls {
            match &call.saw {
                Some(Saw::Answer(_)) => tally.answers += 1,
                Some(Saw::Broken) | None => tally.broken += 1,
                Some(Saw::Refusal(refusal)) => match refusal.run() {
                    RunState::No => tally.not_run += 1,
                    RunState::Unknown => tally.unknown += 1,
                    RunState::Yes => tally.ran_in_part += 1,
                },
            }
        }
        tally
    }
}

/// One daemon, no faults, nothing in parallel.
#[derive(Debug, Default)]
pub(crate) struct Naive {
    bills: BTreeMap<u8, (u64, u64)>,
}

impl Naive {
    pub(crate) fn send(&mut self, request: u8) -> Vec<String> {
        self.bills.insert(request, (1, TOKENS as u64));
        whole_answer(request)
    }

    pub(crate) fn bills(&self) -> BTreeMap<u8, (u64, u64)> {
        self.bills.clone()
    }
}
