//! One request, from its first attempt to its end.

mod choose;
mod escalate;
mod leaving;
mod log;
mod replace;
mod silence;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dispatch::{Cascade, Choice, NoUpstream, UpstreamIndex, UpstreamOutcome};
use futures::future::LocalBoxFuture;
use http1::{Head, Wire};
use overload::Refusal;
use poison::Contents;
use routes::{Customer, Route, RouteTable};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::{LocalReply, Whole, add_jitter};
use crate::attempt::{Answer, Attempt, SendFailure, SendResult, Stream};
use crate::ending::EndedBy;
use crate::metrics::Outcome;
use crate::relay::{Inbound, Relay, RelayEnd, Silence};
use crate::report::{Finish, Report};
use crate::request::Body;
use crate::run::Run;
use crate::shared::{Shared, Stage};
use crate::translate::{Ask, Translator};
use crate::tunnel::lease::Lease;
pub(crate) use silence::NextLook;
use silence::Resumption;

/// Least pause before a retry that a caller is sent when no upstream could take its request: a busy
/// one has finished something by then.
const BUSY_RETRY: Span = Span::from_millis(150);
/// Least pause before a retry while all upstreams for a request are evacuated: a failure domain is
/// empty for seconds at least.
const EVACUATED_RETRY: Span = Span::from_secs(2);
/// Interval at which a stream that has begun looks for an upstream with a share left.
const SHARE_POLL: Duration = Duration::from_millis(100);
/// Sends of one request beyond the attempts that its route allows. Refusals are cheap, but each
/// takes a retry from the service's budget.
const MAX_EXTRA_SENDS: u32 = 2;
/// Upstreams that one request may find unreachable before it fails: the loss of a failure domain
/// takes away a fourth of them at once.
const MAX_UNREACHABLE: u32 = 8;

/// A request that was read whole and matched to a route.
pub(crate) struct Request<T> {
    pub(crate) head: Head,
    pub(crate) ask: Ask,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: Arc<Route>,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) body: Body<T>,
    pub(crate) contents: Contents,
    pub(crate) arrived_at: Time,
    pub(crate) deadline: Time,
    pub(crate) keeps_alive: bool,
}

impl<T> Request<T> {
    /// Name of the customer that sent it.
    pub(crate) fn customer_name(&self) -> Option<&str> {
        self.customer.as_ref().map(|customer| &*customer.name)
    }
}

/// What to do after an attempt.
enum Next {
    Finished(Finish),
    /// It was not processed, or may be retried: try another upstream, at the cost of a retry.
    Retry,
    /// It was taken back from a sound upstream: try another as soon as a retry is left.
    RetryWhenGranted,
    /// Nothing arrived at the upstream: try another, at no cost to the retry budget.
    TryAnother,
    /// Stop: it failed or its outcome is unknown, and it must not be retried.
    GiveUp(&'static str),
    /// No upstream can be chosen.
    NoneAvailable(NoUpstream),
    /// Its service is congested: it is refused at once.
    Overloaded(Refusal),
    /// It would not end before this daemon does.
    Leaving,
}

/// A send in progress. It proceeds while its result is awaited.
struct SendInProgress<'a, T> {
    run: Rc<Run>,
    result: LocalBoxFuture<'a, SendResult<T>>,
}

/// Where an attempt is.
enum Step<'a, T> {
    /// The request is at an upstream.
    Awaiting(SendInProgress<'a, T>),
    /// The send has a result.
    Answered(Rc<Run>, SendResult<T>),
    /// Nothing of it is in progress.
    Done(Next),
}

/// A request in progress, over all of its attempts.
pub(crate) struct Exchange<'a, T> {
    shared: &'a Rc<Shared<T>>,
    wire: &'a Wire,
    request: &'a Request<T>,
    service: Arc<str>,
    placement_hash: u64,
    tried: Vec<UpstreamIndex>,
    /// The sends in progress.
    outstanding: Vec<Rc<Run>>,
    sends: u32,
    /// Attempts that reached no upstream, or whose path was lost.
    unreachable: u32,
    /// Whether an upstream may have processed an attempt whose path was lost.
    has_lost_path: bool,
    /// Attempts that an upstream may have processed; these count towards the route's bound.
    runs: u32,
    /// Whether one of these attempts failed.
    has_failed: bool,
    /// A whole answer or a reply is being written. Nothing may follow a part of it.
    has_answered: bool,
    /// Whether this is the half-open trial of its quarantined content; it is sent only once.
    is_trial: bool,
    /// Index into the route's models, where the daemon chooses the model.
    model_index: Option<usize>,
    /// The version that sent the events delivered so far; a resumed stream stays on it.
    version: Option<Arc<str>>,
    /// Whether its service has admitted it; its retries are then exempt.
    is_admitted: bool,
    relay: Relay,
    /// Whether it took a retry for a send that did not arrive.
    has_spare_retry: bool,
    /// Why a silent run was last kept.
    kept_for: Option<&'static str>,
    /// Who broke off its stream, where it began and is not complete.
    broken_by: EndedBy,
    /// The last failure answer of an upstream, relayed if no later attempt succeeds.
    failure: Option<Whole>,
    /// When the last upstream that refused it without a confirmation wants it to be retried.
    retry_after: Option<Span>,
    report: Report,
}

