//! Roll-outs driven by the daemons, controlled through the operators' API.

use attohttpc::Method;
use serde_json::{Value, json};
use standins::platform::PlatformConfig;
use types::prelude::*;

use super::harness::{Harness, chat_body, wait_until};

fn post(harness: &Harness, index: usize, path: &str, body: &Value) {
    let call = harness.operator(index, Method::POST, path).json(body);
    let answer = call.unwrap().send().unwrap();
    let status = answer.status().as_u16();
    assert_eq!(status, 200, "{path}: {}", answer.text().unwrap());
}

fn start_rollout(harness: &Harness) {
    let gate = json!({"ratings": 0, "stay": "0s"});
    let start = json!({"to": "v2", "from": "v1", "steps": ["0.5", "1"], "gate": gate});
    post(harness, 0, "/rollouts/small/start", &start);
}

fn rollout(harness: &Harness, index: usize) -> Value {
    harness.status(index, "/rollouts")["rollouts"][0].clone()
}

fn is_done(harness: &Harness) -> bool {
    rollout(harness, 0)["rollout"]["state"] == "done"
}

/// Number of engines that can run a version, by their own load reports.
fn ready(harness: &Harness, version: &str) -> usize {
    let engines = harness.platform.engines.values();
    let reports = engines.map(|engine| {
        let report = attohttpc::get(format!("http://{}/load", engine.address())).send();
        report.unwrap().text().unwrap()
    });
    reports
        .filter(|report| report.contains(&format!("\"small@{version}\"")))
        .count()
}

#[test]
fn can_roll_out_a_version_and_withdraw_the_old_one() {
    let harness = Harness::with_daemons(&PlatformConfig::default(), 2);
    harness.wait_joined();
    assert_eq!(ready(&harness, "v2"), 0);
    start_rollout(&harness);
    wait_until(|| is_done(&harness));
    assert_eq!(ready(&harness, "v2"), 2);
    // Every load took a slot of the weight store.
    let version: VersionId = "small@v2".parse().unwrap();
    assert!(harness.platform.weights.slots()[&version] >= 2);
    let answer = harness.chat(&chat_body("answers", false, 4));
    assert_eq!(answer.headers()["x-served-by"], "small@v2");

    post(&harness, 1, "/withdraw/small@v1", &json!({}));
    wait_until(|| ready(&harness, "v1") == 0);
    assert_eq!(ready(&harness, "v2"), 2);
    assert_eq!(
        harness
            .chat(&chat_body("answers", false, 4))
            .status()
            .as_u16(),
        200
    );
}

// The daemon that drives a roll-out leaves in the middle of it, while the weight store gives no
// slots. No progress of the roll-out is stored: another daemon must take over once the lease has
// ended, and finish from the state that it observes.
#[test]
fn can_finish_a_roll_out_after_its_driver_left() {
    let mut harness = Harness::with_daemons(&PlatformConfig::default(), 3);
    harness.wait_joined();
    harness.platform.weights.set_down(true);
    start_rollout(&harness);
    let drives = |harness: &Harness, index: usize| !rollout(harness, index)["fencing"].is_null();
    wait_until(|| (0..3).any(|index| drives(&harness, index)));
    let driver = (0..3).find(|index| drives(&harness, *index)).unwrap();
    let first = rollout(&harness, driver)["fencing"].as_u64().unwrap();
    let _ = harness.nodes.remove(driver).shutdown();

    harness.platform.weights.set_down(false);
    wait_until(|| is_done(&harness));
    let second = (0..2).find_map(|index| rollout(&harness, index)["fencing"].as_u64());
    assert!(second.unwrap() > first);
    assert_eq!(ready(&harness, "v2"), 2);
}
