//! Streams: relayed event by event, resumed, never joined with a gap.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use dispatch::Gate;
use routes::{Retry, Upstream};

use crate::harness::*;

const RESUMABLE: Retry = Retry::Stream { resumable: true };

/// Streams the events after `after` up to `last`, then completes or breaks off within an event.
fn serve_stream(served: &mut Served, after: u64, last: u64, completes: bool) {
    while let Some(request) = served.request() {
        stream(served, &request, after, last, completes);
        if !completes {
            return;
        }
    }
}

fn stream(served: &mut Served, request: &str, after: u64, last: u64, completes: bool) {
    let asked = field(request, "after").and_then(|id| id.parse().ok());
    served.write(&stream_head(id_of(request), 90));
    let first = asked.unwrap_or(after) + 1;
    (first..=last).for_each(|id| served.write(&event(id)));
    match completes {
        true => served.write(END),
        false => served.write("1f\r\nid: 99\nda"),
    }
}

#[test]
fn relays_a_stream_event_by_event() {
    let address = upstream(|served| serve_stream(served, 0, 5, true));
    let running = serving(RESUMABLE, &[address]);
    let text = running.caller().ask("r1");
    assert_eq!(events_of(&text), [1, 2, 3, 4, 5]);
    assert!(text.ends_with(END));
}

#[test]
fn resumes_a_broken_stream_after_the_last_whole_event() {
    // An engine crashes within an event. The caller would see half an event, a stream that ends
    // early, or one event twice.
    let broken = upstream(|served| serve_stream(served, 0, 3, false));
    let healthy = upstream(|served| serve_stream(served, 0, 6, true));
    for _ in 0..6 {
        let running = serving(RESUMABLE, &[broken, healthy]);
        let text = running.caller().ask("r1");
        assert_eq!(events_of(&text), [1, 2, 3, 4, 5, 6], "{text}");
        assert!(text.ends_with(END));
    }
}

#[test]
fn does_not_join_a_resumed_stream_that_skips_an_event() {
    // The second engine skips an event, which the caller could not notice.
    let broken = upstream(|served| serve_stream(served, 0, 3, false));
    let skipping = upstream(|served| {
        while let Some(request) = served.request() {
            let after = field(&request, "after").and_then(|id| id.parse::<u64>().ok());
            served.write(&stream_head(id_of(&request), 90));
            let first = after.map_or(1, |after| after + 2);
            (first..=6).for_each(|id| served.write(&event(id)));
            served.write(END);
        }
    });
    for _ in 0..6 {
        let running = serving(RESUMABLE, &[broken, skipping]);
        let text = running.caller().ask("r1");
        let events = events_of(&text);
        let is_whole = events == [1, 2, 3, 4, 5, 6];
        assert!(
            is_whole || (events == [1, 2, 3] && !text.ends_with(END)),
            "{text}"
        );
    }
}

#[test]
fn a_broken_non_resumable_stream_ends_without_its_last_chunk() {
    let runs = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&runs);
    let address = upstream(move |served| {
        // A connection without a request is a probe for whether the upstream still listens.
        if let Some(request) = served.request() {
            count.fetch_add(1, Ordering::SeqCst);
            stream(served, &request, 0, 3, false);
        }
    });
    let running = serving(Retry::Stream { resumable: false }, &[address, address]);
    let text = running.caller().ask("r1");
    assert_eq!(events_of(&text), [1, 2, 3]);
    assert!(!text.ends_with(END), "{text}");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[test]
fn escalates_a_low_confidence_answer_before_delivering_it() {
    let address = upstream(|served| {
        while let Some(request) = served.request() {
            let is_large = field(&request, "model") == Some("large");
            served.write(&stream_head(
                id_of(&request),
                if is_large { 80 } else { 10 },
            ));
            if is_large {
                (1..=2).for_each(|id| served.write(&event(id)));
                served.write(END);
            } else {
                served.wait_closed();
                return;
            }
        }
    });
    let running = serving(RESUMABLE, &[address]);
    let text = running.caller().ask("r1");
    assert_eq!(events_of(&text), [1, 2]);
    assert!(text.contains("sure: 80"), "{text}");
}

