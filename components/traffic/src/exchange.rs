//! One request, from its first attempt to its end.

mod choose;
mod log;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use dispatch::{Cascade, Load, NoUpstream, RetryReason, UpstreamIndex, UpstreamOutcome};
use http1::{Head, Wire};
use overload::Refusal;
use poison::Contents;
use routes::{Customer, Route, RouteTable};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::{LocalReply, Whole, add_jitter};
use crate::attempt::{Attempt, SendResult};
use crate::ending::EndedBy;
use crate::metrics::Outcome;
use crate::relay::{Relay, RelayEnd};
use crate::report::{Finish, Report};
use crate::request::Body;
use crate::shared::{Shared, Stage};
use crate::translate::{Ask, Translator};

/// Least pause before a retry that a caller is sent when no upstream could take its request: a busy
/// one has finished something by then.
const BUSY_RETRY: Span = Span::from_millis(150);
/// Least pause before a retry while all upstreams for a request are evacuated: a failure domain is
/// empty for seconds at least.
const EVACUATED_RETRY: Span = Span::from_secs(2);
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
    Retry(RetryReason),
    /// Nothing arrived at the upstream: try another, at no cost to the retry budget.
    TryAnother,
    /// Stop: it failed or its outcome is unknown, and it must not be retried.
    GiveUp(&'static str),
    /// No upstream can be chosen.
    NoneAvailable(NoUpstream),
    /// Its service is congested: it is refused at once.
    Overloaded(Refusal),
}

