//! The same decisions in a real daemon over loopback, to show that the loop tells the truth.
//!
//! One class, two models, the rater drawing from true qualities. The loop is run with the same
//! numbers. Costs are counted from who served and how often, by the same prices; quality is
//! the true quality of who served, so no cascades are asked for here.

use std::collections::BTreeMap;
use std::time::Instant;

use eyre::{WrapErr, ensure};
use quality::{Candidate, ChoiceInput, OfferTerms, Rating};
use rand::RngExt;
use serde_json::json;
use standins::engine::EngineConfig;
use standins::platform::{Platform, PlatformConfig};
use standins::rater::RaterConfig;
use types::prelude::*;

use crate::daemons::{CLUSTER, Daemon, DaemonPlan, Scratch};
use crate::fleet::{Fleet, Surroundings};
use crate::load::http::{Ask, Connection};
use crate::report::Report;

const KEY: &str = "example-bench";
const CLASS: &str = "tagging";
const TARGET: f64 = 0.93;
/// Name, price and true quality; the catalogue claims the same.
const VERSIONS: [(&str, u64, f64); 2] = [("small@1", 10, 0.85), ("large@1", 100, 0.98)];
/// The rater's lag.
const LAG: Span = Span::from_millis(20);

/// Between requests: the rater's rate is by the second.
const PACE: Span = Span::from_millis(25);

/// What served: requests by version.
type Served = BTreeMap<String, f64>;

/// Runs both.
pub(super) fn run(report: &mut Report, requests: usize, seed: u64) -> eyre::Result<()> {
    let real = serve_real(requests)?;
    let in_loop = serve_in_loop(requests, seed);
    for (arm, served) in [("real/daemon", &real), ("real/loop", &in_loop)] {
        let count: f64 = served.values().sum();
        let mean = |figure: fn(&(&str, u64, f64)) -> f64| {
            let sums = VERSIONS.iter().map(|version| {
                let share = served.get(version.0).copied().unwrap_or_default() / count;
                share * figure(version)
            });
            sums.sum::<f64>()
        };
        let [weak, strong] = VERSIONS;
        let share = (TARGET - weak.2) / (strong.2 - weak.2);
        let oracle = weak.1 as f64 * (1.0 - share) + strong.1 as f64 * share;
        report.note(arm, "requests", count);
        report.note(
            arm,
            "cost_to_oracle",
            mean(|version| version.1 as f64) / oracle,
        );
        report.note(
            arm,
            "quality_above_target",
            mean(|version| version.2) - TARGET,
        );
    }
    Ok(())
}

fn serve_real(requests: usize) -> eyre::Result<Served> {
    let entries = catalogue::file::parse("cascade", &entries())?;
    let class: ClassName = CLASS.parse()?;
    let quality = VERSIONS.iter().map(|(version, _, quality)| {
        let id = version.parse::<VersionId>();
        id.map(|id| ((id, class.clone()), *quality))
    });
    let cfg = PlatformConfig {
        engine: EngineConfig {
            answer_tokens: 8,
            ..EngineConfig::default()
        },
        rater: RaterConfig {
            lag: LAG,
            quality: quality.collect::<Result<_, _>>()?,
            ..RaterConfig::default()
        },
        ..PlatformConfig::default()
    };
    let platform = Platform::start(&cfg, &entries)?;
    platform.seed(&CLUSTER.parse()?, &"bench".parse()?, Clock::new().wall());
    let scratch = Scratch::new("buckthorncross-cascade")?;
    let plan = DaemonPlan::alone(KEY)?;
    let daemon = Daemon::start(plan, &platform, scratch.path())?;
    let mut connection = Connection::new(daemon.plan.addresses.callers);
    let mut served = Served::new();
    let start = Instant::now();
    for number in 0..requests {
        let due = PACE.times(number as u64).to_duration();
        std::thread::sleep(due.saturating_sub(start.elapsed()));
        let version = ask(&mut connection, number).wrap_err("a request to the daemon")?;
        *served.entry(version).or_default() += 1.0;
    }
    Ok(served)
}

fn ask(connection: &mut Connection, number: usize) -> eyre::Result<String> {
    let text = format!("Which tag fits letter {number}?");
    let body = json!({
        "model": "tags",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": 8,
        "stream": true,
    });
    let body = body.to_string();
    let authorization = format!("Bearer {KEY}");
    let headers = [
        ("content-type", "application/json"),
        ("authorization", authorization.as_str()),
    ];
    let ask = Ask {
        method: "POST",
        path: "/v1/chat/completions",
        headers: &headers,
        body: body.as_bytes(),
    };
    // A streamed answer is not held back, so that no cascade begins.
    let got = connection.ask_stream(&ask, |_| ())?;
    ensure!(got.status == 200, "status {}", got.status);
    Ok(got.header("x-served-by").to_owned())
}

fn entries() -> String {
    let hash = catalogue::entry::KeyHash::from_key(KEY);
    let models = VERSIONS.map(|(version, price, quality)| {
        let model = version.trim_end_matches("@1");
        format!(
            "  models/{model}: {{kind: model, owner: bench, service: services/engines, versions: \
             {{'1': {{state: offered, price: {{input: '{price}', output: '{price}'}}, \
             expected_quality: {{{CLASS}: '{quality}'}}}}}}}}\n"
        )
    });
    format!(
        "entries:\n  \
         customers/bench: {{kind: customer, owner: bench, key_sha256: [{hash}]}}\n  \
         services/engines: {{kind: service, owner: bench, protocol: engine, upstreams: \
         [{{id: one, address: '10.0.0.1:80', failure_domain: one, slots: 256}}]}}\n{}  \
         offers/tags: {{kind: offer, owner: bench, class: {CLASS}, candidates: [small, large], \
         quality_target: '{TARGET}', weights: {{cost: 1.0, latency: 0.0, exposure: 0.0}}, \
         customers: {{bench: [small, large]}}}}\n",
        models.concat()
    )
}

fn serve_in_loop(requests: usize, seed: u64) -> Served {
    let surroundings = Surroundings {
        daemons: 1,
        rater_lag: LAG,
        ..Surroundings::default()
    };
    let mut fleet = Fleet::new(surroundings, seed);
    let offer = OfferTerms {
        name: EntryName::new("tags").expect("a constant name"),
        class: ClassName::new(CLASS).expect("a constant name"),
        target: Share::clamped(TARGET),
        cost_weight: 1.0,
        latency_weight: 0.0,
        exposure_weight: 0.0,
    };
    let candidates = VERSIONS.map(|(version, price, quality)| Candidate {
        version: version.parse().expect("a constant version"),
        accepts_new_sessions: true,
        cost: Cost(price),
        latency: Span::from_millis(10),
        expected: Some(Share::clamped(quality)),
        rollout: None,
    });
    let input = ChoiceInput {
        offer: &offer,
        candidates: &candidates,
        pin: None,
        in_session: false,
        may_escalate: false,
        time_left: Span::from_secs(60),
    };
    let mut served = Served::new();
    for _ in 0..requests {
        fleet.advance(fleet.now + PACE);
        let Some(plan) = fleet.choose(0, &input) else {
            continue;
        };
        let name = plan.first.to_string();
        let truth = VERSIONS.iter().find(|version| version.0 == name);
        let adequate = fleet
            .rng
            .random_bool(truth.map_or(0.0, |version| version.2));
        fleet.offer_rating(0, &offer.class, &plan.first, Rating::direct(adequate));
        *served.entry(name).or_default() += 1.0;
    }
    served
}
