//! Work that runs at most once, over real sockets.

use std::time::Duration;

use requests::claim::{ClaimRecord, Nonce, State};
use serde_json::Value;
use standins::engine::{EngineConfig, EngineFault};
use standins::plain::PlainFault;
use standins::platform::PlatformConfig;
use types::prelude::*;

use super::harness::{Harness, chat_body, events, json_of, wait_until};

/// A caller's view of one booking's response.
#[derive(Debug)]
struct Reply {
    status: u16,
    run: Option<String>,
    replayed: bool,
    body: Value,
}

fn book(harness: &Harness, daemon: usize, id: &str) -> Reply {
    let builder = harness.post(daemon, "/services/desk/bookings");
    let builder = builder.header("Idempotency-Key", id);
    let answer = builder.text(format!("{id} at nine")).send().unwrap();
    let (status, headers, reader) = answer.split();
    let text = |name: &str| Some(headers.get(name)?.to_str().unwrap().to_owned());
    Reply {
        status: status.as_u16(),
        run: text("x-run"),
        replayed: text("x-replayed").is_some(),
        body: json_of(reader),
    }
}

/// Starts daemons and waits until each holds a lease for claims.
fn start(daemons: usize) -> Harness {
    start_with(daemons, EngineConfig::default())
}

fn start_with(daemons: usize, engine: EngineConfig) -> Harness {
    let cfg = PlatformConfig {
        engine,
        ..PlatformConfig::default()
    };
    let harness = Harness::with_daemons(&cfg, daemons);
    for daemon in 0..daemons {
        wait_until(|| book(&harness, daemon, &format!("warm-up-{daemon}")).status == 200);
    }
    harness
}

fn effects(harness: &Harness, id: &str) -> u64 {
    let desks = harness.platform.plain.values();
    desks
        .filter_map(|desk| desk.effects().get(id).copied())
        .sum()
}

/// Books until the answer is replayed: it is recorded only after it was sent.
fn wait_recorded(harness: &Harness, daemon: usize, id: &str) -> Reply {
    let mut seen = None;
    wait_until(|| {
        let one = book(harness, daemon, id);
        let is_answered = one.status == 200;
        assert!(
            is_answered || one.run.as_deref() == Some("unknown"),
            "{one:?}"
        );
        seen = is_answered.then_some(one);
        is_answered
    });
    seen.unwrap()
}

// A caller that got its answer late retries the booking through another daemon, which runs it again
// if there is no claim, or one known to the first daemon only.
#[test]
fn can_book_once_through_two_daemons() {
    let harness = start(2);
    let first = book(&harness, 0, "b1");
    assert_eq!((first.status, first.replayed), (200, false));
    let second = wait_recorded(&harness, 1, "b1");
    assert!(second.replayed);
    assert_eq!(second.body, first.body);
    assert_eq!(effects(&harness, "b1"), 1);
}

// An upstream resets the connection after the request was written and the work was done. If the
// reset counted as one from before the request, the caller would get "not run", or the daemon would
// retry, and the booking would be made twice.
#[test]
fn errors_after_a_written_request_are_unknown_and_final() {
    let harness = start(2);
    for desk in harness.platform.plain.values() {
        desk.fail_next(PlainFault::ResetAfter);
    }
    for daemon in [0, 1, 0] {
        let seen = book(&harness, daemon, "b1");
        assert_eq!(seen.run.as_deref(), Some("unknown"), "{seen:?}");
    }
    assert_eq!(effects(&harness, "b1"), 1);
}

// A caller that gets one of these statuses sends its booking again, under another id.
#[test]
fn a_booking_that_ran_is_not_answered_as_not_run() {
    let harness = start(1);
    for status in [408, 421, 429, 503] {
        for desk in harness.platform.plain.values() {
            desk.fail_next(PlainFault::FailWith(status));
        }
        let id = format!("b{status}");
        let seen = book(&harness, 0, &id);
        assert_eq!(
            (seen.status, seen.run.as_deref()),
            (504, Some("unknown")),
            "{status}"
        );
        assert_eq!(effects(&harness, &id), 1, "{status}");
        for desk in harness.platform.plain.values() {
            desk.set_faults(|faults| faults.next.clear());
        }
    }
}

// A refusal from before the work started is safe to retry at another upstream, which books once.
#[test]
fn can_book_elsewhere_after_a_refusal_before_the_work() {
    let harness = start(1);
    for desk in harness.platform.plain.values() {
        desk.fail_next(PlainFault::Refuse(true));
    }
    wait_until(|| book(&harness, 0, "b1").status == 200);
    assert_eq!(effects(&harness, "b1"), 1);
}

