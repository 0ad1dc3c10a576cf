//! Upstreams that send a head which is no valid HTTP.

use std::net::SocketAddr;

use routes::Retry;

use crate::endings::open_event;
use crate::harness::*;
use crate::tunnels::cut_off;

const RESUMABLE: Retry = Retry::Stream { resumable: true };
const NOT_RESUMABLE: Retry = Retry::Stream { resumable: false };

/// Status lines whose code is outside of 100 to 599, or not three digits.
const BROKEN_STATUS_LINES: [&str; 11] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 000",
    "HTTP/1.1 001 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 2x0 OK",
];

/// Fields with a blank or a control byte in the name, or one that no value may hold.
const BROKEN_FIELDS: [&str; 14] = [
    "bad name: x",
    " name: x",
    "name : x",
    "name\t: x",
    "na\tme: x",
    "na\u{1}me: x",
    "na\0me: x",
    "na\u{7f}me: x",
    "na\u{b}me: x",
    ": x",
    "no colon",
    "name: a\0b",
    "name: a\u{1}b",
    "name: a\u{7f}b",
];

/// A status line and a field; without a field, only the status line is broken.
type BrokenHead = (&'static str, &'static str);

const SOUND_STATUS_LINE: &str = "HTTP/1.1 200 OK";
const SOUND_HEAD: BrokenHead = (SOUND_STATUS_LINE, "");

/// Encodes an answer that is whole but for its head.
fn answer_with((line, field): BrokenHead, id: &str, sure: u8, content: &str) -> String {
    let field = match field {
        "" => String::new(),
        field => format!("{field}\r\n"),
    };
    let length = content.len();
    format!(
        "{line}\r\nid: {id}\r\nsigned: 1\r\nsure: {sure}\r\n{field}\
         Content-Length: {length}\r\n\r\n{content}"
    )
}

/// An upstream whose answers have this head.
fn upstream_with(head: BrokenHead, content: &str) -> SocketAddr {
    let content = content.to_owned();
    upstream(move |served| {
        while let Some(request) = served.request() {
            served.write(&answer_with(head, id_of(&request), 90, &content));
        }
    })
}

fn broken_heads() -> impl Iterator<Item = BrokenHead> {
    let lines = BROKEN_STATUS_LINES.into_iter().map(|line| (line, ""));
    let fields = BROKEN_FIELDS.into_iter();
    lines.chain(fields.map(|field| (SOUND_STATUS_LINE, field)))
}

fn events(count: u64) -> String {
    (1..=count).map(open_event).collect()
}

fn assert_is_no_answer_of_the_upstream(text: &str, head: BrokenHead) {
    assert_eq!(status_of(text), 502, "{head:?}: {text}");
    assert_eq!(field(text, "signed"), None, "{head:?}: {text}");
}

/// A caller got an answer of status 000, signed and with a body.
#[test]
fn an_answer_with_a_broken_head_is_not_relayed() {
    for head in broken_heads() {
        for (retry, content) in [(Retry::Never, "world"), (NOT_RESUMABLE, &events(2))] {
            let running = serving(retry, &[upstream_with(head, content)]);
            assert_is_no_answer_of_the_upstream(&running.caller().ask("r1"), head);
        }
    }
}

#[test]
fn an_answer_with_a_broken_head_is_retried() {
    for head in broken_heads() {
        let broken = upstream_with(head, "broken");
        let (sound, _) = counting_upstream();
        let running = serving(Retry::Any, &[broken, broken, sound]);
        let text = running.caller().ask("r1");
        assert!(text.ends_with("world"), "{head:?}: {text}");
    }
}

#[test]
fn a_stream_with_a_broken_head_is_retried() {
    for head in broken_heads() {
        let broken = upstream_with(head, &events(2));
        let sound = upstream_with(SOUND_HEAD, &events(3));
        let running = serving(RESUMABLE, &[broken, broken, sound]);
        let text = running.caller().ask("r1");
        assert_eq!(events_of(&text), [1, 2, 3], "{head:?}: {text}");
        assert!(text.ends_with(END), "{head:?}: {text}");
    }
}

/// The larger model's answer has a broken head; the draft is an answer.
#[test]
fn a_draft_outlasts_a_replacement_with_a_broken_head() {
    for head in broken_heads() {
        let address = upstream(move |served| {
            while let Some(request) = served.request() {
                let (head, sure) = match field(&request, "model") {
                    Some("large") => (head, 80),
                    _ => (SOUND_HEAD, 10),
                };
                served.write(&answer_with(head, id_of(&request), sure, &events(2)));
            }
        });
        let running = serving_with_long_overlap(RESUMABLE, &[address; 2]);
        let text = running.caller().ask("r1");
        assert_eq!(status_of(&text), 200, "{head:?}: {text}");
        assert_eq!(events_of(&text), [1, 2], "{head:?}: {text}");
    }
}

#[test]
fn an_answer_with_a_broken_head_is_not_relayed_through_a_peer() {
    for head in broken_heads() {
        for (retry, content) in [(Retry::Never, "world"), (NOT_RESUMABLE, &events(2))] {
            let broken = upstream_with(head, content);
            let (_kept, refusing) = refusing_address();
            let (running, _peer) = cut_off(retry, refusing, broken);
            assert_is_no_answer_of_the_upstream(&running.caller().ask("r1"), head);
        }
    }
}

/// An upstream that answered with status 000 was never ejected.
#[test]
fn an_upstream_whose_answers_have_broken_heads_is_ejected() {
    for head in broken_heads() {
        let broken = upstream_with(head, "broken");
        let (sound, _) = counting_upstream();
        let running = serving(Retry::Never, &[broken, sound]);
        let failed = (0..60).filter(|n| status_of(&running.caller().ask(&format!("r{n}"))) != 200);
        let failed = failed.count();
        assert!(failed <= 10, "{head:?}: {failed} of 60");
    }
}
