//! Statuses that promise callers that their request was not processed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use routes::Retry;

use crate::harness::*;
use crate::tunnels::cut_off;

const RESUMABLE: Retry = Retry::Stream { resumable: true };
const NOT_RESUMABLE: Retry = Retry::Stream { resumable: false };

/// Statuses with which callers retry work that may be done only once.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Encodes an upstream's own answer with this status, after it processed the request.
fn answer_after_run(status: u16, id: &str) -> String {
    format!(
        "HTTP/1.1 {status} Failed\r\nid: {id}\r\nsigned: 1\r\nran: 1\r\nRetry-After: 0.3\r\n\
         again: 300\r\nContent-Length: 6\r\n\r\nfailed"
    )
}

/// An upstream that processes each request and answers with this status, and counts them.
fn upstream_that_runs_and_answers(status: u16) -> (SocketAddr, Arc<AtomicUsize>) {
    counting_upstream_with(move |id| answer_after_run(status, id))
}

fn assert_promises_nothing(text: &str, status: u16) {
    assert_eq!(status_of(text), 502, "{status}: {text}");
    assert_eq!(field(text, "signed"), None, "{status}: {text}");
    assert!(text.ends_with("\r\n\r\n"), "{status}: {text}");
}

/// Callers sent orders again that had run, since the upstream's own 503 was relayed.
#[test]
fn an_order_that_ran_is_not_answered_as_not_run() {
    for status in PROMISES {
        for retry in [Retry::Never, NOT_RESUMABLE] {
            let (address, runs) = upstream_that_runs_and_answers(status);
            let running = serving(retry, &[address, address]);
            let text = running.caller().ask("r1");
            assert_promises_nothing(&text, status);
            assert_eq!(field(&text, "Retry-After"), None, "{status}: {text}");
            assert_eq!(runs.load(Ordering::SeqCst), 1, "{status}");
            let withheld = running.metric("buckthorncross_unconfirmed_refusals_total");
            assert_eq!(withheld, 1, "{status}");
        }
    }
}

#[test]
fn an_order_that_ran_is_not_answered_as_not_run_through_a_peer() {
    for status in PROMISES {
        for retry in [Retry::Never, NOT_RESUMABLE] {
            let (address, runs) = upstream_that_runs_and_answers(status);
            let (_kept, refusing) = refusing_address();
            let (running, _peer) = cut_off(retry, refusing, address);
            assert_promises_nothing(&running.caller().ask("r1"), status);
            assert_eq!(runs.load(Ordering::SeqCst), 1, "{status}");
        }
    }
}

/// The caller may retry, and is told when.
#[test]
fn a_request_that_failed_everywhere_is_not_answered_as_not_run() {
    for status in PROMISES {
        for retry in [Retry::Any, RESUMABLE] {
            let (address, _) = upstream_that_runs_and_answers(status);
            let running = serving(retry, &[address; 2]);
            let text = running.caller().ask("r1");
            assert_promises_nothing(&text, status);
            assert_eq!(field(&text, "Retry-After"), Some("0.30"), "{status}");
        }
    }
}

#[test]
fn such_a_request_is_retried_where_it_may_be() {
    for status in PROMISES {
        let (failing, _) = upstream_that_runs_and_answers(status);
        let (sound, _) = counting_upstream();
        let running = serving(Retry::Any, &[failing, failing, sound]);
        let text = running.caller().ask("r1");
        assert!(text.ends_with("world"), "{status}: {text}");
    }
}

/// The failure kept from a former attempt is relayed where the last one is withheld.
#[test]
fn a_former_failure_is_relayed_as_it_was() {
    let failing = upstream(|served| {
        while let Some(request) = served.request() {
            let id = id_of(&request);
            served.write(&format!(
                "HTTP/1.1 500 Failed\r\nid: {id}\r\nsigned: 1\r\nContent-Length: 3\r\n\r\nown"
            ));
        }
    });
    let (unconfirmed, _) = upstream_that_runs_and_answers(503);
    let running = serving(Retry::Any, &[failing, unconfirmed]);
    for n in 0..4 {
        let text = running.caller().ask(&format!("r{n}"));
        assert_eq!((status_of(&text), field(&text, "signed")), (500, Some("1")));
        assert!(text.ends_with("own"), "{text}");
    }
}

/// The larger model's upstream fails after the draft was given up.
#[test]
fn a_draft_that_was_given_up_is_not_answered_as_not_run() {
    for status in PROMISES {
        let address = upstream(move |served| {
            while let Some(request) = served.request() {
                let id = id_of(&request);
                if field(&request, "model") == Some("large") {
                    std::thread::sleep(std::time::Duration::from_millis(1_500));
                    served.write(&answer_after_run(status, id));
                    continue;
                }
                served.write(&stream_head(id, 10));
                served.wait_closed();
            }
        });
        let running = serving(RESUMABLE, &[address; 2]);
        assert_promises_nothing(&running.caller().ask("r1"), status);
    }
}

/// What the upstream says it did not run stays a promise, and is retried elsewhere.
#[test]
fn a_confirmed_refusal_stays_one() {
    let full = upstream(|served| {
        while let Some(request) = served.request() {
            let id = id_of(&request);
            served.write(&format!(
                "HTTP/1.1 503 Busy\r\nid: {id}\r\nsigned: 1\r\nContent-Length: 0\r\n\r\n"
            ));
        }
    });
    let running = serving(Retry::Never, &[full]);
    let text = running.caller().ask("r1");
    assert_eq!(status_of(&text), 503, "{text}");
    assert!(field(&text, "Retry-After").is_some(), "{text}");
    let (sound, _) = counting_upstream();
    let running = serving(Retry::Never, &[full, full, sound]);
    assert!(running.caller().ask("r2").ends_with("world"));
    let withheld = running.metric("buckthorncross_unconfirmed_refusals_total");
    assert_eq!(withheld, 0);
}

/// An upstream that answered with 429 or 408 after it ran counted as a sound one.
#[test]
fn an_upstream_that_fails_with_such_a_status_is_ejected() {
    for status in PROMISES {
        let (failing, _) = upstream_that_runs_and_answers(status);
        let (sound, _) = counting_upstream();
        let running = serving(Retry::Never, &[failing, sound]);
        let failed = (0..60).filter(|n| status_of(&running.caller().ask(&format!("r{n}"))) != 200);
        let failed = failed.count();
        assert!(failed <= 10, "{status}: {failed} of 60");
    }
}
