//! Billing, from an answer to the exported totals.

use keyvalue::Request;
use ledger::{Config, Effect, Export, Ledger, Peer, Statement, Step};
use serde_json::json;
use standins::platform::PlatformConfig;
use store::{EtcdClient, Store};
use types::prelude::*;

use super::harness::{Harness, chat_body, events};

const PREFIX: &str = "/buckthorncross/test";

fn client(harness: &Harness) -> EtcdClient {
    let endpoints = vec![harness.platform.store.address()];
    EtcdClient::new(store::Config::new(endpoints)).unwrap()
}

/// Rolls up the bills in the store, as any daemon would within a minute, and exports them.
fn statement(client: &EtcdClient) -> Statement {
    let me = Peer {
        id: "roller".parse().unwrap(),
        incarnation: Incarnation(1),
        failure_domain: "domain".parse().unwrap(),
        region: "here".parse().unwrap(),
    };
    let mut ledger = Ledger::new(Config::new(me, PREFIX));
    let mut now = Time::ZERO;
    for _ in 0..60 {
        now = now + Span::from_secs(1);
        let mut effects = ledger.tick(now, WallTime(now.0 / 1000), &[]);
        while let Some(Effect::Store { id, request }) = effects.pop() {
            effects.extend(ledger.on_store(now, id, client.call(request)));
        }
    }
    export(client)
}

fn export(client: &EtcdClient) -> Statement {
    let mut export = Export::new(PREFIX, WallTime(0), WallTime(u64::MAX / 2));
    let mut request: Request = export.start();
    loop {
        match export.on_store(client.call(request)).unwrap() {
            Step::Call(next) => request = next,
            Step::Done(statement) => return statement,
        }
    }
}

// A daemon is shut down while the bills of its last answers still wait for a batch. It must seal
// them before it stops, and a replayed answer must not be billed again.
#[test]
fn can_bill_each_request_once_though_the_daemon_leaves() {
    let mut harness = Harness::with_daemons(&PlatformConfig::default(), 2);
    for (daemon, key) in [(0, "a"), (0, "b"), (1, "b"), (0, "c"), (0, "c")] {
        let req = harness.post(daemon, "/v1/chat/completions");
        let req = req.header("idempotency-key", key);
        let sent = req
            .json(&chat_body("answers", true, 5))
            .unwrap()
            .send()
            .unwrap();
        let (_, _, reader) = sent.split();
        assert_eq!(events(reader).last().unwrap(), "[DONE]");
    }
    let desk = harness.post(0, "/services/desk/book");
    assert!(desk.send().unwrap().is_success());
    for node in std::mem::take(&mut harness.nodes) {
        assert_eq!(node.shutdown(), 0);
    }
    let statement = statement(&client(&harness));
    assert!(!statement.pending);
    let rows: Vec<_> = statement.rows().collect();
    let count = |entry: &str| {
        let rows = rows.iter().filter(|row| row.entry.as_str() == entry);
        rows.map(|row| row.requests).sum::<u64>()
    };
    assert_eq!((count("answers"), count("desk")), (3, 1));
    assert!(rows.iter().all(|row| row.customer.as_str() == "ward"));
}

// While the store is down, answers must still end, and another daemon must hold a copy of their
// bills, so that the loss of a host does not lose them.
#[test]
fn can_hold_bills_at_another_daemon_while_the_store_is_down() {
    let harness = Harness::with_daemons(&PlatformConfig::default(), 2);
    harness.wait_joined();
    harness
        .platform
        .store
        .set_faults(|faults| faults.down = true);
    for _ in 0..5 {
        let (_, _, reader) = harness.chat(&chat_body("answers", true, 5)).split();
        assert_eq!(events(reader).last().unwrap(), "[DONE]");
    }
    let ledgers = [0, 1].map(|index| harness.status(index, "/dump")["ledger"].clone());
    assert_eq!(
        (&ledgers[0]["own"], &ledgers[0]["unheld"]),
        (&json!(5), &json!(0))
    );
    assert_eq!(ledgers[0]["released_alone"], 0);
    assert_eq!(ledgers[1]["custody"], 5);
}

// A daemon discovers another one, and its first answers end before its next tick. The ledger must
// know of the other daemon at once, or these bills are released with no second copy.
#[test]
fn can_hold_bills_at_a_daemon_that_was_met_since_the_last_tick() {
    let tick = Span::from_millis(1_000);
    let harness = Harness::with_tick(&PlatformConfig::default(), 2, tick);
    harness.wait_joined();
    let (_, _, reader) = harness.chat(&chat_body("answers", true, 5)).split();
    assert_eq!(events(reader).last().unwrap(), "[DONE]");
    let ledger = harness.status(0, "/dump")["ledger"].clone();
    assert_eq!(ledger["own"], 1);
    assert_eq!(ledger["released_alone"], 0);
}
