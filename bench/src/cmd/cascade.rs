//! Cost and quality of the choice of version, beside simpler ways and an oracle.
//!
//! Both users' mixes of classes, three models of unlike cost and quality, and catalogues whose
//! expected qualities are off by a few hundredths. Requests differ in difficulty, which the router
//! does not see; where engines state a confidence, it says something of the answer's adequacy. The
//! oracle knows every version's true quality in each class, and mixes versions and cascades at
//! least cost; `oracle-without-cascades` mixes versions only.

mod cost;
mod oracle;
mod real;
mod workload;

use quality::{ChoiceInput, Confidence, Plan, Rating};
use rand::RngExt;
use types::prelude::*;

use crate::cli::Cascade;
use crate::fleet::{Fleet, Surroundings};
use crate::report::{Curve, Report};
use oracle::Oracle;
use workload::{Answer, Class, Request, User};

const REQUESTS_A_SECOND: f64 = 40.0;
const FIRST_REQUESTS: usize = 2000;
const CURVE_EVERY: usize = 500;
/// Confidence below which the fixed cascade goes on.
const FIXED_THRESHOLD: f64 = 0.5;

/// Standard errors below the target that count as a broken promise and not as chance.
const SURE_BELOW: f64 = 2.0;

/// A way to choose.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    Ours(usize),
    AlwaysStrongest,
    AlwaysCheapest,
    FixedCascade,
}

/// Cost and quality so far, of one class.
#[derive(Debug, Clone, Default)]
struct Sums {
    requests: f64,
    cost: f64,
    /// Expected adequacy of what was served, without the noise of each answer.
    adequacy: f64,
    adequacy_squared: f64,
    oracle: f64,
    oracle_without_cascades: f64,
}

impl Sums {
    /// Of the mean adequacy.
    fn standard_error(&self) -> f64 {
        let count = self.requests.max(1.0);
        let mean = self.adequacy / count;
        ((self.adequacy_squared / count - mean * mean).max(0.0) / count).sqrt()
    }
}

pub fn run(options: &Cascade) -> eyre::Result<Report> {
    let mut report = Report::new("cascade", options.seed);
    for user in User::both() {
        for signal in [false, true] {
            let oracles: Vec<Oracle> = user
                .classes
                .iter()
                .map(|class| Oracle::new(class, &user, signal, options.seed))
                .collect();
            for (name, way) in ways(signal) {
                let setting = if signal { "confidence" } else { "plain" };
                let arm = format!("{}/{setting}/{name}", user.name);
                let mut run = Run::new(&user, &oracles, way, signal, options.seed);
                run.serve(options.requests);
                run.note(&mut report, &arm, way);
            }
        }
    }
    cost::run(&mut report, options.seed);
    if options.real > 0 {
        real::run(&mut report, options.real, options.seed)?;
    }
    Ok(report)
}

fn ways(signal: bool) -> Vec<(&'static str, Way)> {
    let mut ways = vec![
        ("ours-8-daemons", Way::Ours(8)),
        ("ours-64-daemons", Way::Ours(64)),
        ("always-strongest", Way::AlwaysStrongest),
        ("always-cheapest", Way::AlwaysCheapest),
    ];
    if signal {
        ways.push(("fixed-cascade", Way::FixedCascade));
    }
    ways
}

/// One arm.
struct Run<'a> {
    user: &'a User,
    oracles: &'a [Oracle],
    way: Way,
    signal: bool,
    fleet: Fleet,
    all: Vec<Sums>,
    first: Vec<Sums>,
    curve: Vec<(f64, f64)>,
}

impl<'a> Run<'a> {
    fn new(user: &'a User, oracles: &'a [Oracle], way: Way, signal: bool, seed: u64) -> Self {
        let daemons = match way {
            Way::Ours(daemons) => daemons,
            _ => 1,
        };
        let surroundings = Surroundings {
            daemons,
            loss: 0.1,
            ..Surroundings::default()
        };
        Self {
            user,
            oracles,
            way,
            signal,
            fleet: Fleet::new(surroundings, seed),
            all: vec![Sums::default(); user.classes.len()],
            first: vec![Sums::default(); user.classes.len()],
            curve: Vec::new(),
        }
    }

