//! Memberships of many daemons in one loop, in simulated time: how soon they agree, how
//! soon an urgent fact is everywhere with messages lost, how old other facts are when all
//! change at once, and what it costs in bytes and processor time.
//!
//! Messages are measured in the encoding that goes over the wire, with what the envelope
//! adds as measured on a socket by the tests of the connections.

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
/// Bytes that a message costs besides its content: call, frame, code, answer.
const ENVELOPE: usize = 65;
const LOSS: f64 = 0.3;
/// Runs of the urgent fact.
const URGENT_RUNS: u64 = 3;
const URGENT_LIMIT: Span = Span::from_secs(30);
const AGREE_LIMIT: Span = Span::from_secs(200);
const REST: Span = Span::from_secs(20);
/// Seconds in which every daemon changes a fact each second.
const FLOOD_SECONDS: u64 = 60;
/// Of these, before ages count.
const FLOOD_WARM_UP: u64 = 30;
/// A revision comes into force at all daemons once in so many seconds.
const EDIT_SECONDS: u64 = 3;
/// Length of the fact that every daemon changes.
const FLOOD_VALUE: usize = 32;

/// Runs it.
pub fn run(options: &Membership) -> eyre::Result<Report> {
    let mut report = Report::new("membership", options.seed);
    for size in SIZES {
        let arm = format!("fleet_{size:03}");
        let mut fleet = start(size, options.seed, &arm, &mut report);
        rest(&mut fleet, &arm, &mut report);
        flood(&mut fleet, &arm, &mut report)?;
        for (name, loss) in [("urgent", 0.0), ("urgent_loss_30", LOSS)] {
            urgent(
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

fn measured(message: &Message) -> usize {
    let encoded = bincode::DefaultOptions::new().serialized_size(message);
    encoded.unwrap_or(0) as usize + ENVELOPE
}

fn new_fleet(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.measure = measured;
    fleet
}

fn bytes_of(fleet: &Fleet) -> f64 {
    fleet.nodes.values().map(|node| node.bytes as f64).sum()
}

fn start(size: usize, seed: u64, arm: &str, report: &mut Report) -> Fleet {
    let mut fleet = new_fleet(size, seed);
    let took = fleet.run_while(AGREE_LIMIT, |fleet| !fleet.agrees());
    report.violations += u64::from(took.is_none());
    let took = took.map_or(f64::NAN, Span::as_secs_f64);
    report.note(arm, "agree_s", took);
    report.note(arm, "agree_bytes_each", bytes_of(&fleet) / size as f64);
    fleet.run_for(REST);
    fleet
}

fn rest(fleet: &mut Fleet, arm: &str, report: &mut Report) {
    let size = fleet.nodes.len() as f64;
    let (before, since, started) = (bytes_of(fleet), fleet.now, Instant::now());
    fleet.run_for(REST);
    let cpu = started.elapsed().as_secs_f64();
    let each = size * REST.as_secs_f64();
    report.note(arm, "rest_bytes_per_s", (bytes_of(fleet) - before) / each);
    report.note(arm, "rest_cpu_percent_with_network", 100.0 * cpu / each);
    let deaths = fleet.count(since, |event| matches!(event, Event::MemberDown { .. }));
    report.violations += deaths as u64;
}

/// Every daemon changes a fact every second, and its revision every few.
fn flood(fleet: &mut Fleet, arm: &str, report: &mut Report) -> eyre::Result<()> {
    let size = fleet.nodes.len();
    let (before, started) = (bytes_of(fleet), Instant::now());
    let mut ages = Vec::new();
    for second in 0..FLOOD_SECONDS {
        let now = fleet.now;
        for node in fleet.nodes.values_mut() {
            let membership = &mut node.membership;
            if second % EDIT_SECONDS == 0 {
                let revision = Bytes::copy_from_slice(&second.to_le_bytes());
                membership.publish(now, Topic::Progress, Bytes::new(), revision)?;
            }
            let mut value = now.0.to_le_bytes().to_vec();
            value.resize(FLOOD_VALUE, 0);
            membership.publish(now, Topic::Demand, Bytes::new(), value.into())?;
        }
        fleet.run_for(Span::from_secs(1));
        if second >= FLOOD_WARM_UP {
            gather_ages(fleet, &mut ages);
        }
    }
    let each = size as f64 * FLOOD_SECONDS as f64;
    report.note(arm, "flood_bytes_per_s", (bytes_of(fleet) - before) / each);
    let cpu = started.elapsed().as_secs_f64();
    report.note(arm, "flood_cpu_percent_with_network", 100.0 * cpu / each);
    ages.sort_unstable();
    for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
        let place = ((ages.len() as f64 * share) as usize).min(ages.len().saturating_sub(1));
        let age = ages.get(place).map_or(f64::NAN, |age| *age as f64 / 1e6);
        report.note(arm, &format!("flood_age_s_{name}"), age);
    }
    Ok(())
}

fn gather_ages(fleet: &Fleet, ages: &mut Vec<u64>) {
    for node in fleet.nodes.values() {
        let me = &node.membership.local().id;
        let facts = node.membership.facts(Topic::Demand);
        for fact in facts.filter(|fact| fact.origin != *me) {
            let said = fact.value.first_chunk::<8>();
            let said = said.map_or(0, |said| u64::from_le_bytes(*said));
            ages.push(fleet.now.0.saturating_sub(said));
        }
    }
}

/// One daemon suspends a version; until when does each know?
fn urgent(size: usize, seed: u64, loss: f64, arm: &str, report: &mut Report) -> eyre::Result<()> {
    let mut worst = 0.0_f64;
    let mut sum = 0.0;
    for run in 0..URGENT_RUNS {
        let mut fleet = new_fleet(size, seed + run);
        fleet.run_while(AGREE_LIMIT, |fleet| !fleet.agrees());
        fleet.run_for(REST);
        fleet.loss = loss;
        let now = fleet.now;
        let value = Bytes::from_static(b"suspended");
        let node = fleet.node(size / 2);
        node.membership
            .publish(now, Topic::Suspension, Bytes::new(), value)?;
        fleet.flush(size / 2);
        let knows = |fleet: &Fleet| {
            let mut nodes = fleet.nodes.values();
            nodes.all(|node| node.membership.facts(Topic::Suspension).next().is_some())
        };
        let took = fleet.run_while(URGENT_LIMIT, |fleet| !knows(fleet));
        report.violations += u64::from(took.is_none());
        let took = took.unwrap_or(URGENT_LIMIT).as_secs_f64();
        worst = worst.max(took);
        sum += took;
    }
    report.note(arm, "everywhere_s_mean", sum / URGENT_RUNS as f64);
    report.note(arm, "everywhere_s_max", worst);
    Ok(())
}
