//! Callers that read or send slowly, and upstreams that cut off what stays unread.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use routes::Retry;

use crate::harness::*;

const RESUMABLE: Retry = Retry::Stream { resumable: true };
const NOT_RESUMABLE: Retry = Retry::Stream { resumable: false };
/// Bytes of an event that fills the buffers on its way after some others.
const LARGE: usize = 240_000;
/// Events of the streams: more than the buffers on their way hold.
const EVENTS: u64 = 60;
/// Callers that are slow at once.
const CALLERS: usize = 30;

fn text_of(id: u64) -> String {
    format!("id: {id}\ndata: e{id} {}\n\n", "x".repeat(LARGE))
}

/// An answer with chunks, or one that ends with its connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Framing {
    Chunks,
    Connection,
}

impl Framing {
    fn head(self, id: &str) -> String {
        match self {
            Self::Chunks => stream_head(id, 90),
            Self::Connection => {
                format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\nsure: 90\r\n\r\n")
            }
        }
    }

    fn event(self, id: u64) -> String {
        let text = text_of(id);
        match self {
            Self::Chunks => format!("{:x}\r\n{text}\r\n", text.len()),
            Self::Connection => text,
        }
    }
}

/// How an upstream cuts an answer off.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cut {
    /// Within an event, with a reset of the connection.
    Reset,
    /// Within an event, with an ordinary end of the connection.
    End,
    /// After half of the events, with an ordinary end of the connection. What it sent before still
    /// arrives.
    BetweenEvents,
}

/// An upstream that streams large events, and cuts a stream off once it stays unread for a second.
fn cutting_off(framing: Framing, cut: Cut) -> SocketAddr {
    upstream(move |served| {
        served.limit_send_buffer(64 * 1_024);
        while let Some(request) = served.request() {
            let after = field(&request, "after").and_then(|id| id.parse().ok());
            let first = after.unwrap_or(0) + 1;
            served.write(&framing.head(id_of(&request)));
            for id in first..=EVENTS {
                let event = framing.event(id);
                if cut == Cut::BetweenEvents && first == 1 {
                    served.write(&event);
                    if id == EVENTS / 2 {
                        return;
                    }
                } else if !served.write_within(&event, Duration::from_secs(1)) {
                    if cut == Cut::Reset {
                        served.reset();
                    }
                    return;
                }
            }
            if framing == Framing::Connection {
                return;
            }
            served.write(END);
        }
    })
}

/// Reads nothing for four seconds, then everything.
fn read_late(running: &TestLoop, id: &str) -> String {
    let mut caller = running.caller();
    let small = socket2::SockRef::from(&caller.stream);
    small.set_recv_buffer_size(128 * 1_024).expect("open");
    // Without a prompt, the number of events isn't limited.
    caller.send(&post(id, "hello").replace("prompt: 100", "Connection: close"));
    std::thread::sleep(Duration::from_secs(4));
    caller.read_to_end()
}

fn count_events(text: &str) -> Vec<u64> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// An upstream cuts off an answer that stays unread. The caller took what it got for the whole.
#[test]
fn an_answer_that_is_cut_off_unread_is_no_success() {
    for framing in [Framing::Chunks, Framing::Connection] {
        for cut in [Cut::Reset, Cut::End, Cut::BetweenEvents] {
            let running = serving(NOT_RESUMABLE, &[cutting_off(framing, cut)]);
            let text = read_late(&running, "r1");
            let events = count_events(&text);
            let is_part = !events.is_empty() && events.len() < EVENTS as usize;
            assert!(is_part, "{framing:?}, {cut:?}: {events:?} of {EVENTS}");
            assert!(!text.ends_with(END), "{framing:?}, {cut:?}: complete");
            let answered = r#"requests_total{outcome="Answered"}"#;
            assert!(
                !running.get("/metrics").contains(answered),
                "{framing:?}, {cut:?}"
            );
        }
    }
}

