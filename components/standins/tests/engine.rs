//! Tests the stand-in engine over HTTP.

use serde_json::{Value, json};
use standins::engine::text::{self, Message};
use standins::engine::{Engine, EngineConfig, EngineFault};
use types::prelude::*;

fn version() -> VersionId {
    "brief-large@2026-11".parse().unwrap()
}

fn config() -> EngineConfig {
    EngineConfig {
        versions: vec![version()],
        ..EngineConfig::default()
    }
}

fn start() -> Engine {
    Engine::start(config()).unwrap()
}

fn chat(stream: bool) -> Value {
    json!({
        "model": version(),
        "messages": [{ "role": "user", "content": "tag-1 write a brief" }],
        "max_tokens": 6,
        "stream": stream,
    })
}

fn send(engine: &Engine, path: &str, body: &Value) -> attohttpc::Result<attohttpc::Response> {
    let url = format!("http://{}{path}", engine.address());
    let request = attohttpc::post(url).header("X-Request-Id", "attempt-1");
    request.json(body)?.send()
}

fn send_chat(engine: &Engine, body: &Value) -> attohttpc::Result<attohttpc::Response> {
    send(engine, "/v1/chat/completions", body)
}

fn expected_answer() -> String {
    let messages = [Message::new("user", "tag-1 write a brief")];
    text::answer(&version(), &messages, 6)
}

/// Returns the text of a stream and whether it ended with `[DONE]`.
fn parse_stream(body: &str) -> (String, bool) {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.clone().filter(|data| *data != "[DONE]");
    let texts = chunks.filter_map(|data| {
        let chunk = serde_json::from_str::<Value>(data).unwrap();
        let text = chunk["choices"][0]["delta"]["content"].as_str();
        text.map(str::to_owned)
    });
    let text = texts.collect::<String>();
    (text, data.clone().next_back() == Some("[DONE]"))
}

#[test]
fn can_answer_with_and_without_streaming() {
    let engine = start();
    let whole = send_chat(&engine, &chat(false)).unwrap();
    assert_eq!(whole.headers()["x-request-id"], "attempt-1");
    assert_eq!(whole.headers()["x-engine-load"], "0/16/0");
    let whole = whole.json::<Value>().unwrap();
    assert_eq!(whole["id"], "attempt-1");
    assert_eq!(whole["choices"][0]["message"]["content"], expected_answer());
    assert_eq!(whole["usage"]["completion_tokens"], 6);
    let stream = send_chat(&engine, &chat(true)).unwrap().text().unwrap();
    assert_eq!(parse_stream(&stream), (expected_answer(), true));
    assert_eq!(engine.runs().len(), 2);
    assert_eq!(engine.runs()[0].tag, "tag-1");
}

#[test]
fn can_resume_a_partial_answer() {
    // With all 6 tokens there already, the resumed run adds no text.
    let engine = start();
    for tokens in [2, 6] {
        let partial = expected_answer()
            .split_inclusive(' ')
            .take(tokens)
            .collect::<String>();
        let mut body = chat(false);
        body["continue_final_message"] = json!(true);
        body["max_tokens"] = json!((6 - tokens).max(1));
        let messages = body["messages"].as_array_mut().unwrap();
        messages.push(json!({ "role": "assistant", "content": partial }));
        let rest = send_chat(&engine, &body).unwrap().json::<Value>().unwrap();
        let rest = rest["choices"][0]["message"]["content"].as_str().unwrap();
        assert_eq!(partial + rest, expected_answer());
    }
    assert!(engine.runs().iter().all(|run| run.resumed));
}

#[test]
fn errors_refused_or_reset_before_and_after_a_run() {
    // Only the refusal of a request that did not run may carry `X-Not-Run`. A plain refusal
    // or a reset may come before or after the run.
    let engine = start();
    let faults = [
        EngineFault::RefuseNotRun,
        EngineFault::Refuse,
        EngineFault::RefuseAfterRun,
    ];
    let refused = faults.map(|fault| {
        engine.fail_next(fault);
        let response = send_chat(&engine, &chat(true)).unwrap();
        let not_run = response.headers().contains_key("x-not-run");
        (response.status().as_u16(), not_run, engine.counters().runs)
    });
    assert_eq!(refused, [(503, true, 0), (503, false, 0), (503, false, 1)]);
    for (fault, runs) in [(EngineFault::ResetBefore, 1), (EngineFault::ResetAfter, 2)] {
        engine.fail_next(fault);
        assert!(send_chat(&engine, &chat(true)).is_err());
        assert_eq!(engine.counters().runs, runs);
    }
}

#[test]
fn errors_truncated_broken_and_crossed_answers() {
    let engine = start();
    engine.fail_next(EngineFault::Truncate(2));
    let cut = send_chat(&engine, &chat(true)).unwrap().text().unwrap();
    assert!(matches!(parse_stream(&cut), (text, false) if expected_answer().starts_with(&text)));
    engine.fail_next(EngineFault::Break(2));
    assert!(send_chat(&engine, &chat(true)).unwrap().text().is_err());
    engine.fail_next(EngineFault::Break(2));
    let whole = send_chat(&engine, &chat(false)).unwrap();
    let announced = whole.headers()["content-length"]
        .to_str()
        .unwrap()
        .to_owned();
    assert!(whole.bytes().unwrap().len() < announced.parse::<usize>().unwrap());
    engine.fail_next(EngineFault::Crossed);
    let crossed = send_chat(&engine, &chat(false))
        .unwrap()
        .json::<Value>()
        .unwrap();
    assert_ne!(crossed["id"], "attempt-1");
    assert_ne!(
        crossed["choices"][0]["message"]["content"],
        expected_answer()
    );
    engine.fail_next(EngineFault::CrossedAfter(3));
    let crossed = send_chat(&engine, &chat(true)).unwrap().text().unwrap();
    assert!(crossed.contains("attempt-1") && crossed.contains("of-another-request"));
}

