//! Health of an upstream, judged by its answers, and its ejection.
//!
//! An upstream can pass its health check and still fail requests, so only the outcomes of
//! requests count. A failure to connect or silence ejects it at once, for twice as long each
//! time. Failures among good answers eject it when it has clearly more of them than its service
//! as a whole.

use types::prelude::*;

/// First ejection after a failure to reach the upstream: a crashed one is back in seconds, and
/// one to which only a connection was lost should be back after a moment.
const FIRST_EJECTION: Span = Span::from_millis(500);
/// Longest ejection.
const MAX_EJECTION: Span = Span::from_secs(4);
/// Time in which failures and good answers lose half of their weight.
const HALF_LIFE: Span = Span::from_secs(3);
/// Weighted failures below which the share of failures is ignored, since they may be chance.
const MIN_FAILURES: f64 = 2.5;
/// Excess of an upstream's share of failures over its service's from which it is ejected.
const MIN_EXCESS_SHARE: f64 = 0.2;

/// How a request at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// A complete good answer.
    Good,
    /// A complete answer in which the upstream reports a failure.
    Failed,
    /// An incomplete or malformed answer: reset, truncated or garbled.
    Incomplete,
    /// No data for too long.
    Silent,
    /// The upstream could not be reached.
    Unreachable,
    /// The upstream reported that it did not process the request.
    Refused,
    /// Another instance now has the upstream's address.
    Replaced,
    /// Ended by the caller or by a larger model's answer; says nothing about the upstream.
    Cancelled,
}

/// Decaying counts of one upstream's outcomes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    good: f64,
    bad: f64,
    counted_at: Time,
    ejected_until: Time,
    consecutive_ejections: u32,
    /// A half-open trial is outstanding: one request shows whether the upstream has recovered.
    is_probing: bool,
}

impl Health {
    /// Records how a request ended; `peers_share` is the share of failures of the whole
    /// service.
    pub(crate) fn record(&mut self, now: Time, outcome: UpstreamOutcome, peers_share: f64) {
        self.decay(now);
        self.is_probing = false;
        match outcome {
            UpstreamOutcome::Good => {
                self.good += 1.0;
                self.consecutive_ejections = 0;
            }
            UpstreamOutcome::Failed | UpstreamOutcome::Incomplete => {
                self.bad += 1.0;
                self.eject_if_outlier(now, peers_share);
            }
            UpstreamOutcome::Silent => {
                self.bad += 1.0;
                self.eject(now);
            }
            UpstreamOutcome::Unreachable | UpstreamOutcome::Replaced => self.eject(now),
            UpstreamOutcome::Refused | UpstreamOutcome::Cancelled => {}
        }
    }

    fn eject_if_outlier(&mut self, now: Time, peers_share: f64) {
        if self.bad >= MIN_FAILURES && self.failure_share() > peers_share + MIN_EXCESS_SHARE {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Time) {
        let span = FIRST_EJECTION.times(1 << self.consecutive_ejections.min(4));
        self.ejected_until = now + span.min(MAX_EJECTION);
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
    }

    fn decay(&mut self, now: Time) {
        let half_lives = now.since(self.counted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = (-half_lives).exp2();
        self.good *= factor;
        self.bad *= factor;
        self.counted_at = now;
    }

    /// Whether the upstream is ejected or has a half-open trial outstanding.
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until || self.is_probing
    }

    /// Notes that the upstream was chosen; after an ejection, starts a half-open trial.
    pub(crate) fn note_chosen(&mut self) {
        if self.consecutive_ejections > 0 {
            self.is_probing = true;
        }
    }

    /// Share of failures among the weighted outcomes.
    pub(crate) fn failure_share(&self) -> f64 {
        self.bad / (self.good + self.bad).max(1.0)
    }
}
