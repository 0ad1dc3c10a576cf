//! Starts daemons and a stand-in platform for one test, and sends requests to them.

use std::io::{BufRead, BufReader, Read};
use std::sync::Arc;
use std::time::Duration;

use attohttpc::{Method, RequestBuilder, Response, ResponseReader};
use catalogue::entry::{Body, VersionState};
use catalogue::record::Record;
use keyvalue::{Op, Put, Txn};
use node::Node;
use serde_json::{Value, json};
use standins::engine::EngineConfig;
use standins::platform::{Platform, PlatformConfig};
use standins::rater::RaterConfig;
use types::prelude::*;

/// Timeout of waits and reads; long enough that only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// A catalogue with one offer on one engine service, and a plain service.
pub const CATALOGUE: &str = "
entries:
  customers/ward:
    kind: customer
    owner: licensing
    key_sha256: [KEY]
  customers/other:
    kind: customer
    owner: licensing
    key_sha256: [OTHER]
  services/engines:
    kind: service
    owner: licensing
    protocol: engine
    upstreams:
      - {id: e1, address: '10.0.0.1:80', failure_domain: kaloor, slots: 256}
      - {id: e2, address: '10.0.0.2:80', failure_domain: vyttila, slots: 256}
  services/desk:
    kind: service
    owner: licensing
    protocol: plain
    customers: [ward]
    upstreams:
      - {id: d1, address: '10.0.0.3:80', failure_domain: kaloor}
      - {id: d2, address: '10.0.0.4:80', failure_domain: vyttila}
  models/small:
    kind: model
    owner: licensing
    service: services/engines
    versions:
      v1: {state: offered, price: {input: '1.0', output: '2.0'}}
      v2: {state: withdrawn, price: {input: '1.0', output: '2.0'}}
  offers/answers:
    kind: offer
    owner: licensing
    class: answer
    candidates: [small]
    customers: {ward: [small]}
    quality_target: '0.9'
";

/// Interval of the daemons' periodic work.
const TICK: Span = Span::from_millis(20);

/// A stand-in platform and the daemons in front of it.
pub struct Harness {
    pub platform: Platform,
    pub nodes: Vec<Node>,
    tick: Span,
}

impl Harness {
    /// Starts one daemon.
    pub fn start(cfg: &PlatformConfig) -> Self {
        Self::with_daemons(cfg, 1)
    }

    /// Starts one daemon; each engine has `slots` slots.
    pub fn with_slots(cfg: &PlatformConfig, slots: u32) -> Self {
        let slots = format!("slots: {slots}}}");
        Self::with_catalogue(cfg, &CATALOGUE.replace("slots: 256}", &slots), 1)
    }

    /// Starts several daemons that know each other.
    pub fn with_daemons(cfg: &PlatformConfig, count: usize) -> Self {
        Self::with_catalogue(cfg, CATALOGUE, count)
    }

    /// Starts several daemons with `tick` as the interval of their periodic work.
    pub fn with_tick(cfg: &PlatformConfig, count: usize, tick: Span) -> Self {
        Self::with_all(cfg, CATALOGUE, count, tick)
    }

    /// Starts several daemons with the catalogue in `text`.
    pub fn with_catalogue(cfg: &PlatformConfig, text: &str, count: usize) -> Self {
        Self::with_all(cfg, text, count, TICK)
    }

    fn with_all(cfg: &PlatformConfig, text: &str, count: usize, tick: Span) -> Self {
        let hash = |key: &str| catalogue::entry::KeyHash::from_key(key).to_string();
        let text = text
            .replace("KEY", &hash("ward-key"))
            .replace("OTHER", &hash("other-key"));
        let entries = catalogue::file::parse("test", &text).unwrap();
        let platform = Platform::start(cfg, &entries).unwrap();
        platform.seed(
            &"test".parse().unwrap(),
            &"test".parse().unwrap(),
            WallTime(0),
        );
        let mut harness = Self {
            platform,
            nodes: Vec::new(),
            tick,
        };
        for index in 0..count {
            harness.add_daemon(index);
        }
        harness
    }

