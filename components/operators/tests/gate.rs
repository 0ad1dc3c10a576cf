//! What connections can hold of the operators' server.

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
    // A connection too many is closed under the writer: an error here is the answer.
    if stream.write_all(head.as_bytes()).is_ok() {
        let _ = stream.read_to_string(&mut text);
    }
    text
}

/// Reads until the server closes; true if it did within the socket's time-out.
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

/// A scanner opens connections, sends half a head and sleeps. Each holds threads and
/// files for ever; after some thousands the daemon can open no file and refuses callers'
/// traffic. A connection that sleeps is cut, and then others get in again.
#[test]
fn can_cut_connections_that_sleep() {
    let bounds = Bounds {
        connections: 4,
        idle: Duration::from_millis(200),
        ..Bounds::default()
    };
    let server = serve(bounds);
    let mut sleepers: Vec<TcpStream> = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHo");
        sleepers.push(stream);
    }
    assert!(sleepers.iter_mut().all(is_cut));
    // The last places are given back just after the streams are closed.
    let answered = (0..50).any(|_| probe(server.address()).contains("200 OK"));
    assert!(answered);
    server.stop();
}

/// A caller sends a head that never ends. The library reads it into memory as long as it
/// comes. The gate stops it at its bound and the server goes on.
#[test]
fn can_cut_a_head_without_end() {
    let server = serve(Bounds {
        sent: 64 << 10,
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

/// A caller sends a byte now and then, never idle for long enough to be cut as a sleeper.
/// It is cut at its greatest age.
#[test]
fn can_cut_a_caller_that_trickles() {
    let age = Duration::from_millis(300);
    let server = serve(Bounds {
        age,
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
