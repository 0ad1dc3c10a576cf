//! Relays an engine's answer to the caller, whole or as a stream.

use std::net::SocketAddr;

use bytes::Bytes;
use callers::{CallerDisconnected, Frame, Head, HeaderMap, Responder, StatusCode, header};
use catalogue::entry::Price;
use engine::{Answer, AttemptError, ChatAnswer, ChatRequest, Client, EngineLoad};
use externals::Sample;
use quality::Confidence;
use requests::attempt::{AttemptEnd, UnknownCause, Usage};
use requests::claim::RecordedAnswer;
use requests::life::{Attempted, Request};
use routing::{LoadReport, Outcome, UpstreamIndex};
use serde_json::{Value, json};
use types::prelude::*;

use super::body::engine_body;
use super::run::outcome_of;
use super::transcript::Transcript;
use super::version::ChosenVersion;
use super::{Job, LOOK_INTERVAL, STALL_TIMEOUT};
use crate::measured::{self, TokenTimes};
use crate::rating::{self, AnswerInfo};
use crate::traffic::claim::header_list;
use crate::traffic::refusal::{Refusal, set};
use crate::traffic::upstream::{attempt_end, cancellation};

/// A caller's answer in progress, over all attempts.
pub(crate) struct Relay<'a> {
    pub(super) job: &'a Job,
    pub(super) responder: &'a Responder,
    /// The version that attempts go to.
    trying: &'a ChosenVersion,
    /// The version whose answer is held.
    chosen: &'a ChosenVersion,
    confidence: Option<Confidence>,
    client: Client,
    attempts: u32,
    held: Option<Answer>,
    pub(super) usage: Usage,
    pub(super) load: Option<EngineLoad>,
    /// Text relayed to the caller so far; a resumed attempt continues it.
    pub(super) delivered_text: String,
    pub(super) delivered_chunks: u64,
    pub(super) has_begun: bool,
    pub(super) not_loaded: bool,
    pub(super) first_token: Option<Time>,
    pub(super) times: TokenTimes,
    pub(super) transcript: Transcript,
    pub(super) caller_left: bool,
    /// The upstream of the attempt.
    pub(super) upstream: Option<UpstreamIndex>,
    pub(super) was_preempted: bool,
}

impl<'a> Relay<'a> {
    pub(crate) fn new(job: &'a Job, chosen: &'a ChosenVersion, responder: &'a Responder) -> Self {
        let metrics = &job.cx.shared.metrics;
        let times = TokenTimes::new(metrics, &job.resolved.name, job.arrived);
        Self {
            job,
            responder,
            trying: chosen,
            chosen,
            confidence: None,
            client: job.cx.client.clone(),
            attempts: 0,
            held: None,
            usage: Usage::default(),
            load: None,
            delivered_text: String::new(),
            delivered_chunks: 0,
            has_begun: false,
            not_loaded: false,
            first_token: None,
            times,
            transcript: Transcript::new(job.head.non_idempotent),
            caller_left: false,
            upstream: None,
            was_preempted: false,
        }
    }

