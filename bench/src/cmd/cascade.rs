//! `cascade`: cost and quality of the choice of version, compared with simpler policies and an
//! oracle.
//!
//! The workload has both users' mixes of classes, three models of different cost and quality, and
//! catalogues whose expected qualities are off by a few hundredths. Requests differ in difficulty,
//! which the router can't see. If engines state a confidence, it correlates with the adequacy of
//! the answer. The oracle knows every version's true quality in each class and finds the cheapest
//! mixture of versions and cascades; `oracle-without-cascades` mixes versions only. least cost;
//! `oracle-without-cascades` mixes versions only.

mod cost;
mod oracle;
mod real;
mod workload;

use quality::{ChoiceInput, Confidence, Plan, Rating};
use rand::RngExt;
use types::prelude::*;

use crate::cli::Cascade;
use crate::fleet::{Fleet, FleetConfig};
use crate::report::{Curve, Report};
use oracle::Oracle;
use workload::{Answer, Class, Request, User};

const REQUESTS_PER_S: f64 = 40.0;
const FIRST_REQUESTS: usize = 2000;
const CURVE_INTERVAL_REQUESTS: usize = 500;
/// Confidence below which the fixed cascade escalates.
const FIXED_THRESHOLD: f64 = 0.5;

/// A mean adequacy below the target by more than this many standard errors is a violation; less may
/// be chance.
const VIOLATION_STANDARD_ERRORS: f64 = 2.0;

/// How versions are chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    Ours(usize),
    AlwaysStrongest,
    AlwaysCheapest,
    FixedCascade,
}

/// Accumulated cost and quality of one class.
#[derive(Debug, Clone, Default)]
struct Totals {
    requests: f64,
    cost: f64,
    /// Sum of the expected adequacy of the served answers, without the noise of each answer.
    adequacy: f64,
    adequacy_squared: f64,
    oracle: f64,
    oracle_without_cascades: f64,
}

impl Totals {
    /// Standard error of the mean adequacy.
    fn standard_error(&self) -> f64 {
        let count = self.requests.max(1.0);
        let mean = self.adequacy / count;
        ((self.adequacy_squared / count - mean * mean).max(0.0) / count).sqrt()
    }
}

pub fn run(options: &Cascade) -> eyre::Result<Report> {
    let mut report = Report::new("cascade", options.seed);
    for user in User::both() {
        for has_confidence in [false, true] {
            let oracles: Vec<Oracle> = user
                .classes
                .iter()
                .map(|class| Oracle::new(class, &user, has_confidence, options.seed))
                .collect();
            for (name, policy) in policies(has_confidence) {
                let setting = if has_confidence {
                    "confidence"
                } else {
                    "plain"
                };
                let arm = format!("{}/{setting}/{name}", user.name);
                let mut run = Run::new(&user, &oracles, policy, has_confidence, options.seed);
                run.serve(options.requests);
                run.note(&mut report, &arm, policy);
            }
        }
    }
    cost::run(&mut report, options.seed);
    if options.real > 0 {
        real::run(&mut report, options.real, options.seed)?;
    }
    Ok(report)
}

fn policies(has_confidence: bool) -> Vec<(&'static str, Policy)> {
    let mut policies = vec![
        ("ours-8-daemons", Policy::Ours(8)),
        ("ours-64-daemons", Policy::Ours(64)),
        ("always-strongest", Policy::AlwaysStrongest),
        ("always-cheapest", Policy::AlwaysCheapest),
    ];
    if has_confidence {
        policies.push(("fixed-cascade", Policy::FixedCascade));
    }
    policies
}

/// One arm while it runs.
struct Run<'a> {
    user: &'a User,
    oracles: &'a [Oracle],
    policy: Policy,
    has_confidence: bool,
    fleet: Fleet,
    all: Vec<Totals>,
    first: Vec<Totals>,
    curve: Vec<(f64, f64)>,
}

impl<'a> Run<'a> {
    fn new(
        user: &'a User,
        oracles: &'a [Oracle],
        policy: Policy,
        has_confidence: bool,
        seed: u64,
    ) -> Self {
        let daemons = match policy {
            Policy::Ours(daemons) => daemons,
            _ => 1,
        };
        let cfg = FleetConfig {
            daemons,
            loss: 0.1,
            ..FleetConfig::default()
        };
        Self {
            user,
            oracles,
            policy,
            has_confidence,
            fleet: Fleet::new(cfg, seed),
            all: vec![Totals::default(); user.classes.len()],
            first: vec![Totals::default(); user.classes.len()],
            curve: Vec::new(),
        }
    }

    fn serve(&mut self, requests: usize) {
        for number in 0..requests {
            let uniform: f64 = self.fleet.rng.random();
            let pause = -uniform.max(f64::MIN_POSITIVE).ln() / REQUESTS_PER_S;
            let next = self.fleet.now + Span::from_secs_f64(pause);
            self.fleet.advance(next);
            self.serve_request(number);
            if (number + 1).is_multiple_of(CURVE_INTERVAL_REQUESTS) {
                self.curve.push(((number + 1) as f64, ratio(&self.all)));
            }
        }
    }

