//! Shutdown.

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use routes::Retry;
use traffic::{Command, Plan};
use types::prelude::*;

use crate::harness::*;

fn slow_upstream() -> std::net::SocketAddr {
    upstream(|served| {
        while let Some(request) = served.request() {
            std::thread::sleep(Duration::from_millis(500));
            served.write(&answer(id_of(&request), "world"));
        }
    })
}

#[test]
fn a_stopping_daemon_finishes_requests_and_reports_not_ready() {
    // A daemon gets the stop command while it serves. A request it has read must not end without an
    // answer, and load balancers must stop sending new ones.
    let running = serving(Retry::Never, &[slow_upstream()]);
    let mut busy = running.caller();
    let mut idle = running.caller();
    assert_eq!(status_of(&idle.ask("r0")), 200);
    busy.send(&post("r1", "x"));
    std::thread::sleep(Duration::from_millis(100));
    running
        .handle
        .commands
        .send(Command::Stop)
        .expect("it runs");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(running.readiness(), 503);
    let text = busy.answer();
    assert!(text.ends_with("world"), "{text}");
    assert_eq!(field(&text, "Connection"), Some("close"));
    assert_eq!(
        status_of(&running.caller().ask("r2")),
        200,
        "not noticed yet"
    );
    assert_eq!(idle.stream.read(&mut [0; 16]).expect("closed"), 0);
    let stopped = running.handle.stopped.recv_timeout(Duration::from_secs(20));
    assert_eq!(stopped, Err(flume::RecvTimeoutError::Disconnected));
    assert!(std::net::TcpStream::connect(running.callers).is_err());
}

/// A request whose body ended long after the stop command was sent to an upstream, and cut there.
#[test]
fn a_request_whose_body_ends_after_the_daemon_closed_is_refused() {
    let (address, requests) = counting_upstream();
    let running = serving(Retry::Never, &[address]);
    let mut caller = running.caller();
    let (begin, end) = split_in_body(&post("r1", "hello"));
    caller.send(&begin);
    wait_until("read", || running.state_number("requests") == 1);
    running
        .handle
        .commands
        .send(Command::Stop)
        .expect("it runs");
    wait_until("closing", || running.get("/state").contains("Closing"));
    caller.send(&end);
    let text = caller.answer();
    assert_eq!(status_of(&text), 503, "{text}");
    assert!(field(&text, "Retry-After").is_some(), "{text}");
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}

/// A request whose key was revoked while its body arrived was run.
#[test]
fn a_request_is_routed_by_the_configuration_at_the_end_of_its_body() {
    let (address, requests) = counting_upstream();
    let retry = Retry::Stream { resumable: true };
    let running = serving(retry, &[address]);
    let mut caller = running.caller();
    let (begin, end) = split_in_body(&post("r1", "hello"));
    caller.send(&begin);
    wait_until("read", || running.state_number("requests") == 1);
    running.apply_plan(Plan {
        table: Some(Arc::new(table_without_customers(2))),
        ..plan(retry, vec![listed_upstream("u0", address)])
    });
    running.validate_current(Some(Time::NEVER));
    caller.send(&end);
    let text = caller.answer();
    assert_eq!(status_of(&text), 401, "{text}");
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}

/// Splits a request two bytes before its end.
fn split_in_body(request: &str) -> (String, String) {
    let (begin, end) = request.split_at(request.len() - 2);
    (begin.to_owned(), end.to_owned())
}
