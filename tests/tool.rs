//! The tool's exit codes and output, against a minimal operators' API.

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::Arc;

use adminapi::entry::EntryReply;
use adminapi::status::{MemberState, MemberStatus, StatusReply};
use catalogue::entry::{Body, Customer, Entry, Limits};
use operators::auth::Tokens;
use operators::command::{Command as ApiCommand, EditOutcome};
use operators::health::Health;
use operators::{Bounds, Config, Handle, start};
use telemetry::metrics::Metrics;
use types::prelude::*;

const FILE: &str = "# revision customers/acme 7\nentries:\n  customers/acme:\n    kind: customer\n    \
                    owner: licensing\n    key_sha256: []\n";

/// Starts an API at which every edit of revision 7 has the given outcome; any other edit is a
/// conflict.
fn serve(outcome: EditOutcome) -> Handle {
    let operator = OperatorName::new("asha").unwrap();
    let submit = move |req| {
        match req {
            ApiCommand::Edit(edit, tx) if edit.if_match == Some(Revision(7)) => {
                tx.send(outcome.clone())
            }
            ApiCommand::Edit(_, tx) => tx.send(EditOutcome::Conflict { current: None }),
            ApiCommand::EditState(_, tx) => tx.send(None),
            ApiCommand::Status(tx) => tx.send(status()),
            ApiCommand::Entry(name, tx) => tx.send(Some(acme(name))),
            _ => return false,
        }
        true
    };
    let config = Config {
        listen: "127.0.0.1:0".parse().unwrap(),
        bounds: Bounds::default(),
        tokens: Tokens::new([(&operator, &"secret-token".to_owned())]),
        submit: Box::new(submit),
        metrics: Arc::new(Metrics::new()),
        health: Arc::new(Health::new(Clock::new())),
    };
    start(config).unwrap()
}

fn acme(name: EntryName) -> EntryReply {
    let customer = Customer {
        key_sha256: Vec::new(),
        limits: Limits::default(),
        weight: 1,
    };
    let owner = OperatorName::new("licensing").unwrap();
    let body = Body::Customer(customer);
    EntryReply {
        name,
        revision: Revision(7),
        edit_id: EditId(1),
        author: OperatorName::new("ravi").unwrap(),
        at: WallTime(0),
        entry: Some(Arc::new(Entry { owner, body })),
    }
}

fn status() -> StatusReply {
    StatusReply {
        cluster: ClusterName::new("test").unwrap(),
        daemon: DaemonId::new("entry-1").unwrap(),
        revision: Revision(8),
        in_force_everywhere: Revision(6),
        freshness_age: Span::from_millis(200),
        store_reachable: true,
        members: vec![MemberStatus {
            daemon: DaemonId::new("entry-2").unwrap(),
            failure_domain: FailureDomain::new("kaloor").unwrap(),
            state: MemberState::Alive,
            revision: Revision(6),
            report_age: Span::from_secs(3),
            behind_for: Some(Span::from_secs(3)),
        }],
        suspended: Vec::new(),
        in_flight: 0,
        bills_waiting: 0,
    }
}

fn tool(server: SocketAddr, words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthorncross"));
    command.args(["--server", &server.to_string(), "--token", "secret-token"]);
    command.args(words).output().unwrap()
}

/// Runs the tool and returns its exit code, standard output and standard error.
fn run(server: SocketAddr, words: &[&str]) -> (i32, String, String) {
    let output = tool(server, words);
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr),
    )
}

fn file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn put_accepts_the_output_of_get() {
    let server = serve(EditOutcome::Applied {
        revision: Revision(8),
    });
    let (code, printed, _) = run(server.address(), &["catalogue", "get", "customers/acme"]);
    assert_eq!(code, 0);
    assert!(
        printed.starts_with("# revision customers/acme 7\n"),
        "{printed}"
    );
    let from = file("get.yaml", &printed);
    let (code, said, _) = run(server.address(), &["catalogue", "put", &from]);
    assert_eq!(code, 0, "{said}");
    assert!(
        said.starts_with("customers/acme: applied, revision 8"),
        "{said}"
    );
    server.stop();
}

#[test]
fn each_kind_of_failure_has_its_exit_code() {
    let from = file("put.yaml", FILE);
    let put = |outcome: EditOutcome| {
        let server = serve(outcome);
        let ended = run(server.address(), &["catalogue", "put", &from]);
        server.stop();
        ended
    };
    let problems = vec!["weight must be at least 1".to_owned()];
    let (code, _, said) = put(EditOutcome::Invalid { problems });
    assert_eq!(code, 1);
    assert!(said.contains("  - weight must be at least 1"), "{said}");
    let (code, _, said) = put(EditOutcome::NotApplied {
        reason: "down".to_owned(),
    });
    assert_eq!(code, 1, "{said}");
    assert!(said.contains("nothing was written"), "{said}");
    let (code, _, said) = put(EditOutcome::Conflict { current: None });
    assert_eq!(code, 3, "{said}");

    let nowhere = "127.0.0.1:1".parse().unwrap();
    let (code, _, said) = run(nowhere, &["catalogue", "put", &from]);
    assert_eq!(code, 5);
    assert!(said.contains("--server"), "{said}");
    assert_eq!(run(nowhere, &["catalogue", "putt"]).0, 2);
    assert_eq!(run(nowhere, &["--help"]).0, 0);
}

