//! `decide`: time of a choice of upstream, of an admission and of the check whether a request is
//! barred, and memory per upstream.
//!
//! One daemon has 12,000 upstreams and 10 versions, each loaded by a tenth of the upstreams, in 5
//! regions and 16 failure domains. Choices, ends and reports alternate as they do under traffic.

use std::time::Instant;

use hdrhistogram::Histogram;
use limits::{Admission, AdmissionRequest, Config, DemandFact, KeyId, Limiter, Limits, Reach};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use routing::{
    LoadReport, Location, Outcome, PrefixHash, RouteRequest, Router, Target, TargetIndex, Tuning,
    UpstreamIndex, UpstreamSpec,
};
use types::prelude::*;

use crate::cli;
use crate::report::Report;

mod barring;

const UPSTREAMS: usize = 12_000;
const VERSIONS: usize = 10;
const REGIONS: usize = 5;
const DOMAINS: usize = 16;
const SLOTS: u32 = 32;
const CHOICES: usize = 200_000;
/// Requests in flight at one daemon at peak load: 65 per second for 13 s each.
const IN_FLIGHT: usize = 850;
const SESSIONS: u64 = 5_000;
const DAEMONS: usize = 460;
const CUSTOMERS: usize = 100;
const MAX_P99_MICROS: f64 = 20.0;

/// Runs the experiment.
pub fn run(options: &cli::Decide) -> eyre::Result<Report> {
    let mut report = Report::new("decide", options.seed);
    let before = resident_bytes()?;
    let (mut router, targets) = build(UPSTREAMS);
    let after = resident_bytes()?;
    let per_upstream = (after - before) as f64 / UPSTREAMS as f64;
    report.note("memory", "bytes_per_upstream", per_upstream);
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let durations = measure_choices(&mut router, &targets, &mut rng);
    let after_traffic = resident_bytes()?;
    let traffic_mib = (after_traffic - after) as f64 / f64::from(1 << 20);
    report.note("memory", "prefixes_and_traffic_mib", traffic_mib);
    report_durations(&mut report, "choice", &durations.0);
    report_durations(&mut report, "end-and-report", &durations.1);
    report_durations(&mut report, "admission", &measure_admissions(&mut rng));
    let barring = barring::measure(&mut rng);
    report_durations(&mut report, "content", &barring.contents);
    report_durations(&mut report, "look-at-bars", &barring.lookups);
    report_durations(&mut report, "rack-lost", &barring.domain_losses);
    report.note("barring", "full_table_kib", barring.bytes as f64 / 1024.0);
    report.violations += u64::from(micros(&durations.0, 0.99) > MAX_P99_MICROS);
    Ok(report)
}

fn report_durations(report: &mut Report, arm: &str, durations: &Histogram<u64>) {
    report.note(arm, "mean_us", durations.mean() / 1e3);
    report.note(arm, "p50_us", micros(durations, 0.5));
    report.note(arm, "p99_us", micros(durations, 0.99));
    report.note(arm, "most_us", durations.max() as f64 / 1e3);
}

fn micros(durations: &Histogram<u64>, quantile: f64) -> f64 {
    durations.value_at_quantile(quantile) as f64 / 1e3
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 10_000_000_000, 3).expect("valid bounds")
}

fn build(upstreams: usize) -> (Router, Vec<TargetIndex>) {
    let id = "daemon-0".parse().expect("a name");
    let mut router = Router::new(&id, location(0), Tuning::default());
    let target = |number: usize| {
        let version = format!("model-{}@{number}", number / 2);
        let target = Target::Version(version.parse().expect("a version"));
        router.add_target(&target).expect("room for a target")
    };
    let targets: Vec<_> = (0..VERSIONS).map(target).collect();
    let spec = |number: usize| UpstreamSpec {
        id: format!("worker-{number}").parse().expect("a name"),
        address: ([10, 0, (number >> 8) as u8, number as u8], 8_000).into(),
        location: location(number),
        slots: SLOTS,
        assumed_loaded: vec![targets[number % VERSIONS]],
    };
    router.configure((0..upstreams).map(spec).collect());
    (router, targets)
}

fn location(number: usize) -> Location {
    let domain = (number / VERSIONS) % DOMAINS;
    Location {
        failure_domain: format!("domain-{domain}").parse().expect("a name"),
        region: format!("region-{}", domain % REGIONS)
            .parse()
            .expect("a name"),
    }
}

