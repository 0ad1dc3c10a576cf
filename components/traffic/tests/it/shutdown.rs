//! Shutdown.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use routes::Retry;
use traffic::{Command, Plan};
use types::prelude::*;

use crate::harness::*;

fn slow_upstream() -> SocketAddr {
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

/// An upstream that takes this long for each request, and counts them.
fn upstream_taking(span: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    let address = upstream(move |served| {
        while let Some(request) = served.request() {
            count.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(span);
            served.write(&answer(id_of(&request), "world"));
        }
    });
    (address, requests)
}

fn stop(running: &TestLoop) {
    let commands = &running.handle.commands;
    commands.send(Command::Stop).expect("it runs");
    wait_until("leaving", || running.readiness() == 503);
}

fn assert_is_refused(text: &str) {
    assert_eq!(status_of(text), 503, "{text}");
    assert!(field(text, "Retry-After").is_some(), "{text}");
}

/// A request that could not end within the grace period was sent to an upstream, and cut there.
#[test]
fn a_request_that_cannot_end_within_the_grace_period_is_refused() {
    for retry in [Retry::Never, Retry::Any] {
        let (address, requests) = upstream_taking(Duration::from_secs(6));
        let running = serving(retry, &[address]);
        let text = running.caller().ask("r1");
        assert!(text.ends_with("world"), "{text}");
        stop(&running);
        std::thread::sleep(Duration::from_millis(2_200));
        assert_is_refused(&running.caller().ask("r2"));
        assert_eq!(requests.load(Ordering::SeqCst), 1);
    }
}

/// A request whose body ended late in the grace period was sent to an upstream, and cut there.
#[test]
fn a_request_whose_body_ends_late_in_the_grace_period_is_refused() {
    let (address, requests) = upstream_taking(Duration::from_secs(6));
    let running = serving(Retry::Never, &[address]);
    let text = running.caller().ask("r1");
    assert!(text.ends_with("world"), "{text}");
    stop(&running);
    let mut caller = running.caller();
    let (begin, end) = split_in_body(&post("r2", "hello"));
    caller.send(&begin);
    std::thread::sleep(Duration::from_millis(2_200));
    caller.send(&end);
    assert_is_refused(&caller.answer());
    assert_eq!(requests.load(Ordering::SeqCst), 1);
}

/// A request that an upstream had refused late in the grace period was cut at another one.
#[test]
fn a_request_is_not_sent_again_late_in_the_grace_period() {
    let refusing = upstream(|served| {
        while let Some(request) = served.request() {
            std::thread::sleep(Duration::from_secs(4));
            let id = id_of(&request);
            served.write(&format!(
                "HTTP/1.1 503 No\r\nid: {id}\r\nContent-Length: 0\r\n\r\n"
            ));
        }
    });
    let running = serving(Retry::Never, &[refusing]);
    let mut caller = running.caller();
    caller.send(&post("r1", "hello"));
    wait_until("sent", || {
        running.metric("buckthorncross_attempts_total") == 1
    });
    stop(&running);
    let (address, requests) = upstream_taking(Duration::from_secs(6));
    running.send_plan(Retry::Never, &[refusing, address], Vec::new());
    assert_is_refused(&caller.answer());
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}

/// Load balancers go on sending for a while, and short requests would be refused for nothing.
#[test]
fn a_request_that_can_end_within_the_grace_period_is_served() {
    for retry in [Retry::Never, Retry::Any] {
        let (address, _) = upstream_taking(Duration::from_millis(300));
        let running = serving(retry, &[address]);
        assert_eq!(status_of(&running.caller().ask("r1")), 200);
        assert_eq!(running.state_number("timed_routes"), 1);
        stop(&running);
        for n in 0..2 {
            let text = running.caller().ask(&format!("late-{n}"));
            assert!(text.ends_with("world"), "{text}");
        }
    }
}

/// A caller whose own deadline ends before the grace period does gets its answer in any case.
#[test]
fn a_request_whose_deadline_ends_within_the_grace_period_is_served() {
    let (address, _) = upstream_taking(Duration::from_secs(4));
    let running = serving(Retry::Never, &[address]);
    stop(&running);
    let mut caller = running.caller();
    caller.send(&post("r1", "hello").replace("wait: 9000", "wait: 5000"));
    let text = caller.answer();
    assert!(text.ends_with("world"), "{text}");
}

/// Requests that were still in progress at the end of the grace period got no answer.
#[test]
fn a_request_in_progress_at_the_end_of_the_grace_period_gets_an_answer() {
    for retry in [
        Retry::Never,
        Retry::Any,
        Retry::Stream { resumable: true },
        Retry::Stream { resumable: false },
    ] {
        let (address, requests) = upstream_taking(TEST_TIMEOUT);
        let running = serving(retry, &[address]);
        let mut callers = (0..4).map(|_| running.caller()).collect::<Vec<_>>();
        for (n, caller) in callers.iter_mut().enumerate() {
            caller.send(&post(&format!("r{n}"), "hello"));
        }
        wait_until("sent", || requests.load(Ordering::SeqCst) == 4);
        stop(&running);
        for mut caller in callers {
            let text = caller.read_to_end();
            assert_eq!(status_of(&text), 502, "{retry:?}: {text}");
            assert_eq!(field(&text, "Connection"), Some("close"), "{text}");
        }
        let stopped = running.handle.stopped.recv_timeout(TEST_TIMEOUT);
        assert_eq!(stopped, Err(flume::RecvTimeoutError::Disconnected));
    }
}

/// Callers of a planned stop at a time.
const CROWD: usize = 40;
/// Requests that the upstreams of a planned stop run at a time.
const SLOTS: usize = 16;

/// An upstream with few slots, which takes this long for each request and notes whose it got.
fn crowded_upstream(span: Duration) -> (SocketAddr, Arc<Mutex<HashSet<String>>>) {
    let got = Arc::new(Mutex::new(HashSet::new()));
    let noted = Arc::clone(&got);
    let (free, slots) = flume::bounded(SLOTS);
    (0..SLOTS).for_each(|_| free.send(()).expect("room"));
    let address = upstream(move |served| {
        while let Some(request) = served.request() {
            let id = id_of(&request).to_owned();
            noted.lock().expect("sound").insert(id.clone());
            slots.recv().expect("a slot");
            std::thread::sleep(span);
            free.send(()).expect("room");
            served.write(&answer(&id, "world"));
        }
    });
    (address, got)
}

/// Sends requests on kept connections until no new connection is accepted, and returns those that were written whole and got no answer.
fn ask_until_closed(callers: SocketAddr, name: usize) -> Vec<String> {
    let mut unanswered = Vec::new();
    let mut caller: Option<Caller> = None;
    for n in 0.. {
        let id = format!("r{name}-{n}");
        let request = post(&id, "hello").replace("wait: 9000", "wait: 6500");
        let mut open = match caller.take() {
            Some(open) => open,
            None => match Caller::connect(callers) {
                Ok(open) => open,
                Err(_) => return unanswered,
            },
        };
        let (begin, end) = split_in_body(&request);
        let mut is_written = open.stream.write_all(begin.as_bytes()).is_ok();
        if name.is_multiple_of(2) {
            std::thread::sleep(Duration::from_millis(500));
        }
        is_written = is_written && open.stream.write_all(end.as_bytes()).is_ok();
        let text = open.answer();
        match status_of(&text) {
            0 if is_written => unanswered.push(id),
            503 => std::thread::sleep(Duration::from_millis(100)),
            _ if field(&text, "Connection") == Some("close") => {}
            0 => {}
            _ => caller = Some(open),
        }
    }
    unanswered
}

/// Requests that came late in the grace period were cut at upstreams, without an answer.
#[test]
fn no_request_ends_without_an_answer_in_a_planned_stop() {
    let spans = [1_200, 2_500, 3_800, 5_000].map(Duration::from_millis);
    let stops = spans.map(|span| {
        [Retry::Never, Retry::Any].map(|retry| {
            std::thread::spawn(move || {
                let (address, got) = crowded_upstream(span);
                let running = serving(retry, &[address]);
                let callers = running.callers;
                let asking = (0..CROWD)
                    .map(|n| std::thread::spawn(move || ask_until_closed(callers, n)))
                    .collect::<Vec<_>>();
                std::thread::sleep(span.mul_f64(2.2));
                stop(&running);
                let mut cut = Vec::new();
                for asking in asking {
                    cut.extend(asking.join().expect("done"));
                }
                cut.retain(|id| got.lock().expect("sound").contains(id));
                assert!(cut.is_empty(), "{retry:?} {span:?}: {cut:?}");
            })
        })
    });
    for stopped in stops.into_iter().flatten() {
        stopped.join().expect("no request was cut");
    }
}

/// Splits a request two bytes before its end.
fn split_in_body(request: &str) -> (String, String) {
    let (begin, end) = request.split_at(request.len() - 2);
    (begin.to_owned(), end.to_owned())
}
