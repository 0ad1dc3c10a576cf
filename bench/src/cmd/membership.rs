//! `membership`: membership of many daemons in one loop, in simulated time. Measures how soon the
//! daemons agree, how soon an urgent fact is known everywhere despite message loss, the age of
//! other facts when all of them change at the same time, and the cost in bytes and processor time.
//!
//! The size of a message is its wire encoding plus the envelope's overhead, which the tests of the
//! connections measure on a socket.

#[path = "../../../components/membership/tests/support/fleet.rs"]
#[allow(dead_code, unreachable_pub, clippy::unwrap_used)]
mod fleet;

use std::time::Instant;

use bincode::Options;
use bytes::Bytes;
use membership::{Event, Message, Topic};
use types::prelude::*;

use crate::cli::Membership;
use crate::report::Report;
use fleet::Fleet;

const SIZES: [usize; 4] = [8, 64, 128, 460];
/// Overhead of a message in bytes: call, frame, authentication tag and reply.
const ENVELOPE_BYTES: usize = 65;
const MESSAGE_LOSS: f64 = 0.3;
/// Number of runs that measure an urgent fact.
const URGENT_RUNS: u64 = 3;
const URGENT_TIMEOUT: Span = Span::from_secs(30);
const AGREEMENT_TIMEOUT: Span = Span::from_secs(200);
const IDLE_DURATION: Span = Span::from_secs(20);
/// Seconds during which every daemon changes a fact once per second.
const FLOOD_SECONDS: u64 = 60;
/// Initial seconds of these in which ages are not measured.
const FLOOD_WARM_UP_SECONDS: u64 = 30;
/// Seconds between revisions that come into force in all daemons.
const EDIT_INTERVAL_SECONDS: u64 = 3;
/// Length of the fact that every daemon changes.
const FLOOD_VALUE_BYTES: usize = 32;

/// Runs the experiment.
pub fn run(options: &Membership) -> eyre::Result<Report> {
    let mut report = Report::new("membership", options.seed);
    for size in SIZES {
        let arm = format!("fleet_{size:03}");
        let mut fleet = measure_agreement(size, options.seed, &arm, &mut report);
        measure_idle(&mut fleet, &arm, &mut report);
        measure_flood(&mut fleet, &arm, &mut report)?;
        for (name, loss) in [("urgent", 0.0), ("urgent_loss_30", MESSAGE_LOSS)] {
            measure_urgent_fact(
                size,
                options.seed,
                loss,
                &format!("{arm}_{name}"),
                &mut report,
            )?;
        }
    }
    Ok(report)
}

fn encoded_size(message: &Message) -> usize {
    let encoded = bincode::DefaultOptions::new().serialized_size(message);
    encoded.unwrap_or(0) as usize + ENVELOPE_BYTES
}

fn new_fleet(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.measure = encoded_size;
    fleet
}

fn total_bytes(fleet: &Fleet) -> f64 {
    fleet.nodes.values().map(|node| node.bytes as f64).sum()
}

fn measure_agreement(size: usize, seed: u64, arm: &str, report: &mut Report) -> Fleet {
    let mut fleet = new_fleet(size, seed);
    let elapsed = fleet.run_while(AGREEMENT_TIMEOUT, |fleet| !fleet.agrees());
    report.violations += u64::from(elapsed.is_none());
    let elapsed = elapsed.map_or(f64::NAN, Span::as_secs_f64);
    report.note(arm, "agree_s", elapsed);
    report.note(arm, "agree_bytes_each", total_bytes(&fleet) / size as f64);
    fleet.run_for(IDLE_DURATION);
    fleet
}

fn measure_idle(fleet: &mut Fleet, arm: &str, report: &mut Report) {
    let size = fleet.nodes.len() as f64;
    let (before, since, started) = (total_bytes(fleet), fleet.now, Instant::now());
    fleet.run_for(IDLE_DURATION);
    let cpu = started.elapsed().as_secs_f64();
    let daemon_seconds = size * IDLE_DURATION.as_secs_f64();
    report.note(
        arm,
        "rest_bytes_per_s",
        (total_bytes(fleet) - before) / daemon_seconds,
    );
    report.note(
        arm,
        "rest_cpu_percent_with_network",
        100.0 * cpu / daemon_seconds,
    );
    let deaths = fleet.count(since, |event| matches!(event, Event::MemberDown { .. }));
    report.violations += deaths as u64;
}

