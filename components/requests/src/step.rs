//! Decides what follows an attempt.
//!
//! The decision considers how all attempts so far ended: a request that may have run is attempted
//! again only if it is idempotent, and an answer that was partly sent to the caller can only be
//! resumed, never restarted.

use types::prelude::*;

use crate::attempt::{AttemptEnd, Usage, combine_run_states, promises_not_run};
use crate::budget::RetryBudget;
use crate::life::RequestSpec;
use crate::refusal::{Code, NotRunProof, Refusal};

/// Most attempts at one request, including resumptions and escalations.
pub const MAX_ATTEMPTS: usize = 5;
/// Shortest time before the deadline in which an attempt is still begun.
pub const MIN_ATTEMPT_TIME: Span = Span::from_millis(5);

/// Combined result of the attempts at a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Progress {
    pub(crate) tried: Vec<UpstreamId>,
    pub(crate) failed: Vec<UpstreamId>,
    pub(crate) open: Vec<UpstreamId>,
    pub(crate) run: Option<RunState>,
    pub(crate) received: Tokens,
    pub(crate) shown: bool,
    pub(crate) answer_usage: Option<Usage>,
}

impl Progress {
    /// Whether an upstream did any of the work, as far as is known; an open attempt counts as
    /// unknown.
    #[must_use]
    pub fn run(&self) -> RunState {
        let ended = self.run.unwrap_or(RunState::No);
        if self.open.is_empty() {
            ended
        } else {
            combine_run_states(ended, RunState::Unknown)
        }
    }

    /// Number of attempts begun.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.tried.len()
    }

    /// Upstreams whose attempts failed, latest last.
    #[must_use]
    pub fn failed(&self) -> &[UpstreamId] {
        &self.failed
    }

    /// Whether any byte of the answer was sent to the caller.
    #[must_use]
    pub fn shown(&self) -> bool {
        self.shown
    }

    /// Returns the proof that no attempt ran, or `None` if one may have run. Apart from requests
    /// refused before admission, nothing else creates this proof.
    pub(crate) fn not_run_proof(&self) -> Option<NotRunProof> {
        (self.run() == RunState::No).then(NotRunProof::new)
    }

    /// Creates a refusal with the run state known so far.
    pub(crate) fn refusal(&self, code: Code) -> Refusal {
        match (self.not_run_proof(), self.run()) {
            (Some(proof), _) => Refusal::not_run(proof, code),
            (None, RunState::Yes) => Refusal::ran(code),
            (None, _) => Refusal::unknown(code),
        }
    }

    pub(crate) fn begin(&mut self, upstream: UpstreamId) {
        self.open.push(upstream.clone());
        self.tried.push(upstream);
    }

    pub(crate) fn end(&mut self, upstream: &UpstreamId, end: &AttemptEnd) {
        if let Some(index) = self.open.iter().position(|open| open == upstream) {
            self.open.swap_remove(index);
        }
        let earlier = self.run.unwrap_or(RunState::No);
        self.run = Some(combine_run_states(earlier, end.run()));
        if let AttemptEnd::Truncated { received, shown } = end {
            self.received = self.received.max(*received);
            self.shown |= shown;
        }
        match end {
            AttemptEnd::Complete { usage, .. } => self.answer_usage = Some(*usage),
            _ => self.failed.push(upstream.clone()),
        }
    }
}

/// What to do after an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Begin another attempt.
    Retry(Retry),
    /// Ask a stronger version; the answer already received is sent if none is available.
    Escalate,
    /// Send the complete answer to the caller.
    Answer(Usage),
    /// Send a refusal to the caller.
    Refuse(Refusal),
    /// Tell the caller that the outcome is unknown; the request must not run again.
    Unknown,
}

/// How to make the next attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retry {
    /// Upstreams that failed, to be used only if no other is available.
    pub avoid: Vec<UpstreamId>,
    /// Number of tokens after which to resume a truncated answer, on the same version; the
    /// answer starts from the beginning if there is none.
    pub resume_from: Option<Tokens>,
}

/// Decides what follows an attempt whose end is already recorded in `progress`.
#[must_use]
pub fn next_step(
    spec: &RequestSpec,
    progress: &Progress,
    end: &AttemptEnd,
    now: Time,
    budget: &mut RetryBudget,
) -> Step {
    let step = match end {
        AttemptEnd::Complete { usage, adequate } => {
            after_complete_answer(spec, progress, *usage, *adequate, now)
        }
        AttemptEnd::CallerGone => return Step::Refuse(progress.refusal(Code::CallerGone)),
        AttemptEnd::UpstreamError(status) if is_permanent(*status) => {
            Step::Refuse(progress.refusal(Code::UpstreamStatus(*status)))
        }
        _ => after_failure(spec, progress, end, now, budget),
    };
    // After a failed escalation the weaker version's answer is still complete and usable.
    match (step, progress.answer_usage) {
        (Step::Refuse(_), Some(usage)) => Step::Answer(usage),
        (step, _) => step,
    }
}

