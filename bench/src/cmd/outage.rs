//! `outage`: shutdown of a daemon with open streams, and a daemon whose store is down.
//!
//! First a daemon gets SIGTERM while 200 streams are open; none may be cut. Then the only store is
//! down for the middle half of a steady load: requests must still be served, and the answer that an
//! operator gets to an edit must be true, both then and afterwards.

use std::time::Duration;

use serde_json::{Value, json};

use crate::cli::Outage;
use crate::daemons::OPERATOR_TOKEN;
use crate::echo::path::{Arm, Notes, arms, count_failures, send_request};
use crate::echo::{self, Setup};
use crate::load::http::{Connection, HttpRequest, HttpResponse};
use crate::load::{self, Arrivals, WorkerResult};
use crate::report::Report;

const SIGTERM: &str = "sigterm_with_streams";
const STORE_DOWN: &str = "store_down";
const STREAMS: usize = 200;
const STREAM_LENGTH: Duration = Duration::from_secs(6);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(60);
const RATE: f64 = 100.0;
const WORKERS: usize = 64;
/// Time for a daemon to reconnect to its store and to learn the outcome of edits.
const RECOVERY: Duration = Duration::from_secs(10);
const EDITED_ENTRY: &str = "customers/edited-in-outage";

/// Runs the experiment.
pub fn run(options: &Outage) -> eyre::Result<Report> {
    let mut report = Report::new("outage", options.seed);
    terminate_with_streams(&mut report)?;
    measure_store_outage(options, &mut report)?;
    Ok(report)
}

fn terminate_with_streams(report: &mut Report) -> eyre::Result<()> {
    let mut setup = Setup::start(&echo::slow_engine(STREAM_LENGTH))?;
    let [_, arm] = arms(&setup);
    let arm = &arm;
    let (results, left_in_time) = std::thread::scope(|scope| {
        let streams = scope.spawn(move || open_streams(arm));
        std::thread::sleep(STREAM_LENGTH / 3);
        let left_in_time = setup.daemon.terminate(SHUTDOWN_TIMEOUT);
        (streams.join(), left_in_time)
    });
    let results = results.map_err(|_| eyre::eyre!("the load generator panicked"))??;
    let cut_streams = count_failures(arm, &results);
    report.note(SIGTERM, "streams", STREAMS as f64);
    report.note(SIGTERM, "cut", cut_streams);
    report.note(SIGTERM, "left_in_time", f64::from(u8::from(left_in_time?)));
    report.violations += cut_streams as u64;
    Ok(())
}

fn open_streams(arm: &Arm) -> eyre::Result<Vec<WorkerResult<Notes>>> {
    let arrivals = Arrivals(vec![Duration::ZERO; STREAMS]);
    let connect = || Connection::new(arm.addresses[0]);
    load::open_loop(
        &arrivals,
        STREAMS,
        connect,
        |c, notes: &mut Notes, number| {
            send_request(
                c,
                notes,
                arm,
                &format!("l-{number}"),
                Some(echo::SLOW_TOKENS),
            )
        },
    )
}

fn measure_store_outage(options: &Outage, report: &mut Report) -> eyre::Result<()> {
    let setup = Setup::start(&echo::instant_engine())?;
    let [_, arm] = arms(&setup);
    let length = Duration::from_secs_f64(options.seconds);
    let arrivals = Arrivals::poisson(options.seed, RATE, length);
    let connect = || Connection::new(arm.addresses[0]);
    let (results, response) = std::thread::scope(|scope| {
        let outage = scope.spawn(|| run_outage(&setup, length));
        let results = load::open_loop(
            &arrivals,
            WORKERS,
            connect,
            |c, notes: &mut Notes, number| {
                send_request(c, notes, &arm, &format!("d-{number}"), None)
            },
        );
        (results, outage.join())
    });
    let results = results?;
    let response = response.map_err(|_| eyre::eyre!("the outage thread panicked"))??;
    let latencies = load::merge_latencies(&results);
    let failed = count_failures(&arm, &results);
    report.note(STORE_DOWN, "requests", latencies.count() as f64 + failed);
    report.note(STORE_DOWN, "failed", failed);
    report.note(STORE_DOWN, "p50_ms", latencies.quantile_ms(0.5));
    report.note(STORE_DOWN, "p99_ms", latencies.quantile_ms(0.99));
    std::thread::sleep(RECOVERY);
    let is_stored = entry_is_stored(&setup)?;
    let is_false_answer = contradicts_store(&response, is_stored);
    report.note(STORE_DOWN, "edit_status", f64::from(response.status));
    report.note(STORE_DOWN, "edit_stands", f64::from(u8::from(is_stored)));
    report.note(
        STORE_DOWN,
        "edit_answered_untruly",
        f64::from(u8::from(is_false_answer)),
    );
    report.violations += failed as u64 + u64::from(is_false_answer);
    Ok(())
}

/// Takes the store down for the middle half of the load and makes an edit in the middle of that.
fn run_outage(setup: &Setup, length: Duration) -> eyre::Result<HttpResponse> {
    let store = &setup.platform.store;
    std::thread::sleep(length / 4);
    store.set_faults(|faults| faults.down = true);
    std::thread::sleep(length / 4);
    let response = edit_entry(setup);
    std::thread::sleep(length / 4);
    store.set_faults(|faults| faults.down = false);
    response
}

fn edit_entry(setup: &Setup) -> eyre::Result<HttpResponse> {
    let entry = json!({
        "kind": "customer",
        "owner": "bench",
        "key_sha256": ["00".repeat(32)],
    });
    call_operator_api(setup, "PUT", &entry.to_string())
}

fn call_operator_api(setup: &Setup, method: &str, body: &str) -> eyre::Result<HttpResponse> {
    let bearer = format!("Bearer {OPERATOR_TOKEN}");
    let path = format!("/catalogue/{EDITED_ENTRY}");
    let request = HttpRequest {
        method,
        path: &path,
        headers: &[
            ("authorization", &bearer),
            ("content-type", "application/json"),
        ],
        body: body.as_bytes(),
    };
    Ok(Connection::new(setup.daemon.plan.addresses.operators).send(&request)?)
}

fn entry_is_stored(setup: &Setup) -> eyre::Result<bool> {
    let response = call_operator_api(setup, "GET", "")?;
    Ok(response.status == 200)
}

/// Whether the edit was reported as applied but is not stored, or as without effect but is stored.
fn contradicts_store(response: &HttpResponse, is_stored: bool) -> bool {
    let body = serde_json::from_slice::<Value>(&response.body).unwrap_or_default();
    let code = body["error"]["code"].as_str().or(body["code"].as_str());
    match response.status {
        200..=299 => !is_stored,
        _ if code.is_some_and(|code| code.contains("unknown")) => false,
        _ => is_stored,
    }
}
