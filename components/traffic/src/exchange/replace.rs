//! Make before break: another upstream in place of one whose run is alive.
//!
//! A run that is silent may still go on, and a draft is an answer. So either is ended only once
//! another upstream is certain to take its place: the request has an attempt and a retry left, an
//! upstream was chosen, and it has begun the answer or has at least not refused the request for a
//! moment. Both have the request for that moment; it is short, so that no engine works on what
//! another one continues.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use dispatch::{Choice, NoUpstream, RetryReason, UpstreamIndex};
use types::prelude::*;

use super::{Exchange, Step};
use crate::attempt::{Answer, SendFailure};
use crate::metrics::ReplacementResult;
use crate::run::Run;
use crate::translate::Translator;
use crate::tunnel::lease::Lease;

/// How a run is to be replaced.
pub(super) struct ReplacementPlan {
    pub(super) reason: RetryReason,
    pub(super) model_index: Option<usize>,
    /// The upstream of the present run, if the replacement may go there for want of another. It gets
    /// the request only once the present run has ended.
    pub(super) own_upstream: Option<UpstreamIndex>,
    /// Attempts that an upstream may have processed, once the present run has ended.
    pub(super) runs: u32,
    /// Sends that count, once the present run has ended.
    pub(super) sends: u32,
    /// How long the present run goes on beside it.
    pub(super) overlap: Span,
}

/// What became of a replacement; `G` is how the present run goes on, and `B` how it broke.
pub(super) enum Replaced<'a, T, G, B> {
    /// Another upstream has the request; the present run is to be ended.
    Taken(Step<'a, T>),
    /// The present run went on first.
    WentOn(G),
    /// The present run broke first. The replacement, if one was sent, is the only run now.
    Broke(B, Option<Step<'a, T>>),
    /// Another upstream refused it; the present run goes on.
    Refused,
    /// There is none, and why; the present run goes on.
    Unavailable(&'static str),
}

impl<T, G, B> Replaced<'_, T, G, B> {
    fn result(&self) -> ReplacementResult {
        match self {
            Self::Taken(_) | Self::Broke(_, Some(_)) => ReplacementResult::Taken,
            Self::WentOn(_) => ReplacementResult::WentOn,
            Self::Refused => ReplacementResult::Refused,
            Self::Broke(_, None) | Self::Unavailable(_) => ReplacementResult::Unavailable,
        }
    }
}

impl<'a, T: Translator> Exchange<'a, T> {
    /// Sends the request to another upstream beside its present run, until one of them has it.
    pub(super) async fn replace<G, B>(
        &mut self,
        plan: ReplacementPlan,
        progress: Pin<&mut (impl Future<Output = Result<G, B>> + ?Sized)>,
    ) -> Replaced<'a, T, G, B> {
        let replaced = self.try_replace(plan, progress).await;
        self.shared.metrics.record_replacement(replaced.result());
        replaced
    }

    async fn try_replace<G, B>(
        &mut self,
        plan: ReplacementPlan,
        mut progress: Pin<&mut (impl Future<Output = Result<G, B>> + ?Sized)>,
    ) -> Replaced<'a, T, G, B> {
        if let Err(why) = self.may_replace(&plan) {
            return Replaced::Unavailable(why);
        }
        let chosen = tokio::select! {
            biased;
            progress = &mut progress => return match progress {
                Ok(went_on) => Replaced::WentOn(went_on),
                Err(broke) => Replaced::Broke(broke, None),
            },
            chosen = self.choose_replacement(&plan) => chosen,
        };
        let (choice, lease) = match chosen {
            Ok(chosen) => chosen,
            Err(why) => return Replaced::Unavailable(why),
        };
        if !self.take_retry(plan.reason) {
            return Replaced::Unavailable("no retry is left");
        }
        self.has_failed |= plan.reason == RetryReason::Failure;
        let is_own_upstream = plan.own_upstream == Some(choice.index);
        let mut next = self.start(choice, lease, plan.model_index, plan.runs);
        if is_own_upstream {
            return Replaced::Taken(Step::Awaiting(next));
        }
        let run = Rc::clone(&next.run);
        tokio::select! {
            biased;
            sent = &mut next.result => match sent {
                Ok(Answer::Whole(_)) if plan.reason == RetryReason::LargerModel => {
                    self.runs += 1;
                    self.record_try(&run, "answered without a stream");
                    Replaced::Refused
                }
                Ok(answer) => Replaced::Taken(Step::Answered(run, Ok(answer))),
                Err(failure) => self.record_refusal(&run, failure),
            },
            progress = &mut progress => match progress {
                Ok(went_on) => {
                    self.end_needless(&run);
                    Replaced::WentOn(went_on)
                }
                Err(broke) => Replaced::Broke(broke, Some(Step::Awaiting(next))),
            },
            () = run.accepted_for(plan.overlap) => Replaced::Taken(Step::Awaiting(next)),
        }
    }

    /// Records that a replacement has no answer. The present run goes on, so nothing follows.
    fn record_refusal<G, B>(&mut self, run: &Run, failure: SendFailure) -> Replaced<'a, T, G, B> {
        self.has_spare_retry = matches!(failure, SendFailure::Unreachable);
        let _ = self.record_failure(run, failure);
        Replaced::Refused
    }

    /// Records that a replacement is ended, since the present run went on.
    fn end_needless(&mut self, run: &Run) {
        match run.is_written() {
            true => self.runs += 1,
            false => self.has_spare_retry = true,
        }
        self.record_try(run, "ended, since the former run went on");
    }

    /// Whether the request may have one more run in place of the present one; if not, why.
    fn may_replace(&self, plan: &ReplacementPlan) -> Result<(), &'static str> {
        if self.is_trial {
            return Err("it is a trial of its content");
        }
        if self.is_quarantined() || self.is_suspect() {
            return Err("its content may crash upstreams");
        }
        self.has_send_left(plan.runs, plan.sends)?;
        self.may_try_another()?;
        match self.has_no_retry(plan.reason) {
            true => Err("no retry is left"),
            false => Ok(()),
        }
    }

    /// Chooses an upstream that has room now: the present run makes waiting for one needless.
    async fn choose_replacement(
        &self,
        plan: &ReplacementPlan,
    ) -> Result<(Choice, Option<Lease>), &'static str> {
        let model = self.model(plan.model_index);
        let no = match self.choose(model, &self.tried) {
            Ok(choice) => return Ok((choice, None)),
            Err(NoUpstream::Tried) if plan.own_upstream.is_some() => {
                return self.choose_own(model, plan);
            }
            Err(no) => no,
        };
        let leased = match no.is_without_share() {
            true => self.lease(model).await,
            false => None,
        };
        let leased = leased.map(|(choice, lease)| (choice, Some(lease)));
        leased.ok_or(no.reason())
    }

    /// Chooses the upstream of the present run.
    fn choose_own(
        &self,
        model: Option<&Arc<str>>,
        plan: &ReplacementPlan,
    ) -> Result<(Choice, Option<Lease>), &'static str> {
        let is_other = |index: &UpstreamIndex| plan.own_upstream != Some(*index);
        let others = self.tried.iter().copied().filter(is_other);
        let choice = self.choose(model, &others.collect::<Vec<_>>());
        choice
            .map(|choice| (choice, None))
            .map_err(|no| no.reason())
    }
}
