//! Streams of engines that are silent for longer than a pause between two tokens should last.

use standins::engine::{EngineConfig, EngineFault};
use standins::platform::PlatformConfig;
use types::prelude::*;

use super::harness::{CATALOGUE, Harness, chat_body, events, text_of};

/// Longer than an engine may be silent before another one is looked for.
const SILENCE: Span = Span::from_secs(12);

/// Starts a daemon in front of one engine with this configuration.
fn before_one_engine(engine: EngineConfig) -> Harness {
    let cfg = PlatformConfig {
        engine,
        ..PlatformConfig::default()
    };
    let lines = CATALOGUE.lines().filter(|line| !line.contains("id: e2"));
    Harness::with_catalogue(&cfg, &lines.collect::<Vec<_>>().join("\n"), 1)
}

fn runs(harness: &Harness) -> u64 {
    let engines = harness.platform.engines.values();
    engines.map(|engine| engine.counters().runs).sum()
}

fn assert_streamed(data: &[String]) {
    assert_eq!(data.last().map(String::as_str), Some("[DONE]"), "{data:?}");
    assert!(!text_of(data).is_empty(), "{data:?}");
}

/// A silent stream was ended though no other engine could resume it.
#[test]
fn a_silent_stream_goes_on_while_there_is_no_other_engine() {
    let harness = before_one_engine(EngineConfig {
        token_time: SILENCE,
        ..EngineConfig::default()
    });
    let (_, _, reader) = harness.chat(&chat_body("answers", true, 2)).split();
    assert_streamed(&events(reader));
    assert_eq!(runs(&harness), 1);
}

/// A stream was given up before its first token though nothing may run it again.
#[test]
fn a_silent_stream_that_must_not_run_twice_is_awaited() {
    let harness = Harness::start(&PlatformConfig::default());
    for engine in harness.platform.engines.values() {
        engine.set_faults(|faults| faults.delay = SILENCE);
    }
    let call = harness.post(0, "/v1/chat/completions");
    let call = call.header("x-non-idempotent", "true");
    let body = chat_body("answers", true, 5);
    let (status, _, reader) = call.json(&body).unwrap().send().unwrap().split();
    assert_eq!(status.as_u16(), 200);
    assert_streamed(&events(reader));
    assert_eq!(runs(&harness), 1);
}

/// A stalled stream would wait for its deadline though another engine can resume it.
#[test]
fn a_silent_stream_is_resumed_by_another_engine() {
    let harness = Harness::start(&PlatformConfig::default());
    for engine in harness.platform.engines.values() {
        engine.fail_next(EngineFault::Stall(2));
    }
    let (_, _, reader) = harness.chat(&chat_body("answers", true, 5)).split();
    let data = events(reader);
    assert_streamed(&data);
    let last: serde_json::Value = serde_json::from_str(&data[data.len() - 2]).unwrap();
    assert_eq!(last["buckthorncross"]["attempts"], 3);
}
