//! Callers that exceed a limit, one test for each limit.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use callers::{Callers, Frame, Head, HeaderMap, Limits, Request, Responder, Serve, StatusCode};
use types::prelude::*;

/// Long enough to be reached only if a limit is missing.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Echoes bodies, except on special paths. `/endless` and `/waits` send on `disconnected` once the
/// caller has disconnected.
#[derive(Clone)]
struct Echo {
    disconnected: flume::Sender<()>,
}

impl Serve for Echo {
    async fn serve(&self, req: Request) {
        let head = Head {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
        };
        let responder = &req.responder;
        match req.path.as_str() {
            "/endless" => endless(responder, head, &self.disconnected).await,
            "/dropped" => {}
            "/cut" => {
                let _ = responder.send(Frame::Head(head)).await;
                let part = Bytes::from_static(b"part");
                let _ = responder.send(Frame::Data(part)).await;
            }
            "/waits" => {
                responder.disconnected().await;
                let _ = self.disconnected.send(());
            }
            _ => {
                let _ = responder.answer(head, req.body.clone()).await;
            }
        }
    }
}

async fn endless(responder: &Responder, head: Head, disconnected: &flume::Sender<()>) {
    let _ = responder.send(Frame::Head(head)).await;
    let data = Bytes::from(vec![b'x'; 16 << 10]);
    while responder.send(Frame::Data(data.clone())).await.is_ok() {}
    let _ = disconnected.send(());
}

fn limits() -> Limits {
    Limits {
        connections: 64,
        head: ByteSize(16 << 10),
        body: ByteSize(32 << 10),
        head_timeout: Span::from_millis(300),
        body_timeout: Span::from_millis(300),
        write_timeout: Span::from_millis(300),
    }
}

fn start(limits: Limits) -> (Callers, flume::Receiver<()>) {
    let (disconnected, rx) = flume::unbounded();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let echo = Echo { disconnected };
    let callers = Callers::start(address, 1, limits, move || echo.clone());
    (callers.unwrap(), rx)
}

