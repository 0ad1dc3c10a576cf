//! Quarantine of requests that crash the engines which run them.

use std::collections::BTreeSet;
use std::time::Duration;

use standins::engine::EngineConfig;
use standins::platform::PlatformConfig;
use types::prelude::*;

use super::harness::{CATALOGUE, Harness, chat_body, chat_body_about, wait_until};

/// Engines that may crash under one request, and as many again for its retries afterwards.
const MAX_CRASHES: usize = 3;
const ENGINES: usize = 12;

/// The usual catalogue with [`ENGINES`] engines.
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

/// Stops every engine that runs a request, as if the request had crashed it.
fn crash_busy_engines(harness: &mut Harness, ended: &mut BTreeSet<UpstreamId>) {
    for (id, engine) in &mut harness.platform.engines {
        if engine.running() > 0 && ended.insert(id.clone()) {
            engine.stop();
        }
    }
}

/// Sends a request through a daemon while every engine that runs it crashes.
fn send_crashing_request(harness: &mut Harness, daemon: usize, ended: &mut BTreeSet<UpstreamId>) {
    let post = harness.post(daemon, "/v1/chat/completions");
    let sending = std::thread::spawn(move || {
        let answer = post
            .json(&chat_body("answers", true, 2_000))
            .unwrap()
            .send();
        // The stream is read to its end, however it ends.
        let _ = answer.map(|answer| answer.bytes());
    });
    while !sending.is_finished() {
        crash_busy_engines(harness, ended);
        std::thread::sleep(Duration::from_millis(1));
    }
    sending.join().unwrap();
}

#[test]
fn can_quarantine_a_request_that_crashes_its_engines() {
    // A customer's request crashes each engine that starts to run it, through either of two
    // daemons. Without quarantine its attempts, and then its caller's retries, crash all engines.
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
        send_crashing_request(&mut harness, n % 2, &mut ended);
    }
    let ended = ended.len();
    assert!(
        ended >= MAX_CRASHES,
        "{ended} engines ended: nothing was played"
    );
    assert!(ended <= 2 * MAX_CRASHES, "{ended} engines ended");
    for daemon in 0..2 {
        wait_until(|| {
            harness.dump(daemon)["barred"]
                .as_array()
                .is_some_and(|b| b.len() == 1)
        });
        let answer = harness
            .post(daemon, "/v1/chat/completions")
            .json(&chat_body("answers", true, 2_000))
            .unwrap()
            .send()
            .unwrap();
        assert_eq!(answer.status().as_u16(), 503);
        assert!(answer.headers().contains_key("retry-after"));
    }
    let other = harness.chat(&chat_body_about(1, "answers", false, 5));
    assert_eq!(other.status().as_u16(), 200);
}
