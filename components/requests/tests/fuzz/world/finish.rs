//! End of a sequence: all faults end, and the final state is checked.

use std::collections::BTreeMap;

use ledger::{Export, Step};
use types::prelude::*;

use super::{
    LEASE_RETRY_DELAY, PREFIX, RETRY_WINDOW, ROLL_UP_TICKS, WALL_START_MS, World, is_idempotent,
};
use crate::oracle::CallEnd;

impl World {
    /// Ends all faults, retries requests without an answer, and checks the final state.
    pub(crate) fn finish(&mut self) {
        self.is_store_down = false;
        for index in 0..self.daemons.len() {
            self.pause(index, false);
        }
        self.run_until_idle();
        self.tick(LEASE_RETRY_DELAY);
        self.run_until_idle();
        self.oracle.check();
        for request in 0..8 {
            self.repeat_without_answer(request);
        }
        for _ in 0..ROLL_UP_TICKS {
            self.tick(Span::from_secs(3));
            self.perform_all();
        }
        assert!(self.all_bills_sealed(), "bills left unsealed");
        self.oracle.check();
        let bills = self.bills();
        self.oracle.check_bills(&bills);
        let answered = self.oracle.answered.iter();
        self.oracle.bills_lost = answered.filter(|id| !bills.contains_key(id)).count();
    }

    /// Retries a request that has no answer yet, and checks that it gets one. Only a request that
    /// may run at most once and may have run can get "outcome unknown" instead.
    fn repeat_without_answer(&mut self, request: u8) {
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
        let is_claim_unsettled = self.oracle.claim_unsettled.contains(&request);
        let may_have_run = calls().any(|call| match &call.end {
            Some(CallEnd::Refusal(refusal)) => refusal.run() != RunState::No,
            _ => true,
        });
        let may_be_unknown = !is_idempotent(request) && (is_claim_unsettled || may_have_run);
        self.send(request, 0);
        self.run_until_idle();
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

    /// Number of bills and billed tokens of each request, from an export of the ledger.
    pub(crate) fn bills(&mut self) -> BTreeMap<u8, (u64, u64)> {
        let mut export = Export::new(PREFIX, WallTime(0), WallTime(WALL_START_MS * 2));
        let mut request = export.start();
        let statement = loop {
            match export.on_store(self.store.call(&request)).unwrap() {
                Step::Call(next) => request = next,
                Step::Done(statement) => break statement,
            }
        };
        let totals = statement.totals();
        let bills = totals.iter().map(|(account, sum)| {
            let customer = account.customer.as_str();
            let request = customer.rsplit('-').next().unwrap().parse().unwrap();
            (request, (sum.requests, sum.output.0))
        });
        bills.collect()
    }
}
