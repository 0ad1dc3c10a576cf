//! The end of a sequence: everything heals, and what is left is checked.

use std::collections::BTreeMap;

use ledger::{Export, Step};
use types::prelude::*;

use super::{LEASE_ASKED_AGAIN, PREFIX, RETRY_WINDOW, ROLL_UP_TICKS, START, World, is_idempotent};
use crate::oracle::Saw;

impl World {
    /// Heals everything, repeats what has no answer, and checks what is left.
    pub(crate) fn finish(&mut self) {
        self.is_store_down = false;
        for index in 0..self.daemons.len() {
            self.pause(index, false);
        }
        self.drain();
        self.tick(LEASE_ASKED_AGAIN);
        self.drain();
        self.oracle.check();
        for request in 0..8 {
            self.repeat_last(request);
        }
        for _ in 0..ROLL_UP_TICKS {
            self.tick(Span::from_secs(3));
            self.settle_effects();
        }
        assert!(self.is_quiet(), "bills left unsealed");
        self.oracle.check();
        let bills = self.bills();
        self.oracle.check_bills(&bills);
        let answered = self.oracle.answered.iter();
        self.oracle.bills_lost = answered.filter(|id| !bills.contains_key(id)).count();
    }

    /// A last repeat by a caller without an answer: it is never lost. Only a call that may run
    /// once and may have run is told "outcome unknown".
    fn repeat_last(&mut self, request: u8) {
        let calls = || {
            self.oracle
                .calls
                .iter()
                .filter(|call| call.request == request)
        };
        let is_new = calls().next().is_none();
        let is_late = self
            .first_sent
            .get(&request)
            .is_some_and(|first| self.now.since(*first) > RETRY_WINDOW);
        if is_new || is_late || self.oracle.answered.contains(&request) {
            return;
        }
        let is_stranded = self.oracle.stranded.contains(&request);
        let may_have_run = calls().any(|call| match &call.saw {
            Some(Saw::Refusal(refusal)) => refusal.run() != RunState::No,
            _ => true,
        });
        let may_be_unknown = !is_idempotent(request) && (is_stranded || may_have_run);
        self.send(request, 0);
        self.drain();
        let is_answered = self.oracle.last_answer().is_some();
        assert!(
            is_answered || may_be_unknown,
            "request {request} is lost: {:#?}",
            self.oracle
                .calls
                .iter()
                .filter(|call| call.request == request)
                .collect::<Vec<_>>()
        );
    }

    /// Count and tokens billed for each request, from an export.
    pub(crate) fn bills(&mut self) -> BTreeMap<u8, (u64, u64)> {
        let mut export = Export::new(PREFIX, WallTime(0), WallTime(START * 2));
        let mut request = export.start();
        let statement = loop {
            match export.on_store(self.store.call(&request)).unwrap() {
                Step::Call(next) => request = next,
                Step::Done(statement) => break statement,
            }
        };
        let totals = statement.totals();
        let bills = totals.iter().map(|(account, sum)| {
            let name = account.customer.as_str();
            let request = name.rsplit('-').next().unwrap().parse().unwrap();
            (request, (sum.requests, sum.output.0))
        });
        bills.collect()
    }
}