impl<'a, T: Translator> Exchange<'a, T> {
    pub(crate) fn new(shared: &'a Rc<Shared<T>>, wire: &'a Wire, request: &'a Request<T>) -> Self {
        let placement_hash = request
            .ask
            .session
            .unwrap_or_else(|| xxh3_64(request.ask.attempt.as_bytes()));
        let service = Arc::clone(request.route.target(placement_hash));
        let is_chosen_here = request.ask.model.is_none();
        let models = if is_chosen_here {
            request.route.models.len()
        } else {
            0
        };
        let report = Report::for_service(service.clone());
        Self {
            shared,
            wire,
            request,
            service,
            placement_hash,
            tried: Vec::new(),
            outstanding: Vec::new(),
            sends: 0,
            unreachable: 0,
            has_lost_path: false,
            runs: 0,
            has_failed: false,
            has_answered: false,
            is_trial: false,
            model_index: Cascade::first(models),
            version: None,
            // A caller that resumes a stream has been admitted before. On other routes, the header
            // would let any caller pass.
            is_admitted: request.ask.resume_after.is_some() && request.route.retry.is_stream(),
            relay: Relay::new(request.ask.resume_after),
            has_spare_retry: false,
            kept_for: None,
            broken_by: EndedBy::Upstream,
            failure: None,
            retry_after: None,
            report,
        }
    }

    /// Runs attempts until the request has an answer or its deadline passes.
    pub(crate) async fn run(&mut self) -> Finish {
        self.shared.count_request(&self.service);
        let deadline = self.shared.instant(self.request.deadline);
        match tokio::time::timeout_at(deadline, self.attempts()).await {
            Ok(finish) => finish,
            Err(_) if self.relay.has_begun() || self.has_answered => {
                Finish::cut(EndedBy::Deadline, "the deadline passed")
            }
            Err(_) => {
                self.send_reply(LocalReply::Timeout, "the deadline passed")
                    .await
            }
        }
    }

    async fn attempts(&mut self) -> Finish {
        loop {
            if self.is_suspect() {
                self.shared.await_probes().await;
                self.wait_while_held().await;
            }
            if let Some(until) = self.quarantined_until() {
                return self.refuse_quarantined(until).await;
            }
            let next = self.attempt().await;
            let may_go_on = match next {
                Next::Finished(finish) => return finish,
                Next::GiveUp(why) => return self.give_up(why).await,
                Next::NoneAvailable(no) if self.relay.has_begun() && no.is_without_share() => {
                    tokio::time::sleep(SHARE_POLL).await;
                    Ok(())
                }
                Next::NoneAvailable(no) => return self.refuse(no).await,
                Next::Overloaded(refusal) => return self.refuse_overloaded(refusal).await,
                Next::Leaving => return self.refuse_leaving().await,
                // A content quarantined in the meantime takes no retry: the next pass refuses it.
                Next::Retry | Next::RetryWhenGranted if self.is_quarantined() => Ok(()),
                // What its caller has of a stream is worth nothing without the rest.
                Next::Retry if self.relay.has_begun() => {
                    self.await_retry(self.request.deadline).await
                }
                Next::Retry => self.may_retry(),
                // It has not failed, and many are taken back at once.
                Next::RetryWhenGranted => self.await_retry(self.max_held_until()).await,
                Next::TryAnother => self.may_try_another(),
            };
            if let Err(why) = may_go_on {
                return self.give_up(why).await;
            }
        }
    }

