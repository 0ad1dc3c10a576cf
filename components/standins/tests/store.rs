//! Tests the stand-in store: its table alone, and its HTTP server with the JSON of etcd's
//! gateway.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use keyvalue::{CallError, Compare, Op, OpReply, Put, Range, Reply, Request, Txn};
use serde_json::{Value, json};
use standins::store::{StoreConfig, StoreServer, Table};
use types::prelude::*;

fn put(key: &str, value: &str) -> Op {
    Op::Put(Put {
        key: key.to_owned(),
        value: value.to_owned().into(),
        lease: None,
    })
}

fn txn(compare: Vec<Compare>, success: Vec<Op>) -> Request {
    Request::Txn(Txn {
        compare,
        success,
        failure: Vec::new(),
    })
}

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

fn call(store: &StoreServer, path: &str, body: &Value) -> attohttpc::Result<(u16, Value)> {
    let url = format!("http://{}{path}", store.address());
    let response = attohttpc::post(url).json(body)?.send()?;
    Ok((response.status().as_u16(), response.json()?))
}

fn start() -> StoreServer {
    StoreServer::start(&StoreConfig::default()).unwrap()
}

#[test]
fn can_compare_and_swap_and_read_by_prefix() {
    let mut table = Table::new();
    let absent = || vec![Compare::Absent("a/1".to_owned())];
    let create = || txn(absent(), vec![put("a/1", "x"), put("a/2", "y")]);
    let first = table.call(Time::ZERO, &create()).unwrap();
    assert!(matches!(first.reply, Reply::Txn(r) if r.succeeded && r.replies.len() == 2));
    let second = table.call(Time::ZERO, &create()).unwrap();
    assert!(matches!(second.reply, Reply::Txn(r) if !r.succeeded));
    assert_eq!(second.revision, first.revision);
    let page = Range {
        after: Some("a/1".to_owned()),
        ..Range::prefix("a/")
    };
    let Reply::Range(kvs) = table.call(Time::ZERO, &Request::Range(page)).unwrap().reply else {
        panic!("expected a range reply");
    };
    assert_eq!(kvs.len(), 1);
    assert_eq!(kvs[0].key, "a/2");
    assert_eq!(kvs[0].mod_revision, first.revision);
}

#[test]
fn can_nest_transactions_whose_compares_see_the_prior_state() {
    let mut table = Table::new();
    let inner = |key: &str| {
        Op::Txn(Txn {
            compare: vec![Compare::Absent("a".to_owned())],
            success: vec![put(key, "1")],
            failure: Vec::new(),
        })
    };
    let outer = txn(Vec::new(), vec![put("a", "0"), inner("b"), inner("c")]);
    let Reply::Txn(reply) = table.call(Time::ZERO, &outer).unwrap().reply else {
        panic!("expected a transaction reply");
    };
    let held = reply.replies[1..].iter();
    assert!(
        held.clone()
            .all(|r| matches!(r, OpReply::Txn(r) if r.succeeded))
    );
    assert_eq!(held.len(), 2);
}

#[test]
fn errors_on_a_key_written_twice() {
    let mut table = Table::new();
    let duplicate_puts = txn(Vec::new(), vec![put("a", "0"), put("a", "1")]);
    let outcome = table.call(Time::ZERO, &duplicate_puts);
    assert!(matches!(outcome, Err(CallError::Refused(m)) if m.contains("duplicate key")));
    assert_eq!(table.revision(), 1);
}

#[test]
fn can_delete_the_keys_of_an_expired_lease() {
    let mut table = Table::new();
    let ttl = Span::from_secs(5);
    let granted = table
        .call(Time::ZERO, &Request::LeaseGrant { ttl })
        .unwrap();
    let Reply::LeaseGranted(lease) = granted.reply else {
        panic!("expected a lease");
    };
    let leased = Op::Put(Put {
        key: "m/1".to_owned(),
        value: "x".into(),
        lease: Some(lease),
    });
    table
        .call(Time::ZERO, &txn(Vec::new(), vec![leased]))
        .unwrap();
    let renewed_at = Time::ZERO + Span::from_secs(4);
    table
        .call(renewed_at, &Request::LeaseKeepAlive(lease))
        .unwrap();
    let read = Request::Range(Range::key("m/1"));
    let count = |table: &mut Table, now| match table.call(now, &read).unwrap().reply {
        Reply::Range(kvs) => kvs.len(),
        _ => panic!("expected a range reply"),
    };
    assert_eq!(count(&mut table, Time::ZERO + Span::from_secs(8)), 1);
    assert_eq!(count(&mut table, Time::ZERO + Span::from_secs(9)), 0);
}