// A daemon crashed between its claim and the answer of its attempt. If a claim without an outcome
// counted as free, the booking would be made again, or made after the caller got "not run".
#[test]
fn errors_of_a_crashed_daemon_leave_its_claim_in_force() {
    let harness = start(1);
    let nonce = Nonce {
        daemon: "entry-9".parse().unwrap(),
        incarnation: Incarnation(1),
        counter: 0,
    };
    let record = ClaimRecord {
        nonce,
        fingerprint: 0,
        state: State::Open,
    };
    harness.put("claims/ward/b1", &record.encode());
    let seen = book(&harness, 0, "b1");
    assert_ne!(seen.run.as_deref(), Some("no"), "{seen:?}");
    assert_eq!(effects(&harness, "b1"), 0);
}

// With the store down no claim can be made: the caller must get "not run", and the same booking
// must go through once the store is back. A lost reply of the store is no reason to refuse.
#[test]
fn can_book_after_a_store_outage_and_through_lost_replies() {
    let harness = start(1);
    harness
        .platform
        .store
        .set_faults(|faults| faults.down = true);
    let seen = book(&harness, 0, "b1");
    assert_eq!((seen.status, seen.run.as_deref()), (503, Some("no")));
    assert_eq!(effects(&harness, "b1"), 0);
    harness
        .platform
        .store
        .set_faults(|faults| faults.down = false);
    wait_until(|| book(&harness, 0, "b1").status == 200);
    harness
        .platform
        .store
        .set_faults(|faults| faults.lost_replies = 1);
    assert_eq!(book(&harness, 0, "b2").status, 200);
    assert_eq!(effects(&harness, "b1") + effects(&harness, "b2"), 2);
}

// A stream of work that may run only once breaks. Resumed on another engine, as idempotent work
// is, it would run twice.
#[test]
fn errors_of_streams_that_run_once_are_not_resumed() {
    let harness = start(1);
    let chat = || {
        let builder = harness.post(0, "/v1/chat/completions");
        let builder = builder
            .header("X-Non-Idempotent", "true")
            .header("Idempotency-Key", "c1");
        builder
            .json(&chat_body("answers", true, 8))
            .unwrap()
            .send()
            .unwrap()
    };
    for engine in harness.platform.engines.values() {
        engine.fail_next(EngineFault::Break(3));
    }
    let (_, _, reader) = chat().split();
    assert_ne!(events(reader).last().unwrap(), "[DONE]");
    let (status, headers, _) = chat().split();
    assert_eq!(
        (status.as_u16(), &headers["x-run"] == "unknown"),
        (504, true)
    );
    let engines = harness.platform.engines.values();
    let runs: u64 = engines.map(|engine| engine.counters().runs).sum();
    assert_eq!(runs, 1);
}

// A caller's connection breaks while work that may run only once is in flight, and the daemon is
// shut down. If the work were cancelled with its caller or cut by the shutdown, the caller's retry
// would get "outcome unknown" and nobody would have the result.
#[test]
fn can_finish_work_that_runs_once_after_its_caller_left() {
    let engine = EngineConfig {
        token_time: Span::from_millis(20),
        ..EngineConfig::default()
    };
    let mut harness = start_with(2, engine);
    let chat = |harness: &Harness, daemon| {
        let builder = harness.post(daemon, "/v1/chat/completions");
        let builder = builder
            .header("X-Non-Idempotent", "true")
            .header("Idempotency-Key", "c1");
        builder
            .json(&chat_body("answers", true, 40))
            .unwrap()
            .send()
            .unwrap()
    };
    drop(chat(&harness, 0));
    let cut = harness.nodes.remove(0).shutdown();
    assert_eq!(cut, 0);
    let (status, headers, reader) = chat(&harness, 0).split();
    assert_eq!(status.as_u16(), 200);
    assert!(headers.contains_key("x-replayed"));
    assert_eq!(events(reader).last().unwrap(), "[DONE]");
    let engines = harness.platform.engines.values();
    let runs: u64 = engines.map(|engine| engine.counters().runs).sum();
    assert_eq!(runs, 1);
}

// A booking was answered, and its daemon is shut down during a store outage. If the daemon stopped
// without recording the outcome, the caller's retry would get "outcome unknown".
#[test]
fn can_record_outcomes_that_wait_at_a_shutdown() {
    let mut harness = start(2);
    for desk in harness.platform.plain.values() {
        desk.set_faults(|faults| faults.delay = Span::from_millis(300));
    }
    let desks = || harness.platform.plain.values();
    let requests = || desks().map(|desk| desk.requests()).sum::<u64>();
    let before = requests();
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| book(&harness, 0, "b1"));
        wait_until(|| requests() > before);
        harness
            .platform
            .store
            .set_faults(|faults| faults.down = true);
        assert_eq!(caller.join().unwrap().status, 200);
    });
    let node = harness.nodes.remove(0);
    let leaving = std::thread::spawn(|| node.shutdown());
    std::thread::sleep(Duration::from_millis(500));
    harness
        .platform
        .store
        .set_faults(|faults| faults.down = false);
    leaving.join().unwrap();
    let seen = book(&harness, 0, "b1");
    assert_eq!((seen.status, seen.replayed), (200, true), "{seen:?}");
}
