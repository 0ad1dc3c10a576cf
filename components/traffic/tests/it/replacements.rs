//! Runs that fall silent and are alive: each goes on until another one is sure to take its place.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use routes::Retry;
use traffic::Command;

use crate::harness::*;

const RESUMABLE: Retry = Retry::Stream { resumable: true };
/// Longer than an upstream may be silent before another one is looked for.
const SILENCE: Duration = Duration::from_millis(4_000);
/// Time after which an upstream that is overloaded refuses a request.
const LATE_REFUSAL: Duration = Duration::from_millis(250);

/// Number of requests that an upstream got.
#[derive(Clone, Default)]
struct Runs(Arc<AtomicUsize>);

impl Runs {
    fn add(&self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }

    fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// An upstream that counts the requests that it gets, and serves each by a script until that returns
/// false.
fn counting(
    serve: impl Fn(&mut Served, &str) -> bool + Send + Sync + 'static,
) -> (SocketAddr, Runs) {
    let runs = Runs::default();
    let count = runs.clone();
    let address = upstream(move |served| {
        while let Some(request) = served.request() {
            count.add();
            if !serve(served, &request) {
                return;
            }
        }
    });
    (address, runs)
}

/// An upstream that falls silent after the first event of a stream, and then completes it.
fn silent_for_a_while() -> (SocketAddr, Runs) {
    counting(|served, request| {
        served.write(&stream_head(id_of(request), 90));
        served.write(&event(1));
        std::thread::sleep(SILENCE);
        (2..=3).for_each(|id| served.write(&event(id)));
        served.write(END);
        true
    })
}

/// An upstream that serves the rest of a stream.
fn serving_the_rest() -> (SocketAddr, Runs) {
    counting(|served, request| {
        served.write(&stream_head(id_of(request), 90));
        let after = field(request, "after").and_then(|id| id.parse().ok());
        (after.unwrap_or(0) + 1..=3).for_each(|id| served.write(&event(id)));
        served.write(END);
        true
    })
}

/// How an upstream turns requests away.
#[derive(Debug, Clone, Copy)]
enum Refusal {
    Rejects,
    Resets,
    Fails,
}

/// An upstream that takes no request.
fn refusing(refusal: Refusal) -> (SocketAddr, Runs) {
    counting(move |served, request| {
        let id = id_of(request);
        match refusal {
            Refusal::Rejects => served.write(&format!(
                "HTTP/1.1 503 Busy\r\nid: {id}\r\nContent-Length: 0\r\n\r\n"
            )),
            Refusal::Resets => served.reset_on_close(),
            Refusal::Fails => served.write(&format!(
                "HTTP/1.1 500 Failed\r\nid: {id}\r\nsigned: 1\r\nContent-Length: 0\r\n\r\n"
            )),
        }
        !matches!(refusal, Refusal::Resets)
    })
}

/// Starts an event loop that sends a caller's request to the first upstream, and knows the others
/// from then on.
fn begin(running: &TestLoop, first: SocketAddr, others: &[SocketAddr]) -> Caller {
    let mut caller = running.caller();
    caller.send(&post("r1", "hello"));
    caller.read_until("data: e1");
    let all = [&[first], others].concat();
    running.send_plan(RESUMABLE, &all, Vec::new());
    caller
}

fn assert_completed(mut caller: Caller) {
    let text = caller.read_to_end_of_answer();
    assert_eq!(events_of(&text), [2, 3], "{text}");
    assert!(text.ends_with(END), "{text}");
}

/// A silent stream was ended before the retry was asked for that it took to resume it.
#[test]
fn a_silent_stream_goes_on_while_no_retry_is_left() {
    let (silent, runs) = silent_for_a_while();
    let (other, others) = serving_the_rest();
    let running = serving_without_retries(RESUMABLE, &[silent]);
    assert_completed(begin(&running, silent, &[other]));
    assert_eq!((runs.get(), others.get()), (1, 0));
}

/// A silent stream was ended though no other upstream could resume it.
#[test]
fn a_silent_stream_goes_on_while_no_other_upstream_is_listed() {
    let (silent, runs) = silent_for_a_while();
    let running = serving(RESUMABLE, &[silent]);
    assert_completed(begin(&running, silent, &[]));
    assert_eq!(runs.get(), 1);
}

/// A silent stream was ended before the upstreams that were to resume it had accepted it.
#[test]
fn a_silent_stream_goes_on_while_other_upstreams_refuse_it() {
    for refusal in [Refusal::Rejects, Refusal::Resets, Refusal::Fails] {
        let (silent, runs) = silent_for_a_while();
        let (other, others) = refusing(refusal);
        let running = serving_with_long_overlap(RESUMABLE, &[silent]);
        assert_completed(begin(&running, silent, &[other, other]));
        assert_eq!(runs.get(), 1, "{refusal:?}");
        assert!((1..=4).contains(&others.get()), "{refusal:?}");
    }
}

/// A silent stream was ended for upstreams that refused it later than at once.
#[test]
fn a_silent_stream_goes_on_while_other_upstreams_refuse_it_late() {
    let (silent, _) = silent_for_a_while();
    let late = upstream(|served| {
        while let Some(request) = served.request() {
            std::thread::sleep(LATE_REFUSAL);
            let id = id_of(&request);
            served.write(&format!(
                "HTTP/1.1 503 Busy\r\nid: {id}\r\nContent-Length: 0\r\n\r\n"
            ));
        }
    });
    let running = serving(RESUMABLE, &[silent]);
    assert_completed(begin(&running, silent, &[late, late]));
}

/// A silent stream was ended though the upstreams that were to resume it could not be reached.
#[test]
fn a_silent_stream_goes_on_while_other_upstreams_are_unreachable() {
    let (silent, runs) = silent_for_a_while();
    let refusing = (0..10).map(|_| refusing_address()).collect::<Vec<_>>();
    let others = refusing.iter().map(|(_, address)| *address);
    let running = serving(RESUMABLE, &[silent]);
    assert_completed(begin(&running, silent, &others.collect::<Vec<_>>()));
    assert_eq!(runs.get(), 1);
}

/// A silent stream was ended beside an unlisted upstream, a new configuration, or a stop command.
#[test]
fn a_silent_stream_goes_on_beside_planned_work() {
    for work in ["unlisted", "reconfigured", "stopping"] {
        let (silent, runs) = silent_for_a_while();
        let (other, others) = serving_the_rest();
        let running = serving_without_retries(RESUMABLE, &[silent]);
        let caller = begin(&running, silent, &[other]);
        match work {
            "unlisted" => {
                running.send_plan_of(RESUMABLE, vec![listed_upstream("new", other)], Vec::new())
            }
            "reconfigured" => running.apply_plan(traffic::Plan {
                upstreams: vec![listed_upstream("u0", silent)],
                daemons: 1,
                is_ready: true,
                table: Some(Arc::new(table_without_customers(2))),
                ..traffic::Plan::default()
            }),
            _ => running
                .handle
                .commands
                .send(Command::Stop)
                .expect("it runs"),
        }
        assert_completed(caller);
        assert_eq!((runs.get(), others.get()), (1, 0), "{work}");
    }
}

/// A run that no other could replace was ended, and its caller got a failure in place of its answer.
#[test]
fn a_silent_answer_is_awaited_while_no_retry_is_left() {
    let runs = Runs::default();
    let count = runs.clone();
    let slow = upstream(move |served| {
        let request = served.request().expect("one");
        count.add();
        std::thread::sleep(SILENCE);
        served.write(&answer(id_of(&request), "world"));
    });
    let running = serving_without_retries(Retry::Any, &[slow, slow]);
    let text = running.caller().ask("r1");
    assert!(text.ends_with("world"), "{text}");
    assert_eq!(runs.get(), 1);
}

/// A run was ended for a second one that was rejected at once.
#[test]
fn a_silent_answer_is_awaited_while_other_upstreams_refuse_it() {
    for refusal in [Refusal::Rejects, Refusal::Resets] {
        let (got, has_got) = mpsc::channel::<()>();
        let slow = upstream(move |served| {
            let request = served.request().expect("one");
            got.send(()).expect("awaited");
            std::thread::sleep(SILENCE);
            served.write(&answer(id_of(&request), "world"));
        });
        let (other, _) = refusing(refusal);
        let running = serving_with_long_overlap(Retry::Any, &[slow]);
        let mut caller = running.caller();
        caller.send(&post("r1", "hello"));
        has_got.recv_timeout(TEST_TIMEOUT).expect("it arrives");
        running.send_plan(Retry::Any, &[slow, other, other], Vec::new());
        let text = caller.answer();
        assert!(text.ends_with("world"), "{refusal:?}: {text}");
    }
}

/// A draft was dropped for a larger model that no upstream would run.
#[test]
fn a_draft_is_kept_while_the_larger_model_is_refused() {
    for refusal in ["503 Busy", "500 Failed"] {
        let address = upstream(move |served| {
            while let Some(request) = served.request() {
                let id = id_of(&request);
                if field(&request, "model") == Some("large") {
                    served.write(&format!(
                        "HTTP/1.1 {refusal}\r\nid: {id}\r\nContent-Length: 0\r\n\r\n"
                    ));
                    continue;
                }
                served.write(&stream_head(id, 10));
                std::thread::sleep(Duration::from_millis(100));
                (1..=3).for_each(|id| served.write(&event(id)));
                served.write(END);
            }
        });
        let running = serving_with_long_overlap(RESUMABLE, &[address, address]);
        let text = running.caller().ask("r1");
        assert_eq!(events_of(&text), [1, 2, 3], "{refusal}: {text}");
    }
}

/// A request whose draft had been dropped was given up with the draft's upstream left.
#[test]
fn a_failed_larger_run_is_retried_at_the_drafts_upstream() {
    let failures = Arc::new(AtomicUsize::new(0));
    let address = upstream(move |served| {
        let request = served.request().expect("one");
        let is_large = field(&request, "model") == Some("large");
        if is_large && failures.fetch_add(1, Ordering::SeqCst) == 0 {
            // Until the draft is dropped.
            std::thread::sleep(Duration::from_millis(500));
            return;
        }
        served.write(&stream_head(
            id_of(&request),
            if is_large { 80 } else { 10 },
        ));
        if is_large {
            (1..=2).for_each(|id| served.write(&event(id)));
            served.write(END);
        } else {
            served.wait_closed();
        }
    });
    let running = serving(RESUMABLE, &[address, address]);
    let text = running.caller().ask("r1");
    assert_eq!(events_of(&text), [1, 2], "{text}");
    assert!(text.ends_with(END), "{text}");
}

/// The old and the new upstream would both run a stream to its end.
#[test]
fn a_replaced_stream_ends_at_its_former_upstream() {
    let (got, has_got) = mpsc::channel::<()>();
    let has_got = std::sync::Mutex::new(has_got);
    let (closed, is_closed) = mpsc::channel();
    let is_closed = std::sync::Mutex::new(is_closed);
    let silent = upstream(move |served| {
        let request = served.request().expect("one");
        served.write(&stream_head(id_of(&request), 90));
        served.write(&event(1));
        served.wait_closed();
        let was_sent = has_got.lock().expect("sound").try_recv().is_ok();
        closed.send(was_sent).expect("awaited");
    });
    // It accepts the request and begins late, as an engine with a queue does.
    let other = upstream(move |served| {
        let request = served.request().expect("one");
        got.send(()).expect("awaited");
        let is_closed = is_closed.lock().expect("sound");
        let was_sent = is_closed.recv_timeout(TEST_TIMEOUT).expect("closed");
        assert!(was_sent, "the former run ended first");
        served.write(&stream_head(id_of(&request), 90));
        (2..=3).for_each(|id| served.write(&event(id)));
        served.write(END);
    });
    let running = serving(RESUMABLE, &[silent]);
    assert_completed(begin(&running, silent, &[other]));
}

/// A run that went on while its replacement had not begun was ended all the same.
#[test]
fn a_stream_that_goes_on_before_its_replacement_stays_where_it_is() {
    let (got, has_got) = mpsc::channel::<()>();
    let has_got = std::sync::Mutex::new(has_got);
    let silent = upstream(move |served| {
        let request = served.request().expect("one");
        served.write(&stream_head(id_of(&request), 90));
        served.write(&event(1));
        let other_got = has_got.lock().expect("sound");
        other_got.recv_timeout(TEST_TIMEOUT).expect("it arrives");
        (2..=3).for_each(|id| served.write(&event(id)));
        served.write(END);
    });
    let (closed, is_closed) = mpsc::channel();
    let other = upstream(move |served| {
        served.request().expect("one");
        got.send(()).expect("awaited");
        served.wait_closed();
        closed.send(()).expect("awaited");
    });
    let running = serving_with_long_overlap(RESUMABLE, &[silent]);
    assert_completed(begin(&running, silent, &[other]));
    let ended = is_closed.recv_timeout(TEST_TIMEOUT);
    assert!(ended.is_ok(), "the replacement still runs");
}

/// Answers of the new version that broke off or never came.
fn broken_answers(running: &TestLoop) -> u32 {
    let evidence = running.handle.observed.evidence();
    evidence
        .get("service")
        .map_or(0, |evidence| evidence.new.sum().broken)
}

/// A version whose upstreams hang showed no failure while no retry was left to replace their runs.
#[test]
fn a_silent_run_counts_against_its_version_while_it_goes_on() {
    for retry in [Retry::Any, RESUMABLE] {
        let hanging = upstream(move |served| {
            let request = served.request().expect("one");
            if retry.is_stream() {
                served.write(&stream_head(id_of(&request), 90));
                served.write(&event(1));
            }
            served.wait_closed();
        });
        let running = serving_without_retries(retry, &[hanging]);
        running.send_plan(retry, &[hanging], vec![gate_of_all()]);
        let mut caller = running.caller();
        caller.send(&post("r1", "hello"));
        wait_until("its silence counts", || broken_answers(&running) == 1);
        assert_eq!(running.state_number("requests"), 1, "{retry:?}");
        drop(caller);
        wait_until("its end", || running.state_number("requests") == 0);
        assert_eq!(broken_answers(&running), 1, "{retry:?}");
    }
}

/// New requests went to a silent upstream for as long as the run there was kept.
#[test]
fn an_upstream_with_a_silent_run_gets_no_new_requests() {
    let silent = upstream(|served| {
        if served.request().is_some() {
            served.wait_closed();
        }
    });
    let running = serving_without_retries(Retry::Any, &[silent]);
    running.send_plan(Retry::Any, &[silent], vec![gate_of_all()]);
    let mut caller = running.caller();
    caller.send(&post("r1", "hello"));
    wait_until("its silence counts", || broken_answers(&running) == 1);
    let sound = upstream(|served| {
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "world"));
        }
    });
    running.send_plan(Retry::Any, &[silent, sound], Vec::new());
    let text = running.caller().ask("r2");
    assert!(text.ends_with("world"), "{text}");
}