    /// The version that attempts go to.
    pub(crate) fn trying(&self) -> &'a ChosenVersion {
        self.trying
    }

    /// The version whose answer is held.
    pub(crate) fn chosen(&self) -> &'a ChosenVersion {
        self.chosen
    }

    /// Whether a whole answer is held, to be sent if no better one can be had.
    pub(crate) fn holds_answer(&self) -> bool {
        self.held.is_some()
    }

    /// Sends further attempts to the next version of the cascade.
    pub(crate) fn escalate(&mut self) {
        if let Some(step) = &self.trying.next {
            self.trying = &step.chosen;
        }
    }

    /// Token counts of the answer held.
    pub(crate) fn usage(&self) -> Usage {
        self.usage
    }

    /// The load that the engine reported with its answer.
    pub(crate) fn load(&self) -> Option<LoadReport> {
        let load = self.load?;
        let (running, waiting, slots) = (load.running, load.waiting, load.slots);
        Some(LoadReport {
            running,
            waiting,
            slots,
            loaded: None,
            leaving: false,
        })
    }

    /// Sets the upstream of the next attempt.
    pub(crate) fn set_upstream(&mut self, index: UpstreamIndex) {
        self.upstream = Some(index);
    }

    /// Whether the attempt was preempted by an interactive request.
    pub(crate) fn was_preempted(&self) -> bool {
        self.was_preempted
    }

    /// Tokens relayed to the caller, counted in text chunks.
    pub(crate) fn received(&self) -> Tokens {
        Tokens(self.delivered_chunks)
    }

    /// The attempt's outcome for routing.
    pub(crate) fn outcome(&self, end: &AttemptEnd, began: Time) -> Outcome {
        if self.was_preempted {
            return Outcome::Cancelled;
        }
        if self.not_loaded {
            return Outcome::NotLoaded;
        }
        let now = self.job.cx.shared.now();
        let first = self.first_token.unwrap_or(now);
        let gaps = self.usage.output.0.saturating_sub(1).max(1);
        let per_token = Span::from_micros(now.since(first).as_micros() / gaps);
        outcome_of(end, first.since(began), per_token)
    }

    /// Makes one attempt; a stream is relayed to the caller as it arrives. A silent one is ended once
    /// another can take its place.
    pub(crate) async fn attempt(
        &mut self,
        address: SocketAddr,
        request: &mut Request<Attempted>,
        can_replace: &impl Fn(&Request<Attempted>) -> bool,
    ) -> AttemptEnd {
        self.attempts += 1;
        self.first_token = None;
        self.not_loaded = false;
        self.was_preempted = false;
        let shared = &self.job.cx.shared;
        let name = format!(
            "{}.{}.{}",
            self.job.head.request, shared.incarnation, self.attempts
        );
        let timeout = request.time_left(shared.now());
        let body = self.body();
        let stream = self.job.params.stream;
        let call = ChatRequest {
            attempt: &name,
            body,
            timeout,
            read_timeout: timeout,
            stream,
            is_idempotent: request.spec().idempotent,
        };
        let client = self.client.clone();
        let answered = tokio::select! {
            biased;
            answered = client.chat(address, &call) => answered,
            () = cancellation(self.responder, request.spec()) => return AttemptEnd::CallerGone,
            () = stalled(|| can_replace(request)), if stream => {
                return AttemptEnd::Unknown(UnknownCause::TimedOut);
            }
        };
        match answered {
            Ok(ChatAnswer::Whole(answer)) => self.take_whole(answer, &name),
            Ok(ChatAnswer::Stream(stream)) => {
                self.load = stream.load();
                self.relay_stream(stream, &name, request, can_replace).await
            }
            Err(error) => self.failed_end(&error),
        }
    }

    fn body(&self) -> Bytes {
        let offer_max = self.job.resolved.offer.max_output;
        let max = self
            .job
            .params
            .max_output
            .map_or(offer_max, |caller_max| caller_max.min(offer_max));
        let remaining = Tokens(max.0.saturating_sub(self.delivered_chunks).max(1));
        let (params, trying) = (&self.job.params, self.trying);
        engine_body(
            params,
            trying,
            remaining,
            self.job.priority,
            &self.delivered_text,
        )
    }

    fn take_whole(&mut self, answer: Answer, attempt: &str) -> AttemptEnd {
        let usage = Usage {
            input: answer.usage.prompt,
            output: answer.usage.completion,
        };
        self.usage = usage;
        self.load = answer.load;
        let body = engine::rewrite_id(&answer.body, attempt, &self.answer_id());
        self.confidence = answer.confidence.and_then(Confidence::new);
        let remove_logprobs = self.trying.asks_confidence && !self.job.params.wants_logprobs();
        let body = if remove_logprobs {
            without_logprobs(body)
        } else {
            body
        };
        self.chosen = self.trying;
        self.held = Some(Answer { body, ..answer });
        AttemptEnd::Complete {
            usage,
            adequate: self.trying.accepts(self.confidence),
        }
    }

    /// Records a failed attempt and classifies its end.
    pub(super) fn failed_end(&mut self, error: &AttemptError) -> AttemptEnd {
        tracing::debug!("traffic: an attempt failed: {error}");
        self.not_loaded = matches!(error, AttemptError::NotLoaded);
        attempt_end(error, Tokens(self.delivered_chunks), self.has_begun)
    }

    /// The answer's id, the same to the caller over all attempts.
    pub(super) fn answer_id(&self) -> String {
        format!("chatcmpl-{}", self.job.head.request)
    }

    /// The response head of a successful answer.
    pub(super) fn head(&self, kind: &'static str) -> Head {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
        set(&mut headers, "x-request-id", self.job.head.request.as_str());
        set(
            &mut headers,
            "x-served-by",
            &self.chosen.version.to_string(),
        );
        set(&mut headers, "x-attempts", &self.attempts.to_string());
        if let Some(token) = &self.chosen.token {
            set(&mut headers, "x-session-token", token);
        }
        if let Some(from) = &self.chosen.moved_from {
            set(&mut headers, "x-session-moved-from", &from.to_string());
        }
        Head {
            status: StatusCode::OK,
            headers,
        }
    }

    /// The cost of the answer.
    pub(super) fn cost(&self, usage: Usage) -> Cost {
        let view = &self.job.cx.snapshot.view;
        let id = &self.chosen.version;
        let version = view
            .models
            .get(&id.model)
            .and_then(|model| model.versions.get(&id.version));
        let price: Option<Price> = version.map(|version| version.price);
        price.map_or(Cost(0), |price| price.of(usage.input, usage.output))
    }

    /// The sample to have rated, if this answer is chosen for rating.
    pub(crate) fn sample(&self) -> Option<(Sample, AnswerInfo)> {
        let class = &self.job.resolved.offer.class;
        let version = &self.chosen.version;
        let info = AnswerInfo {
            confidence: self.confidence,
            escalated: self.chosen.escalated,
        };
        if !rating::should_rate(&self.job.cx.shared, class, version, info) {
            return None;
        }
        let prompt = self.job.params.fields.get("messages").map(Value::to_string);
        let answer = self
            .held
            .as_ref()
            .map_or(&self.delivered_text, |held| &held.text);
        let sample = Sample {
            class: class.clone(),
            version: version.clone(),
            prompt: prompt.unwrap_or_default(),
            answer: answer.clone(),
        };
        Some((sample, info))
    }

    /// Sends the end of the answer, and returns the answer as recorded for replays.
    pub(crate) async fn finish(mut self, usage: Usage, attempts: usize) -> RecordedAnswer {
        self.times.ended(telemetry::labels::Outcome::Answered);
        let cost = self.cost(usage);
        if let Some(answer) = self.held.take() {
            let mut head = self.head("application/json");
            set(&mut head.headers, "x-cost", &cost.to_string());
            let headers = header_list(&head.headers);
            // Fails only if the caller is gone; the answer is billed and recorded all the same.
            let _ = self.responder.answer(head, answer.body.clone()).await;
            return RecordedAnswer::new(StatusCode::OK.as_u16(), headers, answer.body);
        }
        if self.finish_stream(usage, attempts, cost).await.is_err() {
            tracing::debug!("traffic: the caller of {} left", self.job.head.request);
        }
        let headers = header_list(&self.head("text/event-stream").headers);
        self.transcript.into_recorded(headers)
    }

    async fn finish_stream(
        &mut self,
        usage: Usage,
        attempts: usize,
        cost: Cost,
    ) -> Result<(), CallerDisconnected> {
        let last = event(&self.usage_chunk(usage, attempts, cost));
        let end = Bytes::from_static(b"data: [DONE]\n\n");
        self.transcript.push(&last);
        self.transcript.push(&end);
        self.responder.send(Frame::Data(last)).await?;
        self.responder.send(Frame::Data(end)).await?;
        self.responder.send(Frame::End).await
    }

    fn usage_chunk(&self, usage: Usage, attempts: usize, cost: Cost) -> Value {
        let total = usage.input + usage.output;
        json!({
            "id": self.answer_id(),
            "object": "chat.completion.chunk",
            "created": self.job.cx.shared.clock.wall().0 / 1000,
            "model": self.chosen.version,
            "choices": [],
            "usage": {
                "prompt_tokens": usage.input,
                "completion_tokens": usage.output,
                "total_tokens": total,
            },
            "buckthorncross": {
                "served_by": self.chosen.version,
                "attempts": attempts,
                "cost": cost.to_string(),
            },
        })
    }

    /// Sends a refusal: as a response if the caller has got nothing yet, else as the stream's end.
    pub(crate) async fn refuse(&self, refusal: &requests::refusal::Refusal) {
        let refusal = Refusal::from_decision(refusal);
        self.job.cx.shared.metrics.refusal(refusal.code);
        self.times.ended(measured::refusal_label(refusal.run));
        if self.has_begun {
            // Fails only if the caller is gone.
            let _ = refusal.end_stream(self.responder).await;
        } else {
            let id = &self.job.head.request;
            refusal.send(self.responder, Some(id)).await;
        }
    }
}

/// Waits until nothing has come for a while and another attempt can take the place of this one.
pub(super) async fn stalled(can_replace: impl Fn() -> bool) {
    tokio::time::sleep(STALL_TIMEOUT.to_duration()).await;
    while !can_replace() {
        tokio::time::sleep(LOOK_INTERVAL.to_duration()).await;
    }
}

/// One server-sent event.
fn event(data: &Value) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Removes the log probabilities, which the router asked for and the caller did not.
fn without_logprobs(body: Bytes) -> Bytes {
    let Ok(mut parsed) = serde_json::from_slice::<Value>(&body) else {
        return body;
    };
    let choices = parsed.get_mut("choices").and_then(Value::as_array_mut);
    for choice in choices.into_iter().flatten() {
        if let Some(fields) = choice.as_object_mut() {
            fields.remove("logprobs");
        }
    }
    serde_json::to_vec(&parsed).map_or(body, Bytes::from)
}
