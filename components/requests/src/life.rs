//! The states of a request as types.
//!
//! Moving a request to its next state takes it by value, so that each is left once: a request
//! is answered or refused but not both, and billed at most once in a daemon. Across daemons
//! the bill's id (customer and request) sees to that.

use types::prelude::*;

use crate::attempt::{AttemptEnd, Usage};
use crate::budget::RetryBudget;
use crate::claim::Held;
use crate::refusal::{Code, NotRun, Refusal};
use crate::step::{self, Progress, Retry, Step};

/// What holds of a request from admission on.
#[derive(Debug, Clone, PartialEq)]
pub struct Facts {
    /// Who asks.
    pub customer: CustomerId,
    /// The request, unique for its customer within the retry window.
    pub id: RequestId,
    /// The offer or service asked for.
    pub entry: EntryName,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether a broken answer can be continued elsewhere.
    pub resumable: bool,
    /// An answer is of no use later.
    pub deadline: Time,
}

/// A request in state `S`.
#[derive(Debug)]
pub struct Request<S> {
    core: Box<Core>,
    state: S,
}

/// What a request carries through all of its states.
#[derive(Debug)]
struct Core {
    facts: Facts,
    progress: Progress,
    held: Option<Held>,
}

/// Read, not yet checked: nothing has left this daemon.
#[derive(Debug)]
pub struct Arrived(());

/// May be served; nothing has left this daemon.
#[derive(Debug)]
pub struct Admitted(());

/// Holds the claim that work which runs only once needs.
#[derive(Debug)]
pub struct Claimed(());

/// At one upstream, or two when hedged.
#[derive(Debug)]
pub struct Attempted(());

/// May go to an upstream, for the first time or again.
#[derive(Debug)]
pub struct Waiting(());

/// Has its whole answer.
#[derive(Debug)]
pub struct Answered {
    usage: Usage,
}

/// Was refused.
#[derive(Debug)]
pub struct Refused {
    refusal: Refusal,
}

/// May have run and will not run again.
#[derive(Debug)]
pub struct Unknown(());

/// Answered, and its bill is with the ledger.
#[derive(Debug)]
pub struct Billed(());

/// What a bill is made from. One bill for each customer and request, whoever makes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BillFacts {
    /// Who pays.
    pub customer: CustomerId,
    /// For what.
    pub request: RequestId,
    /// The offer or service.
    pub entry: EntryName,
    /// What the answer took.
    pub usage: Usage,
}

impl Default for Arrived {
    fn default() -> Self {
        Self::new()
    }
}

impl Arrived {
    /// A request that was just read from its caller.
    #[must_use]
    pub fn new() -> Self {
        Self(())
    }

    /// Refuses it: true as "not run", since taking it by value leaves nothing to attempt.
    #[must_use]
    pub fn refuse(self, code: Code) -> Refusal {
        Refusal::not_run(NotRun::proved(), code)
    }

    /// Admits it.
    #[must_use]
    pub fn admit(self, facts: Facts) -> Request<Admitted> {
        let core = Box::new(Core {
            facts,
            progress: Progress::default(),
            held: None,
        });
        Request {
            core,
            state: Admitted(()),
        }
    }
}

impl<S> Request<S> {
    /// What holds of it.
    #[must_use]
    pub fn facts(&self) -> &Facts {
        &self.core.facts
    }

    /// What its attempts have come to.
    #[must_use]
    pub fn progress(&self) -> &Progress {
        &self.core.progress
    }

    /// Time left, to be passed on with an attempt.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Span {
        now.until(self.core.facts.deadline)
    }

    fn turn<T>(self, state: T) -> Request<T> {
        Request {
            core: self.core,
            state,
        }
    }

    fn refused(self, code: Code) -> Request<Refused> {
        let refusal = self.core.progress.refusal(code);
        self.turn(Refused { refusal })
    }
}

impl Request<Admitted> {
    /// Goes on with the claim made for it.
    #[must_use]
    pub fn claim(mut self, held: Held) -> Request<Claimed> {
        self.core.held = Some(held);
        self.turn(Claimed(()))
    }

    /// Readies it for an upstream.
    ///
    /// # Errors
    /// Gives the request back when it is not idempotent: it needs a claim first.
    pub fn ready(self) -> Result<Request<Waiting>, Self> {
        if self.core.facts.idempotent {
            Ok(self.turn(Waiting(())))
        } else {
            Err(self)
        }
    }

    /// Refuses it as not run.
    #[must_use]
    pub fn refuse(self, code: Code) -> Request<Refused> {
        self.refused(code)
    }
}

impl Request<Claimed> {
    /// Readies it for an upstream.
    #[must_use]
    pub fn ready(self) -> Request<Waiting> {
        self.turn(Waiting(()))
    }

