//! One daemon: its I/O-free parts, connected as the traffic threads connect them.

use std::collections::BTreeMap;

use keyvalue::Outcome;
use ledger::{CallId, Config, Ledger, Message, Peer, Receipt};
use requests::attempt::AttemptEnd;
use requests::budget::RetryBudget;
use requests::claim::{Claim, LeaseSlots, Settlement, Windows};
use requests::life::{Admitted, Arrived, Attempted, Billed, Request, RequestSpec};
use requests::refusal::Code;
use requests::step::{OnCallerGone, on_caller_gone};
use types::prelude::*;

use crate::oracle::{CallEnd, Oracle};
use crate::world::{Attempt, Effect, EngineReply, PREFIX, customer, is_idempotent, is_streamed};

mod answers;
mod claims;

const DEADLINE: Span = Span::from_secs(30);

/// One run of a daemon from start to crash: the daemon's index and the run's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DaemonRun(usize, u64);

impl DaemonRun {
    /// Run of no daemon: outcomes for it are dropped.
    pub(crate) const NONE: Self = Self(usize::MAX, 0);

    pub(crate) fn daemon(self) -> DaemonId {
        format!("daemon-{}", self.0).parse().unwrap()
    }
}

/// Part of the daemon that made a store call and gets its outcome.
#[derive(Debug, Clone, Copy)]
pub(crate) enum StoreCallOwner {
    Lease(Time),
    Claim(usize),
    Settle(usize),
    Ledger(CallId),
}

enum Stage {
    Claiming(Request<Admitted>, Claim),
    Attempting(OpenAttempt),
    Billing {
        req: Request<Billed>,
        receipt: Receipt,
        tokens: Vec<String>,
    },
}

struct OpenAttempt {
    req: Request<Attempted>,
    attempt: u64,
    tokens: Vec<String>,
}

struct ServedCall {
    request: u8,
    stage: Stage,
    has_caller: bool,
}

pub(crate) struct Daemon {
    pub(crate) run: DaemonRun,
    pub(crate) is_paused: bool,
    slots: LeaseSlots,
    ledger: Ledger,
    budget: RetryBudget,
    served: BTreeMap<usize, ServedCall>,
    settling: BTreeMap<usize, (u8, Settlement)>,
    retry_later: Vec<usize>,
    counter: u64,
}

fn peer(index: usize, run: u64) -> Peer {
    Peer {
        id: DaemonRun(index, 0).daemon(),
        failure_domain: format!("domain-{}", index % 2).parse().unwrap(),
        region: "ernakulam".parse().unwrap(),
        incarnation: Incarnation(run),
    }
}

fn upstream(attempt: u64) -> UpstreamId {
    format!("u{attempt}").parse().unwrap()
}

impl Daemon {
    pub(crate) fn new(index: usize, run: u64) -> Self {
        let windows = Windows {
            retry: Span::from_secs(600),
            slot: Span::from_secs(60),
        };
        Self {
            run: DaemonRun(index, run),
            is_paused: false,
            slots: LeaseSlots::new(windows),
            ledger: Ledger::new(Config::new(peer(index, run), PREFIX)),
            budget: RetryBudget::new(Time::ZERO),
            served: BTreeMap::new(),
            settling: BTreeMap::new(),
            retry_later: Vec::new(),
            counter: 0,
        }
    }

    pub(crate) fn id(&self) -> DaemonId {
        self.run.daemon()
    }

    pub(crate) fn peer(&self) -> Peer {
        peer(self.run.0, self.run.1)
    }

    pub(crate) fn has_sealed_all_bills(&self) -> bool {
        let fill = self.ledger.fill();
        fill.own + fill.custody == 0
    }

    /// The other daemon that holds copies of all of its unsealed bills, if there is one.
    pub(crate) fn holder_of_all_bills(&self) -> Option<DaemonId> {
        let fill = self.ledger.fill();
        fill.holder.filter(|_| fill.unheld == 0)
    }

    /// Requests whose claims are being recorded or released.
    pub(crate) fn settling(&self) -> impl Iterator<Item = u8> {
        self.settling.values().map(|(request, _)| *request)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.served.is_empty() && self.settling.is_empty()
    }

    /// Calls whose callers wait for an answer.
    pub(crate) fn calls(&self) -> Vec<usize> {
        let waiting = self.served.iter().filter(|(_, served)| served.has_caller);
        waiting.map(|(call, _)| *call).collect()
    }

    fn next_id(&mut self) -> u64 {
        self.counter += 1;
        self.run.1 * 1_000_000 + self.counter
    }

