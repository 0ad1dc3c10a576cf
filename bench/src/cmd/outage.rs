//! A daemon that leaves with streams open, and one whose store goes away.
//!
//! First SIGTERM comes while 200 streams are open: none may be cut. Then the only store
//! is down for the middle half of a steady load: traffic goes on, and what an operator is
//! told of an edit is true, then and afterwards.

use std::time::Duration;

use serde_json::{Value, json};

use crate::cli::Outage;
use crate::daemons::OPERATOR_TOKEN;
use crate::echo::path::{Arm, Notes, arms, ask, failures};
use crate::echo::{self, Setup};
use crate::load::http::{Ask, Connection, Got};
use crate::load::{self, Arrivals, Seen};
use crate::report::Report;

const LEAVE: &str = "sigterm_with_streams";
const STORE: &str = "store_down";
const STREAMS: usize = 200;
const STREAM_LENGTH: Duration = Duration::from_secs(6);
const LEAVES_WITHIN: Duration = Duration::from_secs(60);
const RATE: f64 = 100.0;
const WORKERS: usize = 64;
/// For a daemon to find its store again and to learn what became of edits.
const RECOVERY: Duration = Duration::from_secs(10);
const EDITED: &str = "customers/edited-in-outage";

/// Runs it.
pub fn run(options: &Outage) -> eyre::Result<Report> {
    let mut report = Report::new("outage", options.seed);
    leave(&mut report)?;
    store_down(options, &mut report)?;
    Ok(report)
}

fn leave(report: &mut Report) -> eyre::Result<()> {
    let mut setup = Setup::start(&echo::slow_engine(STREAM_LENGTH))?;
    let [_, arm] = arms(&setup);
    let arm = &arm;
    let (seen, left) = std::thread::scope(|scope| {
        let streams = scope.spawn(move || open_streams(arm));
        std::thread::sleep(STREAM_LENGTH / 3);
        let left = setup.daemon.terminate(LEAVES_WITHIN);
        (streams.join(), left)
    });
    let seen = seen.map_err(|_| eyre::eyre!("the generator panicked"))??;
    let cut = failures(arm, &seen);
    report.note(LEAVE, "streams", STREAMS as f64);
    report.note(LEAVE, "cut", cut);
    report.note(LEAVE, "left_in_time", f64::from(u8::from(left?)));
    report.violations += cut as u64;
    Ok(())
}

fn open_streams(arm: &Arm) -> eyre::Result<Vec<Seen<Notes>>> {
    let arrivals = Arrivals(vec![Duration::ZERO; STREAMS]);
    let connect = || Connection::new(arm.addresses[0]);
    load::open_loop(
        &arrivals,
        STREAMS,
        connect,
        |c, notes: &mut Notes, number| {
            ask(
                c,
                notes,
                arm,
                &format!("l-{number}"),
                Some(echo::SLOW_TOKENS),
            )
        },
    )
}

fn store_down(options: &Outage, report: &mut Report) -> eyre::Result<()> {
    let setup = Setup::start(&echo::quick_engine())?;
    let [_, arm] = arms(&setup);
    let length = Duration::from_secs_f64(options.seconds);
    let arrivals = Arrivals::poisson(options.seed, RATE, length);
    let connect = || Connection::new(arm.addresses[0]);
    let (seen, told) = std::thread::scope(|scope| {
        let outage = scope.spawn(|| outage(&setup, length));
        let seen = load::open_loop(
            &arrivals,
            WORKERS,
            connect,
            |c, notes: &mut Notes, number| ask(c, notes, &arm, &format!("d-{number}"), None),
        );
        (seen, outage.join())
    });
    let seen = seen?;
    let told = told.map_err(|_| eyre::eyre!("the thread of the outage panicked"))??;
    let latencies = load::merged(&seen);
    let failed = failures(&arm, &seen);
    report.note(STORE, "requests", latencies.count() as f64 + failed);
    report.note(STORE, "failed", failed);
    report.note(STORE, "p50_ms", latencies.quantile_ms(0.5));
    report.note(STORE, "p99_ms", latencies.quantile_ms(0.99));
    std::thread::sleep(RECOVERY);
    let stands = edited_stands(&setup)?;
    let untrue = is_untrue(&told, stands);
    report.note(STORE, "edit_status", f64::from(told.status));
    report.note(STORE, "edit_stands", f64::from(u8::from(stands)));
    report.note(STORE, "edit_answered_untruly", f64::from(u8::from(untrue)));
    report.violations += failed as u64 + u64::from(untrue);
    Ok(())
}

/// The store is down for the middle half; an operator edits in the middle of that.
fn outage(setup: &Setup, length: Duration) -> eyre::Result<Got> {
    let store = &setup.platform.store;
    std::thread::sleep(length / 4);
    store.set_faults(|faults| faults.down = true);
    std::thread::sleep(length / 4);
    let told = edit(setup);
    std::thread::sleep(length / 4);
    store.set_faults(|faults| faults.down = false);
    told
}

fn edit(setup: &Setup) -> eyre::Result<Got> {
    let entry = json!({
        "kind": "customer",
        "owner": "bench",
        "key_sha256": ["00".repeat(32)],
    });
    operator(setup, "PUT", &entry.to_string())
}

fn operator(setup: &Setup, method: &str, body: &str) -> eyre::Result<Got> {
    let bearer = format!("Bearer {OPERATOR_TOKEN}");
    let path = format!("/catalogue/{EDITED}");
    let ask = Ask {
        method,
        path: &path,
        headers: &[
            ("authorization", &bearer),
            ("content-type", "application/json"),
        ],
        body: body.as_bytes(),
    };
    Ok(Connection::new(setup.daemon.plan.addresses.operators).ask(&ask)?)
}

fn edited_stands(setup: &Setup) -> eyre::Result<bool> {
    let got = operator(setup, "GET", "")?;
    Ok(got.status == 200)
}

/// Said to be applied and is not there, or said to be without effect and is there.
fn is_untrue(told: &Got, stands: bool) -> bool {
    let body = serde_json::from_slice::<Value>(&told.body).unwrap_or_default();
    let code = body["error"]["code"].as_str().or(body["code"].as_str());
    match told.status {
        200..=299 => !stands,
        _ if code.is_some_and(|code| code.contains("unknown")) => false,
        _ => stands,
    }
}
