//! Tests of the client against a scripted gateway on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use flume::{Receiver, Sender};
use keyvalue::*;
use serde_json::{Value, json};
use store::{Config, EtcdClient, Store, Watch, WatchBatch, WatchEnd};
use types::prelude::{ByteSize, Span};

/// Behaviour of the gateway on one connection.
enum Act {
    /// Reads the request and replies with this status and body.
    Answer(u16, Value),
    /// Reads the request and closes the connection.
    HangUp,
    /// Reads the request, sends this text and stalls until the test ends.
    Stall(String),
    /// Reads the request, sends a head, then a valid body one byte at a time.
    Trickle,
}

struct Gateway {
    address: SocketAddr,
    requests: Receiver<Value>,
}

fn start_gateway(acts: Vec<Act>) -> Gateway {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, requests) = flume::unbounded();
    thread::spawn(move || {
        let mut stalled = Vec::new();
        for act in acts {
            let (stream, _) = listener.accept().unwrap();
            stalled.extend(serve(stream, act, &tx));
        }
        // Keeps the port bound and the stalled connections open.
        thread::park();
    });
    Gateway { address, requests }
}

fn serve(mut stream: TcpStream, act: Act, seen: &Sender<Value>) -> Option<TcpStream> {
    let _ = seen.send(read_request(&stream));
    match act {
        Act::Answer(status, body) => {
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes()).unwrap();
            None
        }
        Act::HangUp => None,
        Act::Trickle => {
            let body = format!("{:60}{{\"succeeded\":true}}", "");
            let head = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).unwrap();
            for byte in body.bytes() {
                thread::sleep(Duration::from_millis(20));
                let _ = stream.write_all(&[byte]);
            }
            None
        }
        Act::Stall(text) => {
            stream.write_all(text.as_bytes()).unwrap();
            Some(stream)
        }
    }
}

