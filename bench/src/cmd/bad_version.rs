//! How many bad answers are served before a bad version is suspended everywhere.
//!
//! Two cases: a version of 0.95 that falls to 0.6 after 10,000 good requests, and a canary that is
//! bad from the start. The least is the mean of the best sequential test there is (CUSUM that
//! knows both shares) at the same rate of false alarms, with every answer rated at once and in one
//! place. The naive arm ejects by each daemon's own last ratings.

mod false_alarms;
mod naive;

use quality::{Candidate, ChoiceInput, OfferTerms, Rating, RolloutShare, mean_run_length};
use rand::RngExt;
use types::prelude::*;

use crate::cli::BadVersion;
use crate::fleet::{Fleet, Surroundings};
use crate::parallel::in_parallel;
use crate::report::{Curve, Report};

const GOOD: f64 = 0.95;
const BAD: f64 = 0.6;
const STRONG: f64 = 0.97;
const TARGET: f64 = 0.93;
const FALSE_ALARM_REQUESTS: f64 = 1e6;
const GOOD_REQUESTS: f64 = 10_000.0;
const REQUESTS_A_SECOND: f64 = 20.0;
const CANARY_SHARE: f64 = 0.2;
const MOST_SECONDS: f64 = 1000.0;

/// What happens to the version in question.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Case {
    TurnsBad,
    Canary,
}

impl Case {
    fn name(self) -> &'static str {
        match self {
            Self::TurnsBad => "turns-bad",
            Self::Canary => "canary",
        }
    }

    /// Of the version in question, before any budget.
    fn requests_a_second(self) -> f64 {
        match self {
            Self::TurnsBad => REQUESTS_A_SECOND,
            Self::Canary => REQUESTS_A_SECOND * CANARY_SHARE,
        }
    }
}

/// What the version in question gave.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    bad: f64,
    requests: f64,
    seconds: f64,
    suspended: bool,
}

pub fn run(options: &BadVersion) -> eyre::Result<Report> {
    let mut report = Report::new("bad-version", options.seed);
    let least = least_bad_answers(1.0);
    report.note("least", "bad_answers", least);
    for case in [Case::TurnsBad, Case::Canary] {
        let mut base = None;
        for (name, surroundings) in arms() {
            let bad = run_arm(&mut report, options, case, name, &surroundings);
            let arm = format!("{}/{name}", case.name());
            let same = least_with_delays(&surroundings, case);
            report.note(&arm, "ratio_to_least", bad / least);
            report.note(&arm, "ratio_to_least_with_same_rater", bad / same);
            report.note(&arm, "ratio_to_8_daemons", bad / *base.get_or_insert(bad));
        }
        naive::run(&mut report, options, case, least);
    }
    false_alarms::run(&mut report, options);
    Ok(report)
}

fn arms() -> Vec<(&'static str, Surroundings)> {
    let with = |change: fn(&mut Surroundings)| {
        let mut changed = Surroundings::default();
        change(&mut changed);
        changed
    };
    vec![
        ("8-daemons", with(|_| {})),
        ("64-daemons", with(|s| s.daemons = 64)),
        ("8-daemons-loss", with(|s| s.loss = 0.3)),
        (
            "64-daemons-loss",
            with(|s| {
                s.daemons = 64;
                s.loss = 0.3;
            }),
        ),
        (
            "8-daemons-lag-5s",
            with(|s| s.rater_lag = Span::from_secs(5)),
        ),
        (
            "8-daemons-rater-5-a-second",
            with(|s| {
                s.rater_rate = Rate(5.0);
                s.config.ratings = Rate(5.0);
            }),
        ),
    ]
}

/// Bad answers that the best test needs when this share of answers is rated.
fn least_bad_answers(rated: f64) -> f64 {
    let wanted = FALSE_ALARM_REQUESTS * rated;
    let (mut low, mut high) = (1.0, wanted.ln());
    while high - low > 0.01 {
        let middle = (low + high) / 2.0;
        if mean_run_length(GOOD, GOOD, BAD, middle) < wanted {
            low = middle;
        } else {
            high = middle;
        }
    }
    mean_run_length(BAD, GOOD, BAD, high) / rated * (1.0 - BAD)
}

/// The same for a test in one place that waits for the rater and cannot hold traffic back.
fn least_with_delays(surroundings: &Surroundings, case: Case) -> f64 {
    let rate = case.requests_a_second();
    let rated = (surroundings.rater_rate.0 / rate).min(1.0);
    let waiting = rate * surroundings.rater_lag.as_secs_f64() * (1.0 - BAD);
    least_bad_answers(rated) + waiting
}

