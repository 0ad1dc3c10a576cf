//! One daemon: the pure parts joined as the traffic threads join them.

use std::collections::BTreeMap;

use bytes::Bytes;
use keyvalue::{CallError, Outcome, Request as StoreRequest};
use ledger::{Bill, BillId, CallId, Config, Item, Ledger, Message, Peer, Receipt};
use requests::attempt::{AttemptEnd, Doubt, Usage};
use requests::budget::RetryBudget;
use requests::claim::{
    Claim, ClaimSpec, ClaimStep, LeaseSlots, Nonce, Recorded, Settle, SettleStep, Standing,
    Windows, claim_key,
};
use requests::life::{Admitted, Arrived, Attempted, Billed, Facts, Next, Request};
use requests::refusal::{Code, Refusal};
use requests::step::{OnCallerGone, on_caller_gone};
use types::prelude::*;

use crate::oracle::{Copy, Oracle, Saw};
use crate::world::{Attempt, Effect, EngineReply, PREFIX, customer, is_idempotent, is_streamed};

const DEADLINE: Span = Span::from_secs(30);

/// One run of a daemon, from start to crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Run(usize, u64);

impl Run {
    pub(crate) const NOBODY: Self = Self(usize::MAX, 0);

    pub(crate) fn daemon(self) -> DaemonId {
        format!("daemon-{}", self.0).parse().unwrap()
    }
}

/// Whom an outcome of the store is for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Which {
    Lease(Time),
    Claim(usize),
    Settle(usize),
    Ledger(CallId),
}

enum Stage {
    Claiming(Request<Admitted>, Claim),
    Open(Open),
    Ending {
        req: Request<Billed>,
        receipt: Receipt,
        tokens: Vec<String>,
    },
}

struct Open {
    req: Request<Attempted>,
    attempt: u64,
    tokens: Vec<String>,
}

struct Served {
    request: u8,
    stage: Stage,
    has_caller: bool,
}

pub(crate) struct Daemon {
    pub(crate) run: Run,
    pub(crate) is_paused: bool,
    slots: LeaseSlots,
    ledger: Ledger,
    budget: RetryBudget,
    served: BTreeMap<usize, Served>,
    settling: BTreeMap<usize, (u8, Settle)>,
    later: Vec<usize>,
    counter: u64,
}

