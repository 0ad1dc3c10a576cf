//! Detection of upstream crashes.

use std::net::TcpListener;
use std::time::Duration;

use routes::Retry;

use crate::harness::*;

/// Returns the number of crashes counted, as soon as it reaches `awaited` or after a second.
fn crash_count(running: &TestLoop, awaited: u64) -> u64 {
    let mut counted = 0;
    for _ in 0..50 {
        counted = running.metric("buckthorncross_upstream_ends_total");
        if counted >= awaited {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    counted
}

#[test]
fn counts_an_upstream_crash_during_a_request() {
    // An upstream's program crashes while it processes a request: the connection breaks and the
    // address refuses from then on. On-call must see the crash and which requests were in flight
    // there.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        drop(listener);
        let mut served = Served::new(stream);
        served.request();
    });
    let running = serving(Retry::Never, &[address]);
    assert_eq!(status_of(&running.caller().ask("r1")), 502);
    assert_eq!(crash_count(&running, 1), 1);
}

#[test]
fn a_broken_connection_is_no_crash_while_the_upstream_listens() {
    let address = upstream(|served| {
        served.request();
    });
    let running = serving(Retry::Never, &[address]);
    assert_eq!(status_of(&running.caller().ask("r1")), 502);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(crash_count(&running, 0), 0);
}