/// A request in progress, over all of its attempts.
pub(crate) struct Exchange<'a, T> {
    shared: &'a Rc<Shared<T>>,
    wire: &'a Wire,
    request: &'a Request<T>,
    service: Arc<str>,
    placement_hash: u64,
    tried: Vec<UpstreamIndex>,
    /// The load by which the last upstream was chosen.
    chosen_by: Load,
    /// The upstream that has the request now.
    outstanding: Option<UpstreamIndex>,
    /// The peer through which it went there, if it did.
    peer: RefCell<Option<DaemonId>>,
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
    /// Who broke off its stream, where it began and is not complete.
    broken_by: EndedBy,
    /// The last failure answer of an upstream, relayed if no later attempt succeeds.
    failure: Option<Whole>,
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
            chosen_by: Load::default(),
            outstanding: None,
            peer: RefCell::default(),
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
            broken_by: EndedBy::Upstream,
            failure: None,
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
                Next::NoneAvailable(no) => return self.refuse(no).await,
                Next::Overloaded(refusal) => return self.refuse_overloaded(refusal).await,
                // A content quarantined in the meantime takes no retry: the next pass refuses it.
                Next::Retry(_) if self.is_quarantined() => Ok(()),
                Next::Retry(reason) => self.may_retry(reason),
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
            return self.send_reply(LocalReply::OutcomeUnknown, why).await;
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
        // A half-open trial counts as sent once it is chosen.
        if !self.is_admitted && !self.is_trial {
            if let Err(refusal) = self.shared.admit(&self.service, self.request) {
                return Next::Overloaded(refusal);
            }
            self.is_admitted = true;
        }
        let model = self.model_name().cloned();
        let (choice, lease) = match self.choose_when_free(model.as_ref()).await {
            Ok(chosen) => chosen,
            Err(no) => return Next::NoneAvailable(no),
        };
        if self.sends + self.unreachable > 0 {
            self.log_progress("requests: sent again", choice.index);
        }
        self.tried.push(choice.index);
        self.outstanding = Some(choice.index);
        self.peer.replace(None);
        self.chosen_by = choice.load;
        self.sends += 1;
        let attempt = Attempt {
            shared: self.shared,
            request: self.request,
            service: &self.service,
            model: model.as_ref(),
            resume_after: self.relay.last_event(),
            has_delivered: self.relay.has_begun(),
            has_failed: self.has_failed,
            may_switch: self.may_switch(),
            has_attempt_left: self.has_attempt_left(),
            is_trial: self.is_trial,
            peer: &self.peer,
        };
        let sent = attempt.send(choice, lease).await;
        self.handle_outcome(sent).await
    }

    async fn handle_outcome(&mut self, sent: SendResult<T>) -> Next {
        let index = self.tried[self.tried.len() - 1];
        match sent {
            SendResult::Unreachable => {
                self.record_try(index, "unreachable");
                self.try_another()
            }
            SendResult::PathLost => {
                self.record_try(index, "path lost");
                self.retry_elsewhere()
            }
            SendResult::NotRun(what) => {
                self.record_try(index, what);
                Next::Retry(RetryReason::Failure)
            }
            SendResult::MayHaveRun(what) => {
                self.record_try(index, what);
                self.runs += 1;
                self.retry_or_give_up(what)
            }
            SendResult::Failed(whole) => {
                self.record_try(index, "failed");
                self.runs += 1;
                self.failure = Some(whole);
                self.retry_or_give_up("the upstream failed")
            }
            SendResult::Whole(whole) => {
                self.record_try(index, "answered");
                self.runs += 1;
                Next::Finished(self.relay_whole(whole, Outcome::Answered).await)
            }
            SendResult::Stream(stream) => {
                self.runs += 1;
                if let Some(larger) = self.larger_model(stream.confidence) {
                    let confidence = stream.confidence.unwrap_or_default();
                    self.record_try(index, &format!("dropped as unsure ({confidence})"));
                    self.model_index = Some(larger);
                    self.tried.clear();
                    return Next::Retry(RetryReason::LargerModel);
                }
                self.relay_stream(index, *stream).await
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
        self.count_unreachable();
        self.has_lost_path = true;
        match self.may_try_another() {
            Ok(()) => Next::Retry(RetryReason::Failure),
            Err(why) => Next::GiveUp(why),
        }
    }

    /// Counts the last send as one that reached no upstream.
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
            true => Next::Retry(RetryReason::Failure),
            false => Next::GiveUp(why),
        }
    }

    async fn relay_stream(
        &mut self,
        index: UpstreamIndex,
        mut stream: crate::attempt::Stream<T>,
    ) -> Next {
        self.log_progress("requests: streaming", index);
        let idle = self.shared.cfg.session_idle;
        self.pin(index, self.request.deadline + idle);
        let keeps_alive = self.keeps_alive();
        let leaves_silent = self.shared.cfg.policy.timing.leaves_silent;
        let is_allowed = self.request.route.retry.is_allowed();
        stream.may_switch =
            leaves_silent && is_allowed && self.runs < self.request.route.max_attempts;
        let end = self
            .relay
            .run(
                self.shared,
                self.wire,
                self.request,
                &mut stream,
                keeps_alive,
            )
            .await;
        self.pin(index, self.shared.now() + idle);
        self.report.first_byte_at = self.relay.first_at();
        match end {
            RelayEnd::Complete => {
                let what = stream
                    .confidence
                    .map(|confidence| format!("streamed ({confidence})"));
                self.record_try(index, what.as_deref().unwrap_or("streamed"));
                stream.finish(UpstreamOutcome::Good);
                Next::Finished(Finish {
                    outcome: Outcome::Answered,
                    status: 200,
                    why: "",
                    ended_by: None,
                    keeps_alive,
                })
            }
            RelayEnd::CallerGone => {
                self.record_try(index, "caller gone");
                Next::Finished(Finish::caller_gone())
            }
            RelayEnd::PathLost => {
                self.record_try(index, "path lost within its stream");
                stream.finish(UpstreamOutcome::Cancelled);
                self.note_version(index);
                self.runs -= 1;
                self.broken_by = EndedBy::Path;
                self.retry_elsewhere()
            }
            RelayEnd::TooLong => {
                let why = "more events than were asked for";
                self.record_try(index, why);
                stream.finish(UpstreamOutcome::Incomplete);
                self.broken_by = EndedBy::Daemon;
                Next::GiveUp(why)
            }
            RelayEnd::Broken(why, outcome) => {
                self.record_try(index, why);
                stream.finish(outcome);
                self.broken_by = match outcome {
                    UpstreamOutcome::Silent => EndedBy::Daemon,
                    UpstreamOutcome::Cancelled => EndedBy::Caller,
                    _ => EndedBy::Upstream,
                };
                self.note_version(index);
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
            LocalReply::OutcomeUnknown => Outcome::Unclear,
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
