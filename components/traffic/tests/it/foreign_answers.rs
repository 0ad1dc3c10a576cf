//! Answers that lack what shows that they are the upstream's answer to this request: the id of its
//! attempt, and the upstream's signature.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use routes::Retry;

use crate::harness::*;
use crate::tunnels::cut_off;

const RESUMABLE: Retry = Retry::Stream { resumable: true };
const NOT_RESUMABLE: Retry = Retry::Stream { resumable: false };

/// Statuses of answers that no field confirms.
const STATUSES: [u16; 9] = [200, 301, 400, 404, 408, 421, 429, 500, 503];

/// Encodes an answer to a processed request, with these fields.
fn answer_with(status: u16, fields: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nran: 1\r\n{fields}Content-Length: 5\r\n\r\nother")
}

/// An upstream whose answers lack the id.
fn without_id(status: u16) -> (SocketAddr, Arc<AtomicUsize>) {
    counting_upstream_with(move |_| answer_with(status, "signed: 1\r\n"))
}

/// An upstream whose answers lack the signature.
fn unsigned(status: u16) -> (SocketAddr, Arc<AtomicUsize>) {
    counting_upstream_with(move |id| answer_with(status, &format!("id: {id}\r\n")))
}

/// Starts an upstream that answers with a status, and returns its count of requests.
type Start = fn(u16) -> (SocketAddr, Arc<AtomicUsize>);

const UPSTREAMS: [Start; 2] = [without_id, unsigned];

fn assert_is_no_answer(text: &str, status: u16) {
    assert_eq!(status_of(text), 502, "{status}: {text}");
    assert!(text.ends_with("\r\n\r\n"), "{status}: {text}");
}

/// Orders were sent again, refused as not run, or rejected, by answers that were not theirs.
#[test]
fn an_answer_that_is_not_the_requests_is_not_relayed() {
    for start in UPSTREAMS {
        for status in STATUSES {
            for retry in [Retry::Never, NOT_RESUMABLE] {
                let (address, runs) = start(status);
                let running = serving(retry, &[address, address]);
                assert_is_no_answer(&running.caller().ask("r1"), status);
                assert_eq!(runs.load(Ordering::SeqCst), 1, "{status}");
            }
        }
    }
}

#[test]
fn an_answer_that_is_not_the_requests_is_not_relayed_through_a_peer() {
    for start in UPSTREAMS {
        for status in STATUSES {
            let (address, runs) = start(status);
            let (_kept, refusing) = refusing_address();
            let (running, _peer) = cut_off(Retry::Never, refusing, address);
            assert_is_no_answer(&running.caller().ask("r1"), status);
            assert_eq!(runs.load(Ordering::SeqCst), 1, "{status}");
        }
    }
}

#[test]
fn a_request_whose_answer_is_not_its_own_is_retried() {
    for start in UPSTREAMS {
        for status in STATUSES {
            let (other, _) = start(status);
            let (sound, _) = counting_upstream();
            let running = serving(Retry::Any, &[other, other, sound]);
            let text = running.caller().ask("r1");
            assert!(text.ends_with("world"), "{status}: {text}");
        }
    }
}

#[test]
fn a_stream_whose_answer_is_not_its_own_is_retried() {
    for start in UPSTREAMS {
        for status in STATUSES {
            let (other, _) = start(status);
            let sound = upstream(|served| {
                while let Some(request) = served.request() {
                    let head = stream_head(id_of(&request), 90);
                    served.write(&(head + &event(1) + &event(2) + END));
                }
            });
            let running = serving(RESUMABLE, &[other, other, sound]);
            let text = running.caller().ask("r1");
            assert_eq!(events_of(&text), [1, 2], "{status}: {text}");
        }
    }
}

/// An upstream may refuse a request before it has read its id.
#[test]
fn a_refusal_without_an_id_that_is_confirmed_counts() {
    let refusing = upstream(|served| {
        while served.request().is_some() {
            served.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        }
    });
    let (sound, runs) = counting_upstream();
    let running = serving(Retry::Never, &[refusing, refusing, sound]);
    assert!(running.caller().ask("r1").ends_with("world"));
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}