/// The former run broke while its replacement had the request, and took that with it.
#[test]
fn a_replacement_outlives_the_run_that_it_replaces() {
    for retry in [Retry::Any, RESUMABLE] {
        let (got, has_got) = mpsc::channel::<()>();
        let has_got = std::sync::Mutex::new(has_got);
        let (first, is_first) = mpsc::channel::<()>();
        let silent = upstream(move |served| {
            let request = served.request().expect("one");
            if retry.is_stream() {
                served.write(&stream_head(id_of(&request), 90));
                served.write(&event(1));
            }
            first.send(()).expect("awaited");
            let other_got = has_got.lock().expect("sound");
            other_got.recv_timeout(TEST_TIMEOUT).expect("it arrives");
            served.reset();
        });
        let runs = Runs::default();
        let count = runs.clone();
        let other = upstream(move |served| {
            let request = served.request().expect("one");
            count.add();
            got.send(()).expect("awaited");
            std::thread::sleep(Duration::from_millis(600));
            match retry.is_stream() {
                true => {
                    served.write(&stream_head(id_of(&request), 90));
                    (2..=3).for_each(|id| served.write(&event(id)));
                    served.write(END);
                }
                false => served.write(&answer(id_of(&request), "world")),
            }
        });
        let running = serving_with_long_overlap(retry, &[silent]);
        let mut caller = running.caller();
        caller.send(&post("r1", "hello"));
        is_first.recv_timeout(TEST_TIMEOUT).expect("it arrives");
        running.send_plan(retry, &[silent, other], Vec::new());
        let text = caller.answer();
        match retry.is_stream() {
            true => assert_eq!(events_of(&text), [1, 2, 3], "{text}"),
            false => assert!(text.ends_with("world"), "{text}"),
        }
        assert_eq!(runs.get(), 1, "{retry:?}");
        let granted = "buckthorncross_retries_total{charge=\"Granted\"}";
        assert_eq!(running.metric(granted), 1, "{retry:?}");
    }
}