fn peer(index: usize, run: u64) -> Peer {
    Peer {
        id: Run(index, 0).daemon(),
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
            run: Run(index, run),
            is_paused: false,
            slots: LeaseSlots::new(windows),
            ledger: Ledger::new(Config::new(peer(index, run), PREFIX)),
            budget: RetryBudget::new(Time::ZERO),
            served: BTreeMap::new(),
            settling: BTreeMap::new(),
            later: Vec::new(),
            counter: 0,
        }
    }

    pub(crate) fn id(&self) -> DaemonId {
        self.run.daemon()
    }

    pub(crate) fn peer(&self) -> Peer {
        peer(self.run.0, self.run.1)
    }

    pub(crate) fn has_sealed_all(&self) -> bool {
        let fill = self.ledger.fill();
        fill.own + fill.custody == 0
    }

    /// The second holder of all of its unsealed bills, if there is one.
    pub(crate) fn holder_of_all(&self) -> Option<DaemonId> {
        let fill = self.ledger.fill();
        fill.holder.filter(|_| fill.unheld == 0)
    }

    /// Requests whose claims wait to be released or recorded.
    pub(crate) fn settling(&self) -> impl Iterator<Item = u8> {
        self.settling.values().map(|(request, _)| *request)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.served.is_empty() && self.settling.is_empty()
    }

    /// Calls whose callers wait.
    pub(crate) fn calls(&self) -> Vec<usize> {
        let waiting = self.served.iter().filter(|(_, served)| served.has_caller);
        waiting.map(|(call, _)| *call).collect()
    }

    fn next_id(&mut self) -> u64 {
        self.counter += 1;
        self.run.1 * 1_000_000 + self.counter
    }

    pub(crate) fn arrive(&mut self, oracle: &mut Oracle, call: usize, now: Time) -> Vec<Effect> {
        let request = oracle.calls[call].request;
        let arrived = Arrived::new();
        if !self.ledger.has_room(self.served.len()) {
            let refusal = arrived.refuse(Code::LedgerFull);
            oracle.saw(call, Saw::Refusal(refusal));
            return Vec::new();
        }
        let req = arrived.admit(Facts {
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

    fn claim(
        &mut self,
        oracle: &mut Oracle,
        call: usize,
        request: u8,
        req: Request<Admitted>,
        now: Time,
    ) -> Vec<Effect> {
        let Some(lease) = self.slots.current(now) else {
            let refusal = req.refuse(Code::ClaimUnavailable).refusal();
            oracle.saw(call, Saw::Refusal(refusal));
            return Vec::new();
        };
        let facts = req.facts();
        let spec = ClaimSpec {
            key: claim_key("claims/", &facts.customer, &facts.id),
            nonce: Nonce {
                daemon: self.id(),
                incarnation: Incarnation(self.run.1),
                counter: self.next_id(),
            },
            fingerprint: request.into(),
            lease,
            deadline: facts.deadline,
        };
        let (claim, first) = Claim::start(spec);
        self.served.insert(
            call,
            Served {
                request,
                stage: Stage::Claiming(req, claim),
                has_caller: true,
            },
        );
        vec![Effect::Store(self.run, Which::Claim(call), first)]
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
            deadline: req.facts().deadline,
        };
        let open = Open {
            req,
            attempt: id,
            tokens,
        };
        self.served.insert(
            call,
            Served {
                request,
                stage: Stage::Open(open),
                has_caller,
            },
        );
        vec![Effect::Attempt(attempt)]
    }

    pub(crate) fn on_store(
        &mut self,
        oracle: &mut Oracle,
        which: Which,
        outcome: Outcome,
        now: Time,
    ) -> Vec<Effect> {
        match which {
            Which::Lease(asked_at) => {
                self.slots.on_outcome(asked_at, &outcome);
                Vec::new()
            }
            Which::Claim(call) => self.on_claim(oracle, call, outcome, now),
            Which::Settle(id) => self.on_settle(id, outcome),
            Which::Ledger(id) => {
                let effects = self.ledger.on_store(now, id, outcome);
                self.take(oracle, effects)
            }
        }
    }

    fn on_claim(
        &mut self,
        oracle: &mut Oracle,
        call: usize,
        outcome: Outcome,
        now: Time,
    ) -> Vec<Effect> {
        let Some(mut served) = self.served.remove(&call) else {
            return Vec::new();
        };
        let Stage::Claiming(req, mut claim) = served.stage else {
            self.served.insert(call, served);
            return Vec::new();
        };
        if matches!(outcome, Err(CallError::Refused(_))) {
            self.slots.forget(claim.lease());
        }
        match claim.on_outcome(outcome, now) {
            ClaimStep::Call(next) => {
                served.stage = Stage::Claiming(req, claim);
                self.served.insert(call, served);
                vec![Effect::Store(self.run, Which::Claim(call), next)]
            }
            ClaimStep::Mine(held) => {
                let req = req.claim(held).ready().attempt(upstream(0));
                self.attempt(call, served.request, req, Vec::new(), served.has_caller)
            }
            ClaimStep::Duplicate(standing) => {
                if served.has_caller {
                    oracle.saw(call, repeat(standing));
                }
                Vec::new()
            }
            ClaimStep::Unavailable(doubtful) => {
                let refusal = req.refuse(Code::ClaimUnavailable).refusal();
                if served.has_caller {
                    oracle.saw(call, Saw::Refusal(refusal));
                }
                let release =
                    doubtful.map(|held| self.settle(served.request, Settle::release(held)));
                release.into_iter().collect()
            }
        }
    }

    fn settle(&mut self, request: u8, (settle, first): (Settle, StoreRequest)) -> Effect {
        let id = self.next_id() as usize;
        self.settling.insert(id, (request, settle));
        Effect::Store(self.run, Which::Settle(id), first)
    }

    fn on_settle(&mut self, id: usize, outcome: Outcome) -> Vec<Effect> {
        let Some((_, settle)) = self.settling.get_mut(&id) else {
            return Vec::new();
        };
        match settle.on_outcome(outcome) {
            SettleStep::Call(next) => vec![Effect::Store(self.run, Which::Settle(id), next)],
            SettleStep::Later => {
                self.later.push(id);
                Vec::new()
            }
            SettleStep::Done | SettleStep::Superseded => {
                self.settling.remove(&id);
                Vec::new()
            }
        }
    }

    /// Takes an engine's reply. One to an attempt that was given up is late and is dropped.
    pub(crate) fn on_end(
        &mut self,
        oracle: &mut Oracle,
        call: usize,
        attempt: u64,
        reply: EngineReply,
        now: Time,
        wall: WallTime,
    ) -> Vec<Effect> {
        let is_open = |served: &Served| match &served.stage {
            Stage::Open(open) => open.attempt == attempt,
            _ => false,
        };
        if !self.served.get(&call).is_some_and(is_open) {
            return Vec::new();
        }
        let Some(served) = self.served.remove(&call) else {
            return Vec::new();
        };
        let Stage::Open(mut open) = served.stage else {
            return Vec::new();
        };
        let end = open.read(served.request, reply);
        let next = open.req.end(&upstream(0), &end, now, &mut self.budget);
        let meta = (served.request, served.has_caller);
        self.follow(oracle, call, meta, open.tokens, next, now, wall)
    }

    #[expect(clippy::too_many_arguments, reason = "glue of a test")]
    fn follow(
        &mut self,
        oracle: &mut Oracle,
        call: usize,
        (request, has_caller): (u8, bool),
        mut tokens: Vec<String>,
        next: Next,
        now: Time,
        wall: WallTime,
    ) -> Vec<Effect> {
        let (refusal, claim) = match next {
            Next::Retry(req, retry) => {
                tokens.truncate(retry.resume_from.map_or(0, |at| at.0 as usize));
                let req = req.attempt(upstream(0));
                return self.attempt(call, request, req, tokens, has_caller);
            }
            Next::Answered(req) => {
                let (req, bill) = req.bill();
                let bill = Bill {
                    id: BillId {
                        customer: bill.customer,
                        request: bill.request,
                    },
                    item: Item::Service(bill.entry),
                    input: bill.usage.input,
                    output: bill.usage.output,
                    cost: Cost(bill.usage.output.0),
                    at: wall,
                    attempts: 1,
                };
                let receipt = self.ledger.record(now, bill);
                let stage = Stage::Ending {
                    req,
                    receipt,
                    tokens,
                };
                let served = Served {
                    request,
                    stage,
                    has_caller,
                };
                self.served.insert(call, served);
                let effects = self.ledger.flush(now);
                return self.take(oracle, effects);
            }
            Next::Refused(req) => (req.refusal(), req.into_claim_to_release()),
            Next::Unknown(req) => (req.refusal(), None),
            Next::Open(_) | Next::Escalate(_) => unreachable!("neither hedged nor escalated"),
        };
        if has_caller {
            oracle.saw(call, Saw::Refusal(refusal));
        }
        let release = claim.map(|held| self.settle(request, Settle::release(held)));
        release.into_iter().collect()
    }

    /// What the ledger wants done; an answer's end is released once its bill is safe, and only
    /// then recorded in its claim: a repeat must not be answered from an answer without a bill.
    fn take(&mut self, oracle: &mut Oracle, effects: Vec<ledger::Effect>) -> Vec<Effect> {
        let mut out = Vec::new();
        for effect in effects {
            match effect {
                ledger::Effect::Send { to, message } => {
                    out.push(Effect::Peer(self.run, to, message));
                }
                ledger::Effect::Store { id, request } => {
                    out.push(Effect::Store(self.run, Which::Ledger(id), request));
                }
                ledger::Effect::Released { upto, alone } => {
                    out.extend(self.release(oracle, upto, alone));
                }
            }
        }
        out
    }

    fn release(&mut self, oracle: &mut Oracle, upto: Receipt, alone: bool) -> Vec<Effect> {
        let is_released = |_: &usize, served: &mut Served| match &served.stage {
            Stage::Ending { receipt, .. } => *receipt <= upto,
            _ => false,
        };
        let released: Vec<_> = self.served.extract_if(.., is_released).collect();
        let mut out = Vec::new();
        for (call, served) in released {
            let Stage::Ending { req, tokens, .. } = served.stage else {
                continue;
            };
            let body = Bytes::from(tokens.join(" "));
            let second = self.ledger.fill().holder.filter(|_| !alone);
            oracle.copies.push(Copy {
                request: served.request,
                origin: self.id(),
                holders: second.into_iter().chain([self.id()]).collect(),
            });
            if served.has_caller {
                oracle.saw(call, Saw::Answer(tokens));
            }
            let recorded = Recorded::new(200, Vec::new(), body);
            let held = req.into_claim();
            out.extend(
                held.map(|held| self.settle(served.request, Settle::record(held, recorded))),
            );
        }
        out
    }

    pub(crate) fn on_peer(
        &mut self,
        oracle: &mut Oracle,
        from: &DaemonId,
        message: Message,
        now: Time,
    ) -> Vec<Effect> {
        let effects = self.ledger.on_peer(now, from, message);
        self.take(oracle, effects)
    }

    /// Does what is due: a lease, the ledger's work, settlements that the store did not take,
    /// and attempts whose time is over.
    pub(crate) fn tick(
        &mut self,
        oracle: &mut Oracle,
        now: Time,
        wall: WallTime,
        others: &[Peer],
    ) -> Vec<Effect> {
        let effects = self.ledger.tick(now, wall, others);
        let mut out = self.take(oracle, effects);
        let lease = self.slots.poll(now);
        out.extend(lease.map(|(at, call)| Effect::Store(self.run, Which::Lease(at), call)));
        for id in std::mem::take(&mut self.later) {
            if let Some((_, settle)) = self.settling.get_mut(&id) {
                out.push(Effect::Store(self.run, Which::Settle(id), settle.again()));
            }
        }
        let is_late = |served: &Served| match &served.stage {
            Stage::Open(open) => now.has_reached(open.req.facts().deadline),
            _ => false,
        };
        let late = self.served.iter().filter(|(_, served)| is_late(served));
        let late: Vec<_> = late
            .filter_map(|(call, served)| match &served.stage {
                Stage::Open(open) => Some((*call, open.attempt)),
                _ => None,
            })
            .collect();
        for (call, attempt) in late {
            out.extend(self.on_end(oracle, call, attempt, EngineReply::TimedOut, now, wall));
        }
        out
    }

    /// The caller leaves: idempotent work is cancelled, other work goes on.
    pub(crate) fn on_caller_gone(&mut self, oracle: &mut Oracle, call: usize, now: Time) {
        oracle.saw(call, Saw::Broken);
        let Some(mut served) = self.served.remove(&call) else {
            return;
        };
        served.has_caller = false;
        match served.stage {
            Stage::Open(open) if on_caller_gone(open.req.facts()) == OnCallerGone::Cancel => {
                let end = AttemptEnd::CallerGone;
                let _ = open.req.end(&upstream(0), &end, now, &mut self.budget);
            }
            _ => {
                self.served.insert(call, served);
            }
        }
    }
}

/// What a repeat is told.
fn repeat(standing: Standing) -> Saw {
    match standing {
        Standing::Recorded(recorded) => {
            let body = recorded.body.unwrap_or_default();
            let text = String::from_utf8(body.to_vec()).unwrap();
            Saw::Answer(text.split(' ').map(str::to_owned).collect())
        }
        Standing::Open => Saw::Refusal(Refusal::unknown(Code::OutcomeUnknown)),
        Standing::Reused => Saw::Refusal(Refusal::unknown(Code::IdReused)),
    }
}

impl Open {
    /// Checks echo and end marker, and adds tokens to those that came before.
    fn read(&mut self, request: u8, reply: EngineReply) -> AttemptEnd {
        let (echo, tokens, has_end) = match reply {
            EngineReply::NotSent => return AttemptEnd::NotSent,
            EngineReply::RefusedNotRun => return AttemptEnd::RefusedNotRun { retry_after: None },
            EngineReply::Reset => return AttemptEnd::Unknown(Doubt::Reset),
            EngineReply::TimedOut => return AttemptEnd::Unknown(Doubt::TimedOut),
            EngineReply::Error(status) => return AttemptEnd::UpstreamError(status),
            EngineReply::Tokens {
                echo,
                tokens,
                has_end,
            } => (echo, tokens, has_end),
        };
        if echo != self.attempt {
            return AttemptEnd::Crossed;
        }
        self.tokens.extend(tokens);
        if !has_end {
            return AttemptEnd::Truncated {
                received: Tokens(self.tokens.len() as u64),
                shown: is_streamed(request) && !self.tokens.is_empty(),
            };
        }
        AttemptEnd::Whole {
            usage: Usage {
                input: Tokens(1),
                output: Tokens(self.tokens.len() as u64),
            },
            adequate: true,
        }
    }
}