#[test]
fn can_serve_the_json_of_the_etcd_gateway() {
    let store = start();
    let compare = json!({ "key": encode("k"), "target": "CREATE", "createRevision": "0" });
    let request = json!({
        "compare": [compare],
        "success": [{ "requestPut": { "key": encode("k"), "value": encode("v") } }],
        "failure": [{ "request_range": { "key": encode("k") } }],
    });
    let (status, body) = call(&store, "/v3/kv/txn", &request).unwrap();
    assert_eq!((status, &body["succeeded"]), (200, &json!(true)));
    assert_eq!(
        body["responses"][0]["response_put"]["header"]["revision"],
        "2"
    );
    let (_, body) = call(&store, "/v3/kv/txn", &request).unwrap();
    assert_eq!(body.get("succeeded"), None);
    let kv = &body["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(kv["value"], encode("v"));
    assert_eq!(kv["mod_revision"], "2");
    let range = json!({ "key": encode("j"), "range_end": encode("l") });
    let (_, body) = call(&store, "/v3/kv/range", &range).unwrap();
    assert_eq!(body["count"], "1");
    assert_eq!(store.counters().txns, 2);
}

/// Opens a watch and returns its messages as they arrive.
fn open_watch(store: &StoreServer, create: &Value) -> impl Iterator<Item = Value> + use<> {
    use std::io::BufRead;
    let url = format!("http://{}/v3/watch", store.address());
    let body = json!({ "create_request": create });
    let response = attohttpc::post(url).json(&body).unwrap().send().unwrap();
    let (_, _, reader) = response.split();
    let lines = std::io::BufReader::new(reader).lines();
    lines
        .map_while(Result::ok)
        .map(|line| serde_json::from_str(&line).unwrap())
}

#[test]
fn can_watch_with_skipped_events_and_until_an_outage() {
    // A watch may skip a change without an error and deliver a later one. When the store
    // goes down, the stream ends.
    let store = start();
    let prefix = json!({ "key": encode("a/"), "range_end": encode("a0") });
    let mut events = open_watch(&store, &prefix);
    assert_eq!(events.next().unwrap()["result"]["created"], true);
    store.set_faults(|faults| faults.watch_gap = 1);
    for key in ["a/1", "a/2", "b/1"] {
        let body = json!({ "key": encode(key), "value": encode("v") });
        call(&store, "/v3/kv/put", &body).unwrap();
    }
    let event = events.next().unwrap();
    let changed = &event["result"]["events"][0]["kv"];
    assert_eq!(changed["key"], encode("a/2"));
    assert_eq!(changed["mod_revision"], "3");
    store.set_faults(|faults| faults.down = true);
    assert_eq!(events.next(), None);
    assert!(call(&store, "/v3/kv/range", &json!({ "key": encode("a/1") })).is_err());
}

#[test]
fn errors_write_without_reply_takes_effect() {
    // A write that ends in a connection error may still have taken effect, with only its
    // reply lost, or may take effect later.
    let store = start();
    let key = json!({ "key": encode("k"), "value": encode("v") });
    let later = json!({ "key": encode("l"), "value": encode("v") });
    store.set_faults(|faults| faults.lost_replies = 1);
    assert!(call(&store, "/v3/kv/put", &key).is_err());
    let (_, body) = call(&store, "/v3/kv/range", &key).unwrap();
    assert_eq!(body["count"], "1");
    store.set_faults(|faults| {
        faults.delayed_effects = 1;
        faults.effect_delay = Span::from_millis(300);
    });
    let mut events = open_watch(&store, &json!({ "key": encode("l") }));
    assert_eq!(events.next().unwrap()["result"]["created"], true);
    assert!(call(&store, "/v3/kv/put", &later).is_err());
    assert_eq!(
        events.next().unwrap()["result"]["events"][0]["kv"]["key"],
        encode("l")
    );
}

#[test]
fn errors_over_the_rate_limits() {
    let store = start();
    store.set_faults(|faults| faults.max_reads_per_second = 1);
    let statuses = (0..8).map(|_| {
        let range = json!({ "key": encode("k") });
        call(&store, "/v3/kv/range", &range).unwrap().0
    });
    let statuses = statuses.collect::<Vec<_>>();
    assert!(statuses.contains(&200) && statuses.contains(&429));
    assert!(store.counters().capped > 0);
}
