//! Another upstream in place of one whose run is alive.
//!
//! A run that is silent may still go on, and a draft is an answer. So either is ended only once
//! another upstream is certain to take its place: the request has an attempt and a retry left, an
//! upstream was chosen, and it has begun the answer or has at least not refused the request for a
//! moment. Both have the request for that moment; it is short, so that no engine works on what
//! another one continues.

use std::convert::Infallible;
use std::future::{Future, pending};
use std::pin::{Pin, pin};
use std::rc::Rc;

use dispatch::{Choice, RetryReason, UpstreamOutcome};
use tokio::time::{Instant, sleep_until};
use types::prelude::*;

use super::{Exchange, Sending, Step};
use crate::attempt::Stream;
use crate::ending::EndedBy;
use crate::metrics::ReplacementResult;
use crate::relay::{Inbound, Silence};
use crate::run::Run;
use crate::translate::Translator;
use crate::tunnel::lease::Lease;

/// How long a silent run goes on beside the one that takes its place, unless that begins before.
const SILENT_OVERLAP: Span = Span::from_millis(150);
/// How long a draft is kept beside the larger model's run.
const DRAFT_OVERLAP: Span = Span::from_millis(50);
/// Pause before another upstream is looked for again.
const LOOK_INTERVAL: Span = Span::from_millis(250);

/// What is to take the place of a run.
struct Wanted {
    reason: RetryReason,
    model_index: Option<usize>,
    /// Attempts that an upstream may have processed, once the present run has ended.
    runs: u32,
    /// Sends that count, once the present run has ended.
    sends: u32,
    /// How long the present run goes on beside it.
    overlap: Span,
}

/// What became of a replacement; `R` is the progress of the present run.
enum Replaced<'a, T, R> {
    /// Another upstream has the request; the present run is to be ended.
    Taken(Step<'a, T>),
    /// The present run went on first.
    WentOn(R),
    /// Another upstream refused it; the present run goes on.
    Refused,
    /// There is none, and why; the present run goes on.
    Unavailable(&'static str),
}

impl<T, R> Replaced<'_, T, R> {
    fn result(&self) -> ReplacementResult {
        match self {
            Self::Taken(_) => ReplacementResult::Taken,
            Self::WentOn(_) => ReplacementResult::Overtaken,
            Self::Refused => ReplacementResult::Refused,
            Self::Unavailable(_) => ReplacementResult::Unavailable,
        }
    }
}

impl<'a, T: Translator> Exchange<'a, T> {
    /// Waits for the answer to a send. When its upstream falls silent, another one may take its
    /// place.
    pub(super) async fn await_answer(&mut self, mut current: Sending<'a, T>) -> Step<'a, T> {
        let mut look_at = Instant::now();
        let leaves_silent = self.leaves_silent();
        loop {
            let run = &current.run;
            let silence = async {
                if !leaves_silent {
                    return pending().await;
                }
                sleep_until(look_at).await;
                run.silent().await
            };
            let why = tokio::select! {
                biased;
                sent = &mut current.sending => return Step::Answered(current.run, sent),
                why = silence => why,
            };
            let wanted = Wanted {
                reason: RetryReason::Failure,
                model_index: run.model_index,
                runs: self.runs + 1,
                sends: self.sends,
                overlap: SILENT_OVERLAP,
            };
            match self.replace(wanted, current.sending.as_mut()).await {
                Replaced::Taken(step) => {
                    self.record_try(&current.run, why);
                    current.run.abandon(UpstreamOutcome::Silent);
                    self.runs += 1;
                    self.broken_by = EndedBy::Daemon;
                    return step;
                }
                Replaced::WentOn(sent) => return Step::Answered(current.run, sent),
                Replaced::Refused => {}
                Replaced::Unavailable(no) => self.log_kept(&current.run, why, no),
            }
            current.run.abandon(UpstreamOutcome::Silent);
            look_at = Instant::now() + LOOK_INTERVAL.to_duration();
        }
    }

    /// Looks for another upstream that resumes a silent stream; `None` if the stream goes on where
    /// it is.
    pub(super) async fn replace_stream(
        &mut self,
        run: &Run,
        inbound: &mut Inbound<T>,
        silence: Silence,
    ) -> Option<Step<'a, T>> {
        self.note_version(run.index);
        // A send on a lost path is no attempt.
        let uncounted = u32::from(silence == Silence::Path);
        let wanted = Wanted {
            reason: RetryReason::Failure,
            model_index: run.model_index,
            runs: self.runs - uncounted,
            sends: self.sends - uncounted,
            overlap: SILENT_OVERLAP,
        };
        let replaced = match silence {
            Silence::Path if self.may_try_another().is_err() => {
                Replaced::Unavailable("too many upstreams were unreachable")
            }
            _ => self.replace(wanted, pin!(inbound.fill())).await,
        };
        match replaced {
            Replaced::Taken(step) => return Some(step),
            Replaced::WentOn(()) => return None,
            Replaced::Refused => {}
            Replaced::Unavailable(no) => self.log_kept(run, silence.describe(), no),
        }
        if silence != Silence::Path {
            run.abandon(UpstreamOutcome::Silent);
        }
        inbound.silence_from = self.shared.now() + LOOK_INTERVAL;
        None
    }

