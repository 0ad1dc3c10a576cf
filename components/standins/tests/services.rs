//! Tests the smaller stand-ins: rater, weight store and host list.

use serde_json::{Value, json};
use standins::engine::text;
use standins::hosts::{HostList, HostState, HostsConfig};
use standins::rater::{Rater, RaterConfig};
use standins::weights::{WeightStore, WeightsConfig};
use types::prelude::*;

fn version() -> VersionId {
    "brief-small@2026-10".parse().unwrap()
}

fn post(address: std::net::SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let url = format!("http://{address}{path}");
    let response = attohttpc::post(url).json(body).unwrap().send().unwrap();
    (response.status().as_u16(), response.json().unwrap())
}

#[test]
fn can_rate_answers_by_their_marker() {
    let rater = Rater::start(&RaterConfig {
        lag: Span::ZERO,
        ..RaterConfig::default()
    })
    .unwrap();
    let class = "tagging".parse::<ClassName>().unwrap();
    rater.set_quality(version(), class.clone(), 0.5);
    let adequate = (0..400).filter(|n| {
        let prompt = [text::Message::new("user", &format!("letter {n}"))];
        let answer = text::answer(&version(), &prompt, 4);
        let body = json!({ "class": class, "version": version(), "answer": answer });
        post(rater.address(), "/ratings", &body).1["adequate"] == true
    });
    let adequate = adequate.count();
    assert!((150..250).contains(&adequate), "{adequate} of 400");
    assert_eq!(rater.ratings()[&version()], 400);
}

#[test]
fn errors_over_the_rate_limit_of_the_weight_store() {
    let weights = WeightStore::start(&WeightsConfig {
        max_slots: 1,
        ..WeightsConfig::default()
    })
    .unwrap();
    let body = json!({ "version": version() });
    let statuses = (0..6).map(|_| post(weights.address(), "/slots", &body).0);
    let statuses = statuses.collect::<Vec<_>>();
    assert!(statuses.contains(&200) && statuses.contains(&429));
}

#[test]
fn can_list_live_leaving_and_gone_hosts() {
    let host = "127.0.0.1:9000".parse().unwrap();
    let hosts = HostList::start(&HostsConfig {
        lag: Span::ZERO,
        live: vec![host],
        ..HostsConfig::default()
    })
    .unwrap();
    let list = || {
        let url = format!("http://{}/hosts", hosts.address());
        let list = attohttpc::get(url).send().unwrap();
        list.json::<Value>().unwrap()["hosts"].clone()
    };
    assert_eq!(list(), json!([{ "address": host, "state": "live" }]));
    hosts.set(host, HostState::Leaving);
    assert_eq!(list()[0]["state"], "leaving");
    hosts.set(host, HostState::Gone);
    assert_eq!(list(), json!([]));
}