/// Returns the durations of choices, and of ends with their reports, in nanoseconds.
fn measure_choices(
    router: &mut Router,
    targets: &[TargetIndex],
    rng: &mut SmallRng,
) -> (Histogram<u64>, Histogram<u64>) {
    let (mut choices, mut ends) = (histogram(), histogram());
    let mut running: Vec<(UpstreamIndex, TargetIndex)> = Vec::new();
    for number in 0..CHOICES {
        let now = Time(number as u64 * 15_000);
        let target = targets[rng.random_range(0..targets.len())];
        let prefix = prompt(rng);
        let request = RouteRequest {
            target,
            prefix: &prefix,
            priority: Priority::Interactive,
            tried: &[],
        };
        let started_at = Instant::now();
        let index = router.pick(now, &request, rng).expect("all are live");
        router.started(index, &request);
        choices.saturating_record(started_at.elapsed().as_nanos() as u64);
        running.push((index, target));
        if running.len() > IN_FLIGHT {
            let at = rng.random_range(0..running.len());
            let (index, target) = running.swap_remove(at);
            ends.saturating_record(measure_end(router, now, index, target, rng));
        }
    }
    (choices, ends)
}

fn measure_end(
    router: &mut Router,
    now: Time,
    index: UpstreamIndex,
    target: TargetIndex,
    rng: &mut SmallRng,
) -> u64 {
    let outcome = match rng.random_range(0..1_000) {
        0 => Outcome::Unreachable,
        1 => Outcome::Failed,
        _ => Outcome::Answered {
            first_token: Span::from_millis(80),
            per_token: Span::from_micros(rng.random_range(25_000..35_000)),
        },
    };
    let report = LoadReport {
        running: rng.random_range(0..SLOTS),
        waiting: 0,
        slots: SLOTS,
        loaded: None,
        leaving: false,
    };
    let started_at = Instant::now();
    router.record_report(now, index, &report);
    router.finished(now, index, target, outcome, rng);
    started_at.elapsed().as_nanos() as u64
}

/// Draws the prefix hashes of a prompt: shared prefix, session, and turns of the session so far.
fn prompt(rng: &mut SmallRng) -> Vec<PrefixHash> {
    let session = rng.random_range(0..SESSIONS);
    let turns = rng.random_range(0..5);
    let levels = [session % 60, session].into_iter();
    let levels = levels.chain((0..turns).map(|turn| session * 1_000 + turn));
    let hash = |(level, key): (usize, u64)| {
        PrefixHash((key + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ level as u64)
    };
    levels.enumerate().map(hash).collect()
}

/// Returns the durations of admissions with facts of 460 daemons and 100 customers, in nanoseconds.
fn measure_admissions(rng: &mut SmallRng) -> Histogram<u64> {
    let pool: EntryName = "pool".parse().expect("a name");
    let mut limiter = limiter(&pool);
    let mut durations = histogram();
    let mut grants = Vec::new();
    for number in 0..CHOICES {
        let now = Time(number as u64 * 15_000);
        let ask = AdmissionRequest {
            customer: customer(rng.random_range(0..CUSTOMERS)),
            offer: pool.clone(),
            pool: pool.clone(),
            priority: Priority::Interactive,
            tokens: Tokens(500),
            deadline: now + Span::from_secs(20),
        };
        let started_at = Instant::now();
        let admission = limiter.admit(now, ask, rng);
        durations.saturating_record(started_at.elapsed().as_nanos() as u64);
        if let Admission::Start(grant) = admission {
            grants.push(grant);
        }
        if grants.len() > IN_FLIGHT {
            let at = rng.random_range(0..grants.len());
            limiter.release(now, grants.swap_remove(at), Tokens(400));
        }
        if number % 7 == 0 {
            limiter.tick(now);
        }
        limiter.process_queues(now, rng);
    }
    durations
}

fn limiter(pool: &EntryName) -> Limiter {
    let daemon = |number: usize| -> DaemonId { format!("d{number}").parse().expect("a name") };
    let mut limiter = Limiter::new(daemon(0), Config::default());
    let live = (0..DAEMONS).map(daemon).collect();
    let reach = Reach {
        reached: DAEMONS,
        known: DAEMONS,
    };
    limiter.update_fleet(Time::ZERO, &live, reach);
    limiter.set_slots(Time::ZERO, pool, UPSTREAMS as u32 * SLOTS);
    let keys: Vec<_> = (0..CUSTOMERS).map(customer).collect();
    for id in &keys {
        let bounds = Limits {
            requests: Some(Rate(400.0)),
            ..Limits::default()
        };
        limiter.set_customer(Time::ZERO, id, bounds, 1);
    }
    for number in 1..DAEMONS {
        let demands = keys.iter().map(|id| (KeyId::customer(id), 1.0));
        limiter.update_peer(&daemon(number), DemandFact::new(demands));
    }
    limiter
}

fn customer(number: usize) -> CustomerId {
    format!("customer-{number}").parse().expect("a name")
}

/// Resident memory of this process in bytes.
pub(super) fn resident_bytes() -> eyre::Result<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1);
    let pages = pages.ok_or_else(|| eyre::eyre!("/proc/self/statm has no second field"))?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

const PAGE_BYTES: u64 = 4_096;