    pub fn add_daemon(&mut self, index: usize) {
        let node = Node::start(self.settings(index)).unwrap();
        self.nodes.push(node);
        let index = self.nodes.len() - 1;
        self.wait_ready(index);
    }

    /// The settings of a daemon; the first two daemons are the others' seeds.
    fn settings(&self, index: usize) -> settings::Settings {
        let platform = &self.platform;
        let seeds = self
            .nodes
            .iter()
            .take(2)
            .map(|node| format!("'{}'", node.peers_address()));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let yaml = format!(
            "cluster: test\n\
             daemon: entry-{index}\n\
             failure_domain: domain-{index}\n\
             region: here\n\
             callers: {{listen: '127.0.0.1:0'}}\n\
             operators: {{listen: '127.0.0.1:0', tokens: {{test: test-token}}}}\n\
             peers:\n  listen: '127.0.0.1:0'\n  seeds: [{seeds}]\n  \
             keys: [{{id: test, secret: not-secret-in-tests}}]\n\
             store: {{endpoints: ['{}']}}\n\
             platform: {{rater: '{}', rater_rate: 2000/s, weights: '{}', hosts: '{}'}}\n\
             control: {{tick: {}}}\n\
             shutdown: {{notice: 0s, deadline: 30s}}\n",
            platform.store.address(),
            platform.rater.address(),
            platform.weights.address(),
            platform.hosts.address(),
            self.tick,
        );
        settings::from_yaml("test", &yaml).unwrap()
    }

    fn wait_ready(&self, index: usize) {
        let url = format!("http://{}/v1/models", self.nodes[index].callers_address());
        let is_ready = || {
            let answer = attohttpc::get(&url).bearer_auth("ward-key").send();
            answer.is_ok_and(|answer| answer.is_success())
        };
        while !is_ready() {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// A POST request to a daemon's API for callers, with the key of customer `ward`.
    pub fn post(&self, index: usize, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.nodes[index].callers_address());
        attohttpc::post(url)
            .bearer_auth("ward-key")
            .read_timeout(TEST_TIMEOUT)
    }

    /// Writes a key of the fleet into the store.
    pub fn put(&self, key: &str, value: &[u8]) {
        let put = Put {
            key: format!("/buckthorncross/test/{key}"),
            value: bytes::Bytes::copy_from_slice(value),
            lease: None,
        };
        let request = keyvalue::Request::Txn(Txn {
            success: vec![Op::Put(put)],
            ..Txn::default()
        });
        let store = &self.platform.store;
        store
            .with_table(|table| table.call(Time::ZERO, &request))
            .unwrap();
    }

    /// A daemon's dump.
    pub fn dump(&self, index: usize) -> Value {
        let address = self.nodes[index].operators_address();
        let url = format!("http://{address}/dump");
        let answer = attohttpc::get(url).bearer_auth("test-token").send();
        json_of(answer.unwrap().split().2)
    }

    /// Withdraws the only version offered, and waits until the edit is in force.
    pub fn withdraw_v1(&self) {
        self.set_states(1_000, [VersionState::Withdrawn, VersionState::Withdrawn]);
        wait_until(|| !self.models(0).contains("small@v1"));
    }

    /// Takes the offer from its customers, and waits until the edit is in force.
    pub fn revoke_offer(&self) {
        self.edit("offers/answers", 1_000, |body| {
            if let Body::Offer(offer) = body {
                offer.customers.clear();
            }
        });
        wait_until(|| !self.models(0).contains("small@v1"));
    }

    /// Writes an edit that sets the states of the model's two versions.
    pub fn set_states(&self, revision: u64, states: [VersionState; 2]) {
        self.edit("models/small", revision, |body| {
            if let Body::Model(model) = body {
                let versions = model.versions.values_mut();
                versions.zip(states).for_each(|(v, state)| v.state = state);
            }
        });
    }

    /// Writes an edit of an entry, made to its state at the start of the test.
    pub fn edit(&self, name: &str, revision: u64, change: impl FnOnce(&mut Body)) {
        let mut entry = (*self.platform.entries[&name.parse().unwrap()]).clone();
        change(&mut entry.body);
        let record = Record {
            revision: Revision(revision),
            edit_id: EditId(revision.into()),
            author: "test".parse().unwrap(),
            at: WallTime(0),
            entry: Some(Arc::new(entry)),
            history: Vec::new(),
        };
        let value = serde_json::to_vec(&record).unwrap();
        self.put(&format!("catalogue/entries/{name}"), &value);
    }

    /// The body of a daemon's list of models.
    pub fn models(&self, index: usize) -> String {
        let url = format!("http://{}/v1/models", self.nodes[index].callers_address());
        let answer = attohttpc::get(&url).bearer_auth("ward-key").send().unwrap();
        answer.text().unwrap()
    }

    /// A request to a daemon's API for operators.
    pub fn operator(&self, index: usize, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.nodes[index].operators_address());
        RequestBuilder::new(method, url)
            .bearer_auth("test-token")
            .read_timeout(TEST_TIMEOUT)
    }

