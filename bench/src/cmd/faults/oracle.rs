//! Compares what actually ran, from the stand-ins' records, with the answers that callers got.

use std::collections::{BTreeMap, BTreeSet};

use super::bills;
use super::caller::{Call, CallOutcome, CallerRecord};
use super::fleet::Fleet;
use super::injection::{Fault, InjectedFault};
use super::mix::Kind;
use crate::report::Report;

/// Violations and other counts of an arm.
#[derive(Debug, Default)]
pub struct Counts {
    requests: u64,
    idempotent: u64,
    idempotent_answered: u64,
    idempotent_answered_first: u64,
    once: u64,
    once_answered: u64,
    once_unknown: u64,
    cut_calls: u64,
    error_events: u64,
    lost: u64,
    doubled: u64,
    crossed: u64,
    quiet_ends: u64,
    false_not_run: u64,
    cut_without_kill: u64,
    moved_sessions: u64,
    /// Answered chats, each of which must be billed exactly once. The two counts that follow are
    /// `None` if the export of bills could not be read.
    billable: u64,
    not_billed: Option<u64>,
    billed_twice: Option<u64>,
    /// Calls by outcome, without those that were answered.
    outcomes: BTreeMap<String, u64>,
}

impl Counts {
    /// Total number of violations.
    pub fn violations(&self) -> u64 {
        self.lost
            + self.doubled
            + self.crossed
            + self.quiet_ends
            + self.false_not_run
            + self.cut_without_kill
            + self.moved_sessions
            + self.not_billed.unwrap_or(0)
            + self.billed_twice.unwrap_or(0)
    }

    /// Reports all counts as figures.
    pub fn note(&self, arm: &str, report: &mut Report) {
        let share = |part: u64, whole: u64| part as f64 / (whole.max(1)) as f64;
        let counts = [
            ("requests", self.requests),
            ("idempotent", self.idempotent),
            ("once", self.once),
            ("once_answered", self.once_answered),
            ("once_outcome_unknown", self.once_unknown),
            ("cut_calls", self.cut_calls),
            ("error_events", self.error_events),
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("crossed", self.crossed),
            ("quiet_ends", self.quiet_ends),
            ("false_not_run", self.false_not_run),
            ("cut_without_kill", self.cut_without_kill),
            ("moved_sessions", self.moved_sessions),
            ("billable", self.billable),
        ];
        for (figure, count) in counts {
            report.note(arm, figure, count as f64);
        }
        for (outcome, count) in &self.outcomes {
            report.note(arm, &format!("call_{outcome}"), *count as f64);
        }
        let bills = [
            ("not_billed", self.not_billed),
            ("billed_twice", self.billed_twice),
        ];
        for (figure, count) in bills {
            if let Some(count) = count {
                report.note(arm, figure, count as f64);
            }
        }
        let first = share(self.idempotent_answered_first, self.idempotent);
        report.note(arm, "idempotent_success_first_call", first);
        let all = share(self.idempotent_answered, self.idempotent);
        report.note(arm, "idempotent_success", all);
        report.note(arm, "once_success", share(self.once_answered, self.once));
    }
}

/// Runs at engines and effects at plain services by the request's tag, from the stand-ins' records.
struct Executions {
    runs: BTreeMap<String, u64>,
    effects: BTreeMap<String, u64>,
}

impl Executions {
    fn new(fleet: &Fleet) -> Self {
        let mut runs = BTreeMap::new();
        for engine in fleet.platform.engines.values() {
            for run in engine.runs() {
                *runs.entry(run.tag).or_default() += 1;
            }
        }
        let mut effects = BTreeMap::new();
        for plain in fleet.platform.plain.values() {
            for (tag, count) in plain.effects() {
                *effects.entry(tag).or_default() += count;
            }
        }
        Self { runs, effects }
    }

    fn of(&self, record: &CallerRecord) -> u64 {
        let tag = &record.planned.tag;
        let runs = self.runs.get(tag).copied().unwrap_or(0);
        runs + self.effects.get(tag).copied().unwrap_or(0)
    }
}

/// Compares the answers that callers got with what ran.
pub fn count(
    fleet: &Fleet,
    records: &[CallerRecord],
    injected: &[InjectedFault],
    verbose: bool,
) -> eyre::Result<Counts> {
    let executions = Executions::new(fleet);
    let mut counts = Counts::default();
    for request in records {
        let before = counts.violations();
        count_request(&mut counts, request, &executions, injected);
        if verbose && counts.violations() > before {
            eprintln!(
                "faults: violated invariant ({} runs): {request:?}",
                executions.of(request)
            );
        }
    }
    counts.moved_sessions = moved_sessions(records);
    count_bills(&mut counts, fleet, records, &executions);
    Ok(counts)
}

