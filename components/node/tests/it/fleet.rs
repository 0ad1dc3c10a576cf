//! A fleet of several daemons.

use attohttpc::Method;
use serde_json::{Value, json};
use standins::platform::PlatformConfig;

use super::harness::{
    Harness, chat_body, chat_body_about, json_of, platform_with_quality, wait_until,
};

const MODEL: &str = "/catalogue/models/small";

/// The model's entry with both versions withdrawn.
fn withdrawn() -> Value {
    json!({
        "owner": "licensing", "kind": "model", "service": "services/engines",
        "versions": {
            "v1": {"state": "withdrawn", "price": {"input": "1.0", "output": "2.0"}},
            "v2": {"state": "withdrawn", "price": {"input": "1.0", "output": "2.0"}},
        },
    })
}

fn put(harness: &Harness, index: usize, etag: &str, body: &Value) -> u16 {
    let builder = harness
        .operator(index, Method::PUT, MODEL)
        .header("if-match", etag);
    builder
        .json(body)
        .unwrap()
        .send()
        .unwrap()
        .status()
        .as_u16()
}

fn etag(harness: &Harness, index: usize) -> String {
    let answer = harness.operator(index, Method::GET, MODEL).send().unwrap();
    answer.headers()["etag"].to_str().unwrap().to_owned()
}

fn chat_status(harness: &Harness, index: usize) -> u16 {
    let builder = harness.post(index, "/v1/chat/completions");
    let builder = builder.json(&chat_body("answers", false, 4)).unwrap();
    builder.send().unwrap().status().as_u16()
}

#[test]
fn can_put_an_edit_in_force_at_every_daemon() {
    let harness = Harness::with_daemons(&PlatformConfig::default(), 3);
    harness.wait_joined();
    assert_eq!(chat_status(&harness, 2), 200);
    let edited = put(&harness, 0, &etag(&harness, 0), &withdrawn());
    assert!(edited < 300, "{edited}");
    wait_until(|| (0..3).all(|index| chat_status(&harness, index) >= 400));
    let engines = harness.platform.engines.values();
    let before: u64 = engines
        .clone()
        .map(|engine| engine.counters().requests)
        .sum();
    assert!((0..3).all(|index| chat_status(&harness, index) >= 400));
    assert_eq!(
        engines
            .map(|engine| engine.counters().requests)
            .sum::<u64>(),
        before
    );
}

#[test]
fn errors_for_the_second_of_two_operators() {
    // Two operators read the same entry at two daemons and both write it. The second must not get
    // the reply that its edit was applied.
    let harness = Harness::with_daemons(&PlatformConfig::default(), 2);
    harness.wait_joined();
    let tags = [etag(&harness, 0), etag(&harness, 1)];
    assert_eq!(tags[0], tags[1]);
    let first = put(&harness, 0, &tags[0], &withdrawn());
    let second = put(&harness, 1, &tags[1], &withdrawn());
    assert!(first < 300, "{first}");
    assert_eq!(second, 412);
}

#[test]
fn can_start_from_peers_with_the_store_down() {
    // A daemon starts during a store outage with nothing on disk. It must get the catalogue from
    // its peers.
    let mut harness = Harness::with_daemons(&PlatformConfig::default(), 2);
    harness.wait_joined();
    harness
        .platform
        .store
        .set_faults(|faults| faults.down = true);
    harness.add_daemon(2);
    assert_eq!(chat_status(&harness, 2), 200);
}

#[test]
fn can_suspend_at_a_daemon_that_rated_nothing() {
    // A bad version has traffic at the first daemon only. The second must not serve it once it is
    // suspended, although the store is down and it has no rating of its own.
    let harness = Harness::with_daemons(&platform_with_quality(0.4), 2);
    harness.wait_joined();
    harness
        .platform
        .store
        .set_faults(|faults| faults.down = true);
    let mut asked = 0;
    wait_until(|| {
        asked += 1;
        let body = chat_body_about(asked, "answers", false, 8);
        harness.chat(&body).status().as_u16() == 503
    });
    wait_until(|| chat_status(&harness, 1) == 503);
}

#[test]
fn can_keep_a_bill_whose_host_died() {
    // A caller has its whole answer; the store is down, and the host dies before any batch is
    // sealed. Another daemon must hold the bill and seal it once the store is back.
    let mut harness = Harness::with_daemons(&PlatformConfig::default(), 3);
    harness.wait_joined();
    harness
        .platform
        .store
        .set_faults(|faults| faults.down = true);
    let answer = harness.chat(&chat_body("answers", false, 4));
    assert!(json_of(answer.split().2)["usage"].is_object());
    harness.nodes.remove(0).abandon();
    harness
        .platform
        .store
        .set_faults(|faults| faults.down = false);
    wait_until(|| {
        let bills = harness
            .operator(0, Method::GET, "/bills?format=json")
            .send()
            .unwrap();
        let text = bills.text().unwrap();
        text.contains("\"requests\":1") || text.contains("\"requests\": 1")
    });
}