    fn serve(&mut self, requests: usize) {
        for number in 0..requests {
            let uniform: f64 = self.fleet.rng.random();
            let pause = -uniform.max(f64::MIN_POSITIVE).ln() / REQUESTS_A_SECOND;
            let next = self.fleet.now + Span::from_secs_f64(pause);
            self.fleet.advance(next);
            self.serve_one(number);
            if (number + 1).is_multiple_of(CURVE_EVERY) {
                self.curve.push(((number + 1) as f64, ratio(&self.all)));
            }
        }
    }

    fn serve_one(&mut self, number: usize) {
        let index = self.user.pick_class(&mut self.fleet.rng);
        let class = &self.user.classes[index];
        let request = Request::draw(&mut self.fleet.rng);
        let (cost, adequacy) = match self.way {
            Way::Ours(_) => self.ours(class, &request),
            Way::AlwaysStrongest => self.fixed(class, &request, class.versions.len() - 1),
            Way::AlwaysCheapest => self.fixed(class, &request, 0),
            Way::FixedCascade => self.fixed_cascade(class, &request),
        };
        let oracle = &self.oracles[index];
        let add = |sums: &mut Sums| {
            sums.requests += 1.0;
            sums.cost += cost;
            sums.adequacy += adequacy;
            sums.adequacy_squared += adequacy * adequacy;
            sums.oracle += oracle.cost;
            sums.oracle_without_cascades += oracle.cost_without_cascades;
        };
        add(&mut self.all[index]);
        if number < FIRST_REQUESTS {
            add(&mut self.first[index]);
        }
    }

    fn ours(&mut self, class: &Class, request: &Request) -> (f64, f64) {
        let daemon = self.fleet.any_daemon();
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
        request.answer(class, index, self.signal, &mut self.fleet.rng)
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
        let answer = request.answer(class, index, self.signal, &mut self.fleet.rng);
        (answer.cost, answer.adequacy)
    }

    fn fixed_cascade(&mut self, class: &Class, request: &Request) -> (f64, f64) {
        let strongest = class.versions.len() - 1;
        let first = request.answer(class, 0, self.signal, &mut self.fleet.rng);
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
        let second = request.answer(class, strongest, self.signal, &mut self.fleet.rng);
        (first.cost + second.cost, second.adequacy)
    }

    fn note(mut self, report: &mut Report, arm: &str, way: Way) {
        report.note(arm, "cost_to_oracle", ratio(&self.all));
        report.note(arm, "cost_to_oracle_first_2000", ratio(&self.first));
        let total = |figure: fn(&Sums) -> f64| self.all.iter().map(figure).sum::<f64>();
        let plain = total(|sums| sums.cost) / total(|sums| sums.oracle_without_cascades);
        report.note(arm, "cost_to_oracle_without_cascades", plain);
        let first = |figure: fn(&Sums) -> f64| self.first.iter().map(figure).sum::<f64>();
        let plain = first(|sums| sums.cost) / first(|sums| sums.oracle_without_cascades);
        report.note(arm, "cost_to_oracle_without_cascades_first_2000", plain);
        for (class, sums) in self.user.classes.iter().zip(&self.first) {
            let name = class.offer.class.as_str();
            report.note(
                arm,
                &format!("cost_to_oracle_first_2000/{name}"),
                sums.cost / sums.oracle,
            );
        }
        for (class, sums) in self.user.classes.iter().zip(&self.all) {
            let quality = sums.adequacy / sums.requests.max(1.0);
            let above = quality - class.offer.target.get();
            let name = class.offer.class.as_str();
            report.note(arm, &format!("quality_above_target/{name}"), above);
            report.note(
                arm,
                &format!("cost_to_oracle/{name}"),
                sums.cost / sums.oracle,
            );
            let error = sums.standard_error();
            report.note(arm, &format!("quality_standard_error/{name}"), error);
            if matches!(way, Way::Ours(_)) && above < -SURE_BELOW * error {
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

fn ratio(sums: &[Sums]) -> f64 {
    let cost: f64 = sums.iter().map(|sums| sums.cost).sum();
    let oracle: f64 = sums.iter().map(|sums| sums.oracle).sum();
    cost / oracle.max(f64::MIN_POSITIVE)
}
