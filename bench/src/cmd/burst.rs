//! `burst`: a partner's batch of ten times the capacity on steady interactive work.
//!
//! Six customers send interactive work for a third of the slots, one of them three times its
//! limit; a small customer sends some batch work all the time. Then a partner sends batch
//! work of ten times the capacity. Each arm runs with and without the partner. All arms
//! choose upstreams alike; they differ in what they admit.

mod admitter;
mod results;
mod simulation;
mod upstreams;

use hdrhistogram::Histogram;
use types::prelude::*;

use crate::cli;
use crate::report::{Curve, Report};
use admitter::Kind;
use results::Found;
use simulation::{Customer, World};

const FLEETS: [usize; 2] = [9, 64];
const INTERACTIVE: usize = 6;
const INTERACTIVE_RATE: f64 = 4.0;
const CAPPED_LIMIT: Rate = Rate(8.0);
const CAPPED_RATE: f64 = 24.0;
const SMALL_RATE: f64 = 4.0;
/// Ten times what all slots can do.
const PARTNER_RATE: f64 = 800.0;

/// Runs every arm.
pub fn run(options: &cli::Burst) -> eyre::Result<Report> {
    let mut report = Report::new("burst", options.seed);
    let customers = customers();
    let without: Vec<_> = customers
        .iter()
        .take(customers.len() - 1)
        .cloned()
        .collect();
    for daemons in FLEETS {
        for (name, kind) in kinds() {
            let alone = World::new(kind, daemons, &without, options.seed).run();
            let found = World::new(kind, daemons, &customers, options.seed).run();
            let arm = format!("{daemons}/{name}");
            note(&mut report, &arm, &customers, &alone, &found);
            if name == "ours" {
                report.violations += violations(&customers, &found);
            }
        }
    }
    Ok(report)
}

fn kinds() -> [(&'static str, Kind); 5] {
    [
        ("ours", Kind::Ours { give_way: true }),
        ("ours-no-giving-way", Kind::Ours { give_way: false }),
        ("static-split-fifo", Kind::StaticSplit),
        ("no-limits", Kind::Open { priorities: true }),
        ("no-limits-fifo", Kind::Open { priorities: false }),
    ]
}

fn customers() -> Vec<Customer> {
    let customer = |name: &str, priority, rate, in_burst, limit| Customer {
        id: name.parse().expect("a name"),
        priority,
        rate,
        in_burst,
        limit,
    };
    let steady = |n| {
        let name = format!("steady-{n}");
        customer(&name, Priority::Interactive, INTERACTIVE_RATE, false, None)
    };
    let mut customers: Vec<_> = (1..INTERACTIVE).map(steady).collect();
    let limit = Some(CAPPED_LIMIT);
    let capped = customer("capped", Priority::Interactive, CAPPED_RATE, false, limit);
    customers.push(capped);
    customers.push(customer("small", Priority::Batch, SMALL_RATE, false, None));
    customers.push(customer(
        "partner",
        Priority::Batch,
        PARTNER_RATE,
        true,
        None,
    ));
    customers
}

fn note(report: &mut Report, arm: &str, customers: &[Customer], alone: &Found, found: &Found) {
    let before = steady(customers, alone).value_at_quantile(0.99) as f64 / 1e3;
    let after = steady(customers, found).value_at_quantile(0.99) as f64 / 1e3;
    report.note(arm, "first_token_p99_without_batch_ms", before);
    report.note(arm, "first_token_p99_ms", after);
    report.note(arm, "first_token_p99_ratio", after / before);
    let median = steady(customers, found).value_at_quantile(0.5) as f64 / 1e3;
    report.note(arm, "first_token_p50_ms", median);
    report.note(arm, "batch_share_of_left", found.left.1 / found.left.0);
    let capped = position(customers, "capped");
    let (most, mean) = found.over_limit(capped, CAPPED_LIMIT);
    report.note(arm, "capped_most_of_limit_in_5s", most);
    report.note(arm, "capped_mean_of_limit", mean);
    report.note(arm, "least_served_share", least_served(customers, found));
    let small = &found.customers[position(customers, "small")];
    let served = small.ended as f64 / small.arrived as f64;
    report.note(arm, "small_batch_served_share", served);
    let partner = &found.customers[position(customers, "partner")];
    report.note(arm, "partner_ended", partner.ended as f64);
    report.note(arm, "partner_refused", partner.refused as f64);
    report.note(arm, "gave_way", found.gave_way as f64);
    report.note(arm, "facts", found.facts as f64);
    let points = found.running.iter();
    report.curves.push(Curve {
        plot: format!("batch running, {}", arm.split('/').next().unwrap_or(arm)),
        label: arm.to_owned(),
        points: points
            .map(|(s, (_, b))| (*s as f64, f64::from(*b)))
            .collect(),
    });
}

/// First tokens of the interactive customers that keep to their limits.
fn steady(customers: &[Customer], found: &Found) -> Histogram<u64> {
    let mut all = found.customers[0].first_token.clone();
    all.clear();
    for (customer, counts) in customers.iter().zip(&found.customers) {
        if customer.priority == Priority::Interactive && customer.limit.is_none() {
            all.add(&counts.first_token).expect("equal bounds");
        }
    }
    all
}

/// Part of its requests that the worst served steady customer had ended.
fn least_served(customers: &[Customer], found: &Found) -> f64 {
    let steady = customers.iter().zip(&found.customers);
    let steady = steady.filter(|(customer, _)| {
        customer.priority == Priority::Interactive && customer.limit.is_none()
    });
    let shares = steady.map(|(_, counts)| counts.ended as f64 / counts.arrived as f64);
    shares.fold(f64::INFINITY, f64::min)
}

fn position(customers: &[Customer], name: &str) -> usize {
    let found = customers.iter().position(|c| c.id.as_str() == name);
    found.unwrap_or_default()
}

/// Customers over their limit by more than 5% or starved.
fn violations(customers: &[Customer], found: &Found) -> u64 {
    let (_, mean) = found.over_limit(position(customers, "capped"), CAPPED_LIMIT);
    u64::from(mean > 1.05) + u64::from(least_served(customers, found) < 0.9)
}