/// An answer whose head had come late was ended for another one before its body was read.
#[test]
fn an_answer_that_has_begun_is_not_replaced() {
    let (got, has_got) = mpsc::channel::<()>();
    let slow = upstream(move |served| {
        let request = served.request().expect("one");
        got.send(()).expect("awaited");
        std::thread::sleep(Duration::from_millis(3_400));
        let text = answer(id_of(&request), "world");
        let (head, body) = text.split_at(text.len() - 5);
        served.write(head);
        std::thread::sleep(Duration::from_millis(1_500));
        served.write(body);
    });
    let (other, others) = refusing(Refusal::Rejects);
    let running = serving(Retry::Any, &[slow]);
    let mut caller = running.caller();
    caller.send(&post("r1", "hello"));
    has_got.recv_timeout(TEST_TIMEOUT).expect("it arrives");
    running.send_plan(Retry::Any, &[slow, other], Vec::new());
    let text = caller.answer();
    assert!(text.ends_with("world"), "{text}");
    assert_eq!(others.get(), 0);
}

/// An event that arrived in pieces over a bad link ended its stream.
#[test]
fn a_slow_event_does_not_end_its_stream() {
    let slow = upstream(|served| {
        let request = served.request().expect("one");
        served.write(&stream_head(id_of(&request), 90));
        served.write(&event(1));
        for byte in event(2).chars() {
            served.write(&byte.to_string());
            std::thread::sleep(Duration::from_millis(180));
        }
        served.write(&event(3));
        served.write(END);
    });
    let running = serving_without_retries(RESUMABLE, &[slow]);
    let mut caller = running.caller();
    caller.send(&post("r1", "hello"));
    assert_eq!(events_of(&caller.answer()), [1, 2, 3]);
}