#[test]
fn a_disconnecting_caller_cancels_the_upstream_request() {
    // A caller disconnects during a stream. The engine would go on for seconds.
    let (tx, rx) = flume::bounded(1);
    let address = upstream(move |served| {
        let request = served.request().expect("one");
        served.write(&stream_head(id_of(&request), 90));
        served.write(&event(1));
        served.wait_closed();
        tx.send(()).expect("the test waits");
    });
    let running = serving(RESUMABLE, &[address]);
    let mut caller = running.caller();
    caller.send(&post("r1", "hello"));
    caller.read_until("data: e1");
    drop(caller);
    let closed = rx.recv_timeout(std::time::Duration::from_secs(20));
    assert!(closed.is_ok(), "the upstream's connection was not closed");
}

#[test]
fn switches_away_from_a_silent_engine() {
    // An engine goes silent during a stream, without a reset. The caller would wait until it gives
    // up.
    let silent = upstream(|served| {
        let request = served.request().expect("one");
        served.write(&stream_head(id_of(&request), 90));
        served.write(&event(1));
        served.wait_closed();
    });
    let healthy = upstream(|served| serve_stream(served, 0, 3, true));
    let running = serving(RESUMABLE, &[silent, healthy]);
    for n in 0..4 {
        let text = running.caller().ask(&format!("r{n}"));
        assert_eq!(events_of(&text), [1, 2, 3], "{text}");
    }
}

#[test]
fn waits_for_an_engine_that_prefills_a_long_prompt() {
    // An engine is silent for seconds while it prefills a long prompt. If it is abandoned too soon,
    // its prefill is wasted, the next engine starts from the beginning, and after a few no attempt
    // is left.
    let runs = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&runs);
    let address = upstream(move |served| {
        let request = served.request().expect("one");
        count.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(std::time::Duration::from_millis(2_500));
        served.write(&stream_head(id_of(&request), 90));
        served.write(&event(1));
        served.write(END);
    });
    let running = serving(RESUMABLE, &[address, address]);
    assert_eq!(events_of(&running.caller().ask("r1")), [1]);
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[test]
fn a_stream_goes_on_at_the_new_version_once_the_old_one_gets_nothing() {
    // Guards against a cut stream: upstreams of the old version stop when a roll-out completes.
    let (stop, stopped) = flume::bounded::<()>(1);
    let stops = upstream(move |served| {
        if served.request().is_none() {
            return;
        }
        served.write(&stream_head("r1", 90));
        (1..=3).for_each(|id| served.write(&event(id)));
        let _ = stopped.recv();
    });
    let refusing = (0..12).map(|_| refusing_address()).collect::<Vec<_>>();
    let new = upstream(|served| serve_stream(served, 0, 6, true));
    let running = serving(RESUMABLE, &[stops]);
    let mut caller = running.caller();
    caller.send(&post("r1", "hello"));
    caller.read_until("data: e3");

    let old = refusing.iter().enumerate();
    let old = old.map(|(n, (_, address))| listed_upstream(&format!("old{n}"), *address));
    let new = Upstream {
        version: Arc::from("v2"),
        ..(*listed_upstream("new", new)).clone()
    };
    let stopping = listed_upstream("u0", stops);
    let listed = old.chain([stopping, Arc::new(new)]).collect();
    let gate = Gate {
        to: Arc::from("v2"),
        ..gate_of_all()
    };
    running.send_plan_of(RESUMABLE, listed, vec![gate]);
    while !running.get("/state").contains("v2") {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    stop.send(()).expect("the upstream waits");
    for text in ["data: e4", "data: e5", "data: e6", END] {
        caller.read_until(text);
    }
}
