//! The engine's state and its update on each tick.

use std::collections::BTreeMap;

use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use types::prelude::*;

use super::batch::{Batch, BatchPace, Event, Job, JobId};
use super::cache::PrefixCache;
use super::config::{EngineConfig, EngineCounters, EngineFault, EngineFaults, RunRecord};
use super::job::{Output, Progress, Task, Whole};
use super::orders::Loaded;
use super::text;
use super::wire::{ChatRequest, ChunkFields, Usage};
use crate::server::Piece;

/// Interval between searches for requests whose client disconnected.
const SWEEP_INTERVAL: Span = Span::from_millis(20);

/// The state of an engine.
#[derive(Debug)]
pub(super) struct State {
    pub(super) cfg: EngineConfig,
    pub(super) faults: EngineFaults,
    pub(super) counters: EngineCounters,
    pub(super) runs: Vec<RunRecord>,
    pub(super) loaded: Loaded,
    pub(super) cache: PrefixCache,
    pub(super) report: LaggingReport,
    batch: Batch,
    tasks: BTreeMap<JobId, (Task, RunRecord)>,
    next_id: JobId,
    next_sweep: Time,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    Leaving,
    NotLoaded,
    Full,
    Expired,
}

/// A cached report that is replaced once it is older than the lag.
#[derive(Debug, Default)]
pub(super) struct LaggingReport(Option<(Time, Value)>);

impl LaggingReport {
    pub(super) fn read(&mut self, now: Time, lag: Span, fresh: Value) -> Value {
        match &self.0 {
            Some((at, old)) if now.since(*at) < lag => old.clone(),
            _ => {
                self.0 = Some((now, fresh.clone()));
                fresh
            }
        }
    }
}

/// What the connection needs of a submitted request: its answer's parameters and the
/// receiving ends of its channels.
#[derive(Debug)]
pub(super) struct Submitted {
    pub(super) id: JobId,
    pub(super) version: VersionId,
    pub(super) usage: Usage,
    /// Tokens to generate.
    pub(super) tokens: u32,
    pub(super) finish_reason: &'static str,
    /// Whether the answer includes log probabilities.
    pub(super) logprobs: bool,
    /// Receives true once the request gets a slot, or false when it expired in the queue.
    pub(super) started: oneshot::Receiver<bool>,
    pub(super) answer: Answer,
}

#[derive(Debug)]
pub(super) enum Answer {
    Stream(mpsc::UnboundedReceiver<Piece>),
    Whole(oneshot::Receiver<Whole>),
}

/// A received request with the values from its headers.
#[derive(Debug)]
pub(super) struct Arrival {
    pub(super) attempt: String,
    pub(super) version: VersionId,
    pub(super) deadline: Time,
    pub(super) chat: ChatRequest,
    pub(super) fault: EngineFault,
}

impl State {
    pub(super) fn new(cfg: EngineConfig) -> Self {
        let cache = PrefixCache::new(cfg.cache_tokens, cfg.cache_event_lag, cfg.cache_event_gap);
        Self {
            faults: EngineFaults::default(),
            counters: EngineCounters::default(),
            runs: Vec::new(),
            loaded: Loaded::new(&cfg),
            cache,
            report: LaggingReport::default(),
            batch: Batch::default(),
            tasks: BTreeMap::new(),
            next_id: 1,
            next_sweep: Time::ZERO,
            cfg,
        }
    }

    pub(super) fn running(&self) -> usize {
        self.batch.running()
    }

    pub(super) fn waiting(&self) -> usize {
        self.batch.waiting()
    }

    pub(super) fn slots(&self) -> u32 {
        let unavailable = if self.loaded.is_loading() {
            self.cfg.slots_used_by_loading
        } else {
            0
        };
        self.cfg.slots.saturating_sub(unavailable).max(1)
    }

    fn pace(&self) -> BatchPace {
        let factor = self.faults.slow_factor.max(1);
        BatchPace {
            slots: self.slots() as usize,
            step: self.cfg.token_time.times(factor),
            step_per_running: self.cfg.token_time_per_running.times(factor),
        }
    }

    /// Queues a request, or returns why it is refused.
    pub(super) fn submit(&mut self, now: Time, arrival: Arrival) -> Result<Submitted, Refusal> {
        self.loaded.finish_loads(now);
        if self.loaded.is_leaving() {
            return Err(Refusal::Leaving);
        }
        if !self.loaded.has(&arrival.version) {
            return Err(Refusal::NotLoaded);
        }
        if self.batch.waiting() >= self.cfg.max_waiting {
            return Err(Refusal::Full);
        }
        if now.has_reached(arrival.deadline) {
            return Err(Refusal::Expired);
        }
        Ok(self.enqueue(now, arrival))
    }