    /// Ends a stream that another upstream resumes.
    pub(super) fn end_replaced(&mut self, run: &Run, stream: Stream<T>, silence: Silence) {
        self.record_try(run, silence.describe());
        match silence {
            Silence::Upstream(_) => {
                stream.finish(UpstreamOutcome::Silent);
                self.broken_by = EndedBy::Daemon;
            }
            Silence::Path => {
                stream.finish(UpstreamOutcome::Cancelled);
                self.runs -= 1;
                self.count_lost_path();
                self.broken_by = EndedBy::Path;
            }
        }
    }

    /// Sends a request whose draft has a low confidence to a larger model; `None` if no upstream
    /// takes it, and the draft is the answer.
    pub(super) async fn escalate(
        &mut self,
        draft: &Run,
        confidence: Option<u8>,
    ) -> Option<Step<'a, T>> {
        let larger = self.larger_model(confidence)?;
        let tried = std::mem::take(&mut self.tried);
        loop {
            let wanted = Wanted {
                reason: RetryReason::LargerModel,
                model_index: Some(larger),
                runs: self.runs,
                sends: self.sends,
                overlap: DRAFT_OVERLAP,
            };
            match self.replace(wanted, pin!(pending::<Infallible>())).await {
                Replaced::Taken(step) => {
                    let confidence = confidence.unwrap_or_default();
                    self.record_try(draft, &format!("dropped as unsure ({confidence})"));
                    self.model_index = Some(larger);
                    return Some(step);
                }
                Replaced::Refused => {}
                Replaced::WentOn(never) => match never {},
                Replaced::Unavailable(no) => {
                    self.log_kept(draft, "a draft", no);
                    break;
                }
            }
        }
        self.tried.extend(tried);
        None
    }

    /// Sends the request to another upstream beside its present run, until one of them has it.
    async fn replace<R>(
        &mut self,
        wanted: Wanted,
        progress: Pin<&mut (impl Future<Output = R> + ?Sized)>,
    ) -> Replaced<'a, T, R> {
        let replaced = self.try_replace(wanted, progress).await;
        self.shared.metrics.record_replacement(replaced.result());
        replaced
    }

    async fn try_replace<R>(
        &mut self,
        wanted: Wanted,
        mut progress: Pin<&mut (impl Future<Output = R> + ?Sized)>,
    ) -> Replaced<'a, T, R> {
        if let Err(why) = self.may_replace(&wanted) {
            return Replaced::Unavailable(why);
        }
        let chosen = tokio::select! {
            biased;
            went_on = &mut progress => return Replaced::WentOn(went_on),
            chosen = self.choose_replacement(wanted.model_index) => chosen,
        };
        let (choice, lease) = match chosen {
            Ok(chosen) => chosen,
            Err(why) => return Replaced::Unavailable(why),
        };
        if !self.take_retry(wanted.reason) {
            return Replaced::Unavailable("no retry is left");
        }
        self.has_failed |= wanted.reason == RetryReason::Failure;
        let mut next = self.start(choice, lease, wanted.model_index);
        let run = Rc::clone(&next.run);
        tokio::select! {
            biased;
            sent = &mut next.sending => match sent {
                Ok(answer) => Replaced::Taken(Step::Answered(run, Ok(answer))),
                Err(failure) => {
                    // The present run goes on, so nothing follows from the failure.
                    let _ = self.record_failure(&run, failure);
                    Replaced::Refused
                }
            },
            went_on = &mut progress => {
                self.runs += 1;
                self.record_try(&run, "ended, since the former run went on");
                Replaced::WentOn(went_on)
            }
            () = run.taken_for(wanted.overlap) => Replaced::Taken(Step::Awaiting(next)),
        }
    }

    /// Whether the request may have one more run in place of the present one; if not, why.
    fn may_replace(&self, wanted: &Wanted) -> Result<(), &'static str> {
        if self.is_trial {
            return Err("it is a trial of its content");
        }
        self.has_send_left(wanted.runs, wanted.sends)?;
        let usage = self.shared.retry_usage(&self.service, wanted.reason);
        match usage.is_exhausted() {
            true => Err("no retry is left"),
            false => Ok(()),
        }
    }

    async fn choose_replacement(
        &self,
        model_index: Option<usize>,
    ) -> Result<(Choice, Option<Lease>), &'static str> {
        if self.is_suspect() {
            self.shared.await_probes().await;
            self.wait_while_held().await;
        }
        if self.is_quarantined() {
            return Err("its content is quarantined");
        }
        let model = self.model(model_index);
        let chosen = self.choose_when_free(model).await;
        chosen.map_err(|no| no.reason())
    }
}