fn read_request(stream: &TcpStream) -> Value {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let line = line.trim().to_lowercase();
        if let Some(text) = line.strip_prefix("content-length:") {
            length = text.trim().parse().unwrap();
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    serde_json::from_slice(&body).unwrap()
}

fn client(endpoints: Vec<SocketAddr>) -> EtcdClient {
    let mut cfg = Config::new(endpoints);
    cfg.call_timeout = Span::from_millis(300);
    cfg.watch_idle = Span::from_millis(300);
    cfg.max_reply = ByteSize(4096);
    EtcdClient::new(cfg).unwrap()
}

fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

fn put(key: &str) -> Request {
    Request::Txn(Txn {
        compare: vec![Compare::Absent(key.to_owned())],
        success: vec![Op::Put(Put {
            key: key.to_owned(),
            value: Bytes::from_static(b"v"),
            lease: Some(LeaseId(7)),
        })],
        failure: vec![],
    })
}

fn read(key: &str) -> Request {
    Request::Range(Range::key(key))
}

// Nested transactions, compares and leases are encoded for the gateway, and its nested replies
// are decoded in the same order.
#[test]
fn can_carry_nested_transactions() {
    let pair = json!({"key": b64("a"), "value": b64("v"), "mod_revision": "5", "lease": "7"});
    let body = json!({"header": {"revision": "9"}, "succeeded": true, "responses": [
        {"response_txn": {"succeeded": false, "responses": [
            {"response_range": {"kvs": [pair]}},
            {"response_delete_range": {"deleted": "2"}},
        ]}},
        {"response_put": {}},
    ]});
    let gateway = start_gateway(vec![Act::Answer(200, body)]);
    let Request::Txn(inner) = put("a") else {
        unreachable!()
    };
    let req = Request::Txn(Txn {
        compare: vec![Compare::ModRevision("h".to_owned(), ModRevision(3))],
        success: vec![Op::Txn(inner), Op::Delete("b".to_owned())],
        failure: vec![Op::Range(Range::prefix("c"))],
    });
    let answer = client(vec![gateway.address]).call(req).unwrap();
    let pair = KeyValue {
        key: "a".to_owned(),
        value: Bytes::from_static(b"v"),
        mod_revision: ModRevision(5),
        lease: Some(LeaseId(7)),
    };
    let inner = TxnReply {
        succeeded: false,
        replies: vec![OpReply::Range(vec![pair]), OpReply::Delete(2)],
    };
    let reply = TxnReply {
        succeeded: true,
        replies: vec![OpReply::Txn(inner), OpReply::Put],
    };
    assert_eq!(answer.revision, ModRevision(9));
    assert_eq!(answer.reply, Reply::Txn(reply));
    let sent = gateway.requests.recv().unwrap();
    let compare = json!({"key": b64("h"), "target": "MOD", "result": "EQUAL", "mod_revision": "3"});
    assert_eq!(sent["compare"][0], compare);
    let inner = &sent["success"][0]["request_txn"];
    assert_eq!(inner["compare"][0]["mod_revision"], "0");
    assert_eq!(inner["success"][0]["request_put"]["lease"], "7");
    assert_eq!(sent["success"][1]["request_delete_range"]["key"], b64("b"));
    assert_eq!(sent["failure"][0]["request_range"]["range_end"], b64("d"));
}

// A page must start after the given key and end with the prefix; a lease's TTL is rounded up, and
// a renewal without a TTL means that the lease is gone.
#[test]
fn can_page_ranges_and_keep_leases() {
    let gateway = start_gateway(vec![
        Act::Answer(200, json!({"header": {"revision": "4"}})),
        Act::Answer(200, json!({"ID": "12", "TTL": "5"})),
        Act::Answer(200, json!({"result": {"ID": "12", "TTL": "5"}})),
        Act::Answer(200, json!({"result": {"ID": "12"}})),
    ]);
    let client = client(vec![gateway.address]);
    let page = Range {
        limit: 2,
        after: Some("p/1".to_owned()),
        ..Range::prefix("p/")
    };
    let reply = |req| client.call(req).unwrap().reply;
    assert_eq!(reply(Request::Range(page)), Reply::Range(vec![]));
    let ttl = Span::from_millis(4500);
    let granted = reply(Request::LeaseGrant { ttl });
    assert_eq!(granted, Reply::LeaseGranted(LeaseId(12)));
    let kept = reply(Request::LeaseKeepAlive(LeaseId(12)));
    assert_eq!(kept, Reply::LeaseRenewed(Some(Span::from_secs(5))));
    let gone = reply(Request::LeaseKeepAlive(LeaseId(12)));
    assert_eq!(gone, Reply::LeaseRenewed(None));
    let sent = gateway.requests.recv().unwrap();
    assert_eq!(sent["key"], b64("p/1\0"));
    assert_eq!(sent["range_end"], b64("p0"));
    assert_eq!(gateway.requests.recv().unwrap()["TTL"], "5");
}

// Nothing listens at the first address. A write cannot have taken effect there, so it may be sent
// to the next one; if no endpoint is reachable, the outcome must be "not sent".
#[test]
fn reports_not_sent_only_before_any_byte_is_sent() {
    let gateway = start_gateway(vec![Act::Answer(200, json!({"succeeded": true}))]);
    let both = client(vec![unused_address(), gateway.address]);
    assert!(both.call(put("a")).is_ok());
    let none = client(vec![unused_address(), unused_address()]).call(put("a"));
    assert!(matches!(none, Err(CallError::NotSent(_))), "{none:?}");
}

// The service reads a write and its reply is lost. If the outcome were "not sent", an operator
// would repeat the edit and the first one could take effect afterwards. If the write were sent to
// a second endpoint at once, it could take effect twice.
#[test]
fn reports_unknown_once_a_write_may_have_been_read() {
    let failing = start_gateway(vec![
        Act::HangUp,
        Act::Stall("HTTP/1.1 200 X\r\n".to_owned()),
    ]);
    let spare = start_gateway(vec![Act::Answer(200, json!({"succeeded": true}))]);
    let client = client(vec![failing.address, spare.address]);
    let outcome = client.call(put("a"));
    assert!(matches!(outcome, Err(CallError::Unknown(_))), "{outcome:?}");
    assert!(spare.requests.is_empty());
    assert!(
        client.call(put("a")).is_ok(),
        "the next call goes elsewhere"
    );
}

// The service sends its reply byte by byte, or an endless one. Each byte restarts the read timeout,
// so without limits on the duration and size of a whole call, the calls queued behind it would
// be blocked and memory would fill up.
#[test]
fn reports_unknown_when_a_reply_is_slow_or_endless() {
    let long = json!({"succeeded": true, "more": "x".repeat(9000)});
    let gateway = start_gateway(vec![Act::Answer(200, long), Act::Trickle]);
    let client = client(vec![gateway.address]);
    for _ in 0..2 {
        let outcome = client.call(put("a"));
        assert!(matches!(outcome, Err(CallError::Unknown(_))), "{outcome:?}");
    }
}

// A gateway replies with 503 when the service behind it stops answering, possibly in the middle of
// a write, so the outcome is unknown. A failed precondition or a rate limit means that nothing was
// done.
#[test]
fn reports_refused_only_when_nothing_was_done() {
    let gateway = start_gateway(vec![
        Act::Answer(503, json!({"code": 14, "message": "leader lost"})),
        Act::Answer(400, json!({"code": 9, "message": "compacted"})),
        Act::Answer(429, json!({})),
    ]);
    let client = client(vec![gateway.address]);
    let outcomes = [(); 3].map(|()| client.call(put("a")).unwrap_err());
    assert!(matches!(outcomes[0], CallError::Unknown(_)), "{outcomes:?}");
    assert!(matches!(outcomes[1], CallError::Refused(_)), "{outcomes:?}");
    assert!(matches!(outcomes[2], CallError::Refused(_)), "{outcomes:?}");
}

// A read whose reply is lost is retried at the next endpoint, unlike a write.
#[test]
fn can_retry_a_read_at_the_next_endpoint() {
    let failing = start_gateway(vec![Act::HangUp]);
    let spare = start_gateway(vec![Act::Answer(200, json!({"header": {"revision": "2"}}))]);
    let client = client(vec![failing.address, spare.address]);
    assert_eq!(client.call(read("a")).unwrap().revision, ModRevision(2));
}

fn watch() -> Watch {
    Watch {
        prefix: "p/".to_owned(),
        from: ModRevision(5),
        stop: Arc::new(AtomicBool::new(false)),
    }
}

fn stream_of(lines: &[Value]) -> Act {
    let lines: String = lines.iter().map(|line| format!("{line}\n")).collect();
    Act::Stall(format!(
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{lines}\r\n",
        lines.len()
    ))
}

// A watch delivers puts and deletions, ends as idle when the stream stalls, and ends at once when
// it is stopped.
#[test]
fn can_watch_until_idle_or_stopped() {
    let created = json!({"result": {"header": {"revision": "4"}, "created": true}});
    let pair = json!({"key": b64("p/a"), "value": b64("v"), "mod_revision": "5"});
    let gone = json!({"type": "DELETE", "kv": {"key": b64("p/b"), "mod_revision": "6"}});
    let events = json!({"result": {"header": {"revision": "6"}, "events": [{"kv": pair}, gone]}});
    let gateway = start_gateway(vec![stream_of(&[created, events])]);
    let client = client(vec![gateway.address]);
    let watch = watch();
    let mut batches: Vec<WatchBatch> = Vec::new();
    let mut sink = |batch| {
        batches.push(batch);
        true
    };
    assert_eq!(client.watch(&watch, &mut sink), WatchEnd::Idle);
    assert_eq!(batches[0].events, []);
    assert_eq!(batches[1].revision, ModRevision(6));
    let event = &batches[1].events[0];
    assert_eq!(
        event.value.as_ref().unwrap().value,
        Bytes::from_static(b"v")
    );
    assert_eq!(batches[1].events[1].value, None);
    let sent = gateway.requests.recv().unwrap();
    assert_eq!(sent["create_request"]["start_revision"], "5");
    watch.stop.store(true, Ordering::Relaxed);
    assert_eq!(client.watch(&watch, &mut |_| true), WatchEnd::Stopped);
}

// A compacted revision, an error, an oversized line or a closed connection ends a watch; only a
// compaction is reported as such.
#[test]
fn errors_end_a_watch() {
    let compacted = json!({"result": {"canceled": true, "compact_revision": "40"}});
    let error = json!({"error": {"grpc_code": 14, "message": "no leader"}});
    let acts = vec![
        stream_of(&[compacted]),
        stream_of(&[error]),
        stream_of(&[json!("x".repeat(5000))]),
        Act::HangUp,
    ];
    let gateway = start_gateway(acts);
    let client = client(vec![gateway.address]);
    let watch = watch();
    assert_eq!(
        client.watch(&watch, &mut |_| true),
        WatchEnd::Compacted(ModRevision(40))
    );
    for _ in 0..3 {
        let end = client.watch(&watch, &mut |_| true);
        assert!(matches!(end, WatchEnd::Broken(_)), "{end:?}");
    }
}
