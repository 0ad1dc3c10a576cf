//! `claims`: cost of claims for work that must run only once, to the store and to a daemon, and
//! cost of sessions.

mod sessions;

use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use keyvalue::{Answer, LeaseId, ModRevision, Outcome, Reply, TxnReply};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use requests::claim::{
    Batcher, Claim, ClaimLease, ClaimRecord, ClaimSpec, ClaimStep, Nonce, RecordedAnswer, State,
    Ticket,
};
use types::prelude::*;

use crate::cli;
use crate::report::Report;

/// Claims per second of one daemon.
const RATES: [f64; 4] = [1.0, 7.0, 70.0, 700.0];
/// Same interval between batches of claims as in the daemon.
const BATCH_INTERVAL: Span = Span::from_millis(50);
const STORE_LATENCY: Span = Span::from_millis(5);
/// Time from a claim until its outcome is recorded.
const WORK_DURATION: Span = Span::from_millis(300);
const LOAD_DURATION: Span = Span::from_secs(120);
const ROUNDS: u64 = 200_000;
const BODY_BYTES: usize = 200;

/// Runs the experiment.
pub fn run(options: &cli::Claims) -> eyre::Result<Report> {
    let mut report = Report::new("claims", options.seed);
    for rate in RATES {
        measure_rate(&mut report, options.seed, rate)?;
    }
    measure_processor_time(&mut report);
    measure_sizes(&mut report);
    sessions::run(&mut report)?;
    Ok(report)
}

fn spec(n: u64) -> ClaimSpec {
    ClaimSpec {
        key: format!("/buckthorncross/main/claims/clasach-centre/booking-{n:032x}"),
        nonce: nonce(n),
        fingerprint: n,
        lease: ClaimLease {
            id: LeaseId(7),
            use_until: Time::NEVER,
        },
        deadline: Time::NEVER,
    }
}

fn nonce(counter: u64) -> Nonce {
    Nonce {
        // A constant that is a valid name.
        daemon: "entry-athlone-17"
            .parse()
            .unwrap_or_else(|_| unreachable!()),
        incarnation: Incarnation(1_800_000_000_000),
        counter,
    }
}

/// A daemon with claims at random times, each of which is recorded once its work is done. The store
/// answers after a constant time.
struct Daemon {
    batcher: Batcher,
    /// Arrival time of each call, and whether it records an outcome.
    calls: Vec<(Time, bool)>,
    reply: Option<(Time, usize)>,
    waits: Histogram<u64>,
    store_calls: u64,
}

impl Daemon {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            batcher: Batcher::new(BATCH_INTERVAL),
            calls: Vec::new(),
            reply: None,
            waits: Histogram::new(3)?,
            store_calls: 0,
        })
    }

    fn push(&mut self, at_s: Time, is_record: bool) -> eyre::Result<()> {
        let ticket = self.calls.len() as u64;
        self.batcher
            .push(Ticket(ticket), Claim::start(spec(ticket)).1)?;
        self.calls.push((at_s, is_record));
        Ok(())
    }

    /// Time at which the current call is answered or, if there is none, at which the next may be
    /// made.
    fn next_event(&self) -> Option<Time> {
        let reply = self.reply.map(|(at_s, _)| at_s);
        reply.or_else(|| self.batcher.due_at())
    }

    fn advance(&mut self, now: Time) -> eyre::Result<()> {
        if let Some((_, parts)) = self.reply.take_if(|(at_s, _)| now.has_reached(*at_s)) {
            for (ticket, _) in self.batcher.on_outcome(store_outcome(parts)) {
                let (arrived, is_record) = self.calls[ticket.0 as usize];
                if !is_record {
                    self.waits.record(now.since(arrived).as_micros())?;
                }
            }
        }
        let waiting_before = self.batcher.waiting();
        if self.batcher.next_call(now).is_some() {
            self.store_calls += 1;
            self.reply = Some((now + STORE_LATENCY, waiting_before - self.batcher.waiting()));
        }
        Ok(())
    }
}

fn arrivals(seed: u64, rate: f64) -> Vec<(Time, bool)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    while at_s < LOAD_DURATION.as_secs_f64() {
        at_s += -(1.0 - rng.random::<f64>()).ln() / rate;
        let claim = Time::ZERO + Span::from_secs_f64(at_s);
        arrivals.extend([(claim, false), (claim + WORK_DURATION, true)]);
    }
    arrivals.sort();
    arrivals
}

fn measure_rate(report: &mut Report, seed: u64, rate: f64) -> eyre::Result<()> {
    let mut daemon = Daemon::new()?;
    for (at, is_record) in arrivals(seed, rate) {
        while let Some(event) = daemon.next_event().filter(|event| *event <= at) {
            daemon.advance(event)?;
        }
        daemon.push(at, is_record)?;
        daemon.advance(at)?;
    }
    let per_second = daemon.store_calls as f64 / LOAD_DURATION.as_secs_f64();
    let wait = |quantile| daemon.waits.value_at_quantile(quantile) as f64 / 1e3;
    let arm = format!("one daemon, {rate} claims/s");
    report.note(&arm, "store_calls_per_s", per_second);
    report.note(&arm, "claim_wait_p50_ms", wait(0.5));
    report.note(&arm, "claim_wait_p99_ms", wait(0.99));
    Ok(())
}

fn store_outcome(parts: usize) -> Outcome {
    let part = keyvalue::OpReply::Txn(TxnReply {
        succeeded: true,
        replies: vec![keyvalue::OpReply::Put],
    });
    Ok(Answer {
        revision: ModRevision(1),
        reply: Reply::Txn(TxnReply {
            succeeded: true,
            replies: vec![part; parts],
        }),
    })
}

fn measure_processor_time(report: &mut Report) {
    let started_at = Instant::now();
    let mut won = 0;
    for n in 0..ROUNDS {
        let (mut claim, _) = Claim::start(spec(n));
        let outcome = Ok(Answer {
            revision: ModRevision(1),
            reply: Reply::Txn(TxnReply {
                succeeded: true,
                replies: vec![keyvalue::OpReply::Put],
            }),
        });
        won += u64::from(matches!(
            claim.on_outcome(outcome, Time::ZERO),
            ClaimStep::Acquired(_)
        ));
    }
    report.violations += ROUNDS - won;
    let micros = started_at.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
    report.note("decision", "us_per_claim", micros);
}

fn measure_sizes(report: &mut Report) {
    let record = |state| ClaimRecord {
        nonce: nonce(1),
        fingerprint: u64::MAX / 3,
        state,
    };
    let headers = vec![("content-type".to_owned(), "application/json".to_owned())];
    let body = Bytes::from(vec![b'a'; BODY_BYTES]);
    let done = State::Done(RecordedAnswer::new(200, headers, body));
    let key = spec(1).key.len();
    let sizes = [
        ("open_bytes", State::Open),
        ("recorded_bytes_with_200_of_body", done),
    ];
    for (name, state) in sizes {
        let bytes = record(state).encode().len() + key;
        report.note("key and value", name, bytes as f64);
    }
}
