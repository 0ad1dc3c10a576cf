//! `bad-version`: bad answers served before a bad version is suspended in all daemons.
//!
//! Two cases: a version of quality 0.95 that drops to 0.6 after 10,000 good requests, and a canary
//! that is bad from the start. The optimum is the mean for the optimal sequential test (CUSUM that
//! knows both qualities) at the same rate of false alarms, with every answer rated at once and in
//! one place. In the naive arm each daemon ejects a version based on its own latest ratings only.

mod false_alarms;
mod naive;

use quality::{Candidate, ChoiceInput, OfferTerms, Rating, RolloutShare, mean_run_length};
use rand::RngExt;
use types::prelude::*;

use crate::cli::BadVersion;
use crate::fleet::{Fleet, FleetConfig};
use crate::parallel::in_parallel;
use crate::report::{Curve, Report};

const GOOD: f64 = 0.95;
const BAD: f64 = 0.6;
const STRONG: f64 = 0.97;
const TARGET: f64 = 0.93;
const FALSE_ALARM_REQUESTS: f64 = 1e6;
const GOOD_REQUESTS: f64 = 10_000.0;
const REQUESTS_PER_S: f64 = 20.0;
const CANARY_SHARE: f64 = 0.2;
const MAX_SECONDS: f64 = 1000.0;

/// How the tested version becomes bad.
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

    /// Requests per second that the tested version gets before any traffic is held back.
    fn requests_per_second(self) -> f64 {
        match self {
            Self::TurnsBad => REQUESTS_PER_S,
            Self::Canary => REQUESTS_PER_S * CANARY_SHARE,
        }
    }
}

/// Counts of the tested version's requests.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    bad: f64,
    requests: f64,
    seconds: f64,
    suspended: bool,
}

pub fn run(options: &BadVersion) -> eyre::Result<Report> {
    let mut report = Report::new("bad-version", options.seed);
    let optimal = optimal_bad_answers(1.0);
    report.note("least", "bad_answers", optimal);
    for case in [Case::TurnsBad, Case::Canary] {
        let mut baseline = None;
        for (name, cfg) in arms() {
            let bad = run_arm(&mut report, options, case, name, &cfg);
            let arm = format!("{}/{name}", case.name());
            let optimal_with_delays = optimal_bad_answers_with_delays(&cfg, case);
            report.note(&arm, "ratio_to_least", bad / optimal);
            report.note(
                &arm,
                "ratio_to_least_with_same_rater",
                bad / optimal_with_delays,
            );
            report.note(
                &arm,
                "ratio_to_8_daemons",
                bad / *baseline.get_or_insert(bad),
            );
        }
        naive::run(&mut report, options, case, optimal);
    }
    false_alarms::run(&mut report, options);
    Ok(report)
}

fn arms() -> Vec<(&'static str, FleetConfig)> {
    let with = |change: fn(&mut FleetConfig)| {
        let mut changed = FleetConfig::default();
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

/// Mean number of bad answers until the optimal test detects them if this share of answers is
/// rated.
fn optimal_bad_answers(rated: f64) -> f64 {
    let target_run_length = FALSE_ALARM_REQUESTS * rated;
    let (mut low, mut high) = (1.0, target_run_length.ln());
    while high - low > 0.01 {
        let middle = (low + high) / 2.0;
        if mean_run_length(GOOD, GOOD, BAD, middle) < target_run_length {
            low = middle;
        } else {
            high = middle;
        }
    }
    mean_run_length(BAD, GOOD, BAD, high) / rated * (1.0 - BAD)
}

/// The same for a centralized test that waits for the rater and can't hold traffic back.
fn optimal_bad_answers_with_delays(cfg: &FleetConfig, case: Case) -> f64 {
    let rate = case.requests_per_second();
    let rated = (cfg.rater_rate.0 / rate).min(1.0);
    let waiting = rate * cfg.rater_lag.as_secs_f64() * (1.0 - BAD);
    optimal_bad_answers(rated) + waiting
}

fn run_arm(
    report: &mut Report,
    options: &BadVersion,
    case: Case,
    name: &str,
    cfg: &FleetConfig,
) -> f64 {
    let runs = in_parallel(options.runs, |run| {
        simulate(case, cfg, options.seed * 1000 + run)
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

/// Returns the tested version, followed by the strong version that serves beside it.
fn candidates(case: Case) -> Vec<Candidate> {
    let strong = candidate("large@1", 1000, STRONG);
    let mut tested = match case {
        Case::TurnsBad => candidate("mid@1", 200, GOOD),
        Case::Canary => candidate("large@2", 1000, STRONG),
    };
    if case == Case::Canary {
        tested.rollout = Some(RolloutShare {
            from: strong.version.clone(),
            share: Share::clamped(CANARY_SHARE),
        });
    }
    vec![tested, strong]
}

fn simulate(case: Case, cfg: &FleetConfig, seed: u64) -> Outcome {
    let mut traffic = Traffic {
        fleet: Fleet::new(cfg.clone(), seed),
        offer: offer(),
        candidates: candidates(case),
    };
    let strong = traffic.candidates[1].version.clone();
    let tested = traffic.candidates[0].version.clone();
    if case == Case::Canary {
        let canary = traffic.candidates.remove(0);
        traffic.serve_until(&strong, STRONG, |served, _| {
            served.requests >= GOOD_REQUESTS
        });
        traffic.candidates.insert(0, canary);
    } else {
        traffic.serve_until(&tested, GOOD, |served, _| served.requests >= GOOD_REQUESTS);
    }
    let daemons = cfg.daemons;
    let mut outcome = traffic.serve_until(&tested, BAD, |served, fleet| {
        served.seconds > MAX_SECONDS || fleet.suspended_daemons(&tested) == daemons
    });
    outcome.suspended = traffic.fleet.suspended_daemons(&tested) == daemons;
    outcome
}

/// Generates requests to a fleet at a constant mean rate.
struct Traffic {
    fleet: Fleet,
    offer: OfferTerms,
    candidates: Vec<Candidate>,
}

impl Traffic {
    /// Serves requests until `is_done`. `share` is the true quality of the tested version.
    fn serve_until(
        &mut self,
        tested: &VersionId,
        share: f64,
        is_done: impl Fn(&Outcome, &Fleet) -> bool,
    ) -> Outcome {
        let mut served = Outcome::default();
        while !is_done(&served, &self.fleet) {
            let uniform: f64 = self.fleet.rng.random();
            let pause = -uniform.max(f64::MIN_POSITIVE).ln() / REQUESTS_PER_S;
            served.seconds += pause;
            let next = self.fleet.now + Span::from_secs_f64(pause);
            self.fleet.advance(next);
            self.serve_request(tested, share, &mut served);
        }
        served
    }

    fn serve_request(&mut self, tested: &VersionId, share: f64, served: &mut Outcome) {
        let daemon = self.fleet.random_daemon();
        let input = ChoiceInput {
            offer: &self.offer,
            candidates: &self.candidates,
            pin: None,
            in_session: false,
            may_escalate: false,
            time_left: Span::from_secs(60),
        };
        let Some(plan) = self.fleet.choose(daemon, &input) else {
            return;
        };
        let is_tested = plan.first == *tested;
        let true_quality = if is_tested { share } else { STRONG };
        let adequate = self.fleet.rng.random_bool(true_quality);
        let rating = Rating::direct(adequate);
        let class = &self.offer.class;
        self.fleet.offer_rating(daemon, class, &plan.first, rating);
        if is_tested {
            served.requests += 1.0;
            served.bad += f64::from(u8::from(!adequate));
        }
    }
}
