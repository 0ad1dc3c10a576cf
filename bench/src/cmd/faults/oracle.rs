//! What really happened, from the stand-ins' records, beside what callers were told.

use std::collections::{BTreeMap, BTreeSet};

use super::bills;
use super::caller::{End, OneCall, Told};
use super::fleet::Fleet;
use super::injection::{Fault, Trouble};
use super::mix::Kind;
use crate::report::Report;

/// Broken promises and other counts of an arm.
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
    /// Requests that must be billed once; nothing when the export could not be had.
    billable: u64,
    not_billed: Option<u64>,
    billed_twice: Option<u64>,
    /// Calls by how they ended, without those that were answered.
    ends: BTreeMap<String, u64>,
}

impl Counts {
    /// Broken promises together.
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

    /// Notes all as figures.
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
        for (end, count) in &self.ends {
            report.note(arm, &format!("call_{end}"), *count as f64);
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

/// What the stand-ins saw, by the request's tag.
struct Ran {
    runs: BTreeMap<String, u64>,
    effects: BTreeMap<String, u64>,
}

impl Ran {
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

    fn of(&self, told: &Told) -> u64 {
        let tag = &told.wanted.tag;
        let runs = self.runs.get(tag).copied().unwrap_or(0);
        runs + self.effects.get(tag).copied().unwrap_or(0)
    }
}

/// Compares what callers were told with what ran.
pub fn count(
    fleet: &Fleet,
    told: &[Told],
    troubles: &[Trouble],
    verbose: bool,
) -> eyre::Result<Counts> {
    let ran = Ran::new(fleet);
    let mut counts = Counts::default();
    for request in told {
        let before = counts.violations();
        add(&mut counts, request, &ran, troubles);
        if verbose && counts.violations() > before {
            eprintln!(
                "faults: broken promise ({} runs): {request:?}",
                ran.of(request)
            );
        }
    }
    counts.moved_sessions = moved_sessions(told);
    count_bills(&mut counts, fleet, told, &ran);
    Ok(counts)
}

/// Compares the bills of each customer with its answers. Work that ran but whose answer its
/// caller never saw whole may be billed or not; all other answers are billed exactly once.
fn count_bills(counts: &mut Counts, fleet: &Fleet, told: &[Told], ran: &Ran) {
    let mut answered = BTreeMap::<&str, u64>::new();
    let mut doubtful = BTreeMap::<&str, u64>::new();
    for request in told.iter().filter(|t| !t.wanted.kind.is_plain()) {
        let customer = request.wanted.customer.as_str();
        if request.is_answered() {
            *answered.entry(customer).or_default() += 1;
        } else if ran.of(request) > 0 {
            *doubtful.entry(customer).or_default() += 1;
        }
    }
    counts.billable = answered.values().sum();
    let Some(billed) = bills::billed(fleet) else {
        eprintln!("faults: the bills can't be read from the operators' API");
        return;
    };
    let (mut missing, mut extra) = (0, 0);
    for (customer, answered) in &answered {
        let billed = billed.get(*customer).copied().unwrap_or(0);
        let most = answered + doubtful.get(customer).copied().unwrap_or(0);
        missing += answered.saturating_sub(billed);
        extra += billed.saturating_sub(most);
    }
    counts.not_billed = Some(missing);
    counts.billed_twice = Some(extra);
}

fn add(counts: &mut Counts, told: &Told, ran: &Ran, troubles: &[Trouble]) {
    let kind = told.wanted.kind;
    let is_answered = told.is_answered();
    counts.requests += 1;
    if kind.is_idempotent() {
        counts.idempotent += 1;
        counts.idempotent_answered += u64::from(is_answered);
        let first = told.calls.first();
        let first = first.is_some_and(|call| matches!(call.end, End::Answered(_)));
        counts.idempotent_answered_first += u64::from(first);
    } else {
        counts.once += 1;
        counts.once_answered += u64::from(is_answered);
        let unknown =
            |call: &OneCall| matches!(&call.end, End::Refused(_, _, run) if run == "unknown");
        counts.once_unknown += u64::from(!is_answered && told.calls.iter().any(unknown));
        counts.doubled += u64::from(ran.of(told) > 1);
    }
    for call in &told.calls {
        if let Some(name) = call.end.name() {
            *counts.ends.entry(name).or_default() += 1;
        }
        match &call.end {
            End::Wrong(_) => counts.crossed += 1,
            End::NoMarker => counts.quiet_ends += 1,
            End::ErrorEvent(_) => counts.error_events += 1,
            End::Cut(_) => {
                counts.cut_calls += 1;
                counts.cut_without_kill += u64::from(!was_killed(call, troubles));
            }
            _ => {}
        }
    }
    counts.lost += u64::from(is_lost(told));
    counts.false_not_run += u64::from(all_say_not_run(told) && ran.of(told) > 0);
}

/// Neither answered nor refused in the end, whatever the caller tried.
fn is_lost(told: &Told) -> bool {
    let last = told.calls.last();
    !told.is_answered() && last.is_none_or(|call| matches!(call.end, End::Cut(_)))
}

fn all_say_not_run(told: &Told) -> bool {
    let says_no = |call: &OneCall| matches!(&call.end, End::Refused(_, _, run) if run == "no");
    !told.calls.is_empty() && told.calls.iter().all(says_no)
}

/// Only a daemon's death may cut a call.
fn was_killed(call: &OneCall, troubles: &[Trouble]) -> bool {
    let kills = troubles.iter().filter(|t| t.fault == Fault::DaemonKilled);
    let mut kills = kills.filter(|t| t.daemon == Some(call.daemon));
    kills.any(|t| t.begun <= call.ended && call.begun <= t.ended)
}

/// Sessions that were answered by more than one version.
fn moved_sessions(told: &[Told]) -> u64 {
    let mut versions = BTreeMap::<&str, BTreeSet<&str>>::new();
    let chats = told.iter().filter(|t| t.wanted.kind != Kind::Plain);
    for request in chats {
        if let (Some(session), Some(version)) = (&request.wanted.session, request.version()) {
            versions.entry(session).or_default().insert(version);
        }
    }
    versions.values().filter(|v| v.len() > 1).count() as u64
}