fn run_arm(
    report: &mut Report,
    options: &BadVersion,
    case: Case,
    name: &str,
    surroundings: &Surroundings,
) -> f64 {
    let runs = in_parallel(options.runs, |run| {
        run_once(case, surroundings, options.seed * 1000 + run)
    });
    let arm = format!("{}/{name}", case.name());
    let count = runs.len().max(1) as f64;
    let mean = |figure: fn(&Outcome) -> f64| runs.iter().map(figure).sum::<f64>() / count;
    let mut sorted: Vec<f64> = runs.iter().map(|run| run.bad).collect();
    sorted.sort_by(f64::total_cmp);
    let p95 = sorted.get(sorted.len() * 95 / 100).or(sorted.last());
    let missed = runs.iter().filter(|run| !run.suspended).count();
    report.note(&arm, "bad_answers_mean", mean(|run| run.bad));
    report.note(&arm, "bad_answers_p95", p95.copied().unwrap_or_default());
    report.note(&arm, "requests_to_suspension", mean(|run| run.requests));
    report.note(&arm, "seconds_to_suspension", mean(|run| run.seconds));
    report.note(&arm, "not_suspended", missed as f64);
    report.violations += missed as u64;
    let points = sorted.iter().enumerate();
    report.curves.push(Curve {
        plot: format!("bad-version-{}", case.name()),
        label: name.to_owned(),
        points: points
            .map(|(n, bad)| (*bad, (n + 1) as f64 / count))
            .collect(),
    });
    mean(|run| run.bad)
}

fn offer() -> OfferTerms {
    OfferTerms {
        name: EntryName::new("notices").expect("a constant name"),
        class: ClassName::new("notice").expect("a constant name"),
        target: Share::clamped(TARGET),
        cost_weight: 1.0,
        latency_weight: 0.0,
        exposure_weight: 1.0,
    }
}

fn candidate(text: &str, cost: u64, expected: f64) -> Candidate {
    Candidate {
        version: text.parse().expect("a constant version"),
        accepts_new_sessions: true,
        cost: Cost(cost),
        latency: Span::from_millis(cost),
        expected: Some(Share::clamped(expected)),
        rollout: None,
    }
}

/// The version in question first, then the one beside it.
fn candidates(case: Case) -> Vec<Candidate> {
    let strong = candidate("large@1", 1000, STRONG);
    let mut asked = match case {
        Case::TurnsBad => candidate("mid@1", 200, GOOD),
        Case::Canary => candidate("large@2", 1000, STRONG),
    };
    if case == Case::Canary {
        asked.rollout = Some(RolloutShare {
            from: strong.version.clone(),
            share: Share::clamped(CANARY_SHARE),
        });
    }
    vec![asked, strong]
}

fn run_once(case: Case, surroundings: &Surroundings, seed: u64) -> Outcome {
    let mut traffic = Traffic {
        fleet: Fleet::new(surroundings.clone(), seed),
        offer: offer(),
        all: candidates(case),
    };
    let strong = traffic.all[1].version.clone();
    let asked = traffic.all[0].version.clone();
    if case == Case::Canary {
        let canary = traffic.all.remove(0);
        traffic.serve_until(&strong, STRONG, |served, _| {
            served.requests >= GOOD_REQUESTS
        });
        traffic.all.insert(0, canary);
    } else {
        traffic.serve_until(&asked, GOOD, |served, _| served.requests >= GOOD_REQUESTS);
    }
    let daemons = surroundings.daemons;
    let mut outcome = traffic.serve_until(&asked, BAD, |served, fleet| {
        served.seconds > MOST_SECONDS || fleet.suspended_in(&asked) == daemons
    });
    outcome.suspended = traffic.fleet.suspended_in(&asked) == daemons;
    outcome
}

/// Requests at a steady mean rate to a fleet.
struct Traffic {
    fleet: Fleet,
    offer: OfferTerms,
    all: Vec<Candidate>,
}

impl Traffic {
    /// Serves until `done`; `share` is the true quality of the version in question.
    fn serve_until(
        &mut self,
        asked: &VersionId,
        share: f64,
        done: impl Fn(&Outcome, &Fleet) -> bool,
    ) -> Outcome {
        let mut served = Outcome::default();
        while !done(&served, &self.fleet) {
            let uniform: f64 = self.fleet.rng.random();
            let pause = -uniform.max(f64::MIN_POSITIVE).ln() / REQUESTS_A_SECOND;
            served.seconds += pause;
            let next = self.fleet.now + Span::from_secs_f64(pause);
            self.fleet.advance(next);
            self.serve_one(asked, share, &mut served);
        }
        served
    }

    fn serve_one(&mut self, asked: &VersionId, share: f64, served: &mut Outcome) {
        let daemon = self.fleet.any_daemon();
        let input = ChoiceInput {
            offer: &self.offer,
            candidates: &self.all,
            pin: None,
            in_session: false,
            may_escalate: false,
            time_left: Span::from_secs(60),
        };
        let Some(plan) = self.fleet.choose(daemon, &input) else {
            return;
        };
        let is_asked = plan.first == *asked;
        let truth = if is_asked { share } else { STRONG };
        let adequate = self.fleet.rng.random_bool(truth);
        let rating = Rating::direct(adequate);
        let class = &self.offer.class;
        self.fleet.offer_rating(daemon, class, &plan.first, rating);
        if is_asked {
            served.requests += 1.0;
            served.bad += f64::from(u8::from(!adequate));
        }
    }
}