/// The store's reply to an edit is lost, so the outcome is unknown. A script that was told "failed"
/// would repeat the edit, and one that was told "done" would go on. The tool must poll for a while
/// and then report that the outcome is unknown.
#[test]
fn errors_say_when_an_outcome_stays_unknown() {
    let from = file("unknown.yaml", FILE);
    let server = serve(EditOutcome::Unknown);
    let (code, _, said) = run(server.address(), &["catalogue", "put", &from]);
    assert_eq!(code, 4);
    assert!(said.contains("catalogue history customers/acme"), "{said}");
    server.stop();
}

#[test]
fn a_wait_that_times_out_names_the_lagging_daemons() {
    let server = serve(EditOutcome::Unknown);
    let words = ["status", "--wait", "8", "--timeout", "0s"];
    let (code, _, said) = run(server.address(), &words);
    assert_eq!(code, 1);
    assert!(
        said.contains("entry-2 reported revision 6 3s ago"),
        "{said}"
    );
    let (code, shown, _) = run(server.address(), &["status"]);
    assert_eq!(code, 0);
    assert!(shown.contains("entry-2"), "{shown}");
    let (code, shown, _) = run(server.address(), &["--json", "status"]);
    assert_eq!(code, 0);
    let reply: StatusReply = serde_json::from_str(&shown).unwrap();
    assert_eq!(reply, status());
    server.stop();
}

const LOG: &str = r#"{"timestamp":"2026-01-01T00:00:00.1Z","level":"INFO","message":"config: in force","version":4}
{"timestamp":"2026-01-01T00:00:00.2Z","level":"INFO","message":"upstreams: listed","upstream":"u1"}
{"timestamp":"2026-01-01T00:00:00.3Z","level":"INFO","message":"upstreams: listed","upstream":"u2"}
{"timestamp":"2026-01-01T00:00:00.5Z","level":"INFO","message":"requests: ended","id":"r7","tries":"u1 v1 (wait 0 work 50): refused at 3ms","status":503}
{"timestamp":"2026-01-01T00:00:00.6Z","level":"INFO","message":"requests: ended","id":"r8","tries":""}
not a line of ours
{"timestamp":"2026-01-01T00:00:00.9Z","level":"INFO","message":"store: lost"}
"#;

#[test]
fn a_request_is_traced_through_logs() {
    // An operator has only the logs and the id of a failed request. The trace must show the
    // request's own line and the earlier lines about its host and upstream, and nothing else.
    let path = std::env::temp_dir().join(format!("trace-{}.log", std::process::id()));
    std::fs::write(&path, LOG).unwrap();
    let tool = || Command::new(env!("CARGO_BIN_EXE_buckthorncross"));
    let found = tool()
        .args(["trace", "r7", "--logs"])
        .arg(&path)
        .output()
        .unwrap();
    let missing = tool()
        .args(["trace", "r9", "--logs"])
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let text = String::from_utf8(found.stdout).unwrap();
    let lines = text.lines().collect::<Vec<_>>();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("config: in force version=4"), "{text}");
    assert!(lines[1].contains("upstream=u1"), "{text}");
    assert!(lines[2].contains("id=r7"), "{text}");
    assert_eq!(found.status.code(), Some(0));
    assert_eq!(missing.status.code(), Some(1));
}

const CRASH_LOG: &str = r#"
{"timestamp":"2026-01-01T00:00:01.000Z","level":"INFO","message":"requests: ended","id":"r1","content":"c1","tries":"u1 v1: cut at 9ms"}
{"timestamp":"2026-01-01T00:00:01.100Z","level":"WARN","message":"upstreams: ended","upstream":"u1","under":"c0 40ms; c1 9ms"}
{"timestamp":"2026-01-01T00:00:02.000Z","level":"INFO","message":"requests: ended","id":"r2","content":"c1","tries":"u2 v1: cut at 9ms"}
{"timestamp":"2026-01-01T00:00:02.100Z","level":"WARN","message":"upstreams: ended","upstream":"u3","under":"c0 70ms"}
"#;

#[test]
fn all_requests_of_one_content_are_traced_with_the_crashes_under_it() {
    // A caller repeats the same content under new request ids. An operator has one request id,
    // reads the id of the content from that request's line, and needs all requests and crashes of
    // the content.
    let path = std::env::temp_dir().join(format!("trace-ends-{}.log", std::process::id()));
    std::fs::write(&path, CRASH_LOG).unwrap();
    let mut tool = Command::new(env!("CARGO_BIN_EXE_buckthorncross"));
    let found = tool.args(["trace", "c1", "--logs"]).arg(&path).output();
    std::fs::remove_file(&path).unwrap();
    let text = String::from_utf8(found.unwrap().stdout).unwrap();
    let lines = text.lines().collect::<Vec<_>>();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("id=r1"), "{text}");
    assert!(lines[1].contains("upstream=u1"), "{text}");
    assert!(lines[2].contains("id=r2"), "{text}");
}
