//! Whole answers: relayed, mismatched, truncated and refused.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use routes::Retry;

use crate::harness::*;

#[test]
fn relays_a_whole_answer_and_reuses_the_connection() {
    let connections = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&connections);
    let address = upstream(move |served| {
        count.fetch_add(1, Ordering::SeqCst);
        while let Some(request) = served.request() {
            assert!(request.starts_with("POST /a/b HTTP/1.1\r\n"), "{request}");
            assert_eq!(field(&request, "customer"), Some("alice"));
            assert_eq!(field(&request, "to"), Some("u0"));
            assert!(request.ends_with("\r\n\r\nhello"), "{request}");
            served.write(&answer(id_of(&request), "world"));
        }
    });
    let running = serving(Retry::Any, &[address]);
    let mut caller = running.caller();
    for n in 0..5 {
        let text = caller.ask(&format!("r{n}"));
        assert!(text.ends_with("\r\n\r\nworld"), "{text}");
        assert_eq!(field(&text, "id"), Some(&*format!("r{n}")));
    }
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}

#[test]
fn skips_a_late_answer_to_an_earlier_request() {
    // An upstream answers a request twice, and the second answer arrives when another caller's
    // request is already on the connection. That caller would get the first one's answer.
    let address = upstream(|served| {
        let first = served.request().expect("one");
        served.write(&answer(id_of(&first), "first"));
        while let Some(next) = served.request() {
            served.write(&answer(id_of(&first), "first again"));
            served.write(&answer(id_of(&next), "own"));
        }
    });
    let running = serving(Retry::Any, &[address]);
    let mut caller = running.caller();
    assert!(caller.ask("r1").ends_with("first"));
    let text = caller.ask("r2");
    assert!(text.ends_with("own"), "{text}");
}

#[test]
fn does_not_reuse_a_connection_with_unread_data() {
    // The stray answer is on the pooled connection before the next request is sent.
    let address = upstream(|served| {
        while let Some(request) = served.request() {
            let id = id_of(&request);
            served.write(&(answer(id, "own") + &answer("other", "stray")));
        }
    });
    let running = serving(Retry::Any, &[address]);
    let mut caller = running.caller();
    for n in 0..3 {
        let text = caller.ask(&format!("r{n}"));
        assert!(text.ends_with("\r\n\r\nown"), "{text}");
    }
}

#[test]
fn does_not_retry_a_truncated_answer_to_a_non_idempotent_request() {
    // The upstream processes a booking and its answer is truncated. A retry would book twice, and
    // so would the caller if it were answered that the request was not processed.
    let runs = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&runs);
    let address = upstream(move |served| {
        let request = served.request().expect("one");
        count.fetch_add(1, Ordering::SeqCst);
        let text = answer(id_of(&request), "world");
        served.write(&text[..text.len() - 2]);
    });
    let running = serving(Retry::Never, &[address, address]);
    assert_eq!(status_of(&running.caller().ask("r1")), 502);
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[test]
fn retries_a_truncated_answer_to_an_idempotent_request() {
    let bad = upstream(|served| {
        let request = served.request().expect("one");
        let text = answer(id_of(&request), "world");
        served.write(&text[..text.len() - 2]);
    });
    let good = upstream(|served| {
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "world"));
        }
    });
    for _ in 0..4 {
        let running = serving(Retry::Any, &[bad, good]);
        assert!(running.caller().ask("r1").ends_with("world"));
    }
}

#[test]
fn retries_elsewhere_what_an_upstream_did_not_run() {
    let full = upstream(|served| {
        while served.request().is_some() {
            served.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        }
    });
    let other_instance = upstream(|served| {
        while served.request().is_some() {
            served.write("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
        }
    });
    let good = upstream(|served| {
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "world"));
        }
    });
    let running = serving(Retry::Never, &[full, other_instance, good]);
    for n in 0..5 {
        let text = running.caller().ask(&format!("r{n}"));
        assert!(text.ends_with("world"), "{text}");
    }
}

#[test]
fn a_refusal_carries_retry_after() {
    let full = upstream(|served| {
        while served.request().is_some() {
            served.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        }
    });
    let running = serving(Retry::Never, &[full]);
    let text = running.caller().ask("r1");
    assert_eq!(status_of(&text), 503);
    let span = field(&text, "Retry-After").expect("given").parse::<f64>();
    assert!(span.expect("seconds") > 0.0);
}

