//! The tool before a server whose answers are broken or have no end.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Output};

use standins::raw::{Endless, serve, serve_bytes};

/// Most bytes that the tool may read of an answer without end.
const MAX_READ: usize = 128 << 20;
/// Bytes after which such an answer ends all the same.
const ENOUGH: usize = 512 << 20;
/// One command for each way in which the tool reads an answer.
const COMMANDS: [&[&str]; 3] = [
    &["status"],
    &["catalogue", "get", "customers/acme"],
    &["bills"],
];

fn run(server: SocketAddr, words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthorncross"));
    command.args(["--server", &server.to_string(), "--token", "secret-token"]);
    command.args(words).output().unwrap()
}

#[test]
fn errors_on_an_invalid_status() {
    for status in ["000", "099", "600", "999", "20", "2000"] {
        let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}");
        let address = serve_bytes(answer).unwrap();
        for words in COMMANDS {
            let output = run(address, words);
            assert!(!output.status.success(), "{status} {words:?}: {output:?}");
            assert!(output.stdout.is_empty(), "{status} {words:?}: {output:?}");
        }
    }
}

/// Answers without end would fill the operator's memory.
#[test]
fn errors_on_bytes_without_end() {
    for status in [200, 500] {
        for words in COMMANDS {
            let head = format!("HTTP/1.1 {status} X\r\n\r\n");
            let endless = Endless::start(&head, " ", ENOUGH).unwrap();
            let output = run(endless.address, words);
            assert!(!output.status.success(), "{status} {words:?}");
            assert!(output.stdout.is_empty(), "{status} {words:?}");
            let taken = endless.taken();
            assert!(taken < MAX_READ, "{status} {words:?}: {taken} bytes");
        }
    }
}

/// An edit that a broken answer left open was reported as failed, though it was applied.
#[test]
fn a_broken_answer_to_an_edit_is_an_unknown_outcome() {
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("broken.yaml");
    let text = "# revision customers/acme 7\nentries:\n  customers/acme:\n    kind: customer\n    \
                owner: licensing\n    key_sha256: []\n";
    std::fs::write(&file, text).unwrap();
    let broken = [
        "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"edit_id\"",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\noops",
        "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\noops",
        "no answer at all\r\n\r\n",
    ];
    for broken in broken {
        let address = serve(move |stream, request| {
            let path = request.split(' ').nth(1).unwrap_or_default();
            let answer = match path.rsplit_once("/edits/") {
                Some((_, id)) => {
                    let body = format!(r#"{{"edit_id":"{id}","state":"applied","revision":8}}"#);
                    format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    )
                }
                None => broken.to_owned(),
            };
            let _ = stream.write_all(answer.as_bytes());
        })
        .unwrap();
        let output = run(address, &["catalogue", "put", &file.display().to_string()]);
        assert!(output.status.success(), "{broken:?}: {output:?}");
    }
}
