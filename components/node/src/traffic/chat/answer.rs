//! Carries the answer of an engine to the caller, whole or as a stream.

use std::net::SocketAddr;

use bytes::Bytes;
use callers::{Frame, Gone, Head, HeaderMap, Responder, StatusCode, header};
use catalogue::entry::Price;
use engine::{Answer, AttemptError, ChatAnswer, ChatRequest, Client, EngineLoad};
use externals::Sample;
use quality::Confidence;
use requests::attempt::{AttemptEnd, Usage};
use requests::claim::Recorded;
use requests::life::{Attempted, Request};
use routing::{LoadReport, Outcome, UpstreamIndex};
use serde_json::{Value, json};
use types::prelude::*;

use super::body::engine_body;
use super::run::outcome_of;
use super::transcript::Transcript;
use super::version::Chosen;
use super::{Job, STALL};
use crate::measured::{self, TokenTimes};
use crate::rating::{self, Stated};
use crate::traffic::claim::listed;
use crate::traffic::refusal::{Refusal, set};
use crate::traffic::upstream::{end_of, left};

/// The answer under way, over all attempts.
pub(crate) struct Relay<'a> {
    pub(super) job: &'a Job,
    pub(super) responder: &'a Responder,
    /// Whom to ask.
    trying: &'a Chosen,
    /// Whose answer is at hand.
    chosen: &'a Chosen,
    confidence: Option<Confidence>,
    client: Client,
    attempts: u32,
    whole: Option<Answer>,
    pub(super) usage: Usage,
    pub(super) load: Option<EngineLoad>,
    /// Text that the caller has seen.
    pub(super) text: String,
    pub(super) pieces: u64,
    pub(super) has_begun: bool,
    pub(super) not_loaded: bool,
    pub(super) first_token: Option<Time>,
    pub(super) times: TokenTimes,
    pub(super) transcript: Transcript,
    pub(super) caller_left: bool,
    /// Where the attempt runs.
    pub(super) at: Option<UpstreamIndex>,
    pub(super) has_given_way: bool,
}

