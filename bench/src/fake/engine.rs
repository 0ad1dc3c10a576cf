//! A model engine in fast time: slots, a queue by priority, prefill, decoding, a prefix cache.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use types::prelude::*;

/// Prompt tokens computed a second by an engine.
const PREFILL_RATE: f64 = 10_000.0;
/// Seconds between tokens with one request running.
const TOKEN_SECONDS: f64 = 0.020;
/// Part by which tokens come slower when all slots are in use.
const BATCH_SLOWDOWN: f64 = 0.5;
/// Prompt tokens that the cache holds.
const CACHE_TOKENS: u32 = 120_000;

/// One request at an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// The experiment's number for it.
    pub id: u64,
    /// Interactive goes first.
    pub priority: Priority,
    /// Hash and tokens of each part of the prompt.
    pub prompt: Vec<(u64, u32)>,
    /// Tokens of the answer.
    pub output: u32,
}

/// What follows from a job's start.
#[derive(Debug, Clone, Copy)]
pub struct Started {
    /// The job.
    pub id: u64,
    /// When its first token leaves.
    pub first_token: Time,
    /// When it ends.
    pub end: Time,
    /// Time between its tokens.
    pub per_token: Span,
    /// Prompt tokens found in the cache, of all.
    pub cached: (u32, u32),
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Jobs that it runs at once.
    pub slots: u32,
    /// 1 for a usual engine.
    pub speed: f64,
    /// False once lost.
    pub alive: bool,
    /// Jobs running.
    pub running: u32,
    waiting: BTreeMap<(Reverse<Priority>, u64), Job>,
    arrived: u64,
    prefill_free: [Time; 2],
    cache: Cache,
}

impl Engine {
    /// An idle engine of usual speed.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            speed: 1.0,
            alive: true,
            running: 0,
            waiting: BTreeMap::new(),
            arrived: 0,
            prefill_free: [Time::ZERO; 2],
            cache: Cache::default(),
        }
    }

    /// Jobs held back.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Takes a job; says what follows when it starts at once.
    pub fn arrive(&mut self, now: Time, job: Job) -> Option<Started> {
        if self.running < self.slots {
            return Some(self.start(now, &job));
        }
        self.arrived += 1;
        self.waiting
            .insert((Reverse(job.priority), self.arrived), job);
        None
    }

    /// Ends a job and starts the next.
    pub fn end(&mut self, now: Time) -> Option<Started> {
        self.running -= 1;
        let (_, job) = self.waiting.pop_first()?;
        Some(self.start(now, &job))
    }

    /// Cancels a running or waiting job and starts the next; the caller drops its end.
    pub fn cancel(&mut self, now: Time, id: u64) -> Option<Started> {
        let waiting = self.waiting.iter().find(|(_, job)| job.id == id);
        if let Some(key) = waiting.map(|(key, _)| *key) {
            self.waiting.remove(&key);
            return None;
        }
        self.end(now)
    }

    /// Loses everything at once; returns the jobs that waited.
    pub fn lose(&mut self) -> Vec<Job> {
        self.alive = false;
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Seconds until the first token of a job that came now, known only to an oracle.
    pub fn oracle_wait(&self, now: Time, job: &Job) -> f64 {
        let missing = job.tokens() - self.cache.held(&job.prompt);
        let prefill = f64::from(missing) / PREFILL_RATE / self.speed;
        let before = now.until(self.prefill_free[0]).as_secs_f64();
        let load = f64::from(self.running + self.waiting()) / f64::from(self.slots);
        before + prefill + self.token_seconds() + QUEUE_SECONDS * (load - 0.95).max(0.0)
    }

    fn start(&mut self, now: Time, job: &Job) -> Started {
        self.running += 1;
        let held = self.cache.held(&job.prompt);
        self.cache.add(&job.prompt);
        let missing = f64::from(job.tokens() - held);
        let prefill = Span::from_secs_f64(missing / PREFILL_RATE / self.speed);
        let prefilled = self.prefill(now, job.priority, prefill);
        let per_token = Span::from_secs_f64(self.token_seconds());
        let first_token = prefilled + per_token;
        Started {
            id: job.id,
            first_token,
            end: first_token + per_token.times(u64::from(job.output)),
            per_token,
            cached: (held, job.tokens()),
        }
    }

    /// One prompt at a time; interactive ones go before batch ones.
    fn prefill(&mut self, now: Time, priority: Priority, length: Span) -> Time {
        let [interactive, batch] = self.prefill_free;
        if priority == Priority::Interactive {
            let end = now.max(interactive) + length;
            self.prefill_free = [end, batch.max(now) + length];
            return end;
        }
        let end = now.max(interactive).max(batch) + length;
        self.prefill_free[1] = end;
        end
    }

    fn token_seconds(&self) -> f64 {
        let load = f64::from(self.running) / f64::from(self.slots);
        TOKEN_SECONDS * (1.0 + BATCH_SLOWDOWN * load) / self.speed
    }
}

/// What an oracle reckons for each job per slot beyond the slots.
const QUEUE_SECONDS: f64 = 4.0;

impl Job {
    /// Tokens of the prompt.
    pub fn tokens(&self) -> u32 {
        self.prompt.iter().map(|(_, tokens)| tokens).sum()
    }
}

/// Prompt parts, the least recently used dropped first.
#[derive(Debug, Default)]
struct Cache {
    parts: HashMap<u64, (u64, u32)>,
    by_use: BTreeMap<u64, u64>,
    tokens: u32,
    uses: u64,
}

impl Cache {
    fn held(&self, prompt: &[(u64, u32)]) -> u32 {
        let held = prompt
            .iter()
            .take_while(|(hash, _)| self.parts.contains_key(hash));
        held.map(|(_, tokens)| tokens).sum()
    }

    /// Later parts count as used before earlier ones, so that they are dropped first.
    fn add(&mut self, prompt: &[(u64, u32)]) {
        for (hash, tokens) in prompt.iter().rev() {
            self.uses += 1;
            let old = self.parts.insert(*hash, (self.uses, *tokens));
            match old {
                Some((used, _)) => drop(self.by_use.remove(&used)),
                None => self.tokens += tokens,
            }
            self.by_use.insert(self.uses, *hash);
        }
        while self.tokens > CACHE_TOKENS {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            let dropped = self.parts.remove(&hash);
            self.tokens -= dropped.map_or(0, |(_, tokens)| tokens);
        }
    }
}
