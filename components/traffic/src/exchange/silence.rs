//! Runs that are silent: waiting for their answers and streams while another upstream is looked for.

use std::future::Future;
use std::pin::pin;

use dispatch::{RetryReason, UpstreamOutcome};
use tokio::time::sleep_until;
use types::prelude::*;

use super::replace::{Replaced, ReplacementPlan};
use super::{Exchange, SendInProgress, Step};
use crate::attempt::{Answer, SendFailure, Stream};
use crate::ending::EndedBy;
use crate::relay::{Inbound, Silence};
use crate::run::Run;
use crate::translate::Translator;

/// First pause before another upstream is looked for again; it doubles each time.
const FIRST_LOOK_PAUSE: Span = Span::from_millis(250);
/// Longest pause.
const MAX_LOOK_PAUSE: Span = Span::from_secs(2);

/// When another upstream is next looked for in place of a silent run.
#[derive(Debug)]
pub(crate) struct NextLook {
    at: Time,
    pause: Span,
}

impl NextLook {
    /// A first look at once.
    pub(crate) fn now() -> Self {
        Self {
            at: Time::ZERO,
            pause: FIRST_LOOK_PAUSE,
        }
    }

    /// Whether it is time to look.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        now.has_reached(self.at)
    }

    fn put_off(&mut self, now: Time) {
        self.at = now + self.pause;
        self.pause = self.pause.times(2).min(MAX_LOOK_PAUSE);
    }
}

/// What follows a look for another upstream that resumes a stream.
pub(super) enum Resumption<'a, T> {
    /// The stream goes on where it is.
    GoesOn,
    /// Another upstream has it.
    Taken(Step<'a, T>),
    /// It broke, and another upstream was sent the request before.
    Broke(Step<'a, T>),
}

impl<'a, T: Translator> Exchange<'a, T> {
    /// Waits for the answer to a send. When its upstream falls silent, another one may take its
    /// place.
    pub(super) async fn await_answer(&mut self, mut current: SendInProgress<'a, T>) -> Step<'a, T> {
        let mut look = NextLook::now();
        loop {
            let run = &current.run;
            let look_at = self.shared.instant(look.at);
            let silence = async {
                sleep_until(look_at).await;
                run.silent().await
            };
            let why = tokio::select! {
                biased;
                sent = &mut current.result => return Step::Answered(current.run, sent),
                why = silence => why,
            };
            let plan = self.plan_for_silent(run, self.runs + 1, self.sends);
            let replaced = {
                let progress = pin!(progress_of(run, &mut current.result));
                self.replace(plan, progress).await
            };
            match replaced {
                Replaced::Taken(step) => {
                    self.record_try(&current.run, why);
                    self.runs += 1;
                    self.broken_by = EndedBy::Daemon;
                    return step;
                }
                Replaced::WentOn(Some(answer)) => return Step::Answered(current.run, Ok(answer)),
                Replaced::WentOn(None) => {}
                Replaced::Broke(failure, None) => return Step::Answered(current.run, Err(failure)),
                Replaced::Broke(failure, Some(step)) => {
                    let _ = self.record_failure(&current.run, failure);
                    return step;
                }
                Replaced::Refused => {}
                Replaced::Unavailable(no) => self.log_kept(&current.run, why, no),
            }
            look.put_off(self.shared.now());
        }
    }

    /// How a silent run is to be replaced, with the attempts and sends that count once it has ended.
    fn plan_for_silent(&self, run: &Run, runs: u32, sends: u32) -> ReplacementPlan {
        let timing = &self.shared.cfg.policy.timing;
        ReplacementPlan {
            reason: RetryReason::Failure,
            model_index: run.model_index,
            own_upstream: None,
            runs,
            sends,
            overlap: Span::from_millis(timing.silent_overlap_ms.into()),
        }
    }

    /// Looks for another upstream that resumes a silent stream.
    pub(super) async fn resume_elsewhere(
        &mut self,
        run: &Run,
        inbound: &mut Inbound<T>,
        silence: Silence,
    ) -> Resumption<'a, T> {
        self.note_version(run.index);
        // A send on a lost path is no attempt.
        let uncounted = u32::from(silence == Silence::Path);
        let plan = self.plan_for_silent(run, self.runs - uncounted, self.sends - uncounted);
        if uncounted == 0 && self.has_send_left(plan.runs, plan.sends).is_ok() {
            inbound.stream.note_silent();
        }
        match self.replace(plan, pin!(inbound.fill())).await {
            Replaced::Taken(step) => return Resumption::Taken(step),
            Replaced::Broke((), Some(step)) => return Resumption::Broke(step),
            Replaced::WentOn(()) | Replaced::Broke((), None) => return Resumption::GoesOn,
            Replaced::Refused => {}
            Replaced::Unavailable(no) => self.log_kept(run, silence.describe(), no),
        }
        inbound.next_look.put_off(self.shared.now());
        Resumption::GoesOn
    }

    /// Ends a stream that another upstream resumes.
    pub(super) fn end_replaced(&mut self, run: &Run, stream: Stream<T>, silence: Silence) {
        self.record_try(run, silence.describe());
        stream.finish(UpstreamOutcome::Cancelled);
        match silence {
            Silence::Upstream(_) => self.broken_by = EndedBy::Daemon,
            Silence::Path => {
                self.runs -= 1;
                self.count_lost_path();
                self.broken_by = EndedBy::Path;
            }
        }
    }
}

/// Waits until an upstream begins its answer, with the answer if that is already there.
async fn progress_of<T>(
    run: &Run,
    result: impl Future<Output = Result<Answer<T>, SendFailure>>,
) -> Result<Option<Answer<T>>, SendFailure> {
    tokio::select! {
        biased;
        sent = result => sent.map(Some),
        () = run.began() => Ok(None),
    }
}