    /// Refuses it as not run; the claim is to be released.
    #[must_use]
    pub fn refuse(self, code: Code) -> Request<Refused> {
        self.refused(code)
    }
}

impl Request<Waiting> {
    /// Goes to an upstream.
    #[must_use]
    pub fn attempt(mut self, upstream: UpstreamId) -> Request<Attempted> {
        self.core.progress.begin(upstream);
        self.turn(Attempted(()))
    }

    /// Refuses it, saying "not run" only if no attempt ran.
    #[must_use]
    pub fn refuse(self, code: Code) -> Request<Refused> {
        self.refused(code)
    }

    /// Answers with what an earlier attempt gave, when no stronger version could be had.
    #[must_use]
    pub fn answer(self, usage: Usage) -> Request<Answered> {
        self.turn(Answered { usage })
    }
}

/// A request after an attempt.
#[derive(Debug)]
pub enum Next {
    /// The other attempt of a hedged pair is still under way.
    Open(Request<Attempted>),
    /// Try again.
    Retry(Request<Waiting>, Retry),
    /// Ask a stronger version.
    Escalate(Request<Waiting>),
    /// Answer.
    Answered(Request<Answered>),
    /// Refuse.
    Refused(Request<Refused>),
    /// Say that the outcome is unknown.
    Unknown(Request<Unknown>),
}

impl Request<Attempted> {
    /// Adds a second attempt beside the first, if that is allowed.
    ///
    /// # Errors
    /// Gives the request back when it may not be hedged.
    pub fn hedge(
        mut self,
        upstream: UpstreamId,
        now: Time,
        budget: &mut RetryBudget,
    ) -> Result<Self, Self> {
        if !step::may_hedge(&self.core.facts, &self.core.progress, now, budget) {
            return Err(self);
        }
        self.core.progress.begin(upstream);
        Ok(self)
    }

    /// Notes that the caller has seen a byte of the answer.
    pub fn show(&mut self) {
        self.core.progress.shown = true;
    }

    /// Stops an attempt that is to go on later from the tokens that the caller has, on another
    /// upstream or the same. It costs no retry: nothing failed.
    ///
    /// # Errors
    /// Gives the request back when its work may not be repeated or resumed.
    pub fn pause(
        mut self,
        upstream: &UpstreamId,
        received: Tokens,
    ) -> Result<Request<Waiting>, Self> {
        if !self.core.facts.idempotent || !self.core.facts.resumable {
            return Err(self);
        }
        let shown = self.core.progress.shown;
        let end = AttemptEnd::Truncated { received, shown };
        self.core.progress.end(upstream, &end);
        Ok(self.turn(Waiting(())))
    }

    /// Takes the end of an attempt and goes on.
    #[must_use]
    pub fn end(
        mut self,
        upstream: &UpstreamId,
        end: &AttemptEnd,
        now: Time,
        budget: &mut RetryBudget,
    ) -> Next {
        self.core.progress.end(upstream, end);
        let is_whole = matches!(end, AttemptEnd::Whole { .. });
        if is_whole {
            budget.succeed();
        }
        if !self.core.progress.open.is_empty() && !is_whole {
            return Next::Open(self);
        }
        match step::next_step(&self.core.facts, &self.core.progress, end, now, budget) {
            Step::Retry(retry) => Next::Retry(self.turn(Waiting(())), retry),
            Step::Escalate => Next::Escalate(self.turn(Waiting(()))),
            Step::Answer(usage) => Next::Answered(self.turn(Answered { usage })),
            Step::Refuse(refusal) => Next::Refused(self.turn(Refused { refusal })),
            Step::Unknown => Next::Unknown(self.turn(Unknown(()))),
        }
    }
}

impl Request<Answered> {
    /// What the answer took.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.state.usage
    }

    /// Makes its bill, once; the claim's outcome is to be recorded.
    #[must_use]
    pub fn bill(self) -> (Request<Billed>, BillFacts) {
        let bill = BillFacts {
            customer: self.core.facts.customer.clone(),
            request: self.core.facts.id.clone(),
            entry: self.core.facts.entry.clone(),
            usage: self.state.usage,
        };
        (self.turn(Billed(())), bill)
    }
}

impl Request<Billed> {
    /// The claim, to record the outcome with.
    #[must_use]
    pub fn into_claim(self) -> Option<Held> {
        self.core.held
    }
}

impl Request<Refused> {
    /// What the caller is told.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        self.state.refusal
    }

    /// The claim to release: only when the work was certainly not run. A claim on work that
    /// may have run stays until it lapses.
    #[must_use]
    pub fn into_claim_to_release(self) -> Option<Held> {
        let is_not_run = self.core.progress.run() == RunState::No;
        self.core.held.filter(|_| is_not_run)
    }
}

impl Request<Unknown> {
    /// What the caller is told.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        self.core.progress.refusal(Code::OutcomeUnknown)
    }
}