#[test]
fn rejects_an_unsigned_or_reencoded_answer() {
    // Something between the daemon and the upstream answers in its place, or encodes the body.
    for fields in ["", "signed: 1\r\ncontent-encoding: gzip\r\n"] {
        let address = upstream(move |served| {
            while let Some(request) = served.request() {
                let id = id_of(&request);
                served.write(&format!(
                    "HTTP/1.1 200 OK\r\nid: {id}\r\n{fields}Content-Length: 2\r\n\r\nhi"
                ));
            }
        });
        let running = serving(Retry::Never, &[address]);
        assert_eq!(status_of(&running.caller().ask("r1")), 502);
    }
}

#[test]
fn relays_an_upstream_failure_unchanged() {
    let address = upstream(|served| {
        while let Some(request) = served.request() {
            let id = id_of(&request);
            served.write(&format!(
                "HTTP/1.1 500 No\r\nid: {id}\r\nsigned: 1\r\nContent-Length: 4\r\n\r\nsome"
            ));
        }
    });
    let running = serving(Retry::Never, &[address]);
    let text = running.caller().ask("r1");
    assert_eq!(status_of(&text), 500);
    assert!(text.contains("signed: 1"), "{text}");
    assert!(text.ends_with("some"));
}

#[test]
fn reads_an_answer_without_length_until_the_connection_closes() {
    let address = upstream(|served| {
        let request = served.request().expect("one");
        let id = id_of(&request);
        served.write(&format!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\n\r\nworld"
        ));
    });
    let running = serving(Retry::Never, &[address]);
    let text = running.caller().ask("r1");
    assert_eq!(field(&text, "Content-Length"), Some("5"));
    assert!(text.ends_with("world"));
}

#[test]
fn unreachable_upstreams_use_up_no_attempt() {
    let (_socket, gone) = refusing_address();
    let good = upstream(|served| {
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "world"));
        }
    });
    let running = serving(Retry::Never, &[gone, gone, gone, gone, gone, good]);
    assert!(running.caller().ask("r1").ends_with("world"));
}

#[test]
fn recovers_from_a_pooled_connection_that_the_upstream_dropped() {
    // An upstream silently drops idle connections, and the next send on one is reset. The caller
    // would get a failure though the upstream is healthy.
    let address = upstream(|served| {
        let request = served.request().expect("one");
        served.write(&answer(id_of(&request), "world"));
        // The next request is read, and the connection closes without an answer.
        served.request();
    });
    let running = serving(Retry::Any, &[address]);
    let mut caller = running.caller();
    for n in 0..4 {
        let text = caller.ask(&format!("r{n}"));
        assert!(text.ends_with("world"), "{text}");
    }
}

#[test]
fn a_non_idempotent_request_gets_a_new_connection() {
    // The upstream silently drops idle connections. A booking sent on a dropped one could not be
    // retried.
    let address = upstream(|served| {
        let request = served.request().expect("one");
        served.write(&answer(id_of(&request), "world"));
        served.request();
    });
    let running = serving(Retry::Never, &[address]);
    let mut caller = running.caller();
    for n in 0..4 {
        assert!(caller.ask(&format!("r{n}")).ends_with("world"));
    }
}

#[test]
fn a_request_that_fails_everywhere_counts_once_against_the_version() {
    // Some requests fail at every upstream. Counting each attempt as a failure of the new version
    // would revert it though it is good.
    let failing = || {
        upstream(|served| {
            while let Some(request) = served.request() {
                let id = id_of(&request);
                served.write(&format!(
                    "HTTP/1.1 500 -\r\nid: {id}\r\nsigned: 1\r\nContent-Length: 0\r\n\r\n"
                ));
            }
        })
    };
    let running = start();
    running.send_plan(Retry::Any, &[failing(), failing()], vec![gate_of_all()]);
    let answer = running.caller().ask("a1");
    assert_eq!(status_of(&answer), 500);
    let observed = running.handle.observed.evidence();
    let new = observed["service"].new.sum();
    assert_eq!((new.sent, new.bad, new.out), (2, 1, 0));
}

