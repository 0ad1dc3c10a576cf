//! The states of a request as types.
//!
//! Each transition takes the request by value, so a state is left only once: a request is
//! answered or refused but not both, and a daemon bills it at most once. Across daemons, the
//! bill's id (customer and request) prevents a second bill.

use types::prelude::*;

use crate::attempt::{AttemptEnd, Usage};
use crate::budget::RetryBudget;
use crate::claim::HeldClaim;
use crate::refusal::{Code, NotRunProof, Refusal};
use crate::step::{self, Progress, Retry, Step};

/// Properties of a request, fixed at its admission.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestSpec {
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Request id, unique for the customer within the retry window.
    pub id: RequestId,
    /// Offer or service that the request is for.
    pub entry: EntryName,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a truncated answer can be resumed by another attempt.
    pub resumable: bool,
    /// Time after which an answer is of no use.
    pub deadline: Time,
}

/// A request in state `S`.
#[derive(Debug)]
pub struct Request<S> {
    core: Box<Core>,
    state: S,
}

/// Data that a request keeps in all of its states.
#[derive(Debug)]
struct Core {
    spec: RequestSpec,
    progress: Progress,
    claim: Option<HeldClaim>,
}

/// State of a request that was read but not yet checked; nothing was sent upstream.
#[derive(Debug)]
pub struct Arrived(());

/// State of a request that passed admission; nothing was sent upstream.
#[derive(Debug)]
pub struct Admitted(());

/// State of a request with the claim that work which runs at most once needs.
#[derive(Debug)]
pub struct Claimed(());

/// State of a request in flight at one upstream, or at two when hedged.
#[derive(Debug)]
pub struct Attempted(());

/// State of a request that is ready for its first or next attempt.
#[derive(Debug)]
pub struct Waiting(());

/// State of a request whose complete answer was received.
#[derive(Debug)]
pub struct Answered {
    usage: Usage,
}

/// State of a request that was refused.
#[derive(Debug)]
pub struct Refused {
    refusal: Refusal,
}

/// State of a request that may have run and must not be run again.
#[derive(Debug)]
pub struct Unknown(());

/// State of an answered request whose bill was made.
#[derive(Debug)]
pub struct Billed(());

/// Content of a bill. Each customer and request has one bill, whichever daemon makes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BillDetails {
    /// Customer that pays.
    pub customer: CustomerId,
    /// Request that is billed.
    pub request: RequestId,
    /// Offer or service that was used.
    pub entry: EntryName,
    /// Tokens used by the answer.
    pub usage: Usage,
}

impl Default for Arrived {
    fn default() -> Self {
        Self::new()
    }
}

impl Arrived {
    /// Starts the life cycle of a request that was read from its caller.
    #[must_use]
    pub fn new() -> Self {
        Self(())
    }

    /// Refuses the request as not run: taking it by value rules out any attempt.
    #[must_use]
    pub fn refuse(self, code: Code) -> Refusal {
        Refusal::not_run(NotRunProof::new(), code)
    }

    /// Admits the request.
    #[must_use]
    pub fn admit(self, spec: RequestSpec) -> Request<Admitted> {
        let core = Box::new(Core {
            spec,
            progress: Progress::default(),
            claim: None,
        });
        Request {
            core,
            state: Admitted(()),
        }
    }
}

impl<S> Request<S> {
    /// Properties of the request.
    #[must_use]
    pub fn spec(&self) -> &RequestSpec {
        &self.core.spec
    }

    /// Combined result of the attempts so far.
    #[must_use]
    pub fn progress(&self) -> &Progress {
        &self.core.progress
    }

    /// Time left until the deadline, to be sent with an attempt.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Span {
        now.until(self.core.spec.deadline)
    }

    fn transition<T>(self, state: T) -> Request<T> {
        Request {
            core: self.core,
            state,
        }
    }

    fn into_refused(self, code: Code) -> Request<Refused> {
        let refusal = self.core.progress.refusal(code);
        self.transition(Refused { refusal })
    }
}

impl Request<Admitted> {
    /// Attaches the claim that was made for the request.
    #[must_use]
    pub fn claim(mut self, claim: HeldClaim) -> Request<Claimed> {
        self.core.claim = Some(claim);
        self.transition(Claimed(()))
    }

    /// Makes an idempotent request ready for its first attempt.
    ///
    /// # Errors
    /// Returns the request unchanged if it is not idempotent: it needs a claim first.
    pub fn ready(self) -> Result<Request<Waiting>, Self> {
        if self.core.spec.idempotent {
            Ok(self.transition(Waiting(())))
        } else {
            Err(self)
        }
    }

    /// Refuses the request as not run.
    #[must_use]
    pub fn refuse(self, code: Code) -> Request<Refused> {
        self.into_refused(code)
    }
}

impl Request<Claimed> {
    /// Makes the request ready for its first attempt.
    #[must_use]
    pub fn ready(self) -> Request<Waiting> {
        self.transition(Waiting(()))
    }

    /// Refuses the request as not run; its claim must then be released.
    #[must_use]
    pub fn refuse(self, code: Code) -> Request<Refused> {
        self.into_refused(code)
    }
}

