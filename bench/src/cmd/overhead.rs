//! `overhead`: cost of the daemon between caller and engine, comparing the same requests sent
//! directly and through the daemon.
//!
//! Four loads: short answers at a modest rate (added latency), maximum throughput of short
//! answers, maximum throughput of streamed tokens, and a thousand open streams (memory). In the
//! first the two arms alternate, so that other work on the machine affects both equally.

use std::time::Duration;

use eyre::ensure;

use crate::cli::Overhead;
use crate::echo::path::{Arm, Notes, VIA_DAEMON, arms, count_failures, send_request};
use crate::echo::{self, Setup};
use crate::load::http::Connection;
use crate::load::{self, Arrivals, Latencies, WorkerResult};
use crate::report::{Curve, Report};

const ADDED: &str = "added";
const RATIO: &str = "ratio";
const MACHINE: &str = "machine";

/// Requests per second of the load that measures added latency.
const MODEST_RATE: f64 = 200.0;
const MODEST_WORKERS: usize = 64;
/// Number of times the two arms alternate at the modest rate.
const TURNS: u64 = 8;
const SHORT_WORKERS: usize = 96;
const STREAM_WORKERS: usize = 600;
const STREAM_TOKENS: u32 = 200;
const OPEN_STREAMS: usize = 1_000;

/// Runs the experiment.
pub fn run(options: &Overhead) -> eyre::Result<Report> {
    let mut report = Report::new("overhead", options.seed);
    let length = Duration::from_secs_f64(options.seconds);
    report_machine(&mut report);
    let setup = Setup::start(&echo::instant_engine())?;
    measure_modest_rate(&setup, options.seed, length, &mut report)?;
    measure_max_requests(&setup, length, &mut report)?;
    drop(setup);
    let setup = Setup::start(&echo::token_rate_engine())?;
    measure_max_tokens(&setup, length, &mut report)?;
    drop(setup);
    measure_open_streams(length, &mut report)?;
    Ok(report)
}

/// Reports how busy the machine was with other work, to put the latencies into perspective.
fn report_machine(report: &mut Report) {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split_whitespace().next().and_then(|n| n.parse().ok());
    report.note(MACHINE, "load_before", load.unwrap_or(f64::NAN));
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    report.note(MACHINE, "cores", cores as f64);
}

fn measure_modest_rate(
    setup: &Setup,
    seed: u64,
    length: Duration,
    report: &mut Report,
) -> eyre::Result<()> {
    let arms = arms(setup);
    let mut latencies = [Latencies::new(), Latencies::new()];
    let mut failed = [0.0; 2];
    let turn_length = length.div_f64(TURNS as f64);
    for n in 0..TURNS {
        for (index, arm) in arms.iter().enumerate() {
            let arrivals = Arrivals::poisson(seed + n, MODEST_RATE, turn_length);
            let connect = || Connection::new(arm.addresses[0]);
            let results =
                load::open_loop(&arrivals, MODEST_WORKERS, connect, |c, notes, number| {
                    send_request(c, notes, arm, &format!("m-{n}-{number}"), None)
                })?;
            latencies[index].merge(&load::merge_latencies(&results));
            failed[index] += count_failures(arm, &results);
        }
    }
    for (index, arm) in arms.iter().enumerate() {
        report_latencies(report, arm.name, &latencies[index]);
        report.note(arm.name, "modest_failed", failed[index]);
        report.curves.push(Curve {
            plot: "short answers at a modest rate, ms by share".to_owned(),
            label: arm.name.to_owned(),
            points: latencies[index].curve(),
        });
    }
    for (figure, share) in [("p50_ms", 0.5), ("p99_ms", 0.99)] {
        let added = latencies[1].quantile_ms(share) - latencies[0].quantile_ms(share);
        report.note(ADDED, figure, added);
    }
    ensure!(
        latencies[1].count() > 0,
        "no request through the daemon succeeded"
    );
    Ok(())
}

fn report_latencies(report: &mut Report, arm: &str, latencies: &Latencies) {
    report.note(arm, "modest_requests", latencies.count() as f64);
    report.note(arm, "modest_p50_ms", latencies.quantile_ms(0.5));
    report.note(arm, "modest_p99_ms", latencies.quantile_ms(0.99));
}