fn connect(callers: &Callers) -> TcpStream {
    let stream = TcpStream::connect(callers.address()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Reads until the connection closes; a reset counts as its end.
fn read_all(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(count) = stream.read(&mut buf) {
        if count == 0 {
            break;
        }
        text.extend_from_slice(&buf[..count]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn ask(callers: &Callers, text: &str) -> String {
    let mut stream = connect(callers);
    stream.write_all(text.as_bytes()).unwrap();
    read_all(&mut stream)
}

fn is_served(callers: &Callers) -> bool {
    let answer = ask(
        callers,
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
    );
    answer.starts_with("HTTP/1.1 200") && answer.ends_with("hi")
}

#[test]
fn can_serve_a_request() {
    let (callers, _) = start(limits());
    assert!(is_served(&callers));
}

#[test]
fn errors_on_a_slow_head() {
    // Guards against callers that send half a head and then nothing: without a timeout such
    // connections stay open forever and the daemon runs out of file descriptors.
    let (callers, _) = start(limits());
    let mut stream = connect(&callers);
    stream.write_all(b"GET /x HTTP/1.1\r\nHo").unwrap();
    let answer = read_all(&mut stream);
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 408"),
        "{answer}"
    );
    assert!(is_served(&callers));
}

#[test]
fn errors_on_an_idle_connection() {
    // A caller sends one request and then nothing more, without closing its connection.
    let (callers, _) = start(limits());
    let answer = ask(&callers, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[test]
fn errors_on_an_endless_head() {
    // Guards against a caller that sends endless headers until the daemon's memory is full.
    let (callers, _) = start(limits());
    let mut stream = connect(&callers);
    let line = format!("X-Filler: {}\r\n", "y".repeat(1000));
    stream.write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n").unwrap();
    let refused = (0..100_000).any(|_| stream.write_all(line.as_bytes()).is_err());
    assert!(refused);
    assert!(is_served(&callers));
}

#[test]
fn errors_on_a_long_body() {
    let (callers, _) = start(limits());
    let answer = ask(
        &callers,
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("\"run\":\"no\""));
}

#[test]
fn errors_on_an_endless_chunked_body() {
    // The length is not announced, so the limit must be applied to the bytes that arrive.
    let (callers, _) = start(limits());
    let mut stream = connect(&callers);
    stream
        .write_all(b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    let chunk = format!("400\r\n{}\r\n", "z".repeat(1024));
    let refused = (0..100_000).any(|_| stream.write_all(chunk.as_bytes()).is_err());
    assert!(refused);
    assert!(is_served(&callers));
}

#[test]
fn errors_on_a_slow_body() {
    let (callers, _) = start(limits());
    let mut stream = connect(&callers);
    stream
        .write_all(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc")
        .unwrap();
    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

#[test]
fn errors_on_ambiguous_body_lengths() {
    // Guards against request smuggling: of a head with two lengths, two servers may each use a
    // different one and take one caller's bytes for another's request. So no bytes after such a
    // head are treated as a request.
    let (callers, _) = start(limits());
    let two = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde";
    let answer = ask(&callers, two);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let conflicting = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\
                 Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    let answer = ask(&callers, &format!("{conflicting}{smuggled}"));
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
}

#[test]
fn can_drop_a_caller_that_does_not_read() {
    // A caller requests a stream and never reads it, so the socket's buffers fill up and the
    // writer waits. Without a timeout its thread and the upstream's slot are lost forever.
    let (callers, disconnected) = start(limits());
    let mut stream = connect(&callers);
    stream
        .write_all(b"GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    disconnected.recv_timeout(TEST_TIMEOUT).unwrap();
    let open = callers.counts();
    drop(callers);
    drop(stream);
    let _ = open;
}

#[test]
fn can_detect_a_caller_that_disconnects() {
    let (callers, disconnected) = start(Limits {
        write_timeout: Span::from_secs(50),
        ..limits()
    });
    let mut stream = connect(&callers);
    stream
        .write_all(b"GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    let mut buf = [0; 1000];
    stream.read_exact(&mut buf).unwrap();
    drop(stream);
    disconnected.recv_timeout(TEST_TIMEOUT).unwrap();
}

#[test]
fn can_detect_a_caller_that_disconnects_before_its_answer() {
    // Guards against upstreams that work for nobody: a caller disconnects while its answer is
    // still being made, which must be detected before the answer is written.
    let (callers, disconnected) = start(limits());
    let mut stream = connect(&callers);
    stream
        .write_all(b"GET /waits HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    drop(stream);
    disconnected.recv_timeout(TEST_TIMEOUT).unwrap();
}

#[test]
fn can_answer_a_head_request() {
    let (callers, _) = start(limits());
    let answer = ask(
        &callers,
        "HEAD /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
    );
    assert!(answer.contains("Content-Length: 2\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
}

#[test]
fn can_cut_an_incomplete_answer() {
    // The thread that makes an answer stops in the middle. The last chunk must not be sent, or
    // the caller would take an incomplete answer for a complete one.
    let (callers, _) = start(limits());
    let answer = ask(
        &callers,
        "GET /cut HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    );
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[test]
fn errors_as_unknown_when_the_answer_is_lost() {
    // The thread that serves a request stops before it answers. It may have sent the work to an
    // upstream, so a caller that gets "not run" would retry and have it done twice.
    let (callers, _) = start(limits());
    let answer = ask(&callers, "GET /dropped HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
    assert!(answer.contains("x-run: unknown"), "{answer}");
    assert!(answer.contains("\"run\":\"unknown\""), "{answer}");
}

#[test]
fn can_reject_connections_above_the_limit() {
    // Of ten connections four are allowed: the other six are closed at once and the four are
    // served.
    let (callers, _) = start(Limits {
        connections: 4,
        ..limits()
    });
    let mut held_open: Vec<_> = (0..4).map(|_| connect(&callers)).collect();
    for stream in &mut held_open {
        stream
            .write_all(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nh")
            .unwrap();
    }
    let counts = callers.counts();
    while counts.open.load(std::sync::atomic::Ordering::Acquire) < 4 {
        std::thread::sleep(Duration::from_millis(1));
    }
    for _ in 0..6 {
        let mut extra = connect(&callers);
        assert_eq!(read_all(&mut extra), "");
    }
    for stream in &mut held_open {
        stream.write_all(b"i").unwrap();
        let mut head = [0; 12];
        stream.read_exact(&mut head).unwrap();
        assert_eq!(&head, b"HTTP/1.1 200");
    }
    assert_eq!(
        counts.rejected.load(std::sync::atomic::Ordering::Relaxed),
        6
    );
}

#[test]
fn can_shut_down_with_an_idle_connection() {
    // Guards against an idle keep-alive connection that delays the daemon's shutdown.
    let (callers, _) = start(limits());
    let address = callers.address();
    let mut idle = connect(&callers);
    idle.write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    let mut first = [0; 12];
    idle.read_exact(&mut first).unwrap();
    assert_eq!(callers.close(TEST_TIMEOUT), 0);
    assert!(TcpStream::connect(address).is_err());
}
