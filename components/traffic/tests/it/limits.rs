//! Upstreams that advertise a rate limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;

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