/// An upstream that falls silent after the first event and reports when its connection is closed.
fn silent_for_good() -> (SocketAddr, mpsc::Receiver<()>) {
    let (closed, is_closed) = mpsc::channel();
    let address = upstream(move |served| {
        let request = served.request().expect("one");
        served.write(&stream_head(id_of(&request), 90));
        served.write(&event(1));
        served.wait_closed();
        closed.send(()).expect("awaited");
    });
    (address, is_closed)
}

/// A daemon that leaves would keep a silent stream to the end of its grace period, and cut it there.
#[test]
fn a_silent_stream_is_replaced_while_the_daemon_leaves() {
    let (silent, is_closed) = silent_for_good();
    let (other, others) = serving_the_rest();
    let running = serving(RESUMABLE, &[silent]);
    let caller = begin(&running, silent, &[other]);
    let commands = &running.handle.commands;
    commands.send(Command::Stop).expect("it runs");
    assert_completed(caller);
    assert_eq!(others.get(), 1);
    is_closed.recv_timeout(TEST_TIMEOUT).expect("it is closed");
}

/// A silent stream would be lost with the route, the customer and the upstream that it began with.
#[test]
fn a_silent_stream_is_replaced_after_its_route_customer_and_upstream_are_removed() {
    let (silent, is_closed) = silent_for_good();
    let (other, others) = serving_the_rest();
    let running = serving(RESUMABLE, &[silent]);
    let caller = begin(&running, silent, &[]);
    running.apply_plan(traffic::Plan {
        table: Some(Arc::new(table_without_routes(2))),
        ..plan(RESUMABLE, vec![listed_upstream("new", other)])
    });
    assert_eq!(status_of(&running.caller().ask("r2")), 404);
    assert_completed(caller);
    assert_eq!(others.get(), 1);
    is_closed.recv_timeout(TEST_TIMEOUT).expect("it is closed");
}