#[test]
fn can_free_the_slot_of_a_disconnected_client() {
    // A client disconnects in the middle of a stalled stream. Its slot, the only one of the
    // engine, must be freed, or the next request would never run.
    let engine = Engine::start(EngineConfig {
        slots: 1,
        ..config()
    })
    .unwrap();
    engine.fail_next(EngineFault::Stall(1));
    let stalled = send_chat(&engine, &chat(true)).unwrap();
    drop(stalled);
    let next = send_chat(&engine, &chat(false)).unwrap();
    assert_eq!(next.status().as_u16(), 200);
    assert_eq!(engine.counters().cancelled, 1);
}

#[test]
fn can_apply_orders_and_refuse_stale_fencing_tokens() {
    // An order with a lower fencing token than the last accepted one must have no effect.
    let engine = Engine::start(EngineConfig {
        load_time: Span::ZERO,
        ..config()
    })
    .unwrap();
    let load = |fencing: u64| json!({ "version": "brief-large@2026-12", "fencing": fencing });
    let status = |response: attohttpc::Response| response.status().as_u16();
    assert_eq!(
        status(send(&engine, "/orders/load", &load(7)).unwrap()),
        202
    );
    let old = send(&engine, "/orders/unload", &load(6)).unwrap();
    assert_eq!(old.status().as_u16(), 409);
    assert_eq!(old.json::<Value>().unwrap(), json!({ "fencing": 7 }));
    let mut body = chat(false);
    body["model"] = json!("brief-large@2026-12");
    assert_eq!(status(send_chat(&engine, &body).unwrap()), 200);
    let leaving = json!({ "role": "leaving", "fencing": 8 });
    assert_eq!(
        status(send(&engine, "/orders/role", &leaving).unwrap()),
        200
    );
    let refused = send_chat(&engine, &body).unwrap();
    assert_eq!(refused.headers()["x-not-run"], "true");
    body["model"] = json!("brief-large@2020-01");
    let url = format!("http://{}/load", engine.address());
    let report = attohttpc::get(url).send().unwrap().json::<Value>().unwrap();
    assert_eq!(report["leaving"], true);
    assert_eq!(report["versions"].as_array().unwrap().len(), 2);
}

#[test]
fn can_report_cache_events_with_gaps() {
    // Every third event is lost, and a cache of 12 tokens is too small for four prompts.
    let engine = Engine::start(EngineConfig {
        cache_event_lag: Span::ZERO,
        cache_event_gap: 3,
        cache_tokens: 12,
        ..config()
    })
    .unwrap();
    for n in 0..4 {
        let mut body = chat(false);
        body["messages"][0]["content"] = json!(format!("prompt number {n} of four"));
        send_chat(&engine, &body).unwrap();
    }
    let url = format!("http://{}/cache/events?after=1", engine.address());
    let events = attohttpc::get(url).send().unwrap().json::<Value>().unwrap();
    let events = events["events"].as_array().unwrap();
    let seqs = events.iter().map(|e| e["seq"].as_u64().unwrap());
    assert!(seqs.clone().all(|seq| seq % 3 != 0));
    assert!(events.iter().any(|e| e["kind"] == "evicted"));
}

#[test]
fn can_run_requests_in_order_of_priority() {
    // A request with the lower priority value gets the slot first, although it came later.
    let engine = Engine::start(EngineConfig {
        slots: 1,
        ..config()
    })
    .unwrap();
    engine.fail_next(EngineFault::Stall(1));
    let stalled = send_chat(&engine, &chat(true)).unwrap();
    std::thread::scope(|scope| {
        for (tag, priority) in [("batch", 1), ("person", 0)] {
            let mut body = chat(false);
            body["messages"][0]["content"] = json!(tag);
            body["priority"] = json!(priority);
            let engine = &engine;
            scope.spawn(move || send_chat(engine, &body).unwrap());
            while engine.waiting() < 2 - priority {
                std::thread::sleep(std::time::Duration::from_millis(1));
            }
        }
        drop(stalled);
    });
    let tags = engine.runs().into_iter().map(|run| run.tag);
    assert_eq!(tags.collect::<Vec<_>>(), ["tag-1", "person", "batch"]);
}

#[test]
fn errors_request_expires_in_the_queue() {
    // A request that gets no slot before its deadline is refused as not run.
    let engine = Engine::start(EngineConfig {
        slots: 1,
        ..config()
    })
    .unwrap();
    engine.fail_next(EngineFault::Stall(1));
    let _stalled = send_chat(&engine, &chat(true)).unwrap();
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let request = attohttpc::post(url).header("X-Deadline-Ms", "30");
    let refused = request.json(&chat(true)).unwrap().send().unwrap();
    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(refused.headers()["x-not-run"], "true");
    assert_eq!(engine.counters().runs, 1);
}