    fn enqueue(&mut self, now: Time, arrival: Arrival) -> Submitted {
        let id = self.next_id;
        self.next_id += 1;
        let mut chat = arrival.chat;
        let partial = chat.take_partial();
        let start = partial.tokens;
        let usage = self.read_prompt(now, &chat);
        let new_tokens = chat.tokens(self.cfg.answer_tokens.saturating_sub(start).max(1));
        let length = start + new_tokens;
        let job = Job {
            id,
            priority: chat.priority,
            deadline: arrival.deadline,
            prefill: self.prefill(usage, arrival.fault),
            tokens: new_tokens,
            stall_after: arrival.fault.stall_after(),
        };
        let (output, answer) = channels(chat.stream, arrival.fault);
        let (started_tx, started) = oneshot::channel();
        let finish_reason = if length < self.cfg.answer_tokens {
            "length"
        } else {
            "stop"
        };
        let mut task = Task {
            chunk_fields: ChunkFields::new(&arrival.attempt, &arrival.version),
            answer: text::answer_hash(&arrival.version, &chat.messages),
            index: if partial.has_ended { length } else { start },
            length,
            finish_reason,
            wants_usage: chat.wants_usage(),
            usage,
            fault: arrival.fault,
            output,
            started: Some(started_tx),
        };
        if arrival.fault.is_crossed() {
            task.switch_to_other_request();
        }
        let logprobs = chat.logprobs;
        let version = arrival.version;
        let record = RunRecord {
            attempt: arrival.attempt,
            version: version.clone(),
            tag: text::tag(&chat.messages),
            resumed: start > 0,
        };
        self.tasks.insert(id, (task, record));
        self.batch.submit(job);
        Submitted {
            id,
            version,
            usage,
            tokens: new_tokens,
            finish_reason,
            logprobs,
            started,
            answer,
        }
    }

    fn read_prompt(&mut self, now: Time, chat: &ChatRequest) -> Usage {
        let prompt = chat.messages.iter().map(text::Message::tokens).sum();
        let cached = self.cache.cached_tokens(&chat.messages);
        self.cache.store(now, &chat.messages);
        self.counters.prompt_tokens += prompt;
        self.counters.cached_tokens += cached;
        Usage {
            prompt,
            cached,
            completion: 0,
        }
    }

    fn prefill(&self, usage: Usage, fault: EngineFault) -> Span {
        let uncached = usage.prompt - usage.cached;
        let read = Span(self.cfg.prefill_per_1000.0 * uncached / 1_000);
        let fault_delay = match fault {
            EngineFault::Late(span) => span,
            _ => Span::ZERO,
        };
        read + self.faults.delay + fault_delay
    }

    /// Assigns slots and generates the tokens that are due.
    pub(super) fn tick(&mut self, now: Time) {
        self.loaded.finish_loads(now);
        if now.has_reached(self.next_sweep) {
            self.sweep();
            self.next_sweep = now + SWEEP_INTERVAL;
        }
        for event in self.batch.tick(now, self.pace()) {
            match event {
                Event::Started(id) => self.started(id),
                Event::Token(id) => self.token(id),
                Event::Expired(id) => self.expired(id),
            }
        }
    }

    /// Returns the time of the next tick, or `None` while there is no request.
    pub(super) fn next_tick(&self) -> Option<Time> {
        let sweep = (!self.tasks.is_empty()).then_some(self.next_sweep);
        self.batch.next_tick().into_iter().chain(sweep).min()
    }

    fn started(&mut self, id: JobId) {
        let Some((task, record)) = self.tasks.get_mut(&id) else {
            return;
        };
        self.counters.runs += 1;
        if self.runs.len() < self.cfg.max_run_records {
            self.runs.push(record.clone());
        }
        if let Some(started) = task.started.take() {
            // Fails when the client disconnected; the sweep removes the request.
            let _ = started.send(true);
        }
    }

    fn token(&mut self, id: JobId) {
        let Some((task, _)) = self.tasks.get_mut(&id) else {
            return;
        };
        let progress = task.emit(self.faults.bad_answers);
        match progress {
            Progress::Continues => {}
            Progress::Finished => self.counters.finished += 1,
            Progress::Interrupted => {}
            Progress::ClientGone => self.counters.cancelled += 1,
        }
        if matches!(progress, Progress::Continues | Progress::Finished) {
            self.counters.tokens += 1;
        }
        if progress != Progress::Continues {
            self.drop_task(id);
        }
    }

    fn expired(&mut self, id: JobId) {
        if let Some((task, _)) = self.tasks.remove(&id)
            && let Some(started) = task.started
        {
            let _ = started.send(false);
        }
    }

    fn drop_task(&mut self, id: JobId) {
        self.tasks.remove(&id);
        self.batch.cancel(id);
    }

    /// Removes a request whose client disconnected.
    pub(super) fn cancel(&mut self, id: JobId) {
        if self.tasks.contains_key(&id) {
            self.counters.cancelled += 1;
            self.drop_task(id);
        }
    }

    /// Frees the slots of requests whose client disconnected while no token was being sent.
    fn sweep(&mut self) {
        let disconnected = self
            .tasks
            .iter()
            .filter(|(_, (task, _))| task.is_client_gone());
        let disconnected = disconnected.map(|(id, _)| *id).collect::<Vec<_>>();
        for id in disconnected {
            self.cancel(id);
        }
    }

    /// Breaks the connections of all requests in flight.
    pub(super) fn break_connections(&mut self) {
        for (id, (task, _)) in std::mem::take(&mut self.tasks) {
            self.batch.cancel(id);
            task.break_connection();
        }
    }
}

/// Creates the answer channel. Faults that discard the answer after the run buffer it even
/// for a streamed request, so that the run completes before the fault.
fn channels(stream: bool, fault: EngineFault) -> (Output, Answer) {
    let discards_answer = matches!(fault, EngineFault::ResetAfter | EngineFault::RefuseAfterRun);
    if stream && !discards_answer {
        let (pieces_tx, pieces) = mpsc::unbounded_channel();
        (Output::Stream(pieces_tx), Answer::Stream(pieces))
    } else {
        let (whole_tx, whole) = oneshot::channel();
        let output = Output::Whole(Some(whole_tx), String::new());
        (output, Answer::Whole(whole))
    }
}