/// A silent stream was ended for a version to which a decided roll-out leads, but which refused it.
#[test]
fn a_silent_stream_of_a_version_that_is_left_goes_on_while_the_new_one_refuses_it() {
    let (silent, runs) = silent_for_a_while();
    let (other, others) = refusing(Refusal::Rejects);
    let running = serving(RESUMABLE, &[silent]);
    let caller = begin(&running, silent, &[]);
    let of_new_version = routes::Upstream {
        version: Arc::from("v2"),
        ..(*listed_upstream("new", other)).clone()
    };
    let gate = dispatch::Gate {
        to: Arc::from("v2"),
        ..gate_of_all()
    };
    let listed = vec![listed_upstream("u0", silent), Arc::new(of_new_version)];
    running.send_plan_of(RESUMABLE, listed, vec![gate]);
    assert_completed(caller);
    assert_eq!(runs.get(), 1);
    assert!(others.get() >= 1);
}

/// A request that was taken back for a suspected part failed when no retry was left at that moment.
#[test]
fn a_request_that_is_taken_back_waits_for_a_retry() {
    const PART: u64 = 77;
    let (got, has_got) = mpsc::channel();
    let silent = upstream(move |served| {
        let Some(request) = served.request() else {
            return;
        };
        got.send(id_of(&request).to_owned()).expect("awaited");
        served.wait_closed();
    });
    let other = upstream(|served| {
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "world"));
        }
    });
    let running = serving_with_half_retries(Retry::Any, &[silent]);
    let mut caller = running.caller();
    let request = post("r1", "hello").replace("prompt", &format!("shared: {PART}\r\nprompt"));
    caller.send(&request);
    has_got.recv_timeout(TEST_TIMEOUT).expect("it arrives");
    running.send_plan_of(Retry::Any, vec![listed_upstream("new", other)], Vec::new());
    let crashed = poison::CrashedAttempt {
        contents: poison::Contents::new(poison::Content::of("", "", "", "", b"x"), [PART]),
        customer: None,
        had_started: false,
        ran: types::prelude::Span::ZERO,
    };
    let instance = poison::UpstreamInstance {
        id: types::prelude::UpstreamId::new("gone").expect("a name"),
        started_at: None,
    };
    let now = running.clock.now();
    let mut suspects = running.handle.suspects.lock();
    suspects.upstream_crashed(now, &instance, &[crashed]);
    drop(suspects);
    // It is taken back meanwhile. The requests after it make the retry that it takes.
    std::thread::sleep(Duration::from_millis(400));
    for n in 2..6 {
        assert_eq!(status_of(&running.caller().ask(&format!("r{n}"))), 200);
    }
    let text = caller.answer();
    assert!(text.ends_with("world"), "{text}");
}

