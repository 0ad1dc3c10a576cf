//! Measures the cost of a driver's tick by the number of engines of its model.

use std::time::Instant;

use rollout::observed::{Demand, Evidence, Observed};
use rollout::{Config, Driver, Effect};
use types::prelude::*;

use super::environment::{Engine, Fencing, Store};
use super::fleet::report_of;
use super::run::{initial_model, name};
use crate::report::Report;

const ENGINES: [usize; 4] = [20, 300, 1200, 12_000];
const TICKS: u32 = 500;
const TICK_INTERVAL: Span = Span::from_millis(200);

/// Reports the mean time of a tick for a driver that holds the lease and for one that doesn't.
pub(super) fn report_tick_cost(report: &mut Report, seed: u64) {
    for engines in ENGINES {
        let arm = format!("scale/{engines}_engines");
        let (driving, reads) = measure(engines, seed, Some(0));
        let (idle, _) = measure(engines, seed, None);
        report.note(&arm, "driving_tick_us", driving);
        report.note(&arm, "idle_tick_us", idle);
        report.note(&arm, "reads_per_s", reads);
    }
}

/// Returns the microseconds per tick and the load reports read per second.
fn measure(engines: usize, seed: u64, standby_rank: Option<u32>) -> (f64, f64) {
    let daemon = DaemonId::new("daemon").expect("a plain name");
    let mut driver = Driver::new("key".to_owned(), daemon, Config::default());
    let mut store = Store::new(seed);
    let old = name("1");
    let real: Vec<Engine> = (0..engines)
        .map(|index| Engine::new(index, 16, &old, Fencing::Ignored))
        .collect();
    let mut reports: Vec<_> = real.iter().map(|e| report_of(e, None)).collect();
    reports.sort_by(|a, b| a.id.cmp(&b.id));
    let model = initial_model();
    let (mut elapsed_s, mut reads, mut now) = (0.0, 0, Time::ZERO);
    for _ in 0..TICKS {
        let observed = Observed {
            model: &model,
            revision: Revision(1),
            engines: &reports,
            evidence: Evidence::default(),
            demand: Demand {
                from: engines as f64,
                to: 0.0,
            },
            standby_rank,
        };
        let started_at = Instant::now();
        let effects = driver.tick(now, &observed);
        elapsed_s += started_at.elapsed().as_secs_f64();
        for effect in effects {
            match effect {
                Effect::Store(call) => {
                    complete_store_calls(&mut driver, &mut store, now, call, standby_rank)
                }
                Effect::Read(id) => {
                    reads += 1;
                    if let Ok(at) = reports.binary_search_by(|e| e.id.cmp(&id)) {
                        reports[at].read_at = Some(now);
                        reports[at].ready = vec![old.clone()];
                    }
                }
                Effect::RequestPermit(_) => driver.on_permit(now, Err(Span::from_secs(1))),
                Effect::Order(_) | Effect::Edit { .. } => {}
            }
        }
        now = now + TICK_INTERVAL;
    }
    let ticks = f64::from(TICKS);
    let seconds = ticks * TICK_INTERVAL.as_secs_f64();
    (elapsed_s / ticks * 1e6, f64::from(reads) / seconds)
}

/// Makes a call to the store and the calls that follow from its outcome.
fn complete_store_calls(
    driver: &mut Driver,
    store: &mut Store,
    now: Time,
    first: rollout::lease::StoreCall,
    standby_rank: Option<u32>,
) {
    let mut next = Some(first);
    while let Some(call) = next {
        let outcome = store.call(now, call.request);
        next = match driver.on_store_outcome(now, call.number, outcome, standby_rank) {
            Some(Effect::Store(call)) => Some(call),
            _ => None,
        };
    }
}
