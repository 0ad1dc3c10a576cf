//! Work that runs only once, over real sockets.

use std::time::Duration;

use requests::claim::{ClaimRecord, Nonce, State};
use serde_json::Value;
use standins::engine::{EngineConfig, EngineFault};
use standins::plain::PlainFault;
use standins::platform::PlatformConfig;
use types::prelude::*;

use super::harness::{Harness, ask, events, json_of, wait_until};

/// What a caller saw of one booking.
#[derive(Debug)]
struct Seen {
    status: u16,
    run: Option<String>,
    replayed: bool,
    body: Value,
}

fn book(harness: &Harness, daemon: usize, id: &str) -> Seen {
    let builder = harness.post(daemon, "/services/desk/bookings");
    let builder = builder.header("Idempotency-Key", id);
    let answer = builder.text(format!("{id} at nine")).send().unwrap();
    let (status, headers, reader) = answer.split();
    let text = |name: &str| Some(headers.get(name)?.to_str().unwrap().to_owned());
    Seen {
        status: status.as_u16(),
        run: text("x-run"),
        replayed: text("x-replayed").is_some(),
        body: json_of(reader),
    }
}

/// Daemons that hold a lease for claims.
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

/// Recording is done behind the answer: waits until a repeat is answered from the record.
fn wait_recorded(harness: &Harness, daemon: usize, id: &str) -> Seen {
    let mut seen = None;
    wait_until(|| {
        let one = book(harness, daemon, id);
        let is_told = one.status == 200;
        assert!(is_told || one.run.as_deref() == Some("unknown"), "{one:?}");
        seen = is_told.then_some(one);
        is_told
    });
    seen.unwrap()
}

// Two teachers stand before one class. The caller got its answer late and repeated the booking
// through another daemon, which ran it again. Cause: no claim, or one of a daemon only.
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

// A booking is made and its answer lost: the desk resets the connection. The caller is told
// "not run" or the daemon tries the other desk, and the booking is made twice. Cause: a reset
// after the request was written taken for one before.
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

// A desk that refuses before it begins is no reason to give up: the other one books, once.
#[test]
fn can_book_elsewhere_after_a_refusal_before_the_work() {
    let harness = start(1);
    for desk in harness.platform.plain.values() {
        desk.fail_next(PlainFault::Refuse(true));
    }
    wait_until(|| book(&harness, 0, "b1").status == 200);
    assert_eq!(effects(&harness, "b1"), 1);
}

// A booking is doubled after a daemon crashed between its claim and its attempt's answer, or
// is made although the caller was told that it was not. Cause: a claim without an outcome
// taken for a free one.
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

// With the store down nothing is booked, and the caller is told so truthfully; when it is back
// the same booking goes through. A lost reply of the store is no reason to refuse.
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

// A placement brief that may be written once is written twice: its stream broke and was
// resumed on another engine. Cause: resumption without a look at idempotence.
#[test]
fn errors_of_streams_that_run_once_are_not_resumed() {
    let harness = start(1);
    let chat = || {
        let builder = harness.post(0, "/v1/chat/completions");
        let builder = builder
            .header("X-Non-Idempotent", "true")
            .header("Idempotency-Key", "c1");
        builder
            .json(&ask("answers", true, 8))
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

// A principal's connection breaks while a brief that may be written once is under way, and the
// daemon that writes it is replaced at that moment. The repeat is told "outcome unknown" and
// nobody has the brief. Cause: the work was cancelled with its caller, or cut at the shutdown.
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
            .json(&ask("answers", true, 40))
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

// A booking was made and answered, and its daemon replaced in a store outage. The principal's
// app repeats it, is told "outcome unknown", and somebody books a second teacher by hand.
// Cause: the leaving daemon took the outcome with it.
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