/// Whether another upstream would answer with the same error.
fn is_permanent(status: u16) -> bool {
    (400..500).contains(&status) && !promises_not_run(status)
}

fn after_complete_answer(
    spec: &RequestSpec,
    progress: &Progress,
    usage: Usage,
    adequate: bool,
    now: Time,
) -> Step {
    let may_escalate = spec.idempotent && !progress.shown && may_begin_attempt(spec, progress, now);
    if adequate || !may_escalate {
        Step::Answer(usage)
    } else {
        Step::Escalate
    }
}

fn after_failure(
    spec: &RequestSpec,
    progress: &Progress,
    end: &AttemptEnd,
    now: Time,
    budget: &mut RetryBudget,
) -> Step {
    // After a reset the first upstream may have run the request, and a second attempt would, for
    // example, make a booking twice. Only proof of "not run" allows one.
    if !spec.idempotent && progress.run() != RunState::No {
        return Step::Unknown;
    }
    let resume = spec.resumable && (progress.shown || progress.received > Tokens(0));
    // Bytes of a second answer must not follow those of the first.
    if progress.shown && !resume {
        return Step::Refuse(progress.refusal(Code::AnswerTruncated));
    }
    if now.until(spec.deadline) < MIN_ATTEMPT_TIME {
        return Step::Refuse(progress.refusal(Code::DeadlinePassed));
    }
    if progress.attempts() >= MAX_ATTEMPTS || !budget_allows_retry(end, now, budget) {
        let refusal = progress.refusal(Code::AttemptsFailed);
        return Step::Refuse(refusal.with_retry_after(Some(retry_after(end))));
    }
    Step::Retry(Retry {
        avoid: progress.failed.clone(),
        resume_from: resume.then_some(progress.received),
    })
}

/// Whether the budget allows a retry. A retry after an attempt that never reached an upstream
/// takes nothing from the budget, because that attempt put no load on the pool.
fn budget_allows_retry(end: &AttemptEnd, now: Time, budget: &mut RetryBudget) -> bool {
    *end == AttemptEnd::NotSent || budget.take(now)
}

fn retry_after(end: &AttemptEnd) -> Span {
    const DEFAULT_RETRY_AFTER: Span = Span::from_secs(1);
    match end {
        AttemptEnd::RefusedNotRun { retry_after } => retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        _ => DEFAULT_RETRY_AFTER,
    }
}

fn may_begin_attempt(spec: &RequestSpec, progress: &Progress, now: Time) -> bool {
    progress.attempts() < MAX_ATTEMPTS && now.until(spec.deadline) >= MIN_ATTEMPT_TIME
}

/// Whether a second attempt may run beside the first: only for idempotent work, before any of
/// the answer was sent to the caller, once per request, and if the retry budget allows it.
#[must_use]
pub fn may_hedge(
    spec: &RequestSpec,
    progress: &Progress,
    now: Time,
    budget: &mut RetryBudget,
) -> bool {
    spec.idempotent
        && !progress.shown
        && progress.open.len() == 1
        && progress.attempts() == 1
        && may_begin_attempt(spec, progress, now)
        && budget.take(now)
}

/// Whether another attempt may take the place of one that is silent but may still go on. Takes
/// nothing from the budget.
#[must_use]
pub fn may_replace(
    spec: &RequestSpec,
    progress: &Progress,
    now: Time,
    budget: &mut RetryBudget,
) -> bool {
    spec.idempotent
        && (spec.resumable || !progress.shown)
        && may_begin_attempt(spec, progress, now)
        && budget.has_retry(now)
}

/// What to do with an attempt when the caller disconnects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnCallerGone {
    /// Cancel the attempt: nobody waits for the answer.
    Cancel,
    /// Let the attempt finish and record its outcome, for a retry of the request.
    Finish,
}

/// Decides what to do when the caller disconnects: work that may run at most once is finished.
#[must_use]
pub fn on_caller_gone(spec: &RequestSpec) -> OnCallerGone {
    if spec.idempotent {
        OnCallerGone::Cancel
    } else {
        OnCallerGone::Finish
    }
}
