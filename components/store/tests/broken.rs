//! Answers of the store's gateway that are broken or have no end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use keyvalue::{CallError, LeaseId, ModRevision, Op, Put, Range, Request, Txn};
use standins::raw::{Endless, serve_bytes};
use store::{Config, EtcdClient, Store, Watch, WatchEnd};
use types::prelude::*;

/// Most bytes that a client may read of an answer without end.
const MAX_READ: usize = 64 << 20;
/// Bytes after which such an answer ends all the same.
const ENOUGH: usize = 256 << 20;

fn client(address: SocketAddr) -> EtcdClient {
    EtcdClient::new(Config::new(vec![address])).unwrap()
}

/// One call of each kind.
fn calls() -> [Request; 5] {
    let put = Put {
        key: "k".to_owned(),
        value: "x".into(),
        lease: None,
    };
    let txn = Txn {
        compare: Vec::new(),
        success: vec![Op::Put(put)],
        failure: Vec::new(),
    };
    [
        Request::Txn(txn),
        Request::Range(Range::prefix("")),
        Request::LeaseGrant {
            ttl: Span::from_secs(5),
        },
        Request::LeaseKeepAlive(LeaseId(7)),
        Request::LeaseRevoke(LeaseId(7)),
    ]
}

fn watch(address: SocketAddr) -> WatchEnd {
    let watch = Watch {
        prefix: String::new(),
        from: ModRevision(5),
        stop: Arc::new(AtomicBool::new(false)),
    };
    client(address).watch(&watch, &mut |_| true)
}

/// A write that may have taken effect would be reported as refused, and be repeated.
#[test]
fn an_answer_with_an_invalid_or_interim_status_is_an_unknown_outcome() {
    for status in ["000", "099", "600", "999", "20", "2000", "100", "103"] {
        let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}");
        let address = serve_bytes(answer).unwrap();
        for request in calls() {
            let outcome = client(address).call(request.clone());
            assert!(
                matches!(outcome, Err(CallError::Unknown(_))),
                "{status} {request:?}: {outcome:?}"
            );
        }
        let end = watch(address);
        assert!(matches!(end, WatchEnd::Broken(_)), "{status}: {end:?}");
    }
}

/// Answers without end would fill the memory of each daemon that reads them.
#[test]
fn answers_without_end_are_given_up() {
    let head = "HTTP/1.1 200 OK\r\n";
    let begins = [
        (head.to_owned(), "x"),
        (head.to_owned(), "name: value\r\n"),
        (format!("{head}Content-Length: 999999999999\r\n\r\n"), "x"),
        (format!("{head}\r\n"), " "),
        (
            format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            "10\r\n0123456789abcdef\r\n",
        ),
    ];
    for (begin, piece) in begins {
        let what = format!("{begin:?} {piece:?}");
        let start = || Endless::start(&begin, piece, ENOUGH).unwrap();
        for request in calls() {
            let endless = start();
            let outcome = client(endless.address).call(request);
            assert!(outcome.is_err(), "{what}: {outcome:?}");
            let taken = endless.taken();
            assert!(taken < MAX_READ, "{what}: {taken} bytes");
        }
        let endless = start();
        let end = watch(endless.address);
        assert!(
            matches!(end, WatchEnd::Broken(_) | WatchEnd::Closed(_)),
            "{what}: {end:?}"
        );
        let taken = endless.taken();
        assert!(taken < MAX_READ, "{what}: {taken} bytes");
    }
}