    /// The JSON that a daemon's API for operators returns for a path.
    pub fn status(&self, index: usize, path: &str) -> Value {
        json_of(
            self.operator(index, Method::GET, path)
                .send()
                .unwrap()
                .split()
                .2,
        )
    }

    /// Waits until every daemon knows all the others.
    pub fn wait_joined(&self) {
        let count = self.nodes.len();
        let knows_all = |index| {
            let status = self.status(index, "/status");
            status["members"]
                .as_array()
                .is_some_and(|members| members.len() >= count)
        };
        wait_until(|| (0..count).all(knows_all));
    }

    /// Sends a chat to daemon 0.
    pub fn chat(&self, body: &Value) -> Response {
        self.post(0, "/v1/chat/completions")
            .json(body)
            .unwrap()
            .send()
            .unwrap()
    }
}

/// Waits for a condition, and fails if it takes longer than the timeout.
pub fn wait_until(mut is_done: impl FnMut() -> bool) {
    let until = std::time::Instant::now() + TEST_TIMEOUT;
    while !is_done() {
        assert!(std::time::Instant::now() < until, "waited in vain");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The body of a chat request.
pub fn chat_body(model: &str, stream: bool, tokens: u32) -> Value {
    json!({
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "What may a salon charge?"}],
    })
}

/// The same with a prompt that depends on `salon`, so that prompts differ.
pub fn chat_body_about(salon: usize, model: &str, stream: bool, tokens: u32) -> Value {
    let mut body = chat_body(model, stream, tokens);
    body["messages"][0]["content"] = format!("What may salon {salon} charge?").into();
    body
}

/// A platform whose rater finds the fraction `quality` of answers adequate, without a lag.
pub fn platform_with_quality(quality: f64) -> PlatformConfig {
    let rater = RaterConfig {
        lag: Span::ZERO,
        default_quality: quality,
        ..RaterConfig::default()
    };
    let engine = EngineConfig {
        answer_tokens: 8,
        ..EngineConfig::default()
    };
    PlatformConfig {
        rater,
        engine,
        ..PlatformConfig::default()
    }
}

/// The data of a stream's events, read until it closes.
pub fn events(reader: ResponseReader) -> Vec<String> {
    let lines = BufReader::new(reader).lines().map_while(Result::ok);
    lines
        .filter_map(|line| line.strip_prefix("data: ").map(str::to_owned))
        .collect()
}

/// The text of a stream's chunks.
pub fn text_of(events: &[String]) -> String {
    let chunks = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let texts = chunks
        .filter_map(|chunk| Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned()));
    texts.collect()
}

/// A body as JSON.
pub fn json_of(mut reader: ResponseReader) -> Value {
    let mut body = Vec::new();
    reader.read_to_end(&mut body).unwrap();
    serde_json::from_slice(&body).unwrap()
}