    pub(crate) fn on_request(
        &mut self,
        oracle: &mut Oracle,
        call: usize,
        now: Time,
    ) -> Vec<Effect> {
        let request = oracle.calls[call].request;
        let arrived = Arrived::new();
        if !self.ledger.has_room(self.served.len()) {
            let refusal = arrived.refuse(Code::LedgerFull);
            oracle.call_ended(call, CallEnd::Refusal(refusal));
            return Vec::new();
        }
        let req = arrived.admit(RequestSpec {
            customer: customer(request),
            id: format!("request-{request}").parse().unwrap(),
            entry: "brief-writer".parse().unwrap(),
            idempotent: is_idempotent(request),
            resumable: is_streamed(request),
            deadline: now + DEADLINE,
        });
        match req.ready() {
            Ok(req) => {
                let req = req.attempt(upstream(0));
                self.attempt(call, request, req, Vec::new(), true)
            }
            Err(req) => self.claim(oracle, call, request, req, now),
        }
    }

    fn attempt(
        &mut self,
        call: usize,
        request: u8,
        req: Request<Attempted>,
        tokens: Vec<String>,
        has_caller: bool,
    ) -> Vec<Effect> {
        let id = self.next_id();
        let attempt = Attempt {
            from: self.run,
            call,
            id,
            request,
            resume_from: tokens.len(),
            deadline: req.spec().deadline,
        };
        let open = OpenAttempt {
            req,
            attempt: id,
            tokens,
        };
        self.served.insert(
            call,
            ServedCall {
                request,
                stage: Stage::Attempting(open),
                has_caller,
            },
        );
        vec![Effect::Attempt(attempt)]
    }

    pub(crate) fn on_store(
        &mut self,
        oracle: &mut Oracle,
        owner: StoreCallOwner,
        outcome: Outcome,
        now: Time,
    ) -> Vec<Effect> {
        match owner {
            StoreCallOwner::Lease(asked_at) => {
                self.slots.on_outcome(asked_at, &outcome);
                Vec::new()
            }
            StoreCallOwner::Claim(call) => self.on_claim(oracle, call, outcome, now),
            StoreCallOwner::Settle(id) => self.on_settle(id, outcome),
            StoreCallOwner::Ledger(id) => {
                let effects = self.ledger.on_store(now, id, outcome);
                self.apply_ledger_effects(oracle, effects)
            }
        }
    }

    pub(crate) fn on_peer(
        &mut self,
        oracle: &mut Oracle,
        from: &DaemonId,
        message: Message,
        now: Time,
    ) -> Vec<Effect> {
        let effects = self.ledger.on_peer(now, from, message);
        self.apply_ledger_effects(oracle, effects)
    }

    /// Does what is due: ledger work, a lease request, settlements to try again, and timeouts of
    /// attempts.
    pub(crate) fn tick(
        &mut self,
        oracle: &mut Oracle,
        now: Time,
        wall: WallTime,
        others: &[Peer],
    ) -> Vec<Effect> {
        let effects = self.ledger.tick(now, wall, others);
        let mut out = self.apply_ledger_effects(oracle, effects);
        let lease = self.slots.poll(now);
        out.extend(
            lease.map(|(at, call)| Effect::Store(self.run, StoreCallOwner::Lease(at), call)),
        );
        for id in std::mem::take(&mut self.retry_later) {
            if let Some((_, settle)) = self.settling.get_mut(&id) {
                out.push(Effect::Store(
                    self.run,
                    StoreCallOwner::Settle(id),
                    settle.restart(),
                ));
            }
        }
        let is_past_deadline = |served: &ServedCall| match &served.stage {
            Stage::Attempting(open) => now.has_reached(open.req.spec().deadline),
            _ => false,
        };
        let past_deadline = self
            .served
            .iter()
            .filter(|(_, served)| is_past_deadline(served));
        let past_deadline: Vec<_> = past_deadline
            .filter_map(|(call, served)| match &served.stage {
                Stage::Attempting(open) => Some((*call, open.attempt)),
                _ => None,
            })
            .collect();
        for (call, attempt) in past_deadline {
            out.extend(self.on_end(oracle, call, attempt, EngineReply::TimedOut, now, wall));
        }
        out
    }

    /// Handles a caller that disconnects: idempotent work is cancelled, other work continues.
    pub(crate) fn on_caller_gone(&mut self, oracle: &mut Oracle, call: usize, now: Time) {
        oracle.call_ended(call, CallEnd::Broken);
        let Some(mut served) = self.served.remove(&call) else {
            return;
        };
        served.has_caller = false;
        match served.stage {
            Stage::Attempting(open) if on_caller_gone(open.req.spec()) == OnCallerGone::Cancel => {
                let end = AttemptEnd::CallerGone;
                let _ = open.req.end(&upstream(0), &end, now, &mut self.budget);
            }
            _ => {
                self.served.insert(call, served);
            }
        }
    }
}
