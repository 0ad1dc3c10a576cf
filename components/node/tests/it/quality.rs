//! Suspension of bad versions, and escalation of low-confidence answers.

use attohttpc::Method;
use standins::engine::EngineConfig;
use standins::platform::PlatformConfig;
use standins::rater::RaterConfig;
use types::prelude::*;

use super::harness::{
    CATALOGUE, Harness, chat_body, chat_body_about, json_of, platform_with_quality, wait_until,
};

/// If a suspension or escalation has not come within this many requests, it will not come.
const MAX_REQUESTS: usize = 4000;
/// Code of the refusal when no version may serve.
const NO_VERSION: &str = "no_version";

#[test]
fn can_suspend_a_version_whose_answers_are_bad() {
    // A version's answers are wrong six times in ten. Ratings of a sample must show it, and the
    // version must then get no more requests.
    let harness = Harness::start(&platform_with_quality(0.4));
    let mut statuses = (0..MAX_REQUESTS).map(|index| {
        let body = chat_body_about(index, "answers", false, 8);
        harness.chat(&body).status().as_u16()
    });
    assert_eq!(statuses.find(|status| *status != 200), Some(503));
    drop(statuses);

    // Operators see the suspension and may lift it: the version starts again as unproved.
    let suspended = |harness: &Harness| harness.status(0, "/status")["suspended"].clone();
    assert_eq!(suspended(&harness)[0]["version"], "small@v1");
    let call = harness.operator(0, Method::POST, "/offer/small@v1");
    assert_eq!(call.send().unwrap().status().as_u16(), 200);
    assert_eq!(suspended(&harness).as_array().unwrap().len(), 0);
    assert_eq!(
        harness
            .chat(&chat_body("answers", false, 8))
            .status()
            .as_u16(),
        200
    );
}

/// The usual catalogue with a strong model beside the cheap one; only a mixture or a cascade meets
/// the quality target cheaply.
fn two_models() -> String {
    CATALOGUE
        .replace(
            "  offers/answers:",
            "  models/large:
    kind: model
    owner: licensing
    service: services/engines
    versions:
      v1: {state: offered, price: {input: '40.0', output: '80.0'}}
  offers/answers:",
        )
        .replace("candidates: [small]", "candidates: [small, large]")
        .replace("{ward: [small]}", "{ward: [small, large]}")
}

#[test]
fn can_escalate_low_confidence_answers() {
    // The cheap model is right seven times in ten and states its confidence. Once the confidence is
    // known to distinguish right answers from wrong ones, low-confidence answers must be discarded
    // for the strong model's, and the caller must see a single answer.
    let quality = [("small@v1", 0.7), ("large@v1", 1.0)];
    let class: ClassName = "answer".parse().unwrap();
    let quality = quality.map(|(version, q)| ((version.parse().unwrap(), class.clone()), q));
    let rater = RaterConfig {
        lag: Span::ZERO,
        quality: quality.into_iter().collect(),
        ..RaterConfig::default()
    };
    let engine = EngineConfig {
        answer_tokens: 8,
        ..EngineConfig::default()
    };
    let cfg = PlatformConfig {
        rater,
        engine,
        ..PlatformConfig::default()
    };
    let harness = Harness::with_catalogue(&cfg, &two_models(), 1);
    let mut escalated = (0..MAX_REQUESTS).filter(|index| {
        let body = chat_body_about(*index, "answers", false, 8);
        let (status, headers, reader) = harness.chat(&body).split();
        assert_eq!(status.as_u16(), 200);
        let served_by = headers["x-served-by"].to_str().unwrap();
        let answer = json_of(reader);
        assert_eq!(answer["model"], served_by);
        assert!(answer["choices"][0].get("logprobs").is_none());
        served_by == "large@v1" && headers["x-attempts"] == "2"
    });
    assert!(escalated.next().is_some());
}

// A version turns bad during a store outage. If suspensions were kept in the store, or in one
// daemon only, the other daemon would go on serving it, and an operator's order to offer it again
// would be lost because no edit can be made.
#[test]
fn can_suspend_and_lift_everywhere_while_the_store_is_down() {
    let rater = RaterConfig {
        lag: Span::ZERO,
        default_quality: 1.0,
        ..RaterConfig::default()
    };
    let engine = EngineConfig {
        answer_tokens: 8,
        ..EngineConfig::default()
    };
    let cfg = PlatformConfig {
        rater,
        engine,
        ..PlatformConfig::default()
    };
    let stale_allowed = CATALOGUE.replace(
        "    quality_target: '0.9'",
        "    quality_target: '0.9'\n    freshness: {past_limit: serve}",
    );
    let harness = Harness::with_catalogue(&cfg, &stale_allowed, 2);
    let serves = |daemon, index| refusal(&harness, daemon, index).is_none();
    let suspended = |daemon| refusal(&harness, daemon, MAX_REQUESTS).as_deref() == Some(NO_VERSION);
    assert!((0..100).all(|index| serves(0, index)));
    harness
        .platform
        .store
        .set_faults(|faults| faults.down = true);
    let (version, class) = ("small@v1".parse().unwrap(), "answer".parse().unwrap());
    harness.platform.rater.set_quality(version, class, 0.4);
    let mut bad = 100..MAX_REQUESTS;
    assert!(bad.any(|index| !serves(0, index)));
    wait_until(|| suspended(0) && suspended(1));
    let url = format!(
        "http://{}/offer/small@v1",
        harness.nodes[1].operators_address()
    );
    let response = attohttpc::post(url).bearer_auth("test-token").send();
    assert!(!response.unwrap().is_success(), "the edit can't be made");
    wait_until(|| serves(0, MAX_REQUESTS + 1));
    wait_until(|| serves(1, MAX_REQUESTS + 2));
}

/// Sends a request and returns the code of its refusal, if it is refused.
fn refusal(harness: &Harness, daemon: usize, index: usize) -> Option<String> {
    let body = chat_body_about(index, "answers", false, 8);
    let request = harness.post(daemon, "/v1/chat/completions");
    let (status, _, reader) = request.json(&body).unwrap().send().unwrap().split();
    if status.is_success() {
        return None;
    }
    let body = json_of(reader);
    Some(
        body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
    )
}