/// A slow version looks fast while its slow answers are outstanding.
#[test]
fn an_answer_that_has_not_begun_in_time_counts_as_slow() {
    let slow = upstream(|served| {
        while let Some(request) = served.request() {
            if id_of(&request) == "slow" {
                served.wait_closed();
                return;
            }
            served.write(&answer(id_of(&request), "world"));
        }
    });
    let running = start();
    running.send_plan(Retry::Never, &[slow], vec![gate_of_all()]);
    let mut waiting = running.caller();
    waiting.send(&post("slow", "x"));
    let new = || {
        let observed = running.handle.observed.evidence();
        let new = observed.get("service").map(|evidence| evidence.new.sum());
        new.unwrap_or_default()
    };
    wait_until("a request is outstanding", || new().out == 1);
    let mut sent = 0;
    wait_until("the outstanding answer is slow", || {
        sent += 1;
        running.caller().ask(&format!("a{sent}"));
        new().slow > 0
    });
    assert_eq!((new().out, new().slow, new().begun), (1, 1, sent + 1));
    drop(waiting);
    wait_until("the caller's leaving is noticed", || new().out == 0);
    assert_eq!((new().slow, new().begun), (1, sent + 1));
}

/// An answer to a request for another instance or model.
fn misdirected(id: &str) -> String {
    format!("HTTP/1.1 421 Other\r\nid: {id}\r\nContent-Length: 0\r\n\r\n")
}

/// A stream of one event.
fn one_event(id: &str) -> String {
    stream_head(id, 90) + &event(1) + END
}

/// One request for a model that no upstream has shut out all upstreams of the service for good.
#[test]
fn a_request_for_an_unknown_model_shuts_no_upstream_out() {
    let engine = || {
        upstream(|served| {
            while let Some(request) = served.request() {
                let id = id_of(&request);
                if field(&request, "model") == Some("retired") {
                    served.write(&misdirected(id));
                    continue;
                }
                served.write(&one_event(id));
            }
        })
    };
    let running = serving(Retry::Stream { resumable: true }, &[engine(), engine()]);
    let mut caller = running.caller();
    for n in 0..4 {
        let unknown = post(&format!("u{n}"), "hello").replace("key:", "model: retired\r\nkey:");
        caller.send(&unknown);
        assert_eq!(status_of(&caller.answer()), 503);
        assert_eq!(events_of(&caller.ask(&format!("r{n}"))), [1]);
    }
}

/// An upstream that answered for a model and rejects it now has another instance at its address.
#[test]
fn an_upstream_that_no_longer_has_its_model_is_replaced() {
    let requests = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&requests);
    let replaced = upstream(move |served| {
        while let Some(request) = served.request() {
            let id = id_of(&request);
            if counted.fetch_add(1, Ordering::SeqCst) > 0 {
                served.write(&misdirected(id));
                continue;
            }
            served.write(&one_event(id));
        }
    });
    let running = serving(Retry::Stream { resumable: true }, &[replaced]);
    let mut caller = running.caller();
    assert_eq!(events_of(&caller.ask("r0")), [1]);
    for n in 1..5 {
        assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 503);
    }
    assert_eq!(requests.load(Ordering::SeqCst), 2);
}

/// An upstream whose address another instance has since before it answered got every request first.
#[test]
fn an_upstream_that_rejects_a_model_is_avoided_for_it() {
    let rejections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&rejections);
    let rejecting = upstream(move |served| {
        while let Some(request) = served.request() {
            counted.fetch_add(1, Ordering::SeqCst);
            let id = id_of(&request);
            served.write(&misdirected(id));
        }
    });
    let healthy = upstream(|served| {
        while let Some(request) = served.request() {
            served.write(&one_event(id_of(&request)));
        }
    });
    let running = serving(Retry::Stream { resumable: true }, &[rejecting, healthy]);
    let mut caller = running.caller();
    for n in 0..30 {
        assert_eq!(events_of(&caller.ask(&format!("r{n}"))), [1]);
    }
    let rejections = rejections.load(Ordering::SeqCst);
    assert!(rejections <= 5, "{rejections} of 30 requests");
}
