//! Upstreams that send bytes without end: in a head, a body, an event, a stream, or after an answer.
//!
//! Requests whose id begins with `e` get such bytes, the others an ordinary answer, which they must
//! get meanwhile.

use std::sync::Mutex;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use routes::Retry;

use crate::harness::*;

const RESUMABLE: Retry = Retry::Stream { resumable: true };
/// Callers at once that get bytes without end.
const CALLERS: usize = 40;
/// Bytes that an upstream sends at once; then it goes on slowly, and its answer stays open.
const BURST: usize = 6 << 20;
/// What the answers in progress may take of this process's memory, in bytes: far more than the event
/// loops of these tests may hold, far less than the bursts of all callers.
const MAX_GROWTH: usize = 96 << 20;

fn is_endless(request: &str) -> bool {
    id_of(request).starts_with('e')
}

/// Writes a piece again and again until the other side closes; `burst` bytes of it at once.
fn write_endlessly(served: &mut Served, piece: &str, burst: usize) {
    let block = piece.repeat((64 << 10) / piece.len());
    for _ in 0..burst / block.len() {
        if !served.try_write(&block) {
            return;
        }
    }
    let until = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < until && served.try_write(piece) {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Encodes the begin of an answer to the request with this id.
type Begin = fn(&str) -> String;

/// An upstream that answers `begin` and then a piece without end.
fn endless_upstream(begin: Begin, piece: &'static str, burst: usize) -> std::net::SocketAddr {
    upstream(move |served| {
        while let Some(request) = served.request() {
            if is_endless(&request) {
                served.write(&begin(id_of(&request)));
                return write_endlessly(served, piece, burst);
            }
            served.write(&answer(id_of(&request), "world"));
        }
    })
}

/// Memory of this process, in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("on Linux");
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.expect("a number") * 4_096
}

/// Asks for ordinary answers while many callers get bytes without end, and returns the latter.
fn ask_endless(running: &TestLoop, ask_others: impl Fn(&str)) -> Vec<String> {
    let mut callers = (0..CALLERS).map(|_| running.caller()).collect::<Vec<_>>();
    for (n, caller) in callers.iter_mut().enumerate() {
        caller.send(&post(&format!("e{n}"), "hello"));
    }
    for n in 0..20 {
        std::thread::sleep(Duration::from_millis(50));
        ask_others(&format!("o{n}"));
    }
    let answers = callers.iter_mut().map(Caller::read_to_end);
    answers.collect()
}

/// Asks for an ordinary answer, while little memory is taken.
fn ask_whole_within(running: &TestLoop, id: &str, before: usize) {
    ask_whole(running, id);
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < MAX_GROWTH, "{grown} bytes more");
}

fn ask_whole(running: &TestLoop, id: &str) {
    let text = running.caller().ask(id);
    assert!(text.ends_with("world"), "{id}: {text}");
}

