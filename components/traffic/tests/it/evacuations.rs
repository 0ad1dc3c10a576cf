//! Requests while failure domains are evacuated.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use routes::{Retry, Upstream};
use types::prelude::*;

use crate::harness::*;

const RESUMABLE: Retry = Retry::Stream { resumable: true };

fn in_domain(id: &str, address: SocketAddr, domain: &str) -> Arc<Upstream> {
    let upstream = listed_upstream(id, address);
    Arc::new(Upstream {
        failure_domain: FailureDomain::new(domain).expect("a name"),
        ..Upstream::clone(&upstream)
    })
}

// The upstreams of a failure domain that an operator wants empty went on getting requests.
#[test]
fn sends_nothing_to_an_evacuated_domain_until_that_is_lifted() {
    let ((east, at_east), (west, at_west)) = (counting_upstream(), counting_upstream());
    let running = serving(Retry::Any, &[]);
    let listed = || vec![in_domain("u0", east, "east"), in_domain("u1", west, "west")];
    running.send_evacuating_plan(Retry::Any, listed(), &["west", "nowhere"]);
    let mut caller = running.caller();
    for n in 0..20 {
        assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 200);
    }
    assert_eq!(at_west.load(Ordering::SeqCst), 0);
    assert_eq!(at_east.load(Ordering::SeqCst), 20);
    assert_eq!(running.metric("buckthorncross_evacuated_domains"), 2);
    running.send_evacuating_plan(Retry::Any, listed(), &["east"]);
    assert_eq!(status_of(&caller.ask("last")), 200);
    assert_eq!(at_west.load(Ordering::SeqCst), 1);
}

#[test]
fn refuses_at_once_when_every_domain_is_evacuated() {
    let (east, at_east) = counting_upstream();
    let running = serving(Retry::Any, &[]);
    running.send_evacuating_plan(Retry::Any, vec![in_domain("u0", east, "east")], &["east"]);
    let refused = running.caller().ask("r1");
    assert_eq!(status_of(&refused), 503, "{refused}");
    let retry_after = field(&refused, "Retry-After").and_then(|s| s.parse::<f64>().ok());
    assert!(retry_after.is_some_and(|s| s >= 2.0), "{refused}");
    assert_eq!(at_east.load(Ordering::SeqCst), 0);
}

// A stream would be cut by an evacuation, or resumed in the domain that is to be empty.
#[test]
fn a_stream_ends_where_it_runs_and_is_resumed_elsewhere() {
    let breaks = Arc::new(AtomicBool::new(false));
    let is_evacuated = Arc::new(AtomicBool::new(false));
    let (breaking, wait) = (Arc::clone(&breaks), Arc::clone(&is_evacuated));
    let east = upstream(move |served| {
        while let Some(request) = served.request() {
            served.write(&stream_head(id_of(&request), 90));
            served.write(&event(1));
            wait_until("evacuated", || wait.load(Ordering::SeqCst));
            if breaking.load(Ordering::SeqCst) {
                return;
            }
            served.write(&event(2));
            served.write(END);
        }
    });
    let west = upstream(|served| {
        while let Some(request) = served.request() {
            let after = field(&request, "after").and_then(|id| id.parse().ok());
            served.write(&stream_head(id_of(&request), 90));
            (after.unwrap_or(0) + 1..=2).for_each(|id| served.write(&event(id)));
            served.write(END);
        }
    });
    for breaks_off in [false, true] {
        breaks.store(breaks_off, Ordering::SeqCst);
        is_evacuated.store(false, Ordering::SeqCst);
        let running = serving(RESUMABLE, &[]);
        let listed = || vec![in_domain("u0", east, "east"), in_domain("u1", west, "west")];
        running.send_evacuating_plan(RESUMABLE, listed(), &["west"]);
        let mut caller = running.caller();
        caller.send(&post("r1", "hello"));
        caller.read_until("id: 1\n");
        running.send_evacuating_plan(RESUMABLE, listed(), &["east"]);
        is_evacuated.store(true, Ordering::SeqCst);
        caller.read_until("id: 2\n");
        caller.read_until(END);
    }
}
