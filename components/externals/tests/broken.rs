//! Services whose answers are broken, odd or without end.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use externals::{HostList, PlatformError, Rater, Sample, WeightStore};
use standins::raw::{Endless, serve, serve_bytes};

/// Most bytes that a client may read of an answer without end.
const MAX_READ: usize = 32 << 20;
/// Bytes after which such an answer ends all the same.
const ENOUGH: usize = 256 << 20;

fn answering(status_line: &str, body: &str) -> SocketAddr {
    let length = body.len();
    let answer = format!("{status_line}\r\nContent-Length: {length}\r\n\r\n{body}");
    serve_bytes(answer).unwrap()
}

fn sample() -> Sample {
    Sample {
        class: "answer".parse().unwrap(),
        version: "small@v1".parse().unwrap(),
        prompt: "a".to_owned(),
        answer: "b".to_owned(),
    }
}

/// The errors of a call of each kind.
fn errors(address: SocketAddr) -> [Option<PlatformError>; 3] {
    let version = "small@v1".parse().unwrap();
    [
        HostList::new(address).read().err(),
        Rater::new(address).rate(&sample()).err(),
        WeightStore::new(address).take_slot(&version).err(),
    ]
}

#[test]
fn errors_on_an_invalid_status() {
    for status in ["000", "099", "600", "999", "20", "2000"] {
        let body = r#"{"hosts":[],"adequate":true,"slot":1}"#;
        for error in errors(answering(&format!("HTTP/1.1 {status} X"), body)) {
            assert!(
                matches!(error, Some(PlatformError::Failed(_))),
                "{status}: {error:?}"
            );
        }
    }
}

/// One odd entry of another program hid all the others from the daemons that read the list.
#[test]
fn can_read_hosts_among_odd_entries() {
    let depth = 100_000;
    let lists = "[".repeat(depth) + &"]".repeat(depth);
    let maps = "{\"a\":".repeat(depth) + "1" + &"}".repeat(depth);
    let odd = [
        r#"{"address":"127.0.0.1:99999","state":"live"}"#,
        r#"{"address":"127.0.0.1:-1","state":"live"}"#,
        r#"{"address":"host","state":"live"}"#,
        r#"{"address":127,"state":"live"}"#,
        r#"{"address":"127.0.0.1:3","state":"other"}"#,
        r#"{"address":"127.0.0.1:3","state":1e400}"#,
        r#"{"state":"live"}"#,
        "1e400",
        "null",
        "\"\"",
        &lists,
        &maps,
    ];
    for odd in odd {
        let body = format!(
            r#"{{"hosts":[{{"address":"127.0.0.1:1","state":"live"}},{odd},
            {{"address":"127.0.0.1:2","state":"leaving"}}]}}"#
        );
        let hosts = HostList::new(answering("HTTP/1.1 200 OK", &body)).read();
        let ports = hosts.map(|hosts| {
            hosts
                .iter()
                .map(|host| host.address.port())
                .collect::<Vec<_>>()
        });
        let shown = &odd[..odd.len().min(60)];
        assert_eq!(ports, Ok(vec![1, 2]), "{shown}");
    }
}

/// Answers without end would fill the memory.
#[test]
fn errors_on_bytes_without_end() {
    let head = "HTTP/1.1 200 OK\r\n";
    let begins = [
        (head.to_owned(), "x"),
        (head.to_owned(), "name: value\r\n"),
        (format!("{head}Content-Length: 999999999999\r\n\r\n"), " "),
        (format!("{head}\r\n{{\"hosts\":["), "[],"),
        (
            format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            "10\r\n                \r\n",
        ),
    ];
    for (begin, piece) in begins {
        let what = format!("{begin:?} {piece:?}");
        let endless = Endless::start(&begin, piece, ENOUGH).unwrap();
        for error in errors(endless.address) {
            assert!(
                matches!(error, Some(PlatformError::Failed(_))),
                "{what}: {error:?}"
            );
        }
        let taken = endless.taken();
        assert!(taken < 3 * MAX_READ, "{what}: {taken} bytes");
    }
}

/// A service that sends an answer bit by bit would hold the thread that reads it for days.
#[test]
fn errors_on_an_answer_that_never_ends() {
    let address = serve(|stream, _| {
        let mut is_open = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").is_ok();
        while is_open {
            std::thread::sleep(Duration::from_millis(20));
            is_open = stream.write_all(b" ").is_ok();
        }
    })
    .unwrap();
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || tx.send(HostList::new(address).read()));
    let read = rx.recv_timeout(Duration::from_secs(60));
    assert!(
        matches!(read, Ok(Err(PlatformError::Failed(_)))),
        "{read:?}"
    );
}