/// Bodies without end took all of a small host's memory.
#[test]
fn bodies_without_end_are_given_up_within_bounded_memory() {
    for end in [
        "Content-Length: 1000000000000",
        "Transfer-Encoding: chunked",
        "Connection: close",
    ] {
        let begin = match end {
            "Content-Length: 1000000000000" => |id: &str| {
                format!(
                    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\nContent-Length: 1000000000000\r\n\r\n"
                )
            },
            "Connection: close" => |id: &str| {
                format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\nConnection: close\r\n\r\n")
            },
            _ => |id: &str| {
                format!(
                    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
            },
        };
        let address = endless_upstream(begin, "10\r\n0123456789abcdef\r\n", BURST);
        let running = serving(Retry::Never, &[address]);
        let before = resident_bytes();
        let answers = ask_endless(&running, |id| ask_whole_within(&running, id, before));
        for text in answers {
            assert_eq!(status_of(&text), 502, "{end}");
        }
    }
}

/// A head that never ends would hold its caller, or the host's memory.
#[test]
fn heads_without_end_are_given_up() {
    let begin = |id: &str| format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\n");
    for piece in [
        "long: 0123456789abcdef0123456789abcdef\r\n",
        "x",
        "x: y\r\n z\r\n",
        "\r",
        "\0",
    ] {
        let address = endless_upstream(begin, piece, 1 << 20);
        let running = serving(Retry::Never, &[address]);
        let answers = ask_endless(&running, |id| ask_whole(&running, id));
        assert!(answers.iter().all(|text| status_of(text) == 502));
    }
}

/// Chunk extensions and trailers that never end would hold their callers, or the host's memory.
#[test]
fn lines_of_chunks_without_end_are_given_up() {
    let begins: [(Begin, &str); 3] = [
        (|id| stream_head(id, 99) + "1;", "x"),
        (|id| stream_head(id, 99), "0"),
        (|id| stream_head(id, 99) + "0\r\n", "name: value\r\n"),
    ];
    for (begin, piece) in begins {
        for retry in [Retry::Never, Retry::Stream { resumable: false }] {
            let address = endless_upstream(begin, piece, 1 << 20);
            let text = serving(retry, &[address]).caller().ask("e1");
            assert_eq!(status_of(&text), 502, "{piece:?} {retry:?}: {text}");
        }
    }
}

/// Interim answers without end would hold their callers.
#[test]
fn interim_answers_without_end_are_given_up() {
    let piece = "HTTP/1.1 100 Continue\r\n\r\n";
    let address = endless_upstream(|_| String::new(), piece, 1 << 20);
    let running = serving(Retry::Never, &[address]);
    let answers = ask_endless(&running, |id| ask_whole(&running, id));
    assert!(answers.iter().all(|text| status_of(text) == 502));
}

/// Another request's answer, skipped before one's own, would be held whole, or never end.
#[test]
fn stray_answers_without_end_are_given_up_within_bounded_memory() {
    let begin = |_: &str| {
        "HTTP/1.1 200 OK\r\nid: stray\r\nsigned: 1\r\nContent-Length: 1000000000000\r\n\r\n"
            .to_owned()
    };
    let address = endless_upstream(begin, "0123456789abcdef", BURST);
    let running = serving(Retry::Never, &[address]);
    let before = resident_bytes();
    let answers = ask_endless(&running, |id| ask_whole_within(&running, id, before));
    assert!(answers.iter().all(|text| status_of(text) == 502));
}

/// Asks for an ordinary stream.
fn ask_stream(running: &TestLoop, id: &str) {
    let text = running.caller().ask(id);
    assert_eq!(events_of(&text), [1, 2, 3], "{id}: {text}");
}

/// A model's upstream that streams three events, or a piece without end.
fn endless_stream(piece: fn(u64) -> String, burst: u64) -> std::net::SocketAddr {
    upstream(move |served| {
        while let Some(request) = served.request() {
            served.write(&stream_head(id_of(&request), 99));
            if !is_endless(&request) {
                served.write(&((1..=3).map(event).collect::<String>() + END));
                continue;
            }
            let after = field(&request, "after").and_then(|id| id.parse().ok());
            let mut number = after.unwrap_or(0);
            let until = Instant::now() + TEST_TIMEOUT;
            while Instant::now() < until {
                number += 1;
                if !served.try_write(&piece(number)) {
                    return;
                }
                if number > burst {
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
        }
    })
}

/// A stream that goes on beyond what was asked for would occupy its caller until the deadline.
#[test]
fn streams_without_end_are_cut_after_what_was_asked_for() {
    let address = endless_stream(event, 1_000);
    let running = serving(RESUMABLE, &[address]);
    for text in ask_endless(&running, |id| ask_stream(&running, id)) {
        let events = events_of(&text).len();
        assert!((10..100).contains(&events), "{events} events");
        assert!(!text.ends_with(END));
    }
}

/// Events without end were held up to their bound by each stream at once.
#[test]
fn events_without_end_are_given_up_within_bounded_memory() {
    let address = endless_stream(|_| "10\r\n0123456789abcdef\r\n".to_owned(), 14_000);
    let running = serving(RESUMABLE, &[address]);
    let answers = ask_endless(&running, |id| {
        ask_stream(&running, id);
        let held = running.state_number("held_answer_bytes");
        assert!(held <= MAX_HELD_ANSWERS, "{held} bytes held");
    });
    assert!(answers.iter().all(|text| status_of(text) == 502));
}

/// Blank lines without end would keep a stream from ever being given up.
#[test]
fn blank_lines_without_end_are_given_up() {
    let address = endless_stream(|_| "1\r\n\n\r\n".to_owned(), 1_000);
    let running = serving(RESUMABLE, &[address]);
    let answers = ask_endless(&running, |id| ask_stream(&running, id));
    assert!(answers.iter().all(|text| !text.ends_with(END)));
}

/// Bytes after an answer would fill a kept connection's buffers for as long as it is kept.
#[test]
fn a_kept_connection_is_closed_when_bytes_follow_the_answer() {
    let (closed, is_closed) = mpsc::channel::<()>();
    let closed = Mutex::new(closed);
    let address = upstream(move |served| {
        let request = served.request().expect("one");
        let text = answer(id_of(&request), "world");
        served.write(&text.replace("signed: 1", "signed: 1\r\nKeep-Alive: timeout=3600"));
        std::thread::sleep(Duration::from_millis(200));
        write_endlessly(served, "0123456789abcdef", BURST);
        let _ = closed.lock().expect("sound").send(());
    });
    let running = serving(Retry::Any, &[address]);
    ask_whole(&running, "o1");
    is_closed
        .recv_timeout(TEST_TIMEOUT / 2)
        .expect("it is closed");
}