    /// Fails a request for which no upstream can be chosen, with the time at which one can.
    async fn refuse(&mut self, no: NoUpstream) -> Finish {
        let now = self.shared.now();
        self.report_shortage(no);
        let wait = match no {
            NoUpstream::Limited { until } => {
                self.shared.metrics.limited_requests.inc();
                now.until(until)
            }
            NoUpstream::Busy { until } => now.until(until),
            NoUpstream::Evacuated => EVACUATED_RETRY,
            NoUpstream::Unknown | NoUpstream::Tried => Span::ZERO,
        };
        self.give_up_after(no.reason(), wait).await
    }

    /// Refuses a request to a congested service before any of it was sent.
    async fn refuse_overloaded(&mut self, refusal: Refusal) -> Finish {
        self.report.overload = Some(refusal);
        let retry_after = self.shared.overload_retry_after(self.request);
        let reply = LocalReply::NotRun { retry_after };
        self.send_reply(reply, "the service is overloaded").await
    }

    async fn give_up(&mut self, why: &'static str) -> Finish {
        self.give_up_after(why, Span::ZERO).await
    }

    /// Sends the caller the final answer after the last attempt: whatever holds for all attempts. A
    /// retry is not worthwhile before `wait` has passed.
    async fn give_up_after(&mut self, why: &'static str, wait: Span) -> Finish {
        if self.relay.has_begun() {
            return Finish::cut(self.broken_by, why);
        }
        if let Some(failure) = self.failure.take() {
            return self.relay_whole(failure, Outcome::UpstreamFailure).await;
        }
        if self.may_have_run() {
            let is_retry_allowed = self.request.route.retry.is_allowed();
            let retry_after = self.retry_after.filter(|_| is_retry_allowed);
            let reply = LocalReply::OutcomeUnknown { retry_after };
            return self.send_reply(reply, why).await;
        }
        let retry_after = add_jitter(wait.max(BUSY_RETRY), &mut *self.shared.rng.borrow_mut());
        self.send_reply(LocalReply::NotRun { retry_after }, why)
            .await
    }

    /// Refuses a request with a quarantined content at once.
    async fn refuse_quarantined(&mut self, until: Time) -> Finish {
        let why = match self.log_quarantined_part() {
            true => "upstreams crashed under a part of its prompt",
            false => "upstreams crashed under its content",
        };
        if self.relay.has_begun() {
            return Finish::cut(EndedBy::Daemon, why);
        }
        let retry_after = self.shared.now().until(until);
        let reply = match self.may_have_run() {
            false => LocalReply::Quarantined { retry_after },
            true => LocalReply::Crashed { retry_after },
        };
        self.send_reply(reply, why).await
    }

    fn may_have_run(&self) -> bool {
        self.runs > 0 || self.has_lost_path
    }

    async fn attempt(&mut self) -> Next {
        if !self.relay.has_begun() && !self.fits_grace_period() {
            return Next::Leaving;
        }
        // A half-open trial counts as sent once it is chosen.
        if !self.is_admitted && !self.is_trial {
            if let Err(refusal) = self.shared.admit(&self.service, self.request) {
                return Next::Overloaded(refusal);
            }
            self.is_admitted = true;
        }
        let (choice, lease) = match self.choose_when_free(self.model_name()).await {
            Ok(chosen) => chosen,
            Err(no) => return Next::NoneAvailable(no),
        };
        let first = self.start(choice, lease, self.model_index, self.runs);
        let mut step = Step::Awaiting(first);
        loop {
            step = match step {
                Step::Awaiting(sending) => self.await_answer(sending).await,
                Step::Answered(run, sent) => self.handle_outcome(run, sent).await,
                Step::Done(next) => return next,
            };
        }
    }

