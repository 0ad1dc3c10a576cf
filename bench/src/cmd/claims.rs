//! `claims`: what claims of work that runs only once cost the store and a daemon, and what
//! sessions cost.

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

/// Claims a second of one daemon.
const RATES: [f64; 4] = [1.0, 7.0, 70.0, 700.0];
/// As the daemon has it.
const GAP: Span = Span::from_millis(50);
const STORE_TIME: Span = Span::from_millis(5);
/// Time from a claim to its outcome's recording.
const WORK_TIME: Span = Span::from_millis(300);
const LENGTH: Span = Span::from_secs(120);
const ROUNDS: u64 = 200_000;
const BODY_BYTES: usize = 200;

/// Runs it.
pub fn run(options: &cli::Claims) -> eyre::Result<Report> {
    let mut report = Report::new("claims", options.seed);
    for rate in RATES {
        pace(&mut report, options.seed, rate)?;
    }
    processor_time(&mut report);
    sizes(&mut report);
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
        // A constant that is a name.
        daemon: "entry-athlone-17"
            .parse()
            .unwrap_or_else(|_| unreachable!()),
        incarnation: Incarnation(1_800_000_000_000),
        counter,
    }
}

/// One daemon with claims at random moments, each recorded once its work is done, against a
/// store that answers after a fixed time.
struct Daemon {
    batcher: Batcher,
    /// When each call came, and whether it records an outcome.
    calls: Vec<(Time, bool)>,
    reply: Option<(Time, usize)>,
    waits: Histogram<u64>,
    store_calls: u64,
}

impl Daemon {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            batcher: Batcher::new(GAP),
            calls: Vec::new(),
            reply: None,
            waits: Histogram::new(3)?,
            store_calls: 0,
        })
    }

    fn push(&mut self, at: Time, is_record: bool) -> eyre::Result<()> {
        let ticket = self.calls.len() as u64;
        self.batcher
            .push(Ticket(ticket), Claim::start(spec(ticket)).1)?;
        self.calls.push((at, is_record));
        Ok(())
    }

    /// When its next call is answered or may be made.
    fn next_event(&self) -> Option<Time> {
        let reply = self.reply.map(|(at, _)| at);
        reply.or_else(|| self.batcher.due_at())
    }

    fn advance(&mut self, now: Time) -> eyre::Result<()> {
        if let Some((_, parts)) = self.reply.take_if(|(at, _)| now.has_reached(*at)) {
            for (ticket, _) in self.batcher.on_outcome(answer(parts)) {
                let (came, is_record) = self.calls[ticket.0 as usize];
                if !is_record {
                    self.waits.record(now.since(came).as_micros())?;
                }
            }
        }
        let before = self.batcher.waiting();
        if self.batcher.next_call(now).is_some() {
            self.store_calls += 1;
            self.reply = Some((now + STORE_TIME, before - self.batcher.waiting()));
        }
        Ok(())
    }
}

fn arrivals(seed: u64, rate: f64) -> Vec<(Time, bool)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while at < LENGTH.as_secs_f64() {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let claim = Time::ZERO + Span::from_secs_f64(at);
        arrivals.extend([(claim, false), (claim + WORK_TIME, true)]);
    }
    arrivals.sort();
    arrivals
}

fn pace(report: &mut Report, seed: u64, rate: f64) -> eyre::Result<()> {
    let mut daemon = Daemon::new()?;
    for (at, is_record) in arrivals(seed, rate) {
        while let Some(event) = daemon.next_event().filter(|event| *event <= at) {
            daemon.advance(event)?;
        }
        daemon.push(at, is_record)?;
        daemon.advance(at)?;
    }
    let per_second = daemon.store_calls as f64 / LENGTH.as_secs_f64();
    let wait = |quantile| daemon.waits.value_at_quantile(quantile) as f64 / 1e3;
    let arm = format!("one daemon, {rate} claims/s");
    report.note(&arm, "store_calls_per_s", per_second);
    report.note(&arm, "claim_wait_p50_ms", wait(0.5));
    report.note(&arm, "claim_wait_p99_ms", wait(0.99));
    Ok(())
}

fn answer(parts: usize) -> Outcome {
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

fn processor_time(report: &mut Report) {
    let began = Instant::now();
    let mut mine = 0;
    for n in 0..ROUNDS {
        let (mut claim, _) = Claim::start(spec(n));
        let outcome = Ok(Answer {
            revision: ModRevision(1),
            reply: Reply::Txn(TxnReply {
                succeeded: true,
                replies: vec![keyvalue::OpReply::Put],
            }),
        });
        mine += u64::from(matches!(
            claim.on_outcome(outcome, Time::ZERO),
            ClaimStep::Acquired(_)
        ));
    }
    report.violations += ROUNDS - mine;
    let micros = began.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
    report.note("decision", "us_per_claim", micros);
}

fn sizes(report: &mut Report) {
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
