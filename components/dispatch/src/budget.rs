//! Retry budget of a service.
//!
//! Retries overload a service that is already failing, so over a sliding window the fleet may retry
//! only a share of the callers' requests. A retry here is any further send of a request, after a
//! failure or to a larger model. Each daemon keeps to that share of its own requests and its part
//! of a fixed allowance, so the sum over all daemons keeps the bound without messages, even while
//! some are cut off.
//!
//! What a process has spent is forgotten when it ends, and still counts at the upstreams until the
//! window has passed. Its successor earns retries by its own requests at once, but takes no part of
//! the allowance before the window has passed and it knows its peers: then all processes that have
//! spent a part within any window ran at the same time, and each divided by the others.

use std::collections::VecDeque;
use std::fmt;

use ratelimit::SETTLING_TIME;
use types::prelude::*;

use crate::policy::RetryPolicy;

/// Number of steps in which the window slides.
const WINDOW_STEPS: u64 = 20;
/// How long escalations take no retries after a failed request found none left: a better answer is
/// worth less than one at all, and would be given up for an upstream that may fail as well.
const FAILURES_FIRST_FOR: Span = Span::from_secs(1);

/// The operators' bound on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond that, of the whole fleet.
    pub allowance: f64,
    /// Length of the sliding window.
    pub window: Span,
}

/// Reason for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// An attempt failed.
    Failure,
    /// Escalation to a larger model.
    LargerModel,
}

/// How much of a retry budget is used at one daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetUse {
    /// Retries in the window.
    pub spent: u32,
    /// Retries that this daemon may make in a window.
    pub limit: f64,
    /// The part of the limit that is this daemon's share of the fixed allowance.
    pub allowance: f64,
    /// Requests in the window.
    pub requests: u32,
    /// Number of daemons that share the allowance.
    pub daemons: usize,
}

impl BudgetUse {
    /// Whether no retry is left.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        f64::from(self.spent) + 1.0 > self.limit
    }
}

impl fmt::Display for BudgetUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {:.1} retries spent here, {:.1} of them allowed to one of {} daemons, the rest for \
             {} requests",
            self.spent, self.limit, self.allowance, self.daemons, self.requests
        )
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct WindowStep {
    ends_at: Time,
    requests: u32,
    retries: u32,
    /// Most daemons that shared the allowance.
    daemons: usize,
}

/// Requests and retries of one service at one daemon.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    policy: RetryPolicy,
    steps: VecDeque<WindowStep>,
    /// Number of daemons that share the allowance.
    daemons: usize,
    /// Most daemons that shared it since the last use of the budget.
    most_daemons: usize,
    /// This daemon has no part of the allowance before this time.
    allowance_from: Time,
    /// Escalations take no retries before this time.
    escalations_from: Time,
}

impl RetryBudget {
    /// Creates the budget of a daemon without a predecessor, before its first request.
    #[must_use]
    pub fn new(limits: RetryLimits, policy: RetryPolicy) -> Self {
        Self {
            limits,
            policy,
            steps: VecDeque::new(),
            daemons: 1,
            most_daemons: 1,
            allowance_from: Time::ZERO,
            escalations_from: Time::ZERO,
        }
    }

    /// Creates the budget of a process that started at a time, perhaps as the successor of another.
    #[must_use]
    pub fn after_start(limits: RetryLimits, policy: RetryPolicy, started_at: Time) -> Self {
        Self {
            allowance_from: started_at + limits.window + SETTLING_TIME,
            ..Self::new(limits, policy)
        }
    }

    /// Sets how many daemons share the allowance. The parts of those that have left are taken over
    /// when a window has passed: they may just have been spent.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
        self.most_daemons = self.most_daemons.max(self.daemons);
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: Time) {
        self.step(now).requests += 1;
    }

    /// Records a caller's request that may have waited since a time at which none was read, because
    /// the process stood still. It counts from then on: together with those of the others, requests
    /// that waited would allow more retries than were asked for in any window.
    pub fn record_delayed_request(&mut self, now: Time, since: Time) {
        let width = self.step_width();
        self.step(now);
        let begun = self.steps.partition_point(|s| s.ends_at <= since + width);
        if let Some(step) = begun
            .checked_sub(1)
            .and_then(|last| self.steps.get_mut(last))
        {
            step.requests += 1;
        }
    }

    /// Takes one retry from the budget; returns whether it is allowed.
    pub fn try_acquire(&mut self, now: Time, reason: RetryReason) -> bool {
        self.acquire(now, reason).is_ok()
    }

    /// Takes one retry from the budget, and returns how much of it is used then.
    ///
    /// # Errors
    /// When no retry is left, with how much of the budget is used.
    pub fn acquire(&mut self, now: Time, reason: RetryReason) -> Result<BudgetUse, BudgetUse> {
        let mut usage = self.usage(now, reason);
        if usage.is_exhausted() {
            if reason == RetryReason::Failure {
                self.escalations_from = now + FAILURES_FIRST_FOR;
            }
            return Err(usage);
        }
        self.step(now).retries += 1;
        usage.spent += 1;
        Ok(usage)
    }

    /// Returns how much of the budget for retries of this kind is used.
    pub fn usage(&mut self, now: Time, reason: RetryReason) -> BudgetUse {
        let share = match reason {
            RetryReason::Failure => self.policy.used_share,
            RetryReason::LargerModel if now < self.escalations_from => 0.0,
            RetryReason::LargerModel => self.policy.used_share * self.policy.choice_share,
        };
        self.step(now);
        let daemons = self.steps.iter().map(|s| s.daemons).max();
        let daemons = daemons.unwrap_or(self.daemons);
        let requests = self.steps.iter().map(|s| s.requests).sum::<u32>();
        let spent = self.steps.iter().map(|s| s.retries).sum::<u32>();
        let allowance = match now.has_reached(self.allowance_from) {
            true => share * self.limits.allowance / daemons as f64,
            false => 0.0,
        };
        BudgetUse {
            spent,
            limit: share * self.limits.ratio * f64::from(requests) + allowance,
            allowance,
            requests,
            daemons,
        }
    }

    fn step_width(&self) -> Span {
        Span(self.limits.window.0 / WINDOW_STEPS)
    }

    /// Returns the current step, after dropping those that left the window.
    fn step(&mut self, now: Time) -> &mut WindowStep {
        let window = self.limits.window;
        while self
            .steps
            .front()
            .is_some_and(|s| now >= s.ends_at + window)
        {
            self.steps.pop_front();
        }
        let width = self.step_width();
        if self.steps.back().is_none_or(|step| now >= step.ends_at) {
            self.steps.push_back(WindowStep {
                ends_at: now + width,
                ..WindowStep::default()
            });
        }
        let last = self.steps.len() - 1;
        let step = &mut self.steps[last];
        step.daemons = step.daemons.max(self.most_daemons);
        self.most_daemons = self.daemons;
        step
    }
}