/// A stream that broke was cut at once when no retry was left at that moment.
#[test]
fn a_stream_that_broke_waits_for_a_retry() {
    let broken = upstream(|served| {
        let request = served.request().expect("one");
        served.write(&stream_head(id_of(&request), 90));
        served.write(&event(1));
        served.reset();
    });
    let (other, others) = serving_the_rest();
    let running = serving_with_half_retries(RESUMABLE, &[broken]);
    let mut caller = begin(&running, broken, &[other]);
    wait_until("it broke", || {
        running.get("/metrics").contains("attempts_total 1")
    });
    for n in 0..2 {
        assert!(running.caller().ask(&format!("o{n}")).ends_with(END));
    }
    let text = caller.read_to_end_of_answer();
    assert_eq!(events_of(&text), [2, 3], "{text}");
    assert!(others.get() >= 1);
}

/// Drafts of a low confidence were the answer beside upstreams that had just crashed.
#[test]
fn a_draft_is_replaced_past_upstreams_that_are_unreachable() {
    let sound = || {
        upstream(|served| {
            while let Some(request) = served.request() {
                let is_large = field(&request, "model") == Some("large");
                let sure = if is_large { 80 } else { 10 };
                served.write(&stream_head(id_of(&request), sure));
                if !is_large {
                    return served.wait_closed();
                }
                (1..=3).for_each(|id| served.write(&event(id)));
                served.write(END);
            }
        })
    };
    for _ in 0..6 {
        let first = sound();
        let crashed = (0..3).map(|_| refusing_address()).collect::<Vec<_>>();
        let crashed = crashed.iter().map(|(_, address)| *address);
        let all = crashed.chain([first, sound()]).collect::<Vec<_>>();
        let running = serving(RESUMABLE, &all);
        let text = running.caller().ask("r1");
        assert!(text.contains("sure: 80"), "{text}");
    }
}
