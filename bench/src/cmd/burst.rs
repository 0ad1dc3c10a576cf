//! `burst`: a partner's batch load of ten times the capacity on top of steady interactive load.
//!
//! Six customers send interactive requests for a third of the slots; one of them sends three times
//! its limit. A small customer sends batch requests all the time. Then a partner sends batch
//! requests of ten times the capacity. Each arm runs with and without the partner. All arms choose
//! upstreams in the same way and differ only in admission.

mod admitter;
mod results;
mod simulation;
mod upstreams;

use hdrhistogram::Histogram;
use types::prelude::*;

use crate::cli;
use crate::report::{Curve, Report};
use admitter::Kind;
use results::Results;
use simulation::{Customer, Simulation};

const FLEET_SIZES: [usize; 2] = [9, 64];
const INTERACTIVE: usize = 6;
const INTERACTIVE_RATE: f64 = 4.0;
const CAPPED_LIMIT: Rate = Rate(8.0);
const CAPPED_RATE: f64 = 24.0;
const SMALL_RATE: f64 = 4.0;
/// Ten times the capacity of all slots.
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
    for daemons in FLEET_SIZES {
        for (name, kind) in kinds() {
            let without_batch = Simulation::new(kind, daemons, &without, options.seed).run();
            let results = Simulation::new(kind, daemons, &customers, options.seed).run();
            let arm = format!("{daemons}/{name}");
            report_results(&mut report, &arm, &customers, &without_batch, &results);
            if name == "ours" {
                report.violations += violations(&customers, &results);
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
    let customer = |name: &str, priority, rate, only_in_burst, limit| Customer {
        id: name.parse().expect("a name"),
        priority,
        rate,
        only_in_burst,
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

fn report_results(
    report: &mut Report,
    arm: &str,
    customers: &[Customer],
    without_batch: &Results,
    results: &Results,
) {
    let before = steady(customers, without_batch).value_at_quantile(0.99) as f64 / 1e3;
    let after = steady(customers, results).value_at_quantile(0.99) as f64 / 1e3;
    report.note(arm, "first_token_p99_without_batch_ms", before);
    report.note(arm, "first_token_p99_ms", after);
    report.note(arm, "first_token_p99_ratio", after / before);
    let median = steady(customers, results).value_at_quantile(0.5) as f64 / 1e3;
    report.note(arm, "first_token_p50_ms", median);
    report.note(
        arm,
        "batch_share_of_left",
        results.available.1 / results.available.0,
    );
    let capped = customer_index(customers, "capped");
    let (max, mean) = results.starts_relative_to_limit(capped, CAPPED_LIMIT);
    report.note(arm, "capped_most_of_limit_in_5s", max);
    report.note(arm, "capped_mean_of_limit", mean);
    report.note(
        arm,
        "least_served_share",
        min_served_share(customers, results),
    );
    let small = &results.customers[customer_index(customers, "small")];
    let served = small.ended as f64 / small.arrived as f64;
    report.note(arm, "small_batch_served_share", served);
    let partner = &results.customers[customer_index(customers, "partner")];
    report.note(arm, "partner_ended", partner.ended as f64);
    report.note(arm, "partner_refused", partner.refused as f64);
    report.note(arm, "gave_way", results.preempted as f64);
    report.note(arm, "facts", results.facts as f64);
    let points = results.running.iter();
    report.curves.push(Curve {
        plot: format!("batch running, {}", arm.split('/').next().unwrap_or(arm)),
        label: arm.to_owned(),
        points: points
            .map(|(s, (_, b))| (*s as f64, f64::from(*b)))
            .collect(),
    });
}

/// Times to first token of the interactive customers without a limit.
fn steady(customers: &[Customer], results: &Results) -> Histogram<u64> {
    let mut all = results.customers[0].first_token.clone();
    all.clear();
    for (customer, counts) in customers.iter().zip(&results.customers) {
        if customer.priority == Priority::Interactive && customer.limit.is_none() {
            all.add(&counts.first_token).expect("equal bounds");
        }
    }
    all
}

/// Lowest share of completed requests among the interactive customers without a limit.
fn min_served_share(customers: &[Customer], results: &Results) -> f64 {
    let steady = customers.iter().zip(&results.customers);
    let steady = steady.filter(|(customer, _)| {
        customer.priority == Priority::Interactive && customer.limit.is_none()
    });
    let shares = steady.map(|(_, counts)| counts.ended as f64 / counts.arrived as f64);
    shares.fold(f64::INFINITY, f64::min)
}

fn customer_index(customers: &[Customer], name: &str) -> usize {
    let index = customers.iter().position(|c| c.id.as_str() == name);
    index.unwrap_or_default()
}

/// Counts violations: a customer above its limit by more than 5%, and a starved customer.
fn violations(customers: &[Customer], results: &Results) -> u64 {
    let (_, mean) =
        results.starts_relative_to_limit(customer_index(customers, "capped"), CAPPED_LIMIT);
    u64::from(mean > 1.05) + u64::from(min_served_share(customers, results) < 0.9)
}
