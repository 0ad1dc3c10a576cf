//! How many repeats a service may be sent.
//!
//! Repeats are what turns a failing service into a dead one, so the fleet may send only a
//! share of the callers' requests once more, over a sliding window. Each daemon keeps that
//! share of its own requests, and its part of a fixed allowance: the sum over all daemons
//! then keeps the bound without a word between them, also while some are cut off.

use std::collections::VecDeque;

use types::prelude::*;

use crate::policy::RepeatPolicy;

/// The window slides in so many steps.
const STEPS: u64 = 20;

/// What the operators allow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, of the whole fleet.
    pub allowance: f64,
    /// Over.
    pub window: Span,
}

/// What a repeat is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// An attempt failed.
    Failure,
    /// A larger model is to answer.
    LargerModel,
}

#[derive(Debug, Clone, Copy, Default)]
struct Step {
    ends_at: Time,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service at one daemon.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    policy: RepeatPolicy,
    steps: VecDeque<Step>,
    /// Daemons that share the allowance.
    daemons: usize,
}

impl RetryBudget {
    /// Nothing was sent yet.
    #[must_use]
    pub fn new(limits: RetryLimits, policy: RepeatPolicy) -> Self {
        Self {
            limits,
            policy,
            steps: VecDeque::new(),
            daemons: 1,
        }
    }

    /// Sets how many daemons share the allowance.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Notes a caller's request.
    pub fn requested(&mut self, now: Time) {
        self.step(now).requests += 1;
    }

    /// Takes a repeat if there is one left.
    pub fn take(&mut self, now: Time, what: Use) -> bool {
        let share = match what {
            Use::Failure => self.policy.used_share,
            Use::LargerModel => self.policy.used_share * self.policy.choice_share,
        };
        self.step(now);
        let requests = self
            .steps
            .iter()
            .map(|s| f64::from(s.requests))
            .sum::<f64>();
        let repeats = self.steps.iter().map(|s| f64::from(s.repeats)).sum::<f64>();
        let allowance = self.limits.allowance / self.daemons as f64;
        let bound = share * (self.limits.ratio * requests + allowance);
        let is_left = repeats + 1.0 <= bound;
        if is_left {
            self.step(now).repeats += 1;
        }
        is_left
    }

    /// The present step; those that left the window go.
    fn step(&mut self, now: Time) -> &mut Step {
        let window = self.limits.window;
        while self
            .steps
            .front()
            .is_some_and(|s| now >= s.ends_at + window)
        {
            self.steps.pop_front();
        }
        let width = Span(window.0 / STEPS);
        if self.steps.back().is_none_or(|step| now >= step.ends_at) {
            self.steps.push_back(Step {
                ends_at: now + width,
                ..Step::default()
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
