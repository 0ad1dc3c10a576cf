//! Answers that have neither a length nor chunks and end with their connection.

use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use routes::Retry;

use crate::harness::*;

const RESUMABLE: Retry = Retry::Stream { resumable: true };

/// Encodes the head of an answer that ends with its connection.
fn open_head(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\nsure: 90\r\n\r\n")
}

/// Encodes an event of such an answer.
pub fn open_event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

/// Starts a program that answers one request with a head and a text, and crashes: nothing listens
/// on its address any more. The text depends on the last event that the caller has. Counts the
/// requests that it gets.
fn crashing_after(
    text: impl Fn(u64) -> String + Send + 'static,
    requests: &Arc<AtomicUsize>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let requests = Arc::clone(requests);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let clone = stream.try_clone().expect("a socket");
            let mut served = Served::new(stream);
            let Some(request) = served.request() else {
                continue;
            };
            requests.fetch_add(1, Ordering::SeqCst);
            served.write(&open_head(id_of(&request)));
            served.write(&text(last_event(&request)));
            drop(listener);
            clone.shutdown(Shutdown::Both).expect("an open connection");
            return;
        }
    });
    address
}

/// The last event that the caller has.
fn last_event(request: &str) -> u64 {
    let after = field(request, "after").and_then(|id| id.parse().ok());
    after.unwrap_or(0)
}

/// Answers with the events after those that the caller has, and closes the connection.
fn serve_open_stream(served: &mut Served, last: u64) {
    let Some(request) = served.request() else {
        return;
    };
    served.write(&open_head(id_of(&request)));
    (last_event(&request) + 1..=last).for_each(|id| served.write(&open_event(id)));
}

#[test]
fn a_stream_that_ends_with_its_connection_is_complete() {
    let requests = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&requests);
    let address = upstream(move |served| {
        serve_open_stream(served, 3);
        counted.fetch_add(1, Ordering::SeqCst);
    });
    let running = serving(RESUMABLE, &[address]);
    let text = running.caller().ask("r1");
    assert_eq!(events_of(&text), [1, 2, 3], "{text}");
    assert!(text.ends_with(END), "{text}");
}

// A crash between two events looks like the end of the stream.
#[test]
fn a_stream_that_ends_with_a_crash_is_resumed() {
    for _ in 0..4 {
        let requests = Arc::new(AtomicUsize::new(0));
        let crashing = crashing_after(|_| open_event(1) + &open_event(2), &requests);
        let healthy = upstream(|served| serve_open_stream(served, 5));
        let running = serving(RESUMABLE, &[crashing, healthy]);
        let text = running.caller().ask("r1");
        assert_eq!(events_of(&text), [1, 2, 3, 4, 5], "{text}");
        assert!(text.ends_with(END), "{text}");
    }
}

#[test]
fn a_stream_that_ends_with_a_crash_and_cannot_be_resumed_is_cut() {
    let requests = Arc::new(AtomicUsize::new(0));
    let crashing = crashing_after(|_| open_event(1), &requests);
    let running = serving(Retry::Stream { resumable: false }, &[crashing]);
    let text = running.caller().ask("r1");
    assert_eq!(events_of(&text), [1], "{text}");
    assert!(!text.ends_with(END), "{text}");
}

#[test]
fn a_whole_answer_that_ends_with_a_crash_is_retried() {
    for _ in 0..4 {
        let requests = Arc::new(AtomicUsize::new(0));
        let crashing = crashing_after(|_| "do".to_owned(), &requests);
        let healthy = upstream(|served| {
            while let Some(request) = served.request() {
                served.write(&answer(id_of(&request), "done"));
            }
        });
        let running = serving(Retry::Any, &[crashing, healthy]);
        let text = running.caller().ask("r1");
        assert!(text.ends_with("done"), "{text}");
    }
}

// A crash that counts as an answer clears the request that caused it.
#[test]
fn a_request_whose_crashes_end_its_streams_is_quarantined() {
    let requests = Arc::new(AtomicUsize::new(0));
    let next_event = |last| open_event(last + 1);
    let engines = (0..20).map(|_| crashing_after(next_event, &requests));
    let engines = engines.collect::<Vec<_>>();
    let running = serving(RESUMABLE, &engines);
    for n in 0..8 {
        running.caller().ask(&format!("poison-{n}"));
    }
    let reached = requests.load(Ordering::SeqCst);
    assert!(reached <= 3, "{reached} engines crashed");
}
