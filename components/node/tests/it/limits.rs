//! Rate limits, the admission queue, preemption and the choice of upstream, over real sockets.

use std::sync::Mutex;
use std::thread;

use attohttpc::Response;
use catalogue::entry::Body;
use standins::engine::EngineConfig;
use standins::platform::PlatformConfig;
use types::prelude::*;

use super::harness::{Harness, chat_body, chat_body_about, events, json_of, wait_until};

/// Sends a chat with a prompt of its own, so that cache affinity doesn't send all to one upstream.
fn chat(harness: &Harness, number: usize, tokens: u32, priority: &str) -> Response {
    let body = chat_body_about(number, "answers", false, tokens);
    let builder = harness.post(0, "/v1/chat/completions");
    let builder = builder.header("X-Priority", priority);
    builder.json(&body).unwrap().send().unwrap()
}

fn runs(harness: &Harness) -> u64 {
    let engines = harness.platform.engines.values();
    engines.map(|engine| engine.counters().runs).sum()
}

// A program in a loop exceeds its customer's limit. Its refused requests must be reported as not
// run, with a Retry-After, or it retries work that it assumes has failed.
#[test]
fn errors_beyond_a_customers_limit_say_not_run_and_when_to_return() {
    let harness = Harness::start(&PlatformConfig::default());
    harness.edit("customers/ward", 1_000, |body| {
        let Body::Customer(customer) = body else {
            unreachable!("customers/ward is a customer");
        };
        customer.limits.requests = Some(Rate(0.01));
    });
    let mut answered = 0;
    let refused = loop {
        let answer = chat(&harness, answered, 5, "interactive");
        if answer.status().as_u16() != 200 {
            break answer;
        }
        answered += 1;
    };
    let (status, headers, reader) = refused.split();
    assert_eq!(status.as_u16(), 429);
    assert_eq!(headers["x-run"], "no");
    let seconds: u64 = headers["retry-after"].to_str().unwrap().parse().unwrap();
    assert!(seconds >= 1);
    assert_eq!(json_of(reader)["error"]["run"], "no");
    assert_eq!(runs(&harness), answered as u64);
}

// Batch work fills the engines and the queue before an interactive request comes. In a plain FIFO
// queue the interactive request would wait for the whole batch.
#[test]
fn can_answer_a_person_before_a_batch_that_waits() {
    let engine = EngineConfig {
        token_time: Span::from_millis(20),
        ..EngineConfig::default()
    };
    let config = PlatformConfig {
        engine,
        ..PlatformConfig::default()
    };
    let harness = Harness::with_slots(&config, 2);
    let waiting = || {
        harness.dump(0)["limits"]["fill"]["waiting"]
            .as_u64()
            .unwrap()
    };
    let order = Mutex::new(Vec::new());
    thread::scope(|scope| {
        let send = |number: usize, priority: &'static str| {
            let (harness, order) = (&harness, &order);
            scope.spawn(move || {
                let answer = chat(harness, number, 25, priority);
                assert_eq!(answer.status().as_u16(), 200);
                order.lock().unwrap().push(priority);
            });
        };
        (0..9).for_each(|number| send(number, "batch"));
        wait_until(|| waiting() >= 4);
        send(9, "interactive");
    });
    let order = order.into_inner().unwrap();
    let place = order.iter().position(|priority| *priority == "interactive");
    assert!(place.unwrap() <= 6, "{order:?}");
}

// Batch streams hold every slot for long when interactive requests come. Without preemption these
// would wait for the first stream to end; a preempted stream is resumed and loses nothing.
#[test]
fn can_give_a_batch_streams_slot_to_a_person() {
    let engine = EngineConfig {
        token_time: Span::from_millis(20),
        ..EngineConfig::default()
    };
    let config = PlatformConfig {
        engine,
        ..PlatformConfig::default()
    };
    let harness = Harness::with_slots(&config, 2);
    thread::scope(|scope| {
        let stream = |number: u32| {
            let harness = &harness;
            scope.spawn(move || {
                let mut body = chat_body("answers", true, 100);
                body["messages"][0]["content"] = format!("Revise notice {number}").into();
                let builder = harness.post(0, "/v1/chat/completions");
                let builder = builder.header("X-Priority", "batch").json(&body);
                let events = events(builder.unwrap().send().unwrap().split().2);
                assert_eq!(events.last().unwrap(), "[DONE]");
                let last: serde_json::Value =
                    serde_json::from_str(&events[events.len() - 2]).unwrap();
                last["buckthorncross"]["attempts"].as_u64().unwrap()
            })
        };
        let streams: Vec<_> = (0..3).map(stream).collect();
        wait_until(|| harness.dump(0)["limits"]["can_give_way"] == 3);
        let people = (10..16).map(|number| {
            let harness = &harness;
            scope.spawn(move || chat(harness, number, 25, "interactive").status().as_u16())
        });
        let people: Vec<_> = people.collect();
        for person in people {
            assert_eq!(person.join().unwrap(), 200);
        }
        let attempts = streams.into_iter().map(|stream| stream.join().unwrap());
        assert!(attempts.sum::<u64>() > 3, "no stream gave way");
    });
}

// An engine accepts connections and closes them. Until it is ejected, each request sent there costs
// its caller a retry.
#[test]
fn can_send_nothing_to_an_ejected_upstream() {
    let harness = Harness::start(&PlatformConfig::default());
    let broken = &harness.platform.engines[&"e1".parse().unwrap()];
    broken.set_faults(|faults| faults.down = true);
    let mut number = 0;
    let mut requests_of_ten = || {
        let before = broken.counters().requests;
        for _ in 0..10 {
            number += 1;
            assert_eq!(
                chat(&harness, number, 5, "interactive").status().as_u16(),
                200
            );
        }
        broken.counters().requests - before
    };
    wait_until(|| requests_of_ten() == 0);
    assert_eq!(requests_of_ten(), 0);
}
