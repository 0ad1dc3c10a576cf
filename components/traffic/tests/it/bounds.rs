//! Limits on what callers may send, and the replies to requests that cannot be served.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use routes::Retry;
use types::prelude::*;

use crate::harness::*;

/// Starts an event loop with one upstream, and returns the count of requests that reach it.
fn start_counting() -> (TestLoop, Arc<AtomicUsize>) {
    let runs = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&runs);
    let address = upstream(move |served| {
        while let Some(request) = served.request() {
            count.fetch_add(1, Ordering::SeqCst);
            served.write(&answer(id_of(&request), "world"));
        }
    });
    (serving(Retry::Any, &[address]), runs)
}

/// Starts an upstream that answers each request.
fn answering() -> SocketAddr {
    upstream(|served| {
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "ok"));
        }
    })
}

#[test]
fn rejects_smuggled_requests() {
    // A caller hides a second request behind length headers that two parsers read differently
    // (request smuggling).
    let lengths = [
        "Content-Length: 6\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 6",
        "Content-Length: 6\r\nContent-Length: 60",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding : chunked",
    ];
    let (running, runs) = start_counting();
    for length in lengths {
        let mut caller = running.caller();
        let hidden = post("hidden", "x");
        caller.send(&format!(
            "POST /a/b HTTP/1.1\r\nHost: host\r\nid: r\r\nkey: secret\r\n{length}\r\n\r\n\
             0\r\n\r\n{hidden}"
        ));
        let text = caller.read_to_end();
        assert_eq!(status_of(&text), 400, "{length}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    }
    assert_eq!(runs.load(Ordering::SeqCst), 0);
}

#[test]
fn rejects_unknown_and_oversized_requests() {
    let (running, runs) = start_counting();
    let status = |text: &str| {
        let mut caller = running.caller();
        caller.send(text);
        status_of(&caller.answer())
    };
    let proper = post("r", "x");
    assert_eq!(status(&proper.replace("/a/b", "/other/")), 404);
    assert_eq!(status(&proper.replace("Host: host", "Host: other")), 404);
    assert_eq!(status(&proper.replace("key: secret", "key: wrong")), 401);
    assert_eq!(status(&proper.replace("key: secret\r\n", "")), 401);
    assert_eq!(status(&proper.replace("id: r\r\n", "")), 400);
    let large = proper.replace("Content-Length: 1", "Content-Length: 10001");
    assert_eq!(status(&large), 413);
    let long = proper.replace("id: r", &format!("id: r\r\nlong: {}", "x".repeat(5_000)));
    assert_eq!(status(&long), 431);
    assert_eq!(runs.load(Ordering::SeqCst), 0);
    assert_eq!(status(&proper), 200);
    assert_eq!(status(&proper.replace("/a/b", "/a/b?q=1")), 200);
}

#[test]
fn times_out_an_incomplete_head() {
    // A caller that sends a byte a minute would hold its connection for hours.
    let (running, _) = start_counting();
    let mut caller = running.caller();
    caller.send("POST /a/b HT");
    assert_eq!(status_of(&caller.read_to_end()), 408);
}

#[test]
fn forwards_a_chunked_body_whole() {
    let address = upstream(|served| {
        while let Some(request) = served.request() {
            assert_eq!(field(&request, "Content-Length"), Some("10"));
            assert!(request.ends_with("\r\n\r\nhelloworld"), "{request}");
            served.write(&answer(id_of(&request), "ok"));
        }
    });
    let running = serving(Retry::Any, &[address]);
    let mut caller = running.caller();
    let head = post("r", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    caller.send(&(head + "5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n"));
    assert_eq!(status_of(&caller.answer()), 200);
}

#[test]
fn answers_pipelined_requests_in_order() {
    let (running, _) = start_counting();
    let mut caller = running.caller();
    caller.send(&(post("r1", "x") + &post("r2", "y")));
    assert_eq!(field(&caller.answer(), "id"), Some("r1"));
    assert_eq!(field(&caller.answer(), "id"), Some("r2"));
}

#[test]
fn a_stale_configuration_refuses_unknown_routes_and_keys_as_retryable() {
    // A new route is in force everywhere except at one daemon, which has been cut off from the
    // store for seconds and cannot know which changes it lacks. A 404 would be final for its
    // callers.
    let (running, _) = start_counting();
    let answer = |text: &str| {
        let mut caller = running.caller();
        caller.send(text);
        caller.answer()
    };
    let proper = post("r", "x");
    let added = proper.replace("/a/b", "/added/");
    let new_key = proper.replace("key: secret", "key: new");
    let wait_for_status = |status: u16| {
        let has_status = |_| {
            std::thread::sleep(Duration::from_millis(5));
            status_of(&answer(&added)) == status
        };
        assert!((0..500).any(has_status), "{status} never came");
    };
    // Last validated longer ago than a change may take, or never.
    for validated_at in [Some(Time::ZERO), None] {
        running.validate_current(validated_at);
        if validated_at.is_some() {
            std::thread::sleep(Duration::from_millis(2_100));
        }
        wait_for_status(503);
        let text = answer(&new_key);
        assert_eq!(status_of(&text), 503);
        assert!(field(&text, "Retry-After").is_some());
        assert_eq!(status_of(&answer(&proper)), 200);
    }
    running.validate_current(Some(Time::NEVER));
    wait_for_status(404);
    assert_eq!(status_of(&answer(&new_key)), 401);
    // The validation is for another version than the one in use.
    running.prove_newer();
    wait_for_status(503);
    assert_eq!(status_of(&answer(&new_key)), 503);
}

#[test]
fn refuses_and_is_not_ready_without_a_configuration() {
    // A daemon that just started while the store is down knows no keys or routes. After a 401 or
    // 404 callers would not retry.
    let running = start();
    assert_eq!(running.readiness(), 503);
    let text = running.caller().ask("r1");
    assert_eq!(status_of(&text), 503);
    assert!(field(&text, "Retry-After").is_some());
}

#[test]
fn a_request_waits_briefly_for_the_first_configuration() {
    // The first callers of a restarted daemon arrive milliseconds before its first configuration,
    // and have few attempts left.
    let running = start();
    let address = answering();
    let mut caller = running.caller();
    caller.send(&post("r1", "x"));
    std::thread::sleep(Duration::from_millis(20));
    running.send_plan(Retry::Any, &[address], Vec::new());
    assert_eq!(status_of(&caller.answer()), 200);
}

#[test]
fn a_long_timeout_waits_longer_for_the_first_configuration() {
    // All hosts of a large fleet start at once, and each has its configuration within a second.
    // Refused after 0.3 s, a caller would need another attempt, and many have used theirs for the
    // connection that the power cut broke.
    let running = start();
    let address = answering();
    let mut patient = running.caller();
    patient.send(&post("r1", "x"));
    let mut hasty = running.caller();
    hasty.send(&post("r2", "x").replace("wait: 9000", "wait: 1500"));
    assert_eq!(status_of(&hasty.answer()), 503);
    running.send_plan(Retry::Any, &[address], Vec::new());
    assert_eq!(status_of(&patient.answer()), 200);
}

// A fleet that was killed while its store was silent refused callers that had no attempt left.
#[test]
fn callers_of_a_started_daemon_wait_out_a_short_silence_of_the_store() {
    let running = start();
    let address = answering();
    let with_timeout = |id: &str, ms: u64| post(id, "x").replace("9000", &ms.to_string());
    let mut patient = running.caller();
    patient.send(&with_timeout("r1", 18_000));
    // This one is refused after a sixth of its time, 1.5 s.
    let mut hasty = running.caller();
    hasty.send(&with_timeout("r2", 9_000));
    assert_eq!(status_of(&hasty.answer()), 503);
    running.send_plan(Retry::Any, &[address], Vec::new());
    assert_eq!(status_of(&patient.answer()), 200);
}

#[test]
fn retry_after_without_a_configuration_fits_the_callers_timeout() {
    // A fleet starts while its store is unreachable. A caller gives up if its pause is longer than
    // its timeout; if the pause is too short, it is refused twice and has no attempt left.
    let running = start();
    let retry_after = |wait: u64| {
        let text = post("r", "x").replace("wait: 9000", &format!("wait: {wait}"));
        let mut caller = running.caller();
        caller.send(&text);
        let answer = caller.answer();
        assert_eq!(status_of(&answer), 503);
        let said = field(&answer, "Retry-After").expect("told when");
        said.parse::<f64>().expect("seconds")
    };
    assert!(
        (0.5..=3.0).contains(&retry_after(9_000)),
        "a third of 9 s at most"
    );
    let short = retry_after(1_500);
    assert!(
        (0.25..=0.5).contains(&short),
        "a third of 1.5 s at most: {short}"
    );
}

/// Connections kept by a large fleet use up what an upstream accepts, and requests are reset.
#[test]
fn keeps_no_connection_beyond_its_share_of_the_upstreams_limit() {
    let open = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&open);
    let address = upstream(move |served| {
        count.fetch_add(1, Ordering::SeqCst);
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "world"));
        }
        count.fetch_sub(1, Ordering::SeqCst);
    });
    let running = start();
    let upstreams = vec![listed_upstream("u1", address)];
    let mut plan = plan(Retry::Never, upstreams);
    // The service's upstreams accept 10 connections.
    plan.sharing_daemons = 20;
    running.apply_plan(plan);
    running.validate_current(Some(Time::NEVER));
    let mut caller = running.caller();
    for n in 0..6 {
        assert!(caller.ask(&format!("r{n}")).ends_with("world"));
    }
    wait_until("all connections are closed", || {
        open.load(Ordering::SeqCst) == 0
    });
}