    /// Starts a send to an upstream, after so many attempts that may have been processed.
    fn start(
        &mut self,
        choice: Choice,
        lease: Option<Lease>,
        model_index: Option<usize>,
        runs: u32,
    ) -> SendInProgress<'a, T> {
        let run = Rc::new(Run::new(choice.index, choice.load, model_index));
        if self.sends + self.unreachable > 0 {
            self.log_progress("requests: sent again", &run);
        }
        self.tried.push(choice.index);
        self.outstanding.push(Rc::clone(&run));
        self.sends += 1;
        let attempt = Attempt {
            shared: self.shared,
            request: self.request,
            service: Arc::clone(&self.service),
            model: self.model(model_index).cloned(),
            resume_after: self.relay.last_event(),
            has_delivered: self.relay.has_begun(),
            has_failed: self.has_failed,
            leaves_silent: self.leaves_silent(),
            has_attempt_left: self.has_attempt_left(runs),
            is_trial: self.is_trial,
            run: Rc::clone(&run),
        };
        SendInProgress {
            run,
            result: Box::pin(async move { attempt.send(choice, lease).await }),
        }
    }

    async fn handle_outcome(&mut self, run: Rc<Run>, sent: SendResult<T>) -> Step<'a, T> {
        match sent {
            Err(failure) => Step::Done(self.record_failure(&run, failure)),
            Ok(Answer::Whole(whole)) => {
                self.record_try(&run, "answered");
                self.runs += 1;
                Step::Done(Next::Finished(
                    self.relay_whole(whole, Outcome::Answered).await,
                ))
            }
            Ok(Answer::Stream(stream)) => {
                self.runs += 1;
                match self.escalate(&run, stream.confidence).await {
                    Some(step) => step,
                    None => self.relay_stream(&run, *stream).await,
                }
            }
        }
    }

    /// Records a send without an answer, and returns what follows from it.
    fn record_failure(&mut self, run: &Run, failure: SendFailure) -> Next {
        match failure {
            SendFailure::Unreachable => {
                self.record_try(run, "unreachable");
                self.try_another()
            }
            SendFailure::PathLost => {
                self.record_try(run, "path lost");
                self.retry_elsewhere()
            }
            SendFailure::NotRun(what) => {
                self.record_try(run, what);
                Next::Retry
            }
            SendFailure::MayHaveRun(what) => {
                self.record_try(run, what);
                self.runs += 1;
                self.retry_or_give_up(what)
            }
            SendFailure::Withdrawn(what) => {
                self.record_try(run, what);
                self.runs += 1;
                self.has_failed = true;
                Next::RetryWhenGranted
            }
            SendFailure::UnconfirmedRefusal { retry_after } => {
                let why = "refused, though it may have run";
                self.record_try(run, why);
                self.runs += 1;
                self.retry_after = retry_after;
                self.retry_or_give_up(why)
            }
            SendFailure::Failed(whole) => {
                self.record_try(run, "failed");
                self.runs += 1;
                self.failure = Some(whole);
                self.retry_or_give_up("the upstream failed")
            }
        }
    }

    /// Sends the request elsewhere after a send of which nothing arrived; it counts as unreachable,
    /// and takes no retry.
    fn try_another(&mut self) -> Next {
        self.count_unreachable();
        self.report.charge = Some(self.shared.uncounted_retry(&self.service));
        Next::TryAnother
    }

    /// Sends the request elsewhere after its path was lost. That is no failure of the upstream, so it
    /// counts as unreachable; but the request may have arrived there, so it takes a retry.
    fn retry_elsewhere(&mut self) -> Next {
        self.count_lost_path();
        match self.may_try_another() {
            Ok(()) => Next::Retry,
            Err(why) => Next::GiveUp(why),
        }
    }

    /// Counts a send whose path was lost.
    fn count_lost_path(&mut self) {
        self.count_unreachable();
        self.has_lost_path = true;
    }

    /// Counts a send as one that reached no upstream.
    fn count_unreachable(&mut self) {
        self.sends -= 1;
        self.unreachable += 1;
    }

    fn may_try_another(&self) -> Result<(), &'static str> {
        match self.unreachable < MAX_UNREACHABLE {
            true => Ok(()),
            false => Err("too many upstreams were unreachable"),
        }
    }

    fn retry_or_give_up(&mut self, why: &'static str) -> Next {
        self.has_failed = true;
        match self.request.route.retry.is_allowed() {
            true => Next::Retry,
            false => Next::GiveUp(why),
        }
    }

    async fn relay_stream(&mut self, run: &Run, stream: Stream<T>) -> Step<'a, T> {
        self.log_progress("requests: streaming", run);
        let idle = self.shared.cfg.session_idle;
        self.pin(run.index, self.request.deadline + idle);
        let keeps_alive = self.keeps_alive();
        let mut inbound = Inbound::new(self.shared, stream);
        inbound.stream.leaves_silent = self.leaves_silent();
        // Where the stream broke, what was sent to another upstream before.
        let mut next = None;
        loop {
            let (shared, caller, request) = (self.shared, self.wire, self.request);
            let relayed = self
                .relay
                .run(shared, caller, request, &mut inbound, keeps_alive);
            let silence = match relayed.await {
                Ok(end) => {
                    self.pin(run.index, self.shared.now() + idle);
                    let after = self.end_stream(run, inbound.stream, end, keeps_alive);
                    return next.unwrap_or(Step::Done(after));
                }
                Err(silence) => silence,
            };
            match self.resume_elsewhere(run, &mut inbound, silence).await {
                Resumption::GoesOn => {}
                Resumption::Taken(step) => {
                    self.end_replaced(run, inbound.stream, silence);
                    self.pin(run.index, self.shared.now() + idle);
                    return step;
                }
                Resumption::Broke(step) => {
                    next = Some(step);
                }
            }
        }
    }

    /// Ends the stream of an upstream, and returns what follows.
    fn end_stream(
        &mut self,
        run: &Run,
        stream: Stream<T>,
        end: RelayEnd,
        keeps_alive: bool,
    ) -> Next {
        match end {
            RelayEnd::Complete => {
                let what = stream
                    .confidence
                    .map(|confidence| format!("streamed ({confidence})"));
                self.record_try(run, what.as_deref().unwrap_or("streamed"));
                stream.finish(UpstreamOutcome::Good);
                Next::Finished(Finish::answered(keeps_alive))
            }
            RelayEnd::CallerGone => {
                self.record_try(run, "caller gone");
                Next::Finished(Finish::caller_gone())
            }
            RelayEnd::PathLost => {
                self.record_try(run, Silence::Path.describe());
                stream.finish(UpstreamOutcome::Cancelled);
                self.note_version(run.index);
                self.runs -= 1;
                self.broken_by = EndedBy::Path;
                self.retry_elsewhere()
            }
            RelayEnd::TooLong => {
                let why = "more events than were asked for";
                self.record_try(run, why);
                stream.finish(UpstreamOutcome::Incomplete);
                self.broken_by = EndedBy::Daemon;
                Next::GiveUp(why)
            }
            RelayEnd::Broken(why, outcome) => {
                self.record_try(run, why);
                stream.finish(outcome);
                self.broken_by = match outcome {
                    UpstreamOutcome::Silent => EndedBy::Daemon,
                    UpstreamOutcome::Cancelled => EndedBy::Caller,
                    _ => EndedBy::Upstream,
                };
                self.note_version(run.index);
                self.retry_or_give_up(why)
            }
        }
    }

    /// Notes the version of a stream that broke off, on which it is resumed.
    fn note_version(&mut self, index: UpstreamIndex) {
        if self.relay.has_begun() && self.version.is_none() {
            let upstreams = self.shared.upstreams.borrow();
            self.version = upstreams.spec(index).map(|spec| spec.version.clone());
        }
    }

    /// Remembers the version that a session is on.
    fn pin(&self, index: UpstreamIndex, used_until: Time) {
        let Some(session) = self.request.ask.session else {
            return;
        };
        let now = self.shared.now();
        let upstreams = self.shared.upstreams.borrow();
        if let Some(spec) = upstreams.spec(index) {
            let mut pins = self.shared.pins.borrow_mut();
            pins.set(now, session, &spec.version, used_until);
        }
    }

    fn keeps_alive(&self) -> bool {
        self.request.keeps_alive && self.shared.stage() < Stage::Leaving
    }

    async fn relay_whole(&mut self, whole: Whole, outcome: Outcome) -> Finish {
        let keeps_alive = self.keeps_alive();
        self.report.first_byte_at = Some(self.shared.now());
        let bytes = whole.encode(keeps_alive);
        self.has_answered = true;
        if self.wire.write_all(&bytes).await.is_err() {
            return Finish::caller_gone();
        }
        Finish {
            outcome,
            status: whole.head.status(),
            why: "",
            ended_by: None,
            keeps_alive,
        }
    }

    async fn send_reply(&mut self, reply: LocalReply, why: &'static str) -> Finish {
        let keeps_alive = self.keeps_alive() && !reply.ends_connection();
        let outcome = match reply {
            LocalReply::NotRun { .. } => Outcome::Refused,
            LocalReply::Timeout => Outcome::Timeout,
            LocalReply::OutcomeUnknown { .. } => Outcome::Unclear,
            LocalReply::Quarantined { .. } | LocalReply::Crashed { .. } => Outcome::Barred,
            _ => Outcome::Rejected,
        };
        self.has_answered = true;
        if self
            .wire
            .write_all(&reply.encode(keeps_alive))
            .await
            .is_err()
        {
            return Finish::caller_gone();
        }
        Finish {
            outcome,
            status: reply.status(),
            why,
            ended_by: None,
            keeps_alive,
        }
    }
}
