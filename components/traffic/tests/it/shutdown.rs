//! Shutdown.

use std::io::Read;
use std::time::Duration;

use routes::Retry;
use traffic::Command;

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
