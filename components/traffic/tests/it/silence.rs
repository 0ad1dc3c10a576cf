//! Upstreams whose host falls silent for a moment and goes on.

use std::sync::mpsc;
use std::time::Duration;

use routes::Retry;

use crate::harness::*;

/// A sound upstream that was silent for a second or so lost all requests that it was working on.
#[test]
fn a_silent_second_costs_no_request_that_an_upstream_works_on() {
    let address = upstream(|served| {
        let request = served.request().expect("one");
        served.fall_silent();
        std::thread::sleep(Duration::from_millis(2_200));
        served.go_on();
        served.write(&answer(id_of(&request), "world"));
    });
    let running = serving(Retry::Never, &[address]);
    let text = running.caller().ask("r1");
    assert!(text.ends_with("world"), "{text}");
}

/// A request that was sent while a sound upstream was silent was lost with its connection.
#[test]
fn a_silent_second_costs_no_request_that_is_on_its_way() {
    let (silent, is_silent) = mpsc::channel::<()>();
    let address = upstream(move |served| {
        let first = served.request().expect("one");
        served.write(&answer(id_of(&first), "first"));
        served.fall_silent();
        let _ = silent.send(());
        std::thread::sleep(Duration::from_millis(1_700));
        served.go_on();
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "world"));
        }
    });
    let running = serving(Retry::Any, &[address]);
    let mut caller = running.caller();
    assert!(caller.ask("r1").ends_with("first"));
    is_silent.recv().expect("it falls silent");
    let text = caller.ask("r2");
    assert!(text.ends_with("world"), "{text}");
    assert_eq!(running.metric("buckthorncross_connects_total"), 1);
}
