//! Makes and settles claims, and answers retries.

use keyvalue::{CallError, Outcome, Request as StoreRequest};
use requests::claim::{
    Claim, ClaimSpec, ClaimStep, ExistingClaim, Nonce, SettleStep, Settlement, claim_key,
};
use requests::life::{Admitted, Request};
use requests::refusal::{Code, Refusal};
use types::prelude::*;

use super::{Daemon, ServedCall, Stage, StoreCallOwner, upstream};
use crate::oracle::{CallEnd, Oracle};
use crate::world::Effect;

impl Daemon {
    pub(super) fn claim(
        &mut self,
        oracle: &mut Oracle,
        call: usize,
        request: u8,
        req: Request<Admitted>,
        now: Time,
    ) -> Vec<Effect> {
        let Some(lease) = self.slots.current(now) else {
            let refusal = req.refuse(Code::ClaimUnavailable).refusal();
            oracle.call_ended(call, CallEnd::Refusal(refusal));
            return Vec::new();
        };
        let spec = req.spec();
        let spec = ClaimSpec {
            key: claim_key("claims/", &spec.customer, &spec.id),
            nonce: Nonce {
                daemon: self.id(),
                incarnation: Incarnation(self.run.1),
                counter: self.next_id(),
            },
            fingerprint: request.into(),
            lease,
            deadline: spec.deadline,
        };
        let (claim, first) = Claim::start(spec);
        self.served.insert(
            call,
            ServedCall {
                request,
                stage: Stage::Claiming(req, claim),
                has_caller: true,
            },
        );
        vec![Effect::Store(self.run, StoreCallOwner::Claim(call), first)]
    }

    pub(super) fn on_claim(
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
                vec![Effect::Store(self.run, StoreCallOwner::Claim(call), next)]
            }
            ClaimStep::Acquired(held) => {
                let req = req.claim(held).ready().attempt(upstream(0));
                self.attempt(call, served.request, req, Vec::new(), served.has_caller)
            }
            ClaimStep::Duplicate(standing) => {
                if served.has_caller {
                    oracle.call_ended(call, end_of_repeat(standing));
                }
                Vec::new()
            }
            ClaimStep::Unavailable(possibly_written) => {
                let refusal = req.refuse(Code::ClaimUnavailable).refusal();
                if served.has_caller {
                    oracle.call_ended(call, CallEnd::Refusal(refusal));
                }
                let release = possibly_written
                    .map(|held| self.settle(served.request, Settlement::release(held)));
                release.into_iter().collect()
            }
        }
    }

    pub(super) fn settle(
        &mut self,
        request: u8,
        (settle, first): (Settlement, StoreRequest),
    ) -> Effect {
        let id = self.next_id() as usize;
        self.settling.insert(id, (request, settle));
        Effect::Store(self.run, StoreCallOwner::Settle(id), first)
    }

    pub(super) fn on_settle(&mut self, id: usize, outcome: Outcome) -> Vec<Effect> {
        let Some((_, settle)) = self.settling.get_mut(&id) else {
            return Vec::new();
        };
        match settle.on_outcome(outcome) {
            SettleStep::Call(next) => {
                vec![Effect::Store(self.run, StoreCallOwner::Settle(id), next)]
            }
            SettleStep::RetryLater => {
                self.retry_later.push(id);
                Vec::new()
            }
            SettleStep::Done | SettleStep::Superseded => {
                self.settling.remove(&id);
                Vec::new()
            }
        }
    }
}

/// Returns what the caller of a retried request gets.
fn end_of_repeat(existing: ExistingClaim) -> CallEnd {
    match existing {
        ExistingClaim::Recorded(recorded) => {
            let body = recorded.body.unwrap_or_default();
            let text = String::from_utf8(body.to_vec()).unwrap();
            CallEnd::Answer(text.split(' ').map(str::to_owned).collect())
        }
        ExistingClaim::Open => CallEnd::Refusal(Refusal::unknown(Code::OutcomeUnknown)),
        ExistingClaim::KeyReused => CallEnd::Refusal(Refusal::unknown(Code::IdempotencyKeyReused)),
    }
}