    fn serve_request(&mut self, number: usize) {
        let index = self.user.pick_class(&mut self.fleet.rng);
        let class = &self.user.classes[index];
        let request = Request::draw(&mut self.fleet.rng);
        let (cost, adequacy) = match self.policy {
            Policy::Ours(_) => self.choose_and_serve(class, &request),
            Policy::AlwaysStrongest => self.fixed(class, &request, class.versions.len() - 1),
            Policy::AlwaysCheapest => self.fixed(class, &request, 0),
            Policy::FixedCascade => self.fixed_cascade(class, &request),
        };
        let oracle = &self.oracles[index];
        let add = |totals: &mut Totals| {
            totals.requests += 1.0;
            totals.cost += cost;
            totals.adequacy += adequacy;
            totals.adequacy_squared += adequacy * adequacy;
            totals.oracle += oracle.cost;
            totals.oracle_without_cascades += oracle.cost_without_cascades;
        };
        add(&mut self.all[index]);
        if number < FIRST_REQUESTS {
            add(&mut self.first[index]);
        }
    }

    fn choose_and_serve(&mut self, class: &Class, request: &Request) -> (f64, f64) {
        let daemon = self.fleet.random_daemon();
        let input = ChoiceInput {
            offer: &class.offer,
            candidates: &class.candidates,
            pin: None,
            in_session: false,
            may_escalate: true,
            time_left: Span::from_secs(60),
        };
        let Some(plan) = self.fleet.choose(daemon, &input) else {
            return (0.0, 0.0);
        };
        let first = self.answer(class, request, &plan.first);
        let escalates = plan.escalates(first.confidence);
        self.rate(daemon, class, &plan.first, &first, false);
        let Some(next) = plan.escalation.filter(|_| escalates) else {
            return (first.cost, first.adequacy);
        };
        let second = self.answer(class, request, &next.to);
        self.rate(daemon, class, &next.to, &second, true);
        (first.cost + second.cost, second.adequacy)
    }

    fn answer(&mut self, class: &Class, request: &Request, version: &VersionId) -> Answer {
        let index = class.index_of(version);
        request.answer(class, index, self.has_confidence, &mut self.fleet.rng)
    }

    fn rate(
        &mut self,
        daemon: usize,
        class: &Class,
        version: &VersionId,
        answer: &Answer,
        escalated: bool,
    ) {
        let rating = Rating {
            adequate: answer.adequate,
            confidence: answer.confidence,
            escalated,
        };
        let name = &class.offer.class;
        self.fleet.offer_rating(daemon, name, version, rating);
    }

    fn fixed(&mut self, class: &Class, request: &Request, index: usize) -> (f64, f64) {
        let answer = request.answer(class, index, self.has_confidence, &mut self.fleet.rng);
        (answer.cost, answer.adequacy)
    }

    fn fixed_cascade(&mut self, class: &Class, request: &Request) -> (f64, f64) {
        let strongest = class.versions.len() - 1;
        let first = request.answer(class, 0, self.has_confidence, &mut self.fleet.rng);
        let plan = Plan {
            first: class.candidates[0].version.clone(),
            escalation: Confidence::new(FIXED_THRESHOLD).map(|below| quality::Escalation {
                to: class.candidates[strongest].version.clone(),
                below,
            }),
            session_moved: false,
        };
        if !plan.escalates(first.confidence) {
            return (first.cost, first.adequacy);
        }
        let second = request.answer(class, strongest, self.has_confidence, &mut self.fleet.rng);
        (first.cost + second.cost, second.adequacy)
    }

    fn note(mut self, report: &mut Report, arm: &str, policy: Policy) {
        report.note(arm, "cost_to_oracle", ratio(&self.all));
        report.note(arm, "cost_to_oracle_first_2000", ratio(&self.first));
        let total = |figure: fn(&Totals) -> f64| self.all.iter().map(figure).sum::<f64>();
        let plain = total(|totals| totals.cost) / total(|totals| totals.oracle_without_cascades);
        report.note(arm, "cost_to_oracle_without_cascades", plain);
        let first = |figure: fn(&Totals) -> f64| self.first.iter().map(figure).sum::<f64>();
        let plain = first(|totals| totals.cost) / first(|totals| totals.oracle_without_cascades);
        report.note(arm, "cost_to_oracle_without_cascades_first_2000", plain);
        for (class, totals) in self.user.classes.iter().zip(&self.first) {
            let name = class.offer.class.as_str();
            report.note(
                arm,
                &format!("cost_to_oracle_first_2000/{name}"),
                totals.cost / totals.oracle,
            );
        }
        for (class, totals) in self.user.classes.iter().zip(&self.all) {
            let quality = totals.adequacy / totals.requests.max(1.0);
            let above = quality - class.offer.target.get();
            let name = class.offer.class.as_str();
            report.note(arm, &format!("quality_above_target/{name}"), above);
            report.note(
                arm,
                &format!("cost_to_oracle/{name}"),
                totals.cost / totals.oracle,
            );
            let error = totals.standard_error();
            report.note(arm, &format!("quality_standard_error/{name}"), error);
            if matches!(policy, Policy::Ours(_)) && above < -VIOLATION_STANDARD_ERRORS * error {
                report.violations += 1;
            }
        }
        report.note(arm, "suspensions", self.fleet.suspensions() as f64);
        report.curves.push(Curve {
            plot: format!("cascade-{}", self.user.name),
            label: arm.to_owned(),
            points: std::mem::take(&mut self.curve),
        });
    }
}

fn ratio(totals: &[Totals]) -> f64 {
    let cost: f64 = totals.iter().map(|totals| totals.cost).sum();
    let oracle: f64 = totals.iter().map(|totals| totals.oracle).sum();
    cost / oracle.max(f64::MIN_POSITIVE)
}
