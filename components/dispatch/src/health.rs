//! How an upstream's answers have been.
//!
//! An upstream can be good at its health check and bad at its work, so only the work
//! counts. Failures to connect and silence put it aside at once and for twice as long each
//! time; failures among good answers put it aside when it has clearly more of them than
//! the others of its service.

use types::prelude::*;

/// First time aside after a failure to reach it: a crashed upstream is back in seconds, and
/// one in which only a connection was lost is missed for a moment only.
const ASIDE_FIRST: Span = Span::from_millis(500);
/// Longest time aside.
const ASIDE_MOST: Span = Span::from_secs(4);
/// Failures and answers lose half of their weight in this time.
const HALF_LIFE: Span = Span::from_secs(3);
/// Failures before a share counts: fewer are chance.
const FEWEST_FAILURES: f64 = 2.5;
/// Share of failures beyond that of its peers that puts it aside.
const EXCESS_SHARE: f64 = 0.2;

/// How a request at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A whole good answer.
    Good,
    /// A failure that the upstream told itself, as whole answer.
    Failed,
    /// No whole answer: reset, cut short, garbled.
    Broken,
    /// Silent for too long.
    Silent,
    /// It could not be reached.
    Unreachable,
    /// It said that it did not run the request.
    Refused,
    /// Another run of a program has its address.
    Replaced,
    /// Ended by the caller or by a larger model's answer: says nothing.
    Dropped,
}

/// Decaying counts of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    good: f64,
    bad: f64,
    counted_at: Time,
    aside_until: Time,
    aside_times: u32,
    /// One request is out to see whether it is well again.
    is_tried: bool,
}

impl Health {
    /// Notes an ending; `peers_share` is the share of failures of its service as a whole.
    pub(crate) fn note(&mut self, now: Time, ending: Ending, peers_share: f64) {
        self.decay(now);
        self.is_tried = false;
        match ending {
            Ending::Good => {
                self.good += 1.0;
                self.aside_times = 0;
            }
            Ending::Failed | Ending::Broken => {
                self.bad += 1.0;
                self.judge(now, peers_share);
            }
            Ending::Silent => {
                self.bad += 1.0;
                self.put_aside(now);
            }
            Ending::Unreachable | Ending::Replaced => self.put_aside(now),
            Ending::Refused | Ending::Dropped => {}
        }
    }

    fn judge(&mut self, now: Time, peers_share: f64) {
        if self.bad >= FEWEST_FAILURES && self.share() > peers_share + EXCESS_SHARE {
            self.put_aside(now);
        }
    }

    fn put_aside(&mut self, now: Time) {
        let span = ASIDE_FIRST.times(1 << self.aside_times.min(4));
        self.aside_until = now + span.min(ASIDE_MOST);
        self.aside_times = self.aside_times.saturating_add(1);
    }

    fn decay(&mut self, now: Time) {
        let halves = now.since(self.counted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = (-halves).exp2();
        self.good *= factor;
        self.bad *= factor;
        self.counted_at = now;
    }

    /// Whether it is not to be chosen now.
    pub(crate) fn is_aside(&self, now: Time) -> bool {
        now < self.aside_until || self.is_tried
    }

    /// Notes that it was chosen: after a time aside one request goes first.
    pub(crate) fn chosen(&mut self) {
        if self.aside_times > 0 {
            self.is_tried = true;
        }
    }

    /// Share of failures.
    pub(crate) fn share(&self) -> f64 {
        self.bad / (self.good + self.bad).max(1.0)
    }
}