/// Every daemon changes a fact every second and its revision every few seconds.
fn measure_flood(fleet: &mut Fleet, arm: &str, report: &mut Report) -> eyre::Result<()> {
    let size = fleet.nodes.len();
    let (before, started) = (total_bytes(fleet), Instant::now());
    let mut ages = Vec::new();
    for second in 0..FLOOD_SECONDS {
        let now = fleet.now;
        for node in fleet.nodes.values_mut() {
            let membership = &mut node.membership;
            if second % EDIT_INTERVAL_SECONDS == 0 {
                let revision = Bytes::copy_from_slice(&second.to_le_bytes());
                membership.publish(now, Topic::Progress, Bytes::new(), revision)?;
            }
            let mut value = now.0.to_le_bytes().to_vec();
            value.resize(FLOOD_VALUE_BYTES, 0);
            membership.publish(now, Topic::Demand, Bytes::new(), value.into())?;
        }
        fleet.run_for(Span::from_secs(1));
        if second >= FLOOD_WARM_UP_SECONDS {
            collect_fact_ages(fleet, &mut ages);
        }
    }
    let daemon_seconds = size as f64 * FLOOD_SECONDS as f64;
    report.note(
        arm,
        "flood_bytes_per_s",
        (total_bytes(fleet) - before) / daemon_seconds,
    );
    let cpu = started.elapsed().as_secs_f64();
    report.note(
        arm,
        "flood_cpu_percent_with_network",
        100.0 * cpu / daemon_seconds,
    );
    ages.sort_unstable();
    for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
        let index = ((ages.len() as f64 * share) as usize).min(ages.len().saturating_sub(1));
        let age = ages.get(index).map_or(f64::NAN, |age| *age as f64 / 1e6);
        report.note(arm, &format!("flood_age_s_{name}"), age);
    }
    Ok(())
}

fn collect_fact_ages(fleet: &Fleet, ages: &mut Vec<u64>) {
    for node in fleet.nodes.values() {
        let me = &node.membership.local().id;
        let facts = node.membership.facts(Topic::Demand);
        for fact in facts.filter(|fact| fact.origin != *me) {
            let published_at = fact.value.first_chunk::<8>();
            let published_at =
                published_at.map_or(0, |published_at| u64::from_le_bytes(*published_at));
            ages.push(fleet.now.0.saturating_sub(published_at));
        }
    }
}

/// One daemon suspends a version; measures the time until every daemon knows.
fn measure_urgent_fact(
    size: usize,
    seed: u64,
    loss: f64,
    arm: &str,
    report: &mut Report,
) -> eyre::Result<()> {
    let mut max_s = 0.0_f64;
    let mut sum_s = 0.0;
    for run in 0..URGENT_RUNS {
        let mut fleet = new_fleet(size, seed + run);
        fleet.run_while(AGREEMENT_TIMEOUT, |fleet| !fleet.agrees());
        fleet.run_for(IDLE_DURATION);
        fleet.loss = loss;
        let now = fleet.now;
        let value = Bytes::from_static(b"suspended");
        let node = fleet.node(size / 2);
        node.membership
            .publish(now, Topic::Suspension, Bytes::new(), value)?;
        fleet.flush(size / 2);
        let is_known_everywhere = |fleet: &Fleet| {
            let mut nodes = fleet.nodes.values();
            nodes.all(|node| node.membership.facts(Topic::Suspension).next().is_some())
        };
        let elapsed = fleet.run_while(URGENT_TIMEOUT, |fleet| !is_known_everywhere(fleet));
        report.violations += u64::from(elapsed.is_none());
        let elapsed = elapsed.unwrap_or(URGENT_TIMEOUT).as_secs_f64();
        max_s = max_s.max(elapsed);
        sum_s += elapsed;
    }
    report.note(arm, "everywhere_s_mean", sum_s / URGENT_RUNS as f64);
    report.note(arm, "everywhere_s_max", max_s);
    Ok(())
}
