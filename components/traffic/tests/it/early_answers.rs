//! Upstreams that answer before they have read the request, without a length, and end the
//! connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use routes::Retry;
use traffic::Plan;

use crate::endings::open_event;
use crate::harness::*;
use crate::tunnels::cut_off;

const RESUMABLE: Retry = Retry::Stream { resumable: true };
const NOT_RESUMABLE: Retry = Retry::Stream { resumable: false };
/// Length of a body that exceeds the receive buffer of an upstream, in bytes.
const LONG_BODY: usize = 450_000;

/// How the connection ends after an early answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It is reset.
    Reset,
    /// The upstream ends its data, and resets the connection a moment later.
    CloseThenReset,
    /// The upstream ends its data, and neither reads on nor closes the connection.
    CloseThenSilence,
    /// The upstream ends its data, and reads the rest of the request.
    CloseThenRead,
}

const BROKEN_ENDS: [End; 3] = [End::Reset, End::CloseThenReset, End::CloseThenSilence];

/// An upstream that answers with a text as soon as it has the request's head.
fn early(end: End, text: &str) -> SocketAddr {
    counting_early(end, text).0
}

/// One that counts its requests.
fn counting_early(end: End, text: &str) -> (SocketAddr, Arc<AtomicUsize>) {
    let text = text.to_owned();
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    let address = upstream(move |served| {
        let Some(head) = served.request_head() else {
            return;
        };
        count.fetch_add(1, Ordering::SeqCst);
        let id = id_of(&head).to_owned();
        served.write(&format!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\nsure: 90\r\n\r\n{text}"
        ));
        match end {
            End::Reset => {
                std::thread::sleep(Duration::from_millis(100));
                served.reset();
            }
            End::CloseThenReset => {
                served.end_data();
                std::thread::sleep(Duration::from_millis(250));
                served.reset();
            }
            End::CloseThenSilence => {
                served.end_data();
                std::thread::sleep(TEST_TIMEOUT);
            }
            End::CloseThenRead => {
                served.end_data();
                std::thread::sleep(Duration::from_millis(50));
                served.wait_closed();
            }
        }
    });
    (address, requests)
}

fn allow_long_bodies(running: &TestLoop, retry: Retry, upstreams: &[SocketAddr]) {
    let listed = upstreams.iter().enumerate();
    let listed = listed.map(|(n, address)| listed_upstream(&format!("u{n}"), *address));
    running.apply_plan(Plan {
        table: Some(Arc::new(table_with_bodies(2, retry, 2 * LONG_BODY as u64))),
        ..plan(retry, listed.collect())
    });
}

fn serving_long_bodies(retry: Retry, upstreams: &[SocketAddr]) -> TestLoop {
    let running = serving(retry, upstreams);
    allow_long_bodies(&running, retry, upstreams);
    running
}

/// Sends a request with a long body and reads its answer.
fn upload(running: &TestLoop, id: &str) -> String {
    let mut caller = running.caller();
    caller.send(&post(id, &"x".repeat(LONG_BODY)));
    caller.answer()
}

/// The first bytes of an answer reached the caller as all of it.
#[test]
fn an_early_answer_that_is_cut_off_is_not_complete() {
    for end in BROKEN_ENDS {
        let running = serving_long_bodies(Retry::Never, &[early(end, "half")]);
        let text = upload(&running, "r1");
        assert_eq!(status_of(&text), 502, "{end:?}: {text}");
        assert_eq!(field(&text, "signed"), None, "{end:?}: {text}");
    }
}

#[test]
fn an_early_answer_that_is_cut_off_is_retried() {
    for end in BROKEN_ENDS {
        let (sound, _) = counting_upstream();
        let broken = early(end, "half");
        let running = serving_long_bodies(Retry::Any, &[broken, broken, sound]);
        let text = upload(&running, "r1");
        assert!(text.ends_with("world"), "{end:?}: {text}");
    }
}

#[test]
fn an_early_stream_that_is_cut_off_is_not_complete() {
    for end in BROKEN_ENDS {
        let running = serving_long_bodies(NOT_RESUMABLE, &[early(end, &open_event(1))]);
        let text = upload(&running, "r1");
        assert!(!text.ends_with(END), "{end:?}: {text}");
    }
}

#[test]
fn an_early_stream_that_is_cut_off_is_resumed() {
    for end in BROKEN_ENDS {
        let sound = upstream(|served| {
            while let Some(request) = served.request() {
                let after = field(&request, "after").and_then(|id| id.parse().ok());
                let events = (after.unwrap_or(0) + 1..=3).map(event);
                served.write(&stream_head(id_of(&request), 90));
                served.write(&(events.collect::<String>() + END));
            }
        });
        let broken = early(end, &open_event(1));
        let running = serving_long_bodies(RESUMABLE, &[broken, sound]);
        for n in 0..4 {
            let text = upload(&running, &format!("r{n}"));
            assert_eq!(events_of(&text), [1, 2, 3], "{end:?}: {text}");
            assert!(text.ends_with(END), "{end:?}: {text}");
        }
    }
}

#[test]
fn an_early_answer_that_is_cut_off_behind_a_tunnel_is_not_complete() {
    for end in BROKEN_ENDS {
        let (broken, requests) = counting_early(end, "half");
        let (_kept, refusing) = refusing_address();
        let (running, _peer) = cut_off(Retry::Never, refusing, broken);
        allow_long_bodies(&running, Retry::Never, &[refusing]);
        let text = upload(&running, "r1");
        assert_eq!(status_of(&text), 502, "{end:?}: {text}");
        // The upstream is reached through the peer only.
        assert_eq!(requests.load(Ordering::SeqCst), 1, "{end:?}");
    }
}

/// An upstream may answer before it has read the request, as long as it reads on.
#[test]
fn an_early_answer_is_complete_once_the_request_was_read() {
    let running = serving_long_bodies(Retry::Never, &[early(End::CloseThenRead, "whole")]);
    let text = upload(&running, "r1");
    assert!(text.ends_with("whole"), "{text}");
    let running = serving_long_bodies(NOT_RESUMABLE, &[early(End::CloseThenRead, &open_event(1))]);
    let text = upload(&running, "r1");
    assert!(text.ends_with(END), "{text}");
    let (_kept, refusing) = refusing_address();
    let whole = early(End::CloseThenRead, "whole");
    let (running, _peer) = cut_off(Retry::Never, refusing, whole);
    allow_long_bodies(&running, Retry::Never, &[refusing]);
    let text = upload(&running, "r1");
    assert!(text.ends_with("whole"), "{text}");
}