/// The next upstream gets the request again, and the caller all events once.
#[test]
fn an_answer_that_is_cut_off_unread_is_resumed() {
    for framing in [Framing::Chunks, Framing::Connection] {
        for cut in [Cut::Reset, Cut::End, Cut::BetweenEvents] {
            let addresses = [0, 1].map(|_| cutting_off(framing, cut));
            let running = serving(RESUMABLE, &addresses);
            let text = read_late(&running, "r1");
            let all = (1..=EVENTS).collect::<Vec<_>>();
            assert_eq!(count_events(&text), all, "{framing:?}, {cut:?}");
            assert!(text.ends_with(END), "{framing:?}, {cut:?}");
        }
    }
}

/// An upstream crashes while a caller leaves its answer unread. That was taken for a cut, so requests
/// that crash upstreams left no evidence when their callers read slowly.
#[test]
fn a_crash_while_an_answer_is_unread_is_a_crash() {
    for framing in [Framing::Chunks, Framing::Connection] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        std::thread::spawn(move || {
            let (stream, _) = listener.accept().expect("a connection");
            drop(listener);
            let mut served = Served::new(stream);
            served.limit_send_buffer(64 * 1_024);
            let request = served.request().expect("a request");
            served.write(&framing.head(id_of(&request)));
            let mut ids = 1..=EVENTS;
            ids.all(|id| served.write_within(&framing.event(id), Duration::from_secs(1)));
        });
        let running = serving(NOT_RESUMABLE, &[address]);
        let text = read_late(&running, "r1");
        assert!(!text.ends_with(END), "{framing:?}: complete");
        wait_until("the crash counts", || {
            running.metric("buckthorncross_upstream_ends_total") == 1
        });
    }
}

/// Callers that do not read held whole answers beyond the memory set aside, until their deadline.
#[test]
fn answers_to_callers_that_do_not_read_are_bounded_and_counted() {
    let large = "x".repeat(200_000);
    let address = upstream(move |served| {
        while let Some(request) = served.request() {
            let body = if id_of(&request).starts_with('s') {
                &large
            } else {
                "world"
            };
            served.write(&answer(id_of(&request), body));
        }
    });
    let running = serving(Retry::Any, &[address]);
    let slow = (0..CALLERS).map(|n| {
        let mut caller = running.caller();
        let small = socket2::SockRef::from(&caller.stream);
        small.set_recv_buffer_size(128 * 1_024).expect("open");
        caller.send(&post(&format!("s{n}"), "hello").replace("9000", "3000"));
        caller
    });
    let slow = slow.collect::<Vec<_>>();
    for n in 0..20 {
        let text = running.caller().ask(&format!("o{n}"));
        assert!(text.ends_with("world"), "{text}");
        let held = running.state_number("held_answer_bytes");
        assert!(held <= MAX_HELD_ANSWERS, "{held} bytes held");
        std::thread::sleep(Duration::from_millis(50));
    }
    wait_until("their deadlines", || {
        running.state_number("held_answer_bytes") == 0 && running.state_number("requests") == 0
    });
    for mut caller in slow {
        let text = caller.read_to_end();
        // A reply of the daemon after a part of the answer would be taken for the rest of it.
        assert_eq!(
            text.matches("HTTP/1.1 ").count(),
            1,
            "{}",
            &text[text.len() - 300..]
        );
    }
}

/// The deadline passed while a part of an answer was written to a caller that does not read. The reply
/// to the deadline followed it, and the caller took that for the rest of the answer.
#[test]
fn nothing_follows_a_part_of_an_answer() {
    let large = "x".repeat(400_000);
    let address = upstream(move |served| {
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), &large));
        }
    });
    let running = serving(Retry::Any, &[address]);
    let mut caller = running.caller();
    for n in 0..20 {
        caller.send(&post(&format!("s{n}"), "hello").replace("9000", "1000"));
    }
    std::thread::sleep(Duration::from_secs(2));
    let text = caller.read_to_end();
    let (mut rest, mut whole) = (&*text, 0);
    while let Some((head, body)) = rest.split_once("\r\n\r\n") {
        let length = field(head, "Content-Length").and_then(|length| length.parse().ok());
        let length: usize = length.expect("a length");
        let body = &body[..body.len().min(length)];
        assert!(
            body.bytes().all(|byte| byte == b'x'),
            "{whole} before: foreign bytes"
        );
        whole += usize::from(body.len() == 400_000);
        rest = &rest[(head.len() + 4 + length).min(rest.len())..];
    }
    assert!((1..20).contains(&whole), "{whole} whole answers");
}