impl<'a> Relay<'a> {
    pub(crate) fn new(job: &'a Job, chosen: &'a Chosen, responder: &'a Responder) -> Self {
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
            whole: None,
            usage: Usage::default(),
            load: None,
            text: String::new(),
            pieces: 0,
            has_begun: false,
            not_loaded: false,
            first_token: None,
            times,
            transcript: Transcript::new(job.head.non_idempotent),
            caller_left: false,
            at: None,
            has_given_way: false,
        }
    }

    /// Whom to ask.
    pub(crate) fn trying(&self) -> &'a Chosen {
        self.trying
    }

    /// Whose answer is at hand.
    pub(crate) fn chosen(&self) -> &'a Chosen {
        self.chosen
    }

    /// Whether a whole answer is at hand, to be given when no better one can be had.
    pub(crate) fn has_answer(&self) -> bool {
        self.whole.is_some()
    }

    /// Asks the next version of the cascade from now on.
    pub(crate) fn escalate(&mut self) {
        if let Some(next) = &self.trying.next {
            self.trying = &next.chosen;
        }
    }

    /// Tokens of the answer at hand.
    pub(crate) fn usage(&self) -> Usage {
        self.usage
    }

    /// The engine's load, for routing.
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

    /// Notes where the next attempt runs.
    pub(crate) fn set_upstream(&mut self, index: UpstreamIndex) {
        self.at = Some(index);
    }

    /// Whether the attempt was cancelled for an interactive request.
    pub(crate) fn has_given_way(&self) -> bool {
        self.has_given_way
    }

    /// Tokens that the caller has.
    pub(crate) fn received(&self) -> Tokens {
        Tokens(self.pieces)
    }

    /// What routing learns from the attempt's end.
    pub(crate) fn outcome(&self, end: &AttemptEnd, began: Time) -> Outcome {
        if self.has_given_way {
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

    /// Makes one attempt; a stream goes to the caller as it comes.
    pub(crate) async fn attempt(
        &mut self,
        address: SocketAddr,
        request: &mut Request<Attempted>,
    ) -> AttemptEnd {
        self.attempts += 1;
        self.first_token = None;
        self.not_loaded = false;
        self.has_given_way = false;
        let shared = &self.job.cx.shared;
        let name = format!(
            "{}.{}.{}",
            self.job.head.request, shared.incarnation, self.attempts
        );
        let deadline = request.time_left(shared.now());
        let stall = if self.job.ask.stream { STALL } else { deadline };
        let body = self.body();
        let stream = self.job.ask.stream;
        let call = ChatRequest {
            attempt: &name,
            body,
            deadline,
            stall,
            stream,
            may_repeat: request.facts().idempotent,
        };
        let client = self.client.clone();
        let answered = tokio::select! {
            biased;
            answered = client.chat(address, &call) => answered,
            () = left(self.responder, request.facts()) => return AttemptEnd::CallerGone,
        };
        match answered {
            Ok(ChatAnswer::Whole(answer)) => self.take_whole(answer, &name),
            Ok(ChatAnswer::Stream(stream)) => {
                self.load = stream.load();
                self.take_stream(stream, &name, request).await
            }
            Err(error) => self.failed(&error),
        }
    }

    fn body(&self) -> Bytes {
        let offered = self.job.resolved.offer.max_output;
        let max = self
            .job
            .ask
            .max_output
            .map_or(offered, |asked| asked.min(offered));
        let left = Tokens(max.0.saturating_sub(self.pieces).max(1));
        let (ask, trying) = (&self.job.ask, self.trying);
        engine_body(ask, trying, left, self.job.priority, &self.text)
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
        let added = self.trying.is_judged && !self.job.ask.wants_logprobs();
        let body = if added { without_logprobs(body) } else { body };
        self.chosen = self.trying;
        self.whole = Some(Answer { body, ..answer });
        AttemptEnd::Whole {
            usage,
            adequate: self.trying.accepts(self.confidence),
        }
    }

    /// What a failed attempt says of the work.
    pub(super) fn failed(&mut self, error: &AttemptError) -> AttemptEnd {
        tracing::debug!("traffic: an attempt failed: {error}");
        self.not_loaded = matches!(error, AttemptError::NotLoaded);
        end_of(error, Tokens(self.pieces), self.has_begun)
    }

    /// The id that the caller sees, the same over all attempts.
    pub(super) fn answer_id(&self) -> String {
        format!("chatcmpl-{}", self.job.head.request)
    }

    /// The head of an answer of success.
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

    /// What the answer costs.
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

    /// The answer as it is rated, if this one is to be.
    pub(crate) fn sample(&self) -> Option<(Sample, Stated)> {
        let class = &self.job.resolved.offer.class;
        let version = &self.chosen.version;
        let stated = Stated {
            confidence: self.confidence,
            escalated: self.chosen.escalated,
        };
        if !rating::wants(&self.job.cx.shared, class, version, stated) {
            return None;
        }
        let prompt = self.job.ask.fields.get("messages").map(Value::to_string);
        let answer = self.whole.as_ref().map_or(&self.text, |whole| &whole.text);
        let sample = Sample {
            class: class.clone(),
            version: version.clone(),
            prompt: prompt.unwrap_or_default(),
            answer: answer.clone(),
        };
        Some((sample, stated))
    }

    /// Gives the caller the end of its answer, and the answer as it is kept for a repeat.
    pub(crate) async fn finish(mut self, usage: Usage, attempts: usize) -> Recorded {
        self.times.ended(telemetry::labels::Outcome::Answered);
        let cost = self.cost(usage);
        if let Some(answer) = self.whole.take() {
            let mut head = self.head("application/json");
            set(&mut head.headers, "x-cost", &cost.to_string());
            let headers = listed(&head.headers);
            // Billed and recorded for a repeat, whether or not the caller is still there.
            let _ = self.responder.answer(head, answer.body.clone()).await;
            return Recorded::new(StatusCode::OK.as_u16(), headers, answer.body);
        }
        if self.finish_stream(usage, attempts, cost).await.is_err() {
            tracing::debug!("traffic: the caller of {} left", self.job.head.request);
        }
        let headers = listed(&self.head("text/event-stream").headers);
        self.transcript.into_recorded(headers)
    }

    async fn finish_stream(
        &mut self,
        usage: Usage,
        attempts: usize,
        cost: Cost,
    ) -> Result<(), Gone> {
        let last = event(&self.last_chunk(usage, attempts, cost));
        let end = Bytes::from_static(b"data: [DONE]\n\n");
        self.transcript.push(&last);
        self.transcript.push(&end);
        self.responder.send(Frame::Data(last)).await?;
        self.responder.send(Frame::Data(end)).await?;
        self.responder.send(Frame::End).await
    }

    fn last_chunk(&self, usage: Usage, attempts: usize, cost: Cost) -> Value {
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

    /// Tells the caller no: as a status if it has seen nothing, else as the stream's end.
    pub(crate) async fn refuse(&self, refusal: &requests::refusal::Refusal) {
        let refusal = Refusal::from_decision(refusal);
        self.job.cx.shared.metrics.refusal(refusal.code);
        self.times.ended(measured::refused(refusal.run));
        if self.has_begun {
            // A caller that is gone needs no end.
            let _ = refusal.end_stream(self.responder).await;
        } else {
            let id = &self.job.head.request;
            refusal.send(self.responder, Some(id)).await;
        }
    }
}

/// One server-sent event.
fn event(data: &Value) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// The body as it would be had the caller's own request gone to the engine.
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
