//! A simulated inference engine with slots, a priority queue, prefill, decoding and a prefix
//! cache.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use types::prelude::*;

/// Prompt tokens that an engine prefills per second.
const PREFILL_TOKENS_PER_S: f64 = 10_000.0;
/// Seconds between output tokens of an engine without load.
const IDLE_TOKEN_SECONDS: f64 = 0.020;
/// Fraction by which the time between tokens grows when all slots are in use.
const BATCH_SLOWDOWN: f64 = 0.5;
/// Capacity of the prefix cache in prompt tokens.
const CACHE_TOKENS: u32 = 120_000;

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Request number assigned by the experiment.
    pub id: u64,
    /// Interactive jobs run before batch jobs.
    pub priority: Priority,
    /// Hash and number of tokens of each part of the prompt.
    pub prompt: Vec<(u64, u32)>,
    /// Number of output tokens.
    pub output: u32,
}

/// Schedule of a job that has started.
#[derive(Debug, Clone, Copy)]
pub struct Started {
    /// Number of the job.
    pub id: u64,
    /// Time at which the first token is sent.
    pub first_token: Time,
    /// Time at which the job ends.
    pub end: Time,
    /// Time between output tokens.
    pub per_token: Span,
    /// Prompt tokens found in the cache, and all prompt tokens.
    pub cached: (u32, u32),
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Number of jobs that run concurrently.
    pub slots: u32,
    /// Speed relative to a normal engine, which has 1.
    pub speed: f64,
    /// False once the engine has failed.
    pub alive: bool,
    /// Number of running jobs.
    pub running: u32,
    waiting: BTreeMap<(Reverse<Priority>, u64), Job>,
    arrivals: u64,
    prefill_free_at: [Time; 2],
    cache: Cache,
}

impl Engine {
    /// Creates an idle engine of normal speed.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            speed: 1.0,
            alive: true,
            running: 0,
            waiting: BTreeMap::new(),
            arrivals: 0,
            prefill_free_at: [Time::ZERO; 2],
            cache: Cache::default(),
        }
    }

    /// Number of queued jobs.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Accepts a job; returns its schedule if it starts at once.
    pub fn arrive(&mut self, now: Time, job: Job) -> Option<Started> {
        if self.running < self.slots {
            return Some(self.start(now, &job));
        }
        self.arrivals += 1;
        self.waiting
            .insert((Reverse(job.priority), self.arrivals), job);
        None
    }

    /// Ends a running job; returns the schedule of the queued job that starts in its place.
    pub fn end(&mut self, now: Time) -> Option<Started> {
        self.running -= 1;
        let (_, job) = self.waiting.pop_first()?;
        Some(self.start(now, &job))
    }

    /// Cancels a running or queued job; returns the schedule of the queued job that starts in place
    /// of a running one. The caller discards the end event of the cancelled job.
    pub fn cancel(&mut self, now: Time, id: u64) -> Option<Started> {
        let waiting = self.waiting.iter().find(|(_, job)| job.id == id);
        if let Some(key) = waiting.map(|(key, _)| *key) {
            self.waiting.remove(&key);
            return None;
        }
        self.end(now)
    }

    /// Takes the engine down and returns the jobs that were queued.
    pub fn fail(&mut self) -> Vec<Job> {
        self.alive = false;
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Seconds until the first token of a job that arrives now. Uses the engine's true state, which
    /// only an oracle knows.
    pub fn oracle_wait(&self, now: Time, job: &Job) -> f64 {
        let uncached = job.tokens() - self.cache.cached_tokens(&job.prompt);
        let prefill = f64::from(uncached) / PREFILL_TOKENS_PER_S / self.speed;
        let prefill_wait = now.until(self.prefill_free_at[0]).as_secs_f64();
        let load = f64::from(self.running + self.waiting()) / f64::from(self.slots);
        prefill_wait
            + prefill
            + self.token_seconds()
            + ORACLE_QUEUE_SECONDS * (load - 0.95).max(0.0)
    }

    fn start(&mut self, now: Time, job: &Job) -> Started {
        self.running += 1;
        let cached_tokens = self.cache.cached_tokens(&job.prompt);
        self.cache.insert(&job.prompt);
        let uncached = f64::from(job.tokens() - cached_tokens);
        let prefill = Span::from_secs_f64(uncached / PREFILL_TOKENS_PER_S / self.speed);
        let prefill_end = self.prefill(now, job.priority, prefill);
        let per_token = Span::from_secs_f64(self.token_seconds());
        let first_token = prefill_end + per_token;
        Started {
            id: job.id,
            first_token,
            end: first_token + per_token.times(u64::from(job.output)),
            per_token,
            cached: (cached_tokens, job.tokens()),
        }
    }

    /// Schedules a prefill and returns its end. Prompts are prefilled one at a time, interactive
    /// ones before batch ones.
    fn prefill(&mut self, now: Time, priority: Priority, length: Span) -> Time {
        let [interactive, batch] = self.prefill_free_at;
        if priority == Priority::Interactive {
            let end = now.max(interactive) + length;
            self.prefill_free_at = [end, batch.max(now) + length];
            return end;
        }
        let end = now.max(interactive).max(batch) + length;
        self.prefill_free_at[1] = end;
        end
    }

    fn token_seconds(&self) -> f64 {
        let load = f64::from(self.running) / f64::from(self.slots);
        IDLE_TOKEN_SECONDS * (1.0 + BATCH_SLOWDOWN * load) / self.speed
    }
}

/// Seconds of queueing that the oracle estimates for each job per slot in excess of the slots.
const ORACLE_QUEUE_SECONDS: f64 = 4.0;

impl Job {
    /// Number of prompt tokens.
    pub fn tokens(&self) -> u32 {
        self.prompt.iter().map(|(_, tokens)| tokens).sum()
    }
}

/// Prefix cache that evicts the least recently used prompt parts first.
#[derive(Debug, Default)]
struct Cache {
    parts: HashMap<u64, (u64, u32)>,
    by_last_use: BTreeMap<u64, u64>,
    tokens: u32,
    uses: u64,
}

impl Cache {
    fn cached_tokens(&self, prompt: &[(u64, u32)]) -> u32 {
        let cached_parts = prompt
            .iter()
            .take_while(|(hash, _)| self.parts.contains_key(hash));
        cached_parts.map(|(_, tokens)| tokens).sum()
    }

    /// Inserts the parts of a prompt. Later parts count as used before earlier ones, so that they
    /// are evicted first.
    fn insert(&mut self, prompt: &[(u64, u32)]) {
        for (hash, tokens) in prompt.iter().rev() {
            self.uses += 1;
            let old = self.parts.insert(*hash, (self.uses, *tokens));
            match old {
                Some((used, _)) => drop(self.by_last_use.remove(&used)),
                None => self.tokens += tokens,
            }
            self.by_last_use.insert(self.uses, *hash);
        }
        while self.tokens > CACHE_TOKENS {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                return;
            };
            let dropped = self.parts.remove(&hash);
            self.tokens -= dropped.map_or(0, |(_, tokens)| tokens);
        }
    }
}