fn measure_max_requests(setup: &Setup, length: Duration, report: &mut Report) -> eyre::Result<()> {
    let mut rates = Vec::new();
    for arm in arms(setup) {
        let cpu = setup.daemon.cpu_seconds()?;
        let results = run_closed_loop(&arm, SHORT_WORKERS, length, "s", None)?;
        let cpu = setup.daemon.cpu_seconds()? - cpu;
        let rate = load::merge_latencies(&results).count() as f64 / length.as_secs_f64();
        report.note(arm.name, "max_requests_per_s", rate);
        report.note(
            arm.name,
            "max_requests_failed",
            count_failures(&arm, &results),
        );
        if arm.name == VIA_DAEMON && rate > 0.0 {
            let micros = cpu * 1e6 / (rate * length.as_secs_f64());
            report.note(arm.name, "cpu_us_per_request", micros);
        }
        rates.push(rate);
    }
    report.note(RATIO, "max_requests", rates[1] / rates[0]);
    Ok(())
}

fn run_closed_loop(
    arm: &Arm,
    workers: usize,
    length: Duration,
    kind: &str,
    tokens: Option<u32>,
) -> eyre::Result<Vec<WorkerResult<Notes>>> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let connect = || {
        let n = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Connection::new(arm.addresses[n % arm.addresses.len()])
    };
    load::closed_loop(workers, length, connect, |c, notes: &mut Notes, number| {
        send_request(c, notes, arm, &format!("{kind}-{number}"), tokens)
    })
}

fn measure_max_tokens(setup: &Setup, length: Duration, report: &mut Report) -> eyre::Result<()> {
    let mut rates = Vec::new();
    for arm in arms(setup) {
        let cpu = setup.daemon.cpu_seconds()?;
        let started_at = std::time::Instant::now();
        let results = run_closed_loop(&arm, STREAM_WORKERS, length, "t", Some(STREAM_TOKENS))?;
        // Streams in flight at the end are finished and counted, so their time counts too.
        let elapsed_s = started_at.elapsed().as_secs_f64();
        let cpu = setup.daemon.cpu_seconds()? - cpu;
        let tokens = results.iter().map(|s| s.notes.tokens as f64).sum::<f64>();
        report.note(arm.name, "max_tokens_per_s", tokens / elapsed_s);
        report.note(
            arm.name,
            "max_tokens_failed",
            count_failures(&arm, &results),
        );
        if arm.name == VIA_DAEMON && tokens > 0.0 {
            report.note(arm.name, "cpu_us_per_token", cpu * 1e6 / tokens);
        }
        rates.push(tokens / elapsed_s);
    }
    report.note(RATIO, "max_tokens", rates[1] / rates[0]);
    Ok(())
}

/// Measures memory with many slow streams open and checks that all of them end completely.
fn measure_open_streams(length: Duration, report: &mut Report) -> eyre::Result<()> {
    let setup = Setup::start(&echo::slow_engine(length))?;
    let idle = setup.daemon.resident_bytes()?;
    let [_, arm] = arms(&setup);
    let (results, resident) = std::thread::scope(|scope| {
        let arm = &arm;
        let streams = scope.spawn(move || open_all_streams(arm));
        std::thread::sleep(length.mul_f64(0.5));
        let resident = setup.daemon.resident_bytes();
        (streams.join(), resident)
    });
    let results = results.map_err(|_| eyre::eyre!("the load generator panicked"))??;
    let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    report.note(
        VIA_DAEMON,
        "open_streams",
        load::merge_latencies(&results).count() as f64,
    );
    report.note(
        VIA_DAEMON,
        "open_streams_failed",
        count_failures(&arm, &results),
    );
    report.note(VIA_DAEMON, "resident_idle_mib", mib(idle));
    report.note(VIA_DAEMON, "resident_open_streams_mib", mib(resident?));
    Ok(())
}

fn open_all_streams(arm: &Arm) -> eyre::Result<Vec<WorkerResult<Notes>>> {
    let arrivals = Arrivals(vec![Duration::ZERO; OPEN_STREAMS]);
    let connect = || Connection::new(arm.addresses[0]);
    load::open_loop(
        &arrivals,
        OPEN_STREAMS,
        connect,
        |c, notes: &mut Notes, number| {
            send_request(
                c,
                notes,
                arm,
                &format!("o-{number}"),
                Some(echo::SLOW_TOKENS),
            )
        },
    )
}
