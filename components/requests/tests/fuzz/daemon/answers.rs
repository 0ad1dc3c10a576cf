//! Handles engine replies up to the released answer.

use bytes::Bytes;
use ledger::{Bill, BillId, Item, Receipt};
use requests::attempt::{AttemptEnd, UnknownCause, Usage};
use requests::claim::{RecordedAnswer, Settlement};
use requests::life::Next;
use types::prelude::*;

use super::{Daemon, OpenAttempt, ServedCall, Stage, StoreCallOwner, upstream};
use crate::oracle::{CallEnd, HeldBill, Oracle};
use crate::world::{Effect, EngineReply, is_streamed};

impl Daemon {
    /// Handles an engine's reply; a late reply to an attempt that was given up is ignored.
    pub(crate) fn on_end(
        &mut self,
        oracle: &mut Oracle,
        call: usize,
        attempt: u64,
        reply: EngineReply,
        now: Time,
        wall: WallTime,
    ) -> Vec<Effect> {
        let is_open = |served: &ServedCall| match &served.stage {
            Stage::Attempting(open) => open.attempt == attempt,
            _ => false,
        };
        if !self.served.get(&call).is_some_and(is_open) {
            return Vec::new();
        }
        let Some(served) = self.served.remove(&call) else {
            return Vec::new();
        };
        let Stage::Attempting(mut open) = served.stage else {
            return Vec::new();
        };
        let end = open.read(served.request, reply);
        let next = open.req.end(&upstream(0), &end, now, &mut self.budget);
        let call_data = (served.request, served.has_caller);
        self.after_attempt(oracle, call, call_data, open.tokens, next, now, wall)
    }

    #[expect(clippy::too_many_arguments, reason = "glue code of a test")]
    fn after_attempt(
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
                let stage = Stage::Billing {
                    req,
                    receipt,
                    tokens,
                };
                let served = ServedCall {
                    request,
                    stage,
                    has_caller,
                };
                self.served.insert(call, served);
                let effects = self.ledger.flush(now);
                return self.apply_ledger_effects(oracle, effects);
            }
            Next::Refused(req) => (req.refusal(), req.into_claim_to_release()),
            Next::Unknown(req) => (req.refusal(), None),
            Next::HedgeInFlight(_) | Next::Escalate(_) => {
                unreachable!("neither hedged nor escalated")
            }
        };
        if has_caller {
            oracle.call_ended(call, CallEnd::Refusal(refusal));
        }
        let release = claim.map(|held| self.settle(request, Settlement::release(held)));
        release.into_iter().collect()
    }

    /// Carries out the ledger's effects. The end of an answer is released once its bill is safe,
    /// and only then recorded in its claim: a retry must not get an answer without a bill.
    pub(super) fn apply_ledger_effects(
        &mut self,
        oracle: &mut Oracle,
        effects: Vec<ledger::Effect>,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        for effect in effects {
            match effect {
                ledger::Effect::Send { to, message } => {
                    out.push(Effect::Peer(self.run, to, message));
                }
                ledger::Effect::Store { id, request } => {
                    out.push(Effect::Store(self.run, StoreCallOwner::Ledger(id), request));
                }
                ledger::Effect::Released {
                    upto,
                    is_unreplicated,
                } => {
                    out.extend(self.release(oracle, upto, is_unreplicated));
                }
            }
        }
        out
    }

    fn release(
        &mut self,
        oracle: &mut Oracle,
        upto: Receipt,
        is_unreplicated: bool,
    ) -> Vec<Effect> {
        let is_released = |_: &usize, served: &mut ServedCall| match &served.stage {
            Stage::Billing { receipt, .. } => *receipt <= upto,
            _ => false,
        };
        let released: Vec<_> = self.served.extract_if(.., is_released).collect();
        let mut out = Vec::new();
        for (call, served) in released {
            let Stage::Billing { req, tokens, .. } = served.stage else {
                continue;
            };
            let body = Bytes::from(tokens.join(" "));
            let holder = self.ledger.fill().holder.filter(|_| !is_unreplicated);
            oracle.held_bills.push(HeldBill {
                request: served.request,
                origin: self.id(),
                holders: holder.into_iter().chain([self.id()]).collect(),
            });
            if served.has_caller {
                oracle.call_ended(call, CallEnd::Answer(tokens));
            }
            let recorded = RecordedAnswer::new(200, Vec::new(), body);
            let held = req.into_claim();
            out.extend(
                held.map(|held| self.settle(served.request, Settlement::record(held, recorded))),
            );
        }
        out
    }
}

impl OpenAttempt {
    /// Checks the echoed attempt id and the end marker, and appends the received tokens.
    fn read(&mut self, request: u8, reply: EngineReply) -> AttemptEnd {
        let (echo, tokens, has_end) = match reply {
            EngineReply::NotSent => return AttemptEnd::NotSent,
            EngineReply::RefusedNotRun => return AttemptEnd::RefusedNotRun { retry_after: None },
            EngineReply::Reset => return AttemptEnd::Unknown(UnknownCause::Reset),
            EngineReply::TimedOut => return AttemptEnd::Unknown(UnknownCause::TimedOut),
            EngineReply::Error(status) => return AttemptEnd::UpstreamError(status),
            EngineReply::Tokens {
                echo,
                tokens,
                has_end,
            } => (echo, tokens, has_end),
        };
        if echo != self.attempt {
            return AttemptEnd::AnswerOfOtherAttempt;
        }
        self.tokens.extend(tokens);
        if !has_end {
            return AttemptEnd::Truncated {
                received: Tokens(self.tokens.len() as u64),
                shown: is_streamed(request) && !self.tokens.is_empty(),
            };
        }
        AttemptEnd::Complete {
            usage: Usage {
                input: Tokens(1),
                output: Tokens(self.tokens.len() as u64),
            },
            adequate: true,
        }
    }
}
