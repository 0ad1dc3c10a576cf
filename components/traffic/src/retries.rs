//! What a further send of a request costs its service's retry budget.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use dispatch::{BudgetUse, RetryBudget, RetryReason};
use prometheus_client::encoding::EncodeLabelValue;
use types::prelude::*;

use crate::shared::Shared;

/// How a further send is charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum ChargeKind {
    /// It took a retry.
    Granted,
    /// It is not made: no retry was left.
    Refused,
    /// It takes no retry, since nothing arrived at the upstream before.
    NotCounted,
}

/// Charge of a further send, with the state of the budget at that moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Charge {
    pub(crate) kind: ChargeKind,
    usage: BudgetUse,
}

impl fmt::Display for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            ChargeKind::Granted => "granted",
            ChargeKind::Refused => "refused",
            ChargeKind::NotCounted => "not counted",
        };
        write!(f, "{kind}: {}", self.usage)
    }
}

impl<T> Shared<T> {
    /// Counts a caller's request towards the retry budget of a service.
    pub(crate) fn count_request(&self, service: &Arc<str>) {
        let now = self.now();
        let mut pauses = self.pauses.borrow_mut();
        pauses.record_awake(now);
        let waited_since = pauses.waited_since(now);
        self.with_budget(service, |budget| match waited_since {
            Some(since) => budget.record_delayed_request(now, since),
            None => budget.record_request(now),
        });
    }

    /// Takes a retry from the budget of a service.
    pub(crate) fn take_retry(&self, service: &Arc<str>, reason: RetryReason) -> Charge {
        let now = self.now();
        let acquired = self.with_budget(service, |budget| budget.acquire(now, reason));
        let (kind, usage) = match acquired {
            Ok(usage) => (ChargeKind::Granted, usage),
            Err(usage) => (ChargeKind::Refused, usage),
        };
        self.metrics.record_charge(kind);
        Charge { kind, usage }
    }

    /// Records a further send that takes no retry.
    pub(crate) fn uncounted_retry(&self, service: &Arc<str>) -> Charge {
        let kind = ChargeKind::NotCounted;
        self.metrics.record_charge(kind);
        let usage = self.retry_usage(service, RetryReason::Failure);
        Charge { kind, usage }
    }

    /// Returns how much of a service's budget is used.
    pub(crate) fn retry_usage(&self, service: &Arc<str>, reason: RetryReason) -> BudgetUse {
        let now = self.now();
        self.with_budget(service, |budget| budget.usage(now, reason))
    }

    /// Describes the retry budgets, by service.
    pub(crate) fn describe_budgets(&self) -> BTreeMap<String, String> {
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        let described = budgets.iter_mut().map(|(service, budget)| {
            let usage = budget.usage(now, RetryReason::Failure);
            (service.to_string(), usage.to_string())
        });
        described.collect()
    }

    fn with_budget<R>(&self, service: &Arc<str>, f: impl FnOnce(&mut RetryBudget) -> R) -> R {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let (limits, policy) = (self.cfg.retries, self.cfg.policy.repeats);
            let mut budget = RetryBudget::after_start(limits, policy, Time::ZERO);
            budget.set_daemons(self.plan.borrow().sharing_daemons);
            budget
        });
        f(budget)
    }
}
