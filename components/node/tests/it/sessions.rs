//! Sessions keep their version, over real sockets.

use std::sync::Arc;

use catalogue::entry::VersionState::{Draining, Offered, Withdrawn};
use catalogue::entry::{Body, Entry};
use catalogue::file;
use catalogue::record::{Catalogue, EncodedRecord, Record};
use catalogue::view::View;
use engine::Client;
use sessions::choice::PinDecision;
use standins::platform::PlatformConfig;
use types::prelude::*;

use super::harness::{Harness, chat_body, json_of, wait_until};

/// Sends a chat; returns the version that served it, the session's token and the version that the
/// session lost, or `None` if it was refused as not run.
fn try_chat(harness: &Harness, daemon: usize, session: &str) -> Option<[String; 3]> {
    let builder = harness.post(daemon, "/v1/chat/completions");
    let builder = builder.header("X-Session-Id", session);
    let answer = builder
        .json(&chat_body("answers", false, 5))
        .unwrap()
        .send();
    let (status, headers, reader) = answer.unwrap().split();
    if status.as_u16() != 200 {
        assert_eq!(headers["x-run"], "no", "{}", json_of(reader));
        return None;
    }
    let found = ["x-served-by", "x-session-token", "x-session-moved-from"].map(|name| {
        let value = headers.get(name).map(|value| value.to_str().unwrap());
        value.unwrap_or_default().to_owned()
    });
    Some(found)
}

fn chat(harness: &Harness, daemon: usize, session: &str) -> [String; 3] {
    try_chat(harness, daemon, session).expect("an answer")
}

/// Waits until a session is served from the new version; until a daemon has heard that engines
/// loaded it, the daemon refuses as not run.
fn wait_for_v2(harness: &Harness, daemon: usize, session: &str) {
    let is_v2 = |found: [String; 3]| found[0] == "small@v2";
    wait_until(|| try_chat(harness, daemon, session).is_some_and(is_v2));
}

fn load_v2(harness: &Harness) {
    let version: VersionId = "small@v2".parse().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    for engine in harness.platform.engines.values() {
        let client = Client::default();
        let timeout = Span::from_secs(5);
        let order = client.order_load(engine.address(), &version, 1, timeout);
        runtime.block_on(order).unwrap();
        wait_until(|| {
            let report = client.load_report(engine.address(), timeout);
            let report = runtime.block_on(report).unwrap();
            report.versions.contains(&version)
        });
    }
}

// A new version is offered while sessions are open, callers come back through another daemon, and
// then the old version is withdrawn. If the version were chosen for each request, or the pin known
// to one daemon only, a session's text would come from two versions.
#[test]
fn can_keep_a_session_until_its_version_is_withdrawn() {
    let harness = Harness::with_daemons(&PlatformConfig::default(), 2);
    harness.wait_joined();
    let [before, token, _] = chat(&harness, 0, "");
    let [named, _, _] = chat(&harness, 0, "notice-7");
    assert_eq!([before.as_str(), &named], ["small@v1"; 2]);
    load_v2(&harness);
    harness.set_states(1_000, [Draining, Offered]);
    for daemon in [0, 1] {
        wait_for_v2(&harness, daemon, "");
        assert_eq!(chat(&harness, daemon, &token)[0], "small@v1");
        assert_eq!(chat(&harness, daemon, "notice-7")[0], "small@v1");
    }
    harness.set_states(1_001, [Withdrawn, Offered]);
    wait_for_v2(&harness, 1, &token);
    wait_for_v2(&harness, 1, "notice-7");
    wait_for_v2(&harness, 0, "notice-7");
    let [_, fresh, lost] = chat(&harness, 1, &token);
    assert_eq!(lost, "small@v1");
    assert_eq!(chat(&harness, 1, &fresh)[2], "");
}

fn record(revision: u64, entry: &Arc<Entry>) -> EncodedRecord {
    EncodedRecord::new(Arc::new(Record {
        revision: Revision(revision),
        edit_id: EditId(u128::from(revision)),
        author: OperatorName::new("op").unwrap(),
        at: WallTime(0),
        entry: Some(Arc::clone(entry)),
        history: Vec::new(),
    }))
}

#[test]
fn a_version_of_an_edit_past_a_gap_is_not_taken_for_withdrawn() {
    // Guards against a session that moves at a daemon which lacks the edit that offered its version.
    let text = include_str!("../../../../examples/kochi.yaml");
    let entries = file::parse("kochi.yaml", text).unwrap();
    let (name, model) = entries
        .iter()
        .find(|(_, entry)| matches!(entry.body, Body::Model(_)))
        .unwrap();
    let all = (1_u64..)
        .zip(&entries)
        .map(|(n, (name, entry))| (name.clone(), record(n, entry)));
    let mut behind = Catalogue::default();
    behind.apply_all(all, None);
    let complete = behind.revision();
    let mut extended = (**model).clone();
    let Body::Model(body) = &mut extended.body else {
        unreachable!("it is a model");
    };
    let version = body.versions.values().next().unwrap().clone();
    body.versions.insert("v99".parse().unwrap(), version);
    let id = VersionId::new(
        catalogue::view::short_name(name, "models/").unwrap(),
        "v99".parse().unwrap(),
    );

    // One daemon holds the edit after the next, the other only the next.
    let mut ahead = behind.clone();
    ahead.apply_all(
        [(name.clone(), record(complete.0 + 2, &Arc::new(extended)))],
        None,
    );
    let (other, entry) = entries
        .iter()
        .find(|(_, entry)| matches!(entry.body, Body::Customer(_)))
        .unwrap();
    behind.apply_all([(other.clone(), record(complete.0 + 1, entry))], None);
    let (ahead, behind) = (View::from_catalogue(&ahead), View::from_catalogue(&behind));
    assert!(
        ahead.version_state(&id).is_some(),
        "it is in force before the gap is closed"
    );

    let pin = Some((&id, ahead.highest_revision));
    let decision = PinDecision::decide(pin, &Default::default(), behind.revision);
    assert_eq!(decision, PinDecision::CatalogueBehind);
    let pin = Some((&id, ahead.revision));
    let by_complete_revision = PinDecision::decide(pin, &Default::default(), behind.revision);
    assert_eq!(by_complete_revision, PinDecision::Moved(&id));
}
