//! Cost of the daemon between caller and engine: the same requests straight and through.
//!
//! Four loads: short answers at a modest rate (latency added), as many short answers as
//! go, as many streamed tokens as go, and a thousand open streams (memory). Straight and
//! through take turns in the first, so that a busy machine disturbs both alike.

use std::time::Duration;

use eyre::ensure;

use crate::cli::Overhead;
use crate::echo::path::{Arm, Notes, THROUGH, arms, ask, failures};
use crate::echo::{self, Setup};
use crate::load::http::Connection;
use crate::load::{self, Arrivals, Latencies, Seen};
use crate::report::{Curve, Report};

const ADDED: &str = "added";
const RATIO: &str = "ratio";
const MACHINE: &str = "machine";

/// Modest rate of short requests a second.
const MODEST_RATE: f64 = 200.0;
const MODEST_WORKERS: usize = 64;
/// Turns that the two arms take at the modest rate.
const TURNS: u64 = 8;
const SHORT_WORKERS: usize = 96;
const STREAM_WORKERS: usize = 600;
const STREAM_TOKENS: u32 = 200;
const OPEN_STREAMS: usize = 1_000;

/// Runs it.
pub fn run(options: &Overhead) -> eyre::Result<Report> {
    let mut report = Report::new("overhead", options.seed);
    let length = Duration::from_secs_f64(options.seconds);
    note_machine(&mut report);
    let setup = Setup::start(&echo::quick_engine())?;
    modest(&setup, options.seed, length, &mut report)?;
    most_requests(&setup, length, &mut report)?;
    drop(setup);
    let setup = Setup::start(&echo::token_engine())?;
    most_tokens(&setup, length, &mut report)?;
    drop(setup);
    open_streams(length, &mut report)?;
    Ok(report)
}

/// How busy the machine was with other work, by which the latencies are to be judged.
fn note_machine(report: &mut Report) {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split_whitespace().next().and_then(|n| n.parse().ok());
    report.note(MACHINE, "load_before", load.unwrap_or(f64::NAN));
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    report.note(MACHINE, "cores", cores as f64);
}

fn modest(setup: &Setup, seed: u64, length: Duration, report: &mut Report) -> eyre::Result<()> {
    let arms = arms(setup);
    let mut latencies = [Latencies::new(), Latencies::new()];
    let mut failed = [0.0; 2];
    let turn = length.div_f64(TURNS as f64);
    for n in 0..TURNS {
        for (index, arm) in arms.iter().enumerate() {
            let arrivals = Arrivals::poisson(seed + n, MODEST_RATE, turn);
            let connect = || Connection::new(arm.addresses[0]);
            let seen = load::open_loop(&arrivals, MODEST_WORKERS, connect, |c, notes, number| {
                ask(c, notes, arm, &format!("m-{n}-{number}"), None)
            })?;
            latencies[index].add(&load::merged(&seen));
            failed[index] += failures(arm, &seen);
        }
    }
    for (index, arm) in arms.iter().enumerate() {
        note_latencies(report, arm.name, &latencies[index]);
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

fn note_latencies(report: &mut Report, arm: &str, latencies: &Latencies) {
    report.note(arm, "modest_requests", latencies.count() as f64);
    report.note(arm, "modest_p50_ms", latencies.quantile_ms(0.5));
    report.note(arm, "modest_p99_ms", latencies.quantile_ms(0.99));
}

fn most_requests(setup: &Setup, length: Duration, report: &mut Report) -> eyre::Result<()> {
    let mut rates = Vec::new();
    for arm in arms(setup) {
        let cpu = setup.daemon.cpu_seconds()?;
        let seen = closed(&arm, SHORT_WORKERS, length, "s", None)?;
        let cpu = setup.daemon.cpu_seconds()? - cpu;
        let rate = load::merged(&seen).count() as f64 / length.as_secs_f64();
        report.note(arm.name, "max_requests_per_s", rate);
        report.note(arm.name, "max_requests_failed", failures(&arm, &seen));
        if arm.name == THROUGH && rate > 0.0 {
            let micros = cpu * 1e6 / (rate * length.as_secs_f64());
            report.note(arm.name, "cpu_us_per_request", micros);
        }
        rates.push(rate);
    }
    report.note(RATIO, "max_requests", rates[1] / rates[0]);
    Ok(())
}

fn closed(
    arm: &Arm,
    workers: usize,
    length: Duration,
    kind: &str,
    tokens: Option<u32>,
) -> eyre::Result<Vec<Seen<Notes>>> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let connect = || {
        let n = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Connection::new(arm.addresses[n % arm.addresses.len()])
    };
    load::closed_loop(workers, length, connect, |c, notes: &mut Notes, number| {
        ask(c, notes, arm, &format!("{kind}-{number}"), tokens)
    })
}

fn most_tokens(setup: &Setup, length: Duration, report: &mut Report) -> eyre::Result<()> {
    let mut rates = Vec::new();
    for arm in arms(setup) {
        let cpu = setup.daemon.cpu_seconds()?;
        let begun = std::time::Instant::now();
        let seen = closed(&arm, STREAM_WORKERS, length, "t", Some(STREAM_TOKENS))?;
        // Streams under way at the end are finished and counted, so their time counts too.
        let took = begun.elapsed().as_secs_f64();
        let cpu = setup.daemon.cpu_seconds()? - cpu;
        let tokens = seen.iter().map(|s| s.notes.tokens as f64).sum::<f64>();
        report.note(arm.name, "max_tokens_per_s", tokens / took);
        report.note(arm.name, "max_tokens_failed", failures(&arm, &seen));
        if arm.name == THROUGH && tokens > 0.0 {
            report.note(arm.name, "cpu_us_per_token", cpu * 1e6 / tokens);
        }
        rates.push(tokens / took);
    }
    report.note(RATIO, "max_tokens", rates[1] / rates[0]);
    Ok(())
}

/// Memory with many slow streams open, and that all of them end whole.
fn open_streams(length: Duration, report: &mut Report) -> eyre::Result<()> {
    let setup = Setup::start(&echo::slow_engine(length))?;
    let idle = setup.daemon.resident_bytes()?;
    let [_, arm] = arms(&setup);
    let (seen, resident) = std::thread::scope(|scope| {
        let arm = &arm;
        let streams = scope.spawn(move || one_each(arm));
        std::thread::sleep(length.mul_f64(0.5));
        let resident = setup.daemon.resident_bytes();
        (streams.join(), resident)
    });
    let seen = seen.map_err(|_| eyre::eyre!("the generator panicked"))??;
    let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    report.note(THROUGH, "open_streams", load::merged(&seen).count() as f64);
    report.note(THROUGH, "open_streams_failed", failures(&arm, &seen));
    report.note(THROUGH, "resident_idle_mib", mib(idle));
    report.note(THROUGH, "resident_open_streams_mib", mib(resident?));
    Ok(())
}

fn one_each(arm: &Arm) -> eyre::Result<Vec<Seen<Notes>>> {
    let arrivals = Arrivals(vec![Duration::ZERO; OPEN_STREAMS]);
    let connect = || Connection::new(arm.addresses[0]);
    load::open_loop(
        &arrivals,
        OPEN_STREAMS,
        connect,
        |c, notes: &mut Notes, number| {
            ask(
                c,
                notes,
                arm,
                &format!("o-{number}"),
                Some(echo::SLOW_TOKENS),
            )
        },
    )
}