impl Request<Waiting> {
    /// Begins an attempt at an upstream.
    #[must_use]
    pub fn attempt(mut self, upstream: UpstreamId) -> Request<Attempted> {
        self.core.progress.begin(upstream);
        self.transition(Attempted(()))
    }

    /// Refuses the request; its run state is "not run" only if no attempt can have run.
    #[must_use]
    pub fn refuse(self, code: Code) -> Request<Refused> {
        self.into_refused(code)
    }

    /// Answers with the result of an earlier attempt, if no stronger version was available.
    #[must_use]
    pub fn answer(self, usage: Usage) -> Request<Answered> {
        self.transition(Answered { usage })
    }
}

/// What follows the end of an attempt.
#[derive(Debug)]
pub enum Next {
    /// The other attempt of a hedged pair is still in flight.
    HedgeInFlight(Request<Attempted>),
    /// Begin another attempt.
    Retry(Request<Waiting>, Retry),
    /// Begin an attempt at a stronger version.
    Escalate(Request<Waiting>),
    /// Send the answer to the caller.
    Answered(Request<Answered>),
    /// Send a refusal to the caller.
    Refused(Request<Refused>),
    /// Tell the caller that the outcome is unknown.
    Unknown(Request<Unknown>),
}

impl Request<Attempted> {
    /// Begins a second attempt beside the first, if hedging is allowed.
    ///
    /// # Errors
    /// Returns the request unchanged if it may not be hedged.
    pub fn hedge(
        mut self,
        upstream: UpstreamId,
        now: Time,
        budget: &mut RetryBudget,
    ) -> Result<Self, Self> {
        if !step::may_hedge(&self.core.spec, &self.core.progress, now, budget) {
            return Err(self);
        }
        self.core.progress.begin(upstream);
        Ok(self)
    }

    /// Whether another attempt may take this one's place, which is silent but may still go on.
    #[must_use]
    pub fn may_replace(&self, now: Time, budget: &mut RetryBudget) -> bool {
        step::may_replace(&self.core.spec, &self.core.progress, now, budget)
    }

    /// Records that a byte of the answer was sent to the caller.
    pub fn show(&mut self) {
        self.core.progress.shown = true;
    }

    /// Interrupts an attempt, to resume later after the tokens received so far, at the same or
    /// another upstream. This takes nothing from the retry budget, because nothing failed.
    ///
    /// # Errors
    /// Returns the request unchanged if its work may not be retried or resumed.
    pub fn pause(
        mut self,
        upstream: &UpstreamId,
        received: Tokens,
    ) -> Result<Request<Waiting>, Self> {
        if !self.core.spec.idempotent || !self.core.spec.resumable {
            return Err(self);
        }
        let shown = self.core.progress.shown;
        let end = AttemptEnd::Truncated { received, shown };
        self.core.progress.end(upstream, &end);
        Ok(self.transition(Waiting(())))
    }

    /// Records the end of an attempt and decides what follows.
    #[must_use]
    pub fn end(
        mut self,
        upstream: &UpstreamId,
        end: &AttemptEnd,
        now: Time,
        budget: &mut RetryBudget,
    ) -> Next {
        self.core.progress.end(upstream, end);
        let is_whole = matches!(end, AttemptEnd::Complete { .. });
        if is_whole {
            budget.record_success();
        }
        if !self.core.progress.open.is_empty() && !is_whole {
            return Next::HedgeInFlight(self);
        }
        match step::next_step(&self.core.spec, &self.core.progress, end, now, budget) {
            Step::Retry(retry) => Next::Retry(self.transition(Waiting(())), retry),
            Step::Escalate => Next::Escalate(self.transition(Waiting(()))),
            Step::Answer(usage) => Next::Answered(self.transition(Answered { usage })),
            Step::Refuse(refusal) => Next::Refused(self.transition(Refused { refusal })),
            Step::Unknown => Next::Unknown(self.transition(Unknown(()))),
        }
    }
}

impl Request<Answered> {
    /// Tokens used by the answer.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.state.usage
    }

    /// Makes the request's only bill; the outcome must then be recorded in its claim.
    #[must_use]
    pub fn bill(self) -> (Request<Billed>, BillDetails) {
        let bill = BillDetails {
            customer: self.core.spec.customer.clone(),
            request: self.core.spec.id.clone(),
            entry: self.core.spec.entry.clone(),
            usage: self.state.usage,
        };
        (self.transition(Billed(())), bill)
    }
}

impl Request<Billed> {
    /// Returns the claim, if there is one, for recording the outcome in it.
    #[must_use]
    pub fn into_claim(self) -> Option<HeldClaim> {
        self.core.claim
    }
}

impl Request<Refused> {
    /// Refusal to send to the caller.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        self.state.refusal
    }

    /// Returns the claim to be released, if the work certainly did not run. The claim of work that
    /// may have run stays until its lease expires.
    #[must_use]
    pub fn into_claim_to_release(self) -> Option<HeldClaim> {
        let is_not_run = self.core.progress.run() == RunState::No;
        self.core.claim.filter(|_| is_not_run)
    }
}

impl Request<Unknown> {
    /// Refusal to send to the caller, with an unknown outcome.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        self.core.progress.refusal(Code::OutcomeUnknown)
    }
}