/// Bodies that callers send slowly counted only once they were whole, so that as many as there are
/// connections were held beside the memory set aside.
#[test]
fn bodies_that_arrive_slowly_are_bounded_and_counted() {
    let address = upstream(|served| {
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "world"));
        }
    });
    let running = serving(Retry::Any, &[address]);
    let mut slow = (0..CALLERS).map(|_| running.caller()).collect::<Vec<_>>();
    let part = "x".repeat(8_000);
    for (n, caller) in slow.iter_mut().enumerate() {
        let whole =
            post(&format!("s{n}"), &"x".repeat(9_000)).replace("9000\r\nprompt", "3000\r\nprompt");
        caller.send(&whole[..whole.len() - 1_000]);
    }
    let sent = (CALLERS * part.len()) as u64;
    wait_until("the bodies count", || {
        running.state_number("held_bytes") >= sent
    });
    assert!(running.state_number("held_bytes") <= MAX_HELD_BODIES);
    let text = running.caller().ask("o1");
    assert!(text.ends_with("world"), "{text}");
    for caller in &mut slow {
        let mut bytes = Vec::new();
        let _ = caller.stream.read_to_end(&mut bytes);
        assert_eq!(status_of(&String::from_utf8_lossy(&bytes)), 408);
    }
    wait_until("released", || running.state_number("held_bytes") == 0);
}

/// Bodies beyond the memory set aside are refused while they arrive. What a refused one had counted
/// would be missing for others if it weren't given back.
#[test]
fn a_body_without_memory_for_its_rest_is_refused_and_given_back() {
    let address = upstream(|served| {
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "world"));
        }
    });
    let running = serving(Retry::Any, &[address]);
    let mut slow = (0..80).map(|_| running.caller()).collect::<Vec<_>>();
    for (n, caller) in slow.iter_mut().enumerate() {
        let whole =
            post(&format!("s{n}"), &"x".repeat(9_000)).replace("9000\r\nprompt", "3000\r\nprompt");
        caller.send(&whole[..whole.len() - 1_000]);
    }
    let mut statuses = Vec::new();
    for caller in &mut slow {
        let mut bytes = Vec::new();
        let _ = caller.stream.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes);
        statuses.push(status_of(&text));
        if status_of(&text) == 503 {
            assert!(text.contains("Retry-After: "), "{text}");
            assert!(text.contains("Connection: close"), "{text}");
        }
    }
    assert!(
        statuses.contains(&503) && statuses.contains(&408),
        "{statuses:?}"
    );
    wait_until("released", || running.state_number("held_bytes") == 0);
    let text = running.caller().ask("o1");
    assert!(text.ends_with("world"), "{text}");
}

/// An upstream that sends its answer byte by byte held its caller for as long as it liked.
#[test]
fn a_slow_answer_ends_with_the_callers_deadline() {
    let address = upstream(|served| {
        let Some(request) = served.request() else {
            return;
        };
        let text = answer(id_of(&request), &"x".repeat(10_000));
        for byte in text.chars() {
            if !served.try_write(&byte.to_string()) {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    let running = serving(Retry::Never, &[address]);
    let mut caller = running.caller();
    caller.send(&post("s1", "hello").replace("9000", "1500"));
    let text = caller.answer();
    assert_eq!(status_of(&text), 504, "{text}");
    wait_until("released", || running.state_number("requests") == 0);
    assert_eq!(running.state_number("held_answer_bytes"), 0);
}
