//! Differential test: calls through the client and the stand-in gateway must give the same
//! results as direct calls of the stand-in's table. Anything lost or changed in the conversion
//! to JSON and back shows as a difference.

use std::collections::BTreeMap;

use bytes::Bytes;
use keyvalue::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standins::store::{StoreConfig, StoreServer, Table};
use store::{Config, EtcdClient, Store};
use types::prelude::*;

const CALLS: usize = 400;

fn key(rng: &mut StdRng) -> String {
    format!("p/{}", rng.random_range(0..6))
}

fn compare(rng: &mut StdRng, known: &BTreeMap<String, ModRevision>) -> Compare {
    let key = key(rng);
    match known.get(&key) {
        Some(at) if rng.random_bool(0.7) => Compare::ModRevision(key, *at),
        _ if rng.random_bool(0.5) => Compare::Absent(key),
        _ => Compare::ModRevision(key, ModRevision(rng.random_range(0..40))),
    }
}

fn range(rng: &mut StdRng) -> Range {
    let key = key(rng);
    match rng.random_range(0..3) {
        0 => Range::key(key),
        1 => Range::prefix("p/"),
        _ => Range {
            limit: rng.random_range(0..4),
            after: Some(key),
            ..Range::prefix("p/")
        },
    }
}

fn op(rng: &mut StdRng, written: &mut Vec<String>, known: &BTreeMap<String, ModRevision>) -> Op {
    let key = key(rng);
    match rng.random_range(0..5) {
        0 | 1 if !written.contains(&key) => {
            written.push(key.clone());
            let value = Bytes::from(rng.random::<u64>().to_be_bytes().to_vec());
            let lease = None;
            Op::Put(Put { key, value, lease })
        }
        2 if !written.contains(&key) => {
            written.push(key.clone());
            Op::Delete(key)
        }
        3 => Op::Txn(Txn {
            compare: vec![compare(rng, known)],
            success: vec![Op::Range(range(rng))],
            failure: vec![Op::Range(range(rng)), Op::Range(Range::key("none"))],
        }),
        _ => Op::Range(range(rng)),
    }
}

fn txn(rng: &mut StdRng, known: &BTreeMap<String, ModRevision>) -> Request {
    let compares = rng.random_range(0..3);
    let compare = (0..compares).map(|_| compare(rng, known)).collect();
    let mut branch = || {
        let mut written = Vec::new();
        let steps = rng.random_range(0..4);
        (0..steps).map(|_| op(rng, &mut written, known)).collect()
    };
    let (success, failure) = (branch(), branch());
    Request::Txn(Txn {
        compare,
        success,
        failure,
    })
}

#[test]
fn calls_over_the_wire_match_direct_calls() {
    let server = StoreServer::start(&StoreConfig::default()).unwrap();
    let client = EtcdClient::new(Config::new(vec![server.address()])).unwrap();
    let mut table = Table::new();
    let mut rng = StdRng::seed_from_u64(5);
    let mut known = BTreeMap::new();
    for call in 0..CALLS {
        let req = if rng.random_bool(0.2) {
            Request::Range(range(&mut rng))
        } else {
            txn(&mut rng, &known)
        };
        let direct = table.call(Time::ZERO, &req);
        let wire = client.call(req.clone());
        match (&direct, &wire) {
            (Err(CallError::Refused(_)), Err(CallError::Refused(_))) => {}
            _ => assert_eq!(wire, direct, "call {call}: {req:?}"),
        }
        let all = table.call(Time::ZERO, &Request::Range(Range::prefix("p/")));
        let Reply::Range(found) = all.unwrap().reply else {
            unreachable!()
        };
        known = found
            .into_iter()
            .map(|pair| (pair.key, pair.mod_revision))
            .collect();
    }
    assert!(known.len() > 1, "the calls wrote nothing");
}
