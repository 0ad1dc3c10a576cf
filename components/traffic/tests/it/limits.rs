//! Upstreams that advertise a rate limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use routes::Retry;

use crate::harness::*;

/// An upstream that counts requests, and advertises a limit while the flag is set.
struct Limited {
    address: SocketAddr,
    received: Arc<AtomicUsize>,
    advertises: Arc<AtomicBool>,
}

impl Limited {
    fn start(limit: &'static str) -> Self {
        let received = Arc::new(AtomicUsize::new(0));
        let advertises = Arc::new(AtomicBool::new(true));
        let (count, is_advertising) = (Arc::clone(&received), Arc::clone(&advertises));
        let address = upstream(move |served| {
            while let Some(request) = served.request() {
                count.fetch_add(1, Ordering::SeqCst);
                let text = answer(id_of(&request), "world");
                let field = format!("limit: {limit}\r\nContent-Length");
                served.write(&match is_advertising.load(Ordering::SeqCst) {
                    true => text.replace("Content-Length", &field),
                    false => text,
                });
            }
        });
        Self {
            address,
            received,
            advertises,
        }
    }

    fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }
}

#[test]
fn stays_within_an_upstreams_rate_limit() {
    let limited = Limited::start("1");
    let free = Limited::start("1");
    free.advertises.store(false, Ordering::SeqCst);
    let running = serving(Retry::Any, &[limited.address, free.address]);
    let mut caller = running.caller();
    let began = Instant::now();
    for n in 0..80 {
        assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 200);
    }
    // One request that learned the limit, one of burst, and one per second since.
    let allowed = 2.0 + began.elapsed().as_secs_f64();
    let received = limited.received();
    assert!(
        received as f64 <= allowed,
        "{received} requests, {allowed} allowed"
    );
    assert_eq!(limited.received() + free.received(), 80);
}

#[test]
fn refuses_at_once_with_retry_after_when_every_upstream_is_limited() {
    let limited = Limited::start("0.2");
    let running = serving(Retry::Any, &[limited.address]);
    let mut caller = running.caller();
    assert_eq!(status_of(&caller.ask("first")), 200);
    let refused = caller.ask("second");
    assert_eq!(status_of(&refused), 503, "{refused}");
    let retry_after = field(&refused, "Retry-After").and_then(|s| s.parse::<f64>().ok());
    assert!(retry_after.is_some_and(|s| s > 1.0), "{refused}");
    assert_eq!(limited.received(), 1);
}

#[test]
fn an_upstream_regains_its_share_once_its_limit_is_lifted() {
    let limited = Limited::start("5");
    let free = Limited::start("5");
    free.advertises.store(false, Ordering::SeqCst);
    let running = serving(Retry::Any, &[limited.address, free.address]);
    let mut caller = running.caller();
    let mut ask = |n: usize| assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 200);
    (0..20).for_each(&mut ask);
    limited.advertises.store(false, Ordering::SeqCst);
    let before = limited.received();
    let until = Instant::now() + TEST_TIMEOUT;
    let mut n = 20;
    while limited.received() < before + 20 {
        assert!(
            Instant::now() < until,
            "{} requests",
            limited.received() - before
        );
        ask(n);
        n += 1;
    }
}

#[test]
fn a_limit_from_a_peer_applies_before_the_first_answer() {
    let limited = Limited::start("0.5");
    let running = serving(Retry::Any, &[limited.address]);
    running.send_peer_limit("u0", 0.5);
    let refused = running.caller().ask("first");
    assert_eq!(status_of(&refused), 503, "{refused}");
    assert_eq!(limited.received(), 0);
}

#[test]
fn an_invalid_limit_is_counted_and_ignored() {
    let limited = Limited::start("soon");
    let running = serving(Retry::Any, &[limited.address]);
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
fn a_resend_after_a_broken_pooled_connection_counts_against_the_limit() {
    // The resend on a new connection reaches the upstream a second time.
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    let address = upstream(move |served| {
        // Each connection answers one request and closes at the next.
        if let Some(request) = served.request() {
            count.fetch_add(1, Ordering::SeqCst);
            let text = answer(id_of(&request), "world");
            served.write(&text.replace("Content-Length", "limit: 0.3\r\nContent-Length"));
        }
        if served.request().is_some() {
            count.fetch_add(1, Ordering::SeqCst);
        }
    });
    let running = serving(Retry::Any, &[address]);
    let mut caller = running.caller();
    assert_eq!(status_of(&caller.ask("first")), 200);
    let until = Instant::now() + TEST_TIMEOUT;
    let mut n = 0;
    while received.load(Ordering::SeqCst) < 2 {
        assert!(Instant::now() < until, "no second request");
        caller.ask(&format!("r{n}"));
        n += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(received.load(Ordering::SeqCst), 2);
}

#[test]
fn a_refusing_upstream_is_skipped_for_its_retry_after() {
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
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
    let running = serving(Retry::Any, &[busy, free]);
    let mut caller = running.caller();
    for n in 0..60 {
        assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 200);
    }
    assert_eq!(received.load(Ordering::SeqCst), 1);
}
