//! What follows an attempt.
//!
//! Decided from what is known of all attempts so far, never from a guess: an attempt that may
//! have run is repeated only when the request is idempotent, and an answer that the caller has
//! begun to see is only ever continued, never begun anew.

use types::prelude::*;

use crate::attempt::{AttemptEnd, Usage, worse_run};
use crate::budget::RetryBudget;
use crate::life::Facts;
use crate::refusal::{Code, NotRun, Refusal};

/// Most attempts at one request, resumptions and escalations included.
pub const MAX_ATTEMPTS: usize = 5;
/// An attempt that has less time than this is not begun.
pub const LEAST_TIME: Span = Span::from_millis(5);

/// What the attempts at a request have come to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Progress {
    pub(crate) tried: Vec<UpstreamId>,
    pub(crate) failed: Vec<UpstreamId>,
    pub(crate) open: Vec<UpstreamId>,
    pub(crate) run: Option<RunState>,
    pub(crate) received: Tokens,
    pub(crate) shown: bool,
    pub(crate) at_hand: Option<Usage>,
}

impl Progress {
    /// Whether any of the work was done, as far as is known; an open attempt may have.
    #[must_use]
    pub fn run(&self) -> RunState {
        let ended = self.run.unwrap_or(RunState::No);
        if self.open.is_empty() {
            ended
        } else {
            worse_run(ended, RunState::Unknown)
        }
    }

    /// Attempts made.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.tried.len()
    }

    /// Upstreams that failed, latest last.
    #[must_use]
    pub fn failed(&self) -> &[UpstreamId] {
        &self.failed
    }

    /// Whether the caller has seen a byte of the answer.
    #[must_use]
    pub fn shown(&self) -> bool {
        self.shown
    }

    /// The only source of proof that nothing ran.
    pub(crate) fn not_run(&self) -> Option<NotRun> {
        (self.run() == RunState::No).then(NotRun::proved)
    }

    /// A refusal that says as much about the work as is known.
    pub(crate) fn refusal(&self, code: Code) -> Refusal {
        match (self.not_run(), self.run()) {
            (Some(evidence), _) => Refusal::not_run(evidence, code),
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
        let so_far = self.run.unwrap_or(RunState::No);
        self.run = Some(worse_run(so_far, end.run()));
        if let AttemptEnd::Truncated { received, shown } = end {
            self.received = self.received.max(*received);
            self.shown |= shown;
        }
        match end {
            AttemptEnd::Whole { usage, .. } => self.at_hand = Some(*usage),
            _ => self.failed.push(upstream.clone()),
        }
    }
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Try again.
    Retry(Retry),
    /// Ask a stronger version; the answer at hand serves if none can be had.
    Escalate,
    /// Give the caller the answer.
    Answer(Usage),
    /// Tell the caller no.
    Refuse(Refusal),
    /// Tell the caller that the outcome is unknown; never run it again.
    Unknown,
}

/// How to try again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retry {
    /// Upstreams that failed; not these if another can be had.
    pub avoid: Vec<UpstreamId>,
    /// Continue a broken answer after these tokens, on the same version; else begin anew.
    pub resume_from: Option<Tokens>,
}

/// Decides what follows an attempt whose end is already counted in `progress`.
#[must_use]
pub fn next_step(
    facts: &Facts,
    progress: &Progress,
    end: &AttemptEnd,
    now: Time,
    budget: &mut RetryBudget,
) -> Step {
    let step = match end {
        AttemptEnd::Whole { usage, adequate } => {
            after_whole(facts, progress, *usage, *adequate, now)
        }
        AttemptEnd::CallerGone => return Step::Refuse(progress.refusal(Code::CallerGone)),
        AttemptEnd::UpstreamError(status) if is_final(*status) => {
            Step::Refuse(progress.refusal(Code::UpstreamStatus(*status)))
        }
        _ => after_failure(facts, progress, end, now, budget),
    };
    // An escalation that failed leaves the weaker version's answer, which is whole.
    match (step, progress.at_hand) {
        (Step::Refuse(_), Some(usage)) => Step::Answer(usage),
        (step, _) => step,
    }
}

/// An error that another upstream would give as well.
fn is_final(status: u16) -> bool {
    (400..500).contains(&status) && !matches!(status, 408 | 425 | 429)
}

fn after_whole(
    facts: &Facts,
    progress: &Progress,
    usage: Usage,
    adequate: bool,
    now: Time,
) -> Step {
    let may_escalate = facts.idempotent && !progress.shown && has_room(facts, progress, now);
    if adequate || !may_escalate {
        Step::Answer(usage)
    } else {
        Step::Escalate
    }
}

fn after_failure(
    facts: &Facts,
    progress: &Progress,
    end: &AttemptEnd,
    now: Time,
    budget: &mut RetryBudget,
) -> Step {
    // Guards against a booking made twice: after a reset the first upstream may have run it
    // all, so a second run anywhere could double it. Only proof of "not run" allows another.
    if !facts.idempotent && progress.run() != RunState::No {
        return Step::Unknown;
    }
    let resume = facts.resumable && (progress.shown || progress.received > Tokens(0));
    // Guards against a spliced answer: bytes of a second answer after those of the first.
    if progress.shown && !resume {
        return Step::Refuse(progress.refusal(Code::StreamCut));
    }
    if now.until(facts.deadline) < LEAST_TIME {
        return Step::Refuse(progress.refusal(Code::DeadlinePassed));
    }
    if progress.attempts() >= MAX_ATTEMPTS || !is_paid(end, now, budget) {
        let refusal = progress.refusal(Code::AttemptsFailed);
        return Step::Refuse(refusal.with_retry_after(Some(retry_after(end))));
    }
    Step::Retry(Retry {
        avoid: progress.failed.clone(),
        resume_from: resume.then_some(progress.received),
    })
}

/// An attempt that never reached an upstream has cost the pool nothing and draws on no budget.
fn is_paid(end: &AttemptEnd, now: Time, budget: &mut RetryBudget) -> bool {
    *end == AttemptEnd::NotSent || budget.take(now)
}

fn retry_after(end: &AttemptEnd) -> Span {
    const DEFAULT: Span = Span::from_secs(1);
    match end {
        AttemptEnd::RefusedNotRun { retry_after } => retry_after.unwrap_or(DEFAULT),
        _ => DEFAULT,
    }
}

fn has_room(facts: &Facts, progress: &Progress, now: Time) -> bool {
    progress.attempts() < MAX_ATTEMPTS && now.until(facts.deadline) >= LEAST_TIME
}

/// Whether a second attempt may run beside the first: idempotent work only, before the caller
/// has seen anything, once a request, and paid from the retry budget.
#[must_use]
pub fn may_hedge(facts: &Facts, progress: &Progress, now: Time, budget: &mut RetryBudget) -> bool {
    facts.idempotent
        && !progress.shown
        && progress.open.len() == 1
        && progress.attempts() == 1
        && has_room(facts, progress, now)
        && budget.take(now)
}

/// What to do when the caller leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnCallerGone {
    /// Cancel the attempt: nobody wants the answer.
    Cancel,
    /// Let it end and record the outcome, which the caller's repeat will ask for.
    Finish,
}

/// Decides it: work that may run only once is not cut off half way.
#[must_use]
pub fn on_caller_gone(facts: &Facts) -> OnCallerGone {
    if facts.idempotent {
        OnCallerGone::Cancel
    } else {
        OnCallerGone::Finish
    }
}
