//! Upstreams that advertise a rate limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use routes::Repeat;

use crate::harness::*;

/// An upstream that counts what it gets, and names a limit as long as it is told to.
struct Limited {
    address: SocketAddr,
    got: Arc<AtomicUsize>,
    names: Arc<AtomicBool>,
}

impl Limited {
    fn start(limit: &'static str) -> Self {
        let got = Arc::new(AtomicUsize::new(0));
        let names = Arc::new(AtomicBool::new(true));
        let (count, named) = (Arc::clone(&got), Arc::clone(&names));
        let address = upstream(move |served| {
            while let Some(request) = served.request() {
                count.fetch_add(1, Ordering::SeqCst);
                let text = answer(id_of(&request), "world");
                let field = format!("limit: {limit}\r\nContent-Length");
                served.write(&match named.load(Ordering::SeqCst) {
                    true => text.replace("Content-Length", &field),
                    false => text,
                });
            }
        });
        Self {
            address,
            got,
            names,
        }
    }

    fn got(&self) -> usize {
        self.got.load(Ordering::SeqCst)
    }
}

#[test]
fn an_upstream_gets_no_more_than_its_rate_limit() {
    let limited = Limited::start("1");
    let free = Limited::start("1");
    free.names.store(false, Ordering::SeqCst);
    let running = serving(Repeat::Any, &[limited.address, free.address]);
    let mut caller = running.caller();
    let began = Instant::now();
    for n in 0..80 {
        assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 200);
    }
    // One that told the limit, one of burst, and what came since.
    let allowed = 2.0 + began.elapsed().as_secs_f64();
    let got = limited.got();
    assert!(got as f64 <= allowed, "{got} requests, {allowed} allowed");
    assert_eq!(limited.got() + free.got(), 80);
}

#[test]
fn what_only_limited_upstreams_may_run_is_refused_at_once_with_a_time_to_return() {
    let limited = Limited::start("0.2");
    let running = serving(Repeat::Any, &[limited.address]);
    let mut caller = running.caller();
    assert_eq!(status_of(&caller.ask("first")), 200);
    let refused = caller.ask("second");
    assert_eq!(status_of(&refused), 503, "{refused}");
    let retry_after = field(&refused, "Retry-After").and_then(|s| s.parse::<f64>().ok());
    assert!(retry_after.is_some_and(|s| s > 1.0), "{refused}");
    assert_eq!(limited.got(), 1);
}

#[test]
fn an_upstream_gets_its_share_again_once_its_limit_is_lifted() {
    let limited = Limited::start("5");
    let free = Limited::start("5");
    free.names.store(false, Ordering::SeqCst);
    let running = serving(Repeat::Any, &[limited.address, free.address]);
    let mut caller = running.caller();
    let mut ask = |n: usize| assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 200);
    (0..20).for_each(&mut ask);
    limited.names.store(false, Ordering::SeqCst);
    let before = limited.got();
    let until = Instant::now() + PATIENCE;
    let mut n = 20;
    while limited.got() < before + 20 {
        assert!(
            Instant::now() < until,
            "{} requests",
            limited.got() - before
        );
        ask(n);
        n += 1;
    }
}

#[test]
fn a_limit_that_a_peer_tells_counts_before_the_first_answer() {
    let limited = Limited::start("0.5");
    let running = serving(Repeat::Any, &[limited.address]);
    running.told_limit("u0", 0.5);
    let refused = running.caller().ask("first");
    assert_eq!(status_of(&refused), 503, "{refused}");
    assert_eq!(limited.got(), 0);
}

#[test]
fn a_limit_that_cannot_be_read_is_counted_and_changes_nothing() {
    let limited = Limited::start("soon");
    let running = serving(Repeat::Any, &[limited.address]);
    let mut caller = running.caller();
    for n in 0..10 {
        assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 200);
    }
    assert_eq!(
        running.metric("buckthorncross_invalid_rate_limits_total"),
        10
    );
}

#[test]
fn a_send_that_broke_on_a_kept_connection_counts_against_the_limit() {
    // Sent once more on a new connection, it reaches the upstream twice.
    let got = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&got);
    let address = upstream(move |served| {
        // Each connection answers once and ends with the next request.
        if let Some(request) = served.request() {
            count.fetch_add(1, Ordering::SeqCst);
            let text = answer(id_of(&request), "world");
            served.write(&text.replace("Content-Length", "limit: 0.3\r\nContent-Length"));
        }
        if served.request().is_some() {
            count.fetch_add(1, Ordering::SeqCst);
        }
    });
    let running = serving(Repeat::Any, &[address]);
    let mut caller = running.caller();
    assert_eq!(status_of(&caller.ask("first")), 200);
    let until = Instant::now() + PATIENCE;
    let mut n = 0;
    while got.load(Ordering::SeqCst) < 2 {
        assert!(Instant::now() < until, "no second request");
        caller.ask(&format!("r{n}"));
        n += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(got.load(Ordering::SeqCst), 2);
}

#[test]
fn an_upstream_that_refused_is_left_alone_for_as_long_as_it_says() {
    let got = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&got);
    let busy = upstream(move |served| {
        while let Some(request) = served.request() {
            count.fetch_add(1, Ordering::SeqCst);
            let id = id_of(&request);
            served.write(&format!(
                "HTTP/1.1 503 -\r\nid: {id}\r\nagain: 4000\r\nContent-Length: 0\r\n\r\n"
            ));
        }
    });
    let free = upstream(|served| {
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "world"));
        }
    });
    let running = serving(Repeat::Any, &[busy, free]);
    let mut caller = running.caller();
    for n in 0..60 {
        assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 200);
    }
    assert_eq!(got.load(Ordering::SeqCst), 1);
}
