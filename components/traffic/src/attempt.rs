//! One send of a request to one upstream.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dispatch::{Advertised, Brittleness, Choice, RetryReason, UpstreamIndex, UpstreamOutcome};
use http1::write::push_length;
use http1::{
    BodyReader, Framing, Head, Kind, ResponseError, Wire, discard_body, read_response_head,
    read_whole,
};
use routes::Upstream;
use types::prelude::*;

use crate::answer::Whole;
use crate::attempt_guard::AttemptGuard;
use crate::connect::ConnectFailure;
use crate::exchange::Request;
use crate::relay::silence_reason;
use crate::retries::ChargeKind;
use crate::run::Run;
use crate::shared::Shared;
use crate::translate::{Execution, Forwarding, Reply, Translator};
use crate::tunnel::lease::Lease;

/// Longest response head accepted from an upstream, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// Longest whole response body accepted from an upstream, in bytes.
const MAX_BODY: usize = 8 * 1024 * 1024;
/// Longest body that is skipped of an answer to another request, in bytes.
const MAX_STRAY_BODY: usize = 1024 * 1024;
/// Answers to other requests that are skipped before a connection is abandoned.
const MAX_STRAY_ANSWERS: u32 = 4;
/// Share of the route's objective after which another upstream is looked for in place of a silent one
/// of a plain service.
const SILENT_SHARE: f64 = 0.7;
/// Interval at which a request that waits for its answer is looked at.
const WAIT_POLL: Duration = Duration::from_millis(50);
/// The rank that upstreams treat as ordinary; lower ranks go first.
const ORDINARY_RANK: u8 = 5;

/// Why an answer that ended with its connection is not complete.
pub(crate) const CRASHED_AT_END: &str = "its upstream crashed as its answer ended";

/// Whether callers take this status for a promise that their request was not processed.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Result of one send.
pub(crate) type SendResult<T> = Result<Answer<T>, SendFailure>;

/// An upstream's answer.
pub(crate) enum Answer<T> {
    /// A whole answer with a status below 500 that doesn't mean that the request was not processed.
    Whole(Whole),
    /// A stream that has started.
    Stream(Box<Stream<T>>),
}

