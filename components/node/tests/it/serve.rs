//! Requests from end to end: answers, streams, retries, refusals and cancellation.

use std::io::Write;
use std::net::TcpStream;

use standins::engine::EngineFault;
use standins::hosts::HostState;
use standins::platform::PlatformConfig;
use types::prelude::*;

use super::harness::{Harness, chat_body, chat_body_about, events, json_of, text_of, wait_until};

#[test]
fn can_answer_whole() {
    let harness = Harness::start(&PlatformConfig::default());
    let (status, headers, reader) = harness.chat(&chat_body("answers", false, 5)).split();
    assert_eq!(status.as_u16(), 200);
    assert_eq!(headers["x-served-by"], "small@v1");
    let body = json_of(reader);
    assert_eq!(body["usage"]["completion_tokens"], 5);
    assert_eq!(
        body["id"],
        format!("chatcmpl-{}", headers["x-request-id"].to_str().unwrap())
    );
}

#[test]
fn can_stream_to_the_end_marker() {
    let harness = Harness::start(&PlatformConfig::default());
    let (_, _, reader) = harness.chat(&chat_body("answers", true, 5)).split();
    let events = events(reader);
    assert_eq!(events.last().unwrap(), "[DONE]");
    let last: serde_json::Value = serde_json::from_str(&events[events.len() - 2]).unwrap();
    assert_eq!(last["usage"]["completion_tokens"], 5);
    assert_eq!(last["buckthorncross"]["served_by"], "small@v1");
}

#[test]
fn can_resume_a_broken_stream_with_the_same_text() {
    // The engine's host dies after three tokens of a stream. The answer must go on from another
    // engine, with the text that the caller would have had otherwise.
    let harness = Harness::start(&PlatformConfig::default());
    let (_, _, reader) = harness.chat(&chat_body("answers", true, 12)).split();
    let expected = text_of(&events(reader));
    for engine in harness.platform.engines.values() {
        engine.fail_next(EngineFault::Break(3));
    }
    let (_, _, reader) = harness.chat(&chat_body("answers", true, 12)).split();
    let events = events(reader);
    assert_eq!(text_of(&events), expected);
    assert_eq!(events.last().unwrap(), "[DONE]");
}

#[test]
fn errors_for_a_withdrawn_version() {
    let harness = Harness::start(&PlatformConfig::default());
    let (status, _, reader) = harness.chat(&chat_body("small@v2", false, 5)).split();
    assert_eq!(status.as_u16(), 404);
    assert_eq!(json_of(reader)["error"]["run"], "no");
    let runs: u64 = harness
        .platform
        .engines
        .values()
        .map(|e| e.counters().runs)
        .sum();
    assert_eq!(runs, 0);
}

#[test]
fn errors_for_a_customer_without_permission() {
    let harness = Harness::start(&PlatformConfig::default());
    let builder = harness
        .post(0, "/v1/chat/completions")
        .bearer_auth("other-key");
    let answer = builder
        .json(&chat_body("answers", false, 5))
        .unwrap()
        .send()
        .unwrap();
    assert_eq!(answer.status().as_u16(), 403);
}

#[test]
fn can_retry_where_an_engine_refused_before_beginning() {
    let harness = Harness::start(&PlatformConfig::default());
    for engine in harness.platform.engines.values() {
        engine.fail_next(EngineFault::RefuseNotRun);
    }
    let mut statuses = (0..3).map(|_| {
        harness
            .chat(&chat_body("answers", false, 5))
            .status()
            .as_u16()
    });
    assert!(statuses.all(|status| status == 200 || status == 503));
}

#[test]
fn errors_truthfully_when_an_engine_reset_after_the_work_was_sent() {
    // Both engines run the work and close without an answer, so "not run" would be false.
    let harness = Harness::start(&PlatformConfig::default());
    for engine in harness.platform.engines.values() {
        for _ in 0..8 {
            engine.fail_next(EngineFault::ResetAfter);
        }
    }
    let (status, headers, _) = harness.chat(&chat_body("answers", false, 5)).split();
    assert_eq!(status.as_u16(), 502);
    assert_ne!(headers["x-run"], "no");
}

// A version is withdrawn, or a customer loses it, while a request is at an engine whose host then
// dies. A retry that uses the catalogue from the request's arrival would start the request again on
// that version.
#[test]
fn errors_of_engines_do_not_bring_a_lost_version_back() {
    for edit in [Harness::withdraw_v1, Harness::revoke_offer] {
        check_no_attempt_after_edit(edit);
    }
}

fn check_no_attempt_after_edit(edit: fn(&Harness)) {
    let harness = Harness::start(&PlatformConfig::default());
    let engines = || harness.platform.engines.values();
    let requests = || engines().map(|engine| engine.counters().requests);
    for engine in engines() {
        engine.set_faults(|faults| faults.delay = Span::from_secs(60));
    }
    let status = std::thread::scope(|scope| {
        let caller = scope.spawn(|| {
            harness
                .chat(&chat_body("answers", false, 5))
                .status()
                .as_u16()
        });
        wait_until(|| requests().sum::<u64>() == 1);
        edit(&harness);
        for engine in engines() {
            engine.set_faults(|faults| faults.delay = Span::ZERO);
            let is_busy = engine.counters().requests == 1;
            engine.set_faults(|faults| faults.down = is_busy);
        }
        caller.join().unwrap()
    });
    assert_eq!(status, 503);
    assert_eq!(requests().sum::<u64>(), 1);
}

// The platform lists an engine's host as leaving. If the list is not read, or read only once, the
// engine still gets new requests, which are lost with it.
#[test]
fn can_leave_out_an_upstream_that_the_list_has_as_leaving() {
    let harness = Harness::start(&PlatformConfig::default());
    let leaving = &harness.platform.engines[&"e1".parse().unwrap()];
    let hosts = &harness.platform.hosts;
    // Prompts differ so that cache affinity doesn't send all to one upstream.
    let mut asked = 0;
    let mut send_twenty = || {
        let before = leaving.counters().requests;
        for _ in 0..20 {
            asked += 1;
            let body = chat_body_about(asked, "answers", false, 5);
            let (status, _, reader) = harness.chat(&body).split();
            assert_eq!(status.as_u16(), 200, "{}", json_of(reader));
        }
        leaving.counters().requests - before
    };
    hosts.set(leaving.address(), HostState::Leaving);
    wait_until(|| send_twenty() == 0);
    assert_eq!(send_twenty() + send_twenty(), 0);
}

#[test]
fn can_cancel_work_of_a_caller_that_leaves_before_its_answer() {
    // A caller leaves while an engine still makes its whole answer. Nothing was written to the
    // caller yet, so only its connection shows that it left; unnoticed, the engine's slot stays
    // taken until the answer is made.
    let harness = Harness::start(&PlatformConfig::default());
    for engine in harness.platform.engines.values() {
        engine.fail_next(EngineFault::Late(Span::from_secs(600)));
    }
    let body = chat_body("answers", false, 5).to_string();
    let mut caller = TcpStream::connect(harness.nodes[0].callers_address()).unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ward-key\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all(head.as_bytes()).unwrap();
    caller.write_all(body.as_bytes()).unwrap();
    let engines = || harness.platform.engines.values();
    wait_until(|| engines().any(|engine| engine.counters().requests > 0));
    drop(caller);
    wait_until(|| engines().any(|engine| engine.counters().cancelled > 0));
}
