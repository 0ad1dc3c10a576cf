//! Compares a real daemon over loopback with the simulation, to validate the simulation.
//!
//! One class and two models, with a rater that draws from the true qualities; the simulation uses
//! the same numbers. Costs are computed from the prices and the number of requests per version.
//! Quality is the true quality of the serving version, so no cascades are requested here.

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
use crate::fleet::{Fleet, FleetConfig};
use crate::load::http::{Connection, HttpRequest};
use crate::report::Report;

const KEY: &str = "example-bench";
const CLASS: &str = "tagging";
const TARGET: f64 = 0.93;
/// Name, price and true quality. The catalogue states the same quality.
const VERSIONS: [(&str, u64, f64); 2] = [("small@1", 10, 0.85), ("large@1", 100, 0.98)];
/// Delay from an answer to its rating.
const RATER_LAG: Span = Span::from_millis(20);

/// Time between requests. Requests are paced because the rater's rate limit is per second.
const REQUEST_INTERVAL: Span = Span::from_millis(25);

/// Number of requests by the version that served them.
type Served = BTreeMap<String, f64>;

/// Runs the daemon and the simulation.
pub(super) fn run(report: &mut Report, requests: usize, seed: u64) -> eyre::Result<()> {
    let real = serve_real(requests)?;
    let simulated = serve_simulated(requests, seed);
    for (arm, served) in [("real/daemon", &real), ("real/loop", &simulated)] {
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
            lag: RATER_LAG,
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
        let due = REQUEST_INTERVAL.times(number as u64).to_duration();
        std::thread::sleep(due.saturating_sub(start.elapsed()));
        let version = send_request(&mut connection, number).wrap_err("a request to the daemon")?;
        *served.entry(version).or_default() += 1.0;
    }
    Ok(served)
}

fn send_request(connection: &mut Connection, number: usize) -> eyre::Result<String> {
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
    let request = HttpRequest {
        method: "POST",
        path: "/v1/chat/completions",
        headers: &headers,
        body: body.as_bytes(),
    };
    // A streamed answer is not held back, so it can't escalate.
    let response = connection.send_streaming(&request, |_| ())?;
    ensure!(response.status == 200, "status {}", response.status);
    Ok(response.header("x-served-by").to_owned())
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

fn serve_simulated(requests: usize, seed: u64) -> Served {
    let cfg = FleetConfig {
        daemons: 1,
        rater_lag: RATER_LAG,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::new(cfg, seed);
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
        fleet.advance(fleet.now + REQUEST_INTERVAL);
        let Some(plan) = fleet.choose(0, &input) else {
            continue;
        };
        let name = plan.first.to_string();
        let served_version = VERSIONS.iter().find(|version| version.0 == name);
        let adequate = fleet
            .rng
            .random_bool(served_version.map_or(0.0, |version| version.2));
        fleet.offer_rating(0, &offer.class, &plan.first, Rating::direct(adequate));
        *served.entry(name).or_default() += 1.0;
    }
    served
}