/// Why a send has no answer.
pub(crate) enum SendFailure {
    /// Nothing arrived at the upstream.
    Unreachable,
    /// This daemon lost its path to the upstream, which may have the request; it may be retried.
    PathLost,
    /// The upstream did not process the request and will not.
    NotRun(&'static str),
    /// The upstream may have processed the request.
    MayHaveRun(&'static str),
    /// It was taken back from an upstream that may have processed it; it may be retried.
    Withdrawn(&'static str),
    /// An answer whose status means that the request was not processed, and which doesn't say so.
    UnconfirmedRefusal {
        /// When the upstream wants the request to be retried.
        retry_after: Option<Span>,
    },
    /// Any other whole answer.
    Failed(Whole),
}

/// The head of an upstream's answer.
struct AnswerHead {
    head: Head,
    reply: Reply,
    framing: Framing,
}

/// Why no response head was read.
enum Failure {
    /// Nothing arrived at the upstream.
    Unreachable,
    /// Nothing was sent: the upstream gets no new requests any more.
    Leaving,
    /// The path to the upstream was lost, and the request may be retried.
    PathLost,
    /// The connection broke.
    Broken(&'static str),
    /// One of its contents was quarantined while the request waited.
    Quarantined,
    /// An upstream crashed under a part of its prompt while the request waited.
    Withdrawn,
}

impl Failure {
    /// What this shows of the upstream, and of the request.
    fn outcome(self) -> (UpstreamOutcome, SendFailure) {
        match self {
            Self::Unreachable => (UpstreamOutcome::Unreachable, SendFailure::Unreachable),
            Self::Leaving => (UpstreamOutcome::Cancelled, SendFailure::Unreachable),
            // A lost path says nothing about the upstream.
            Self::PathLost => (UpstreamOutcome::Cancelled, SendFailure::PathLost),
            Self::Broken(why) => (UpstreamOutcome::Incomplete, SendFailure::MayHaveRun(why)),
            Self::Quarantined => (
                UpstreamOutcome::Cancelled,
                SendFailure::MayHaveRun("barred while it waited"),
            ),
            Self::Withdrawn => (
                UpstreamOutcome::Cancelled,
                SendFailure::Withdrawn("taken back for a suspected part of its prompt"),
            ),
        }
    }
}

/// A stream that an upstream started.
pub(crate) struct Stream<T> {
    pub(crate) head: Head,
    pub(crate) confidence: Option<u8>,
    pub(crate) wire: Wire,
    pub(crate) reader: BodyReader,
    /// Whether another upstream is looked for when this one is silent.
    pub(crate) leaves_silent: bool,
    /// Whether another upstream may go on with the stream.
    may_resume: bool,
    index: UpstreamIndex,
    shared: Rc<Shared<T>>,
    guard: AttemptGuard<T>,
    model: Option<Arc<str>>,
}

impl<T> Stream<T> {
    /// Notes that the first event arrived.
    pub(crate) fn note_first_event(&mut self) {
        self.guard.note_first_output(self.model.as_ref());
    }

    /// Whether the stream ended with its connection because the upstream crashed.
    pub(crate) async fn has_crashed_at_end(&self) -> bool {
        self.shared.has_crashed_at_end(self.index).await
    }

    pub(crate) fn now(&self) -> Time {
        self.shared.now()
    }

    /// Notes that the upstream has been silent for too long. The stream goes on.
    pub(crate) fn note_silent(&self) {
        self.guard.note_silent();
    }

    /// Notes that something was read.
    pub(crate) fn note_heard(&self) {
        self.guard.note_heard();
    }

    /// Whether the path to the upstream is lost, with nothing heard on it since, and the stream may
    /// be resumed on another.
    pub(crate) fn is_path_lost(&self, heard_at: Time) -> bool {
        self.may_resume && self.guard.is_path_silent(heard_at)
    }

    /// Why another upstream is looked for in place of this one; none if it isn't.
    pub(crate) fn silence_reason(
        &self,
        request: &Request<T>,
        heard_at: Time,
        has_event: bool,
    ) -> Option<&'static str> {
        let silent = self.shared.now().since(heard_at);
        silence_reason(request, &self.guard, silent, has_event)
    }

    /// Ends the attempt. The connection returns to the pool after a complete stream.
    pub(crate) fn finish(self, outcome: UpstreamOutcome) {
        self.guard.end(outcome);
        if outcome == UpstreamOutcome::Good && !self.reader.ends_with_connection() {
            self.shared
                .keep_connection(self.index, self.wire, &self.head);
        }
    }
}

/// One send of a request to one upstream.
pub(crate) struct Attempt<'a, T> {
    pub(crate) shared: &'a Rc<Shared<T>>,
    pub(crate) request: &'a Request<T>,
    pub(crate) service: Arc<str>,
    pub(crate) model: Option<Arc<str>>,
    pub(crate) resume_after: Option<u64>,
    /// Whether the caller has events of an earlier attempt.
    pub(crate) has_delivered: bool,
    /// Whether an earlier attempt of the request failed.
    pub(crate) has_failed: bool,
    /// Whether another upstream is looked for when this one is silent.
    pub(crate) leaves_silent: bool,
    /// Whether the request may be retried after this attempt.
    pub(crate) has_attempt_left: bool,
    /// Whether this is the half-open trial of a quarantined content.
    pub(crate) is_trial: bool,
    pub(crate) run: Rc<Run>,
}

impl<T: Translator> Attempt<'_, T> {
    /// Sends the request. Waits for the head of a stream, or for the end of any other answer.
    pub(crate) async fn send(&self, choice: Choice, lease: Option<Lease>) -> SendResult<T> {
        let (shared, request) = (self.shared, self.request);
        let mut guard = AttemptGuard::start(shared, &choice, lease, request, self.has_failed);
        let Some(spec) = self.shared.upstreams.borrow().spec(choice.index).cloned() else {
            return Err(SendFailure::Unreachable);
        };
        let (wire, answer) = match self.request_head(choice.index, &spec, &guard).await {
            Ok(answer) => answer,
            Err(failure) => {
                let failure = self.blame_path(&guard, failure);
                let (outcome, failure) = failure.outcome();
                guard.end(outcome);
                return Err(failure);
            }
        };
        guard.note_heard();
        self.run.note_began();
        self.observe_limits(choice.index, &guard, &answer.reply);
        if let Some((outcome, failure)) = self.refusal(choice.index, &guard, &answer) {
            guard.end(outcome);
            return Err(failure);
        }
        guard.note_running();
        let reader = BodyReader::new(answer.framing);
        let is_success = (200..300).contains(&answer.head.status());
        if is_success && self.request.route.retry.is_stream() {
            return Ok(Answer::Stream(Box::new(Stream {
                head: answer.head,
                confidence: answer.reply.confidence,
                wire,
                reader,
                leaves_silent: false,
                may_resume: self.request.route.retry.is_allowed(),
                index: choice.index,
                shared: Rc::clone(self.shared),
                guard,
                model: self.model.clone(),
            })));
        }
        guard.note_first_output(self.model.as_ref());
        let retry_after = answer.reply.retry_after;
        let read = self.read_whole_answer(choice.index, wire, answer.head, reader, guard);
        match read.await {
            Err(SendFailure::Failed(whole)) if promises_not_run(whole.head.status()) => {
                self.shared.metrics.unconfirmed_refusals.inc();
                Err(SendFailure::UnconfirmedRefusal { retry_after })
            }
            sent => sent,
        }
    }

    /// Sends the request and reads the head of the answer, on a pooled connection if there is one.
    async fn request_head(
        &self,
        index: UpstreamIndex,
        spec: &Upstream,
        guard: &AttemptGuard<T>,
    ) -> Result<(Wire, AnswerHead), Failure> {
        self.shared.metrics.attempts.inc();
        if let Some(wire) = self.take_pooled(index, spec) {
            match self.send_on(&wire, index, spec, guard).await {
                Ok(answer) => return Ok((wire, answer)),
                // The upstream may have silently dropped the idle connection: the next send on it
                // is reset though the upstream is healthy.
                Err(Failure::Broken(why)) => {
                    return self.resend(index, spec, guard, why).await;
                }
                Err(failure) => return Err(failure),
            }
        }
        let wire = self.open_connection(index, spec, guard).await?;
        let answer = self.send_on(&wire, index, spec, guard).await?;
        Ok((wire, answer))
    }

    /// Resends the request on a new connection after a pooled connection to the same upstream
    /// broke.
    ///
    /// If the upstream crashed, it refuses the new connection. The send on the pooled connection is
    /// still reported as broken: if it counted neither as an attempt nor as a retry, one caller's
    /// request would go on to upstream after upstream.
    async fn resend(
        &self,
        index: UpstreamIndex,
        spec: &Upstream,
        guard: &AttemptGuard<T>,
        why: &'static str,
    ) -> Result<(Wire, AnswerHead), Failure> {
        if self.is_quarantined() || !self.may_resend(index) {
            return Err(Failure::Broken(why));
        }
        self.run.note_reconnecting();
        let Ok(wire) = self.open_connection(index, spec, guard).await else {
            return Err(Failure::Broken(why));
        };
        match self.send_on(&wire, index, spec, guard).await {
            Ok(answer) => Ok((wire, answer)),
            Err(Failure::Leaving) => Err(Failure::Broken(why)),
            Err(failure) => Err(failure),
        }
    }

    /// Takes a pooled connection, unless the request may not be retried: when a pooled connection
    /// breaks, the other end may have closed it before or after it got the request, and a new one
    /// costs only a millisecond. One to an upstream whose path may be lost isn't used either, since
    /// only a new connection shows it.
    fn take_pooled(&self, index: UpstreamIndex, spec: &Upstream) -> Option<Wire> {
        if !self.request.route.retry.is_allowed() {
            return None;
        }
        let heard_at = self.shared.upstreams.borrow().heard_at(index);
        let paths = self.shared.paths.borrow();
        if !paths.trusts_open_connection(index, &spec.service, heard_at) {
            return None;
        }
        drop(paths);
        self.shared.pool.borrow_mut().take(self.shared.now(), index)
    }

    fn may_resend(&self, index: UpstreamIndex) -> bool {
        if !self.request.route.retry.is_allowed() {
            return false;
        }
        let now = self.shared.now();
        let has_send_left = self.shared.upstreams.borrow_mut().try_acquire(now, index);
        if !has_send_left {
            return false;
        }
        let charge = self.shared.take_retry(&self.service, RetryReason::Failure);
        tracing::info!(
            id = &*self.request.ask.attempt,
            budget = %charge,
            "requests: a kept connection broke"
        );
        charge.kind == ChargeKind::Granted
    }

    async fn open_connection(
        &self,
        index: UpstreamIndex,
        spec: &Upstream,
        guard: &AttemptGuard<T>,
    ) -> Result<Wire, Failure> {
        match self.shared.connect_upstream(index, spec).await {
            Ok(connection) => {
                if let Some(tunnel) = connection.tunnel {
                    self.run.peer.replace(Some(tunnel.peer.clone()));
                    guard.note_tunnel(tunnel);
                }
                Ok(connection.wire)
            }
            Err(ConnectFailure::Refused) => {
                self.shared.upstream_refuses(index);
                Err(Failure::Unreachable)
            }
            Err(ConnectFailure::Unreachable) => Err(Failure::Unreachable),
        }
    }

    async fn send_on(
        &self,
        wire: &Wire,
        index: UpstreamIndex,
        spec: &Upstream,
        guard: &AttemptGuard<T>,
    ) -> Result<AnswerHead, Failure> {
        // Opening a connection takes time, in which the upstream may have been evacuated.
        if !self.shared.upstreams.borrow().takes_requests(index) {
            return Err(Failure::Leaving);
        }
        let written = wire.write_all(&self.encode(&spec.id)).await;
        written.map_err(|_| Failure::Broken("broke while it was sent"))?;
        self.run.note_written();
        self.answer_head(wire, &spec.id, guard).await
    }

    /// Blames a broken connection on the path rather than on the upstream where the path is lost.
    fn blame_path(&self, guard: &AttemptGuard<T>, failure: Failure) -> Failure {
        let may_be_path = matches!(failure, Failure::Broken(_));
        match may_be_path && self.is_path_lost(guard) {
            true => Failure::PathLost,
            false => failure,
        }
    }

    /// Why an answer is not accepted; none if it is.
    fn refusal(
        &self,
        index: UpstreamIndex,
        guard: &AttemptGuard<T>,
        answer: &AnswerHead,
    ) -> Option<(UpstreamOutcome, SendFailure)> {
        match answer.reply.execution {
            Execution::NotRun => {
                guard.note_rejected();
                if let Some(wait) = answer.reply.retry_after {
                    self.shared.back_off(index, wait);
                }
                return Some((UpstreamOutcome::Refused, SendFailure::NotRun("refused")));
            }
            Execution::OtherInstance => {
                let now = self.shared.now();
                let mut upstreams = self.shared.upstreams.borrow_mut();
                let outcome = upstreams.record_misdirected(now, index, self.model.as_ref());
                return Some((outcome, SendFailure::NotRun("misdirected")));
            }
            Execution::Ran => {}
        }
        let is_own = answer.reply.is_signed && !answer.reply.is_reencoded;
        let why = "not the upstream's own answer";
        (!is_own).then_some((UpstreamOutcome::Incomplete, SendFailure::MayHaveRun(why)))
    }

    /// Applies the limits that an answer of this instance carries. Only an answer that the upstream
    /// signed can lift one.
    fn observe_limits(&self, index: UpstreamIndex, guard: &AttemptGuard<T>, reply: &Reply) {
        let is_of_instance = reply.execution != Execution::OtherInstance && !reply.is_reencoded;
        let says_nothing = reply.rate_limit == Advertised::Nothing;
        if is_of_instance && (reply.is_signed || !says_nothing) {
            let shared = self.shared;
            shared.observe_rate_limit(index, guard.sent_at(), reply.rate_limit);
        }
        if is_of_instance && (reply.is_signed || reply.brittleness != Brittleness::Nothing) {
            let shared = self.shared;
            shared.observe_brittleness(index, guard.sent_at(), reply.brittleness);
        }
    }

    fn encode(&self, upstream: &UpstreamId) -> Vec<u8> {
        let Kind::Request { method, target } = &self.request.head.kind else {
            return Vec::new();
        };
        let body = &self.request.body.bytes;
        let mut out = Vec::with_capacity(768 + body.len());
        out.extend_from_slice(method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        let customer = self.request.customer.as_ref();
        let forwarding = Forwarding {
            head: &self.request.head,
            timeout: self.shared.now().until(self.request.deadline),
            upstream,
            customer: customer.map(|customer| &*customer.name),
            model: self.model.as_deref(),
            resume_after: self.resume_after,
            rank: self.rank(),
        };
        self.shared.translator.forward(&forwarding, &mut out);
        let has_length = self.request.head.get("content-length").is_some();
        if !body.is_empty() || has_length || method == "POST" || method == "PUT" {
            push_length(&mut out, body.len());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
        out
    }

    /// A customer's rank overrides the route's; a stream in progress goes before new requests.
    fn rank(&self) -> u8 {
        if !self.shared.cfg.policy.timing.ranks {
            return ORDINARY_RANK;
        }
        let customer = self.request.customer.as_ref().and_then(|c| c.rank);
        let rank = customer
            .unwrap_or(self.request.route.rank)
            .min(ORDINARY_RANK - 1);
        if self.has_delivered { 0 } else { rank + 1 }
    }

    /// Reads the head of the answer to this request.
    async fn answer_head(
        &self,
        wire: &Wire,
        upstream: &UpstreamId,
        guard: &AttemptGuard<T>,
    ) -> Result<AnswerHead, Failure> {
        let mut read = std::pin::pin!(self.matching_head(wire, upstream));
        let mut ticker = tokio::time::interval(WAIT_POLL);
        loop {
            tokio::select! {
                biased;
                done = &mut read => return done,
                _ = ticker.tick() => {
                    if self.is_path_lost(guard) {
                        return Err(Failure::PathLost);
                    }
                    self.note_silence(guard);
                    if self.is_quarantined() {
                        return Err(Failure::Quarantined);
                    }
                    if self.should_withdraw(guard) {
                        return Err(Failure::Withdrawn);
                    }
                }
            }
        }
    }

    /// Whether the content was quarantined while the request waits. Otherwise requests that reached
    /// upstreams before the update on the quarantine would crash them one after another as their
    /// turn comes.
    fn is_quarantined(&self) -> bool {
        !self.is_trial && self.shared.is_quarantined(self.request)
    }

    /// Whether the request should be taken back from an upstream that has not started it, since
    /// upstreams may crash under a part of its prompt.
    fn should_withdraw(&self, guard: &AttemptGuard<T>) -> bool {
        let (contents, customer) = (&self.request.contents, self.request.customer_name());
        let (now, sent_at) = (self.shared.now(), guard.sent_at());
        let suspects = self.shared.cfg.suspects.lock();
        self.has_attempt_left && suspects.should_withdraw(now, contents, customer, sent_at)
    }

    /// Whether the request waits on a path that is lost, and may be retried on another.
    fn is_path_lost(&self, guard: &AttemptGuard<T>) -> bool {
        let is_allowed = self.request.route.retry.is_allowed();
        is_allowed && guard.is_path_silent(guard.sent_at())
    }

    /// Notes whether another upstream is to be looked for in place of this one.
    fn note_silence(&self, guard: &AttemptGuard<T>) {
        let silence = self.silence(guard).filter(|_| self.leaves_silent);
        if silence.is_some() && self.has_attempt_left {
            guard.note_silent();
        }
        self.run.set_silence(silence);
    }

    /// Why another upstream is looked for in place of this one; none if it isn't.
    fn silence(&self, guard: &AttemptGuard<T>) -> Option<&'static str> {
        let route = &self.request.route;
        let silent = guard.outstanding_for();
        if route.retry.is_stream() {
            return silence_reason(self.request, guard, silent, false);
        }
        let share = Span::from_secs_f64(route.objective.as_secs_f64() * SILENT_SHARE);
        (silent > share.max(guard.first_output_within())).then_some("silent")
    }

    /// Reads response heads until one answers this request.
    ///
    /// An answer can arrive late or twice on a pooled connection; without comparing ids, the caller
    /// would get another caller's answer.
    async fn matching_head(
        &self,
        wire: &Wire,
        upstream: &UpstreamId,
    ) -> Result<AnswerHead, Failure> {
        for _ in 0..MAX_STRAY_ANSWERS {
            let read = read_response_head(wire, MAX_HEAD).await;
            let broken = |_| Failure::Broken("broke before its answer");
            let (head, framing) = read.map_err(broken)?;
            let reply = self.shared.translator.reply(&head, upstream);
            let is_own = match &reply.attempt {
                Some(id) => **id == *self.request.ask.attempt,
                // The request's own answer may never come on a connection with foreign bytes.
                None if reply.execution == Execution::Ran => {
                    return Err(Failure::Broken("answered without the request's id"));
                }
                None => true,
            };
            if is_own {
                return Ok(AnswerHead {
                    head,
                    reply,
                    framing,
                });
            }
            let discarded = discard_body(wire, &mut BodyReader::new(framing), MAX_STRAY_BODY).await;
            discarded.map_err(|_| Failure::Broken("broke within another's answer"))?;
        }
        Err(Failure::Broken("broke before its answer"))
    }

    async fn read_whole_answer(
        &self,
        index: UpstreamIndex,
        wire: Wire,
        head: Head,
        mut reader: BodyReader,
        guard: AttemptGuard<T>,
    ) -> SendResult<T> {
        let mut held = self.shared.held_answers.begin();
        let accepts = |len| len <= MAX_BODY && held.set_len(len);
        let body = match read_whole(&wire, &mut reader, accepts).await {
            Ok(body) => body,
            Err(e) => {
                guard.end(UpstreamOutcome::Incomplete);
                return Err(SendFailure::MayHaveRun(match e {
                    ResponseError::TooLarge(_) => "its answer was too large",
                    _ => "broke within its answer",
                }));
            }
        };
        if reader.ends_with_connection() && self.shared.has_crashed_at_end(index).await {
            guard.end(UpstreamOutcome::Incomplete);
            return Err(SendFailure::MayHaveRun(CRASHED_AT_END));
        }
        let is_success = head.status() < 500 && !promises_not_run(head.status());
        guard.end(if is_success {
            UpstreamOutcome::Good
        } else {
            UpstreamOutcome::Failed
        });
        if !reader.ends_with_connection() {
            self.shared.keep_connection(index, wire, &head);
        }
        let whole = Whole {
            head,
            body: body.freeze(),
            _held: held,
        };
        match is_success {
            // It can't follow the events that the caller has.
            true if self.has_delivered => Err(SendFailure::MayHaveRun("answered without a stream")),
            true => Ok(Answer::Whole(whole)),
            false => Err(SendFailure::Failed(whole)),
        }
    }
}
