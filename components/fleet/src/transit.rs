//! How long messages of peers were under way.
//!
//! No two hosts' clocks are compared: of a sender's clock only the time between two of its messages is
//! used. The one that took least, by what both clocks say, is taken for prompt; any other was under way
//! for as much longer as it came later than by the sender's clock.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Messages are compared with those of this span: as long as clocks of two hosts stay together well
/// enough, and one that stood still with its host is trusted again.
const COMPARED: Span = Span::from_secs(10);
/// A first message tells nothing of its way; one this much later does.
const SETTLED: Span = Span::from_secs(1);
/// Messages of one peer remembered at most.
const MAX_SAMPLES: usize = 128;
/// A daemon that just started has no earlier messages to compare with.
const YOUNG: Span = Span::from_secs(5);

/// When a message was sent, by its sender's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentAt {
    /// The sender's run.
    pub run: Incarnation,
    /// In ms since the begin of that run.
    pub clock_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    arrived_at: Time,
    /// By how much the own clock is ahead of the sender's, the way included, in ms.
    ahead_ms: i64,
}

#[derive(Debug)]
struct Path {
    run: Incarnation,
    samples: VecDeque<Sample>,
}

/// How long messages of peers were under way.
#[derive(Debug, Default)]
pub(crate) struct Transit(HashMap<DaemonId, Path>);

impl Transit {
    /// How long a message was under way beyond a prompt one; nothing if that cannot be told.
    pub(crate) fn delay(&mut self, now: Time, peer: &DaemonId, sent: SentAt) -> Option<Span> {
        let new_path = || Path {
            run: sent.run,
            samples: VecDeque::new(),
        };
        let path = self.0.entry(peer.clone()).or_insert_with(new_path);
        if path.run != sent.run {
            *path = new_path();
        }
        let own_ms = now.since(Time::ZERO).as_millis();
        let sample = Sample {
            arrived_at: now,
            ahead_ms: own_ms as i64 - sent.clock_ms as i64,
        };
        path.samples.push_back(sample);
        let is_old = |first: &Sample| now.since(first.arrived_at) > COMPARED;
        while path.samples.front().is_some_and(is_old) || path.samples.len() > MAX_SAMPLES {
            path.samples.pop_front();
        }
        let first_at = path.samples.front()?.arrived_at;
        let is_settled = now.since(first_at) >= SETTLED || now.since(Time::ZERO) < YOUNG;
        let least = path.samples.iter().map(|sample| sample.ahead_ms).min()?;
        let late_ms = u64::try_from(sample.ahead_ms - least).unwrap_or(0);
        is_settled.then_some(Span::from_millis(late_ms))
    }

    pub(crate) fn expire(&mut self, now: Time) {
        let is_kept = |path: &Path| {
            let last = path.samples.back();
            last.is_some_and(|last| now.since(last.arrived_at) < COMPARED)
        };
        self.0.retain(|_, path| is_kept(path));
    }
}
