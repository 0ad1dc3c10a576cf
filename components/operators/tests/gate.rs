//! Limits on connections to the operators' server.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use operators::auth::Tokens;
use operators::health::Health;
use operators::{Bounds, Config, Handle, start};
use telemetry::metrics::Metrics;
use types::prelude::*;

fn serve(bounds: Bounds) -> Handle {
    let (tx, _rx) = flume::bounded(1);
    start(Config {
        listen: "127.0.0.1:0".parse().unwrap(),
        bounds,
        tokens: Tokens::default(),
        submit: Box::new(move |command| tx.try_send(command).is_ok()),
        metrics: Arc::new(Metrics::new()),
        health: Arc::new(Health::new(Clock::new())),
    })
    .unwrap()
}

fn probe(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let head = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let mut text = String::new();
    // A connection beyond the limit is closed while the client writes; the result is then empty.
    if stream.write_all(head.as_bytes()).is_ok() {
        let _ = stream.read_to_string(&mut text);
    }
    text
}

/// Reads until the server closes the connection; returns false if a read times out after 60 s.
fn is_cut(stream: &mut TcpStream) -> bool {
    let limit = Some(Duration::from_secs(60));
    stream.set_read_timeout(limit).unwrap();
    let mut buf = [0; 1024];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) => return e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}

/// A scanner opens connections, sends half a request head and goes idle. If each held threads and
/// files forever, the daemon could open no more files after some thousands and would refuse
/// callers' traffic. Idle connections must be cut, so that others are accepted again.
#[test]
fn idle_connections_are_cut() {
    let bounds = Bounds {
        max_connections: 4,
        idle_timeout: Duration::from_millis(200),
        ..Bounds::default()
    };
    let server = serve(bounds);
    let mut idle_streams: Vec<TcpStream> = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHo");
        idle_streams.push(stream);
    }
    assert!(idle_streams.iter_mut().all(is_cut));
    // The last places are freed shortly after the streams are closed.
    let answered = (0..50).any(|_| probe(server.address()).contains("200 OK"));
    assert!(answered);
    server.stop();
}

/// A client sends a request head that never ends, which the HTTP library would read into memory
/// without limit. The connection must be cut at the byte limit while the server goes on.
#[test]
fn an_endless_request_head_is_cut() {
    let server = serve(Bounds {
        max_sent_bytes: 64 << 10,
        ..Bounds::default()
    });
    let mut stream = TcpStream::connect(server.address()).unwrap();
    let line = [b'a'; 4096];
    let _ = stream.write_all(b"GET /");
    let mut sent = 0;
    while sent < 4096 && stream.write_all(&line).is_ok() {
        sent += 1;
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(sent < 4096, "16 MiB of head were taken");
    assert!(probe(server.address()).contains("200 OK"));
    server.stop();
}

/// A client that sends single bytes is never idle for long enough to reach the idle timeout. Its
/// connection must be cut at the maximum age.
#[test]
fn a_connection_that_sends_slowly_is_cut_at_its_maximum_age() {
    let max_age = Duration::from_millis(300);
    let server = serve(Bounds {
        max_age,
        ..Bounds::default()
    });
    let mut stream = TcpStream::connect(server.address()).unwrap();
    let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nX: ");
    let mut sent = 0;
    while sent < 3000 && stream.write_all(b"a").is_ok() {
        sent += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(sent < 3000);
    assert!(probe(server.address()).contains("200 OK"));
    server.stop();
}
