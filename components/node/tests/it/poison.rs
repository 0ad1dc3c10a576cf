//! Requests that end the engines which run them.

use std::collections::BTreeSet;
use std::time::Duration;

use standins::engine::EngineConfig;
use standins::platform::PlatformConfig;
use types::prelude::*;

use super::harness::{CATALOGUE, Harness, ask, ask_about, wait_until};

/// Engines that may end under one request, and repeats of it that may reach one afterwards.
const ALLOWED: usize = 3;
const ENGINES: usize = 12;

/// The usual catalogue before so many engines.
fn catalogue() -> String {
    let line = |n: usize| {
        format!(
            "      - {{id: e{n}, address: '10.0.0.{n}:80', failure_domain: kaloor, slots: 256}}\n"
        )
    };
    let first = CATALOGUE.find("      - {id: e1").expect("engines");
    let rest = CATALOGUE.find("  services/desk").expect("a desk");
    let engines = (10..10 + ENGINES).map(line).collect::<String>();
    // The desk's upstreams have addresses of the same form.
    format!("{}{engines}{}", &CATALOGUE[..first], &CATALOGUE[rest..])
}

/// Ends every engine that runs something, as their programs would under it.
fn end_those_at_work(harness: &mut Harness, ended: &mut BTreeSet<UpstreamId>) {
    for (id, engine) in &mut harness.platform.engines {
        if engine.running() > 0 && ended.insert(id.clone()) {
            engine.stop();
        }
    }
}

/// Sends a request by a daemon while every engine that runs it ends.
fn send_poison(harness: &mut Harness, daemon: usize, ended: &mut BTreeSet<UpstreamId>) {
    let post = harness.post(daemon, "/v1/chat/completions");
    let sending = std::thread::spawn(move || {
        let answer = post.json(&ask("answers", true, 2_000)).unwrap().send();
        // How it ends is another matter; the stream is read to its end.
        let _ = answer.map(|answer| answer.bytes());
    });
    while !sending.is_finished() {
        end_those_at_work(harness, ended);
        std::thread::sleep(Duration::from_millis(1));
    }
    sending.join().unwrap();
}

#[test]
fn can_bar_a_request_that_ends_its_engines() {
    // A customer's request crashes each engine that begins to run it, by either of two daemons.
    // Its attempts go to further engines, and its caller's repeats begin anew: all engines end.
    let engine = EngineConfig {
        token_time: Span::from_millis(5),
        ..EngineConfig::default()
    };
    let cfg = PlatformConfig {
        engine,
        ..PlatformConfig::default()
    };
    let mut harness = Harness::with_catalogue(&cfg, &catalogue(), 2);
    harness.wait_joined();
    let mut ended = BTreeSet::new();
    for n in 0..6 {
        send_poison(&mut harness, n % 2, &mut ended);
    }
    let ended = ended.len();
    assert!(
        ended >= ALLOWED,
        "{ended} engines ended: nothing was played"
    );
    assert!(ended <= 2 * ALLOWED, "{ended} engines ended");
    for daemon in 0..2 {
        wait_until(|| {
            harness.dump(daemon)["barred"]
                .as_array()
                .is_some_and(|b| b.len() == 1)
        });
        let answer = harness
            .post(daemon, "/v1/chat/completions")
            .json(&ask("answers", true, 2_000))
            .unwrap()
            .send()
            .unwrap();
        assert_eq!(answer.status().as_u16(), 503);
        assert!(answer.headers().contains_key("retry-after"));
    }
    let other = harness.chat(&ask_about(1, "answers", false, 5));
    assert_eq!(other.status().as_u16(), 200);
}