/// Compares the bills of each customer with its answers. Work that ran but whose caller didn't get
/// a complete answer may or may not be billed; every answer is billed exactly once.
fn count_bills(
    counts: &mut Counts,
    fleet: &Fleet,
    records: &[CallerRecord],
    executions: &Executions,
) {
    let mut answered = BTreeMap::<&str, u64>::new();
    let mut uncertain = BTreeMap::<&str, u64>::new();
    for request in records.iter().filter(|t| !t.planned.kind.is_plain()) {
        let customer = request.planned.customer.as_str();
        if request.is_answered() {
            *answered.entry(customer).or_default() += 1;
        } else if executions.of(request) > 0 {
            *uncertain.entry(customer).or_default() += 1;
        }
    }
    counts.billable = answered.values().sum();
    let Some(billed) = bills::billed(fleet) else {
        eprintln!("faults: can't read the bills from the operators' API");
        return;
    };
    let (mut missing, mut extra) = (0, 0);
    for (customer, answered) in &answered {
        let billed = billed.get(*customer).copied().unwrap_or(0);
        let max = answered + uncertain.get(customer).copied().unwrap_or(0);
        missing += answered.saturating_sub(billed);
        extra += billed.saturating_sub(max);
    }
    counts.not_billed = Some(missing);
    counts.billed_twice = Some(extra);
}

fn count_request(
    counts: &mut Counts,
    record: &CallerRecord,
    executions: &Executions,
    injected: &[InjectedFault],
) {
    let kind = record.planned.kind;
    let is_answered = record.is_answered();
    counts.requests += 1;
    if kind.is_idempotent() {
        counts.idempotent += 1;
        counts.idempotent_answered += u64::from(is_answered);
        let first = record.calls.first();
        let first = first.is_some_and(|call| matches!(call.outcome, CallOutcome::Answered(_)));
        counts.idempotent_answered_first += u64::from(first);
    } else {
        counts.once += 1;
        counts.once_answered += u64::from(is_answered);
        let is_unknown = |call: &Call| matches!(&call.outcome, CallOutcome::Refused(_, _, run) if run == "unknown");
        counts.once_unknown += u64::from(!is_answered && record.calls.iter().any(is_unknown));
        counts.doubled += u64::from(executions.of(record) > 1);
    }
    for call in &record.calls {
        if let Some(name) = call.outcome.name() {
            *counts.outcomes.entry(name).or_default() += 1;
        }
        match &call.outcome {
            CallOutcome::Wrong(_) => counts.crossed += 1,
            CallOutcome::NoMarker => counts.quiet_ends += 1,
            CallOutcome::ErrorEvent(_) => counts.error_events += 1,
            CallOutcome::Cut(_) => {
                counts.cut_calls += 1;
                counts.cut_without_kill += u64::from(!was_killed(call, injected));
            }
            _ => {}
        }
    }
    counts.lost += u64::from(is_lost(record));
    counts.false_not_run += u64::from(all_say_not_run(record) && executions.of(record) > 0);
}

/// Whether the request was neither answered nor finally refused, despite the caller's retries.
fn is_lost(record: &CallerRecord) -> bool {
    let last = record.calls.last();
    !record.is_answered() && last.is_none_or(|call| matches!(call.outcome, CallOutcome::Cut(_)))
}

fn all_say_not_run(record: &CallerRecord) -> bool {
    let says_no =
        |call: &Call| matches!(&call.outcome, CallOutcome::Refused(_, _, run) if run == "no");
    !record.calls.is_empty() && record.calls.iter().all(says_no)
}

/// Whether the call's daemon was killed during the call, the only fault that may cut a call.
fn was_killed(call: &Call, injected: &[InjectedFault]) -> bool {
    let kills = injected.iter().filter(|t| t.fault == Fault::DaemonKilled);
    let mut kills = kills.filter(|t| t.daemon == Some(call.daemon));
    kills.any(|t| t.started_at <= call.ended && call.started_at <= t.ended)
}

/// Counts sessions that were answered by more than one version.
fn moved_sessions(records: &[CallerRecord]) -> u64 {
    let mut versions = BTreeMap::<&str, BTreeSet<&str>>::new();
    let chats = records.iter().filter(|t| t.planned.kind != Kind::Plain);
    for request in chats {
        if let (Some(session), Some(version)) = (&request.planned.session, request.version()) {
            versions.entry(session).or_default().insert(version);
        }
    }
    versions.values().filter(|v| v.len() > 1).count() as u64
}
