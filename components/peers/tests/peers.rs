//! Messages and queries between daemons over loopback, also with faults on the path.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use peers::{
    AskError, Config, Handle, Inbound, Key, KeyError, Keys, Part, Payload, Peers, Refusal,
};
use types::prelude::*;

const TIMEOUT: Duration = Duration::from_secs(10);

fn key(id: u16, byte: u8) -> Key {
    Key {
        id,
        secret: Bytes::from(vec![byte; 32]),
    }
}

fn keys(ids: &[u8], sending: u16) -> Keys {
    Keys::new(
        ids.iter().map(|id| key(u16::from(*id), *id)).collect(),
        sending,
    )
    .unwrap()
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn config(name: &str, keys: Keys) -> Config {
    Config {
        cluster: ClusterName::new("test").unwrap(),
        me: DaemonId::new(name).unwrap(),
        incarnation: Incarnation(1),
        listen: any_port(),
        advertise: None,
        keys,
        clock: Clock::new(),
    }
}

fn start(cfg: Config) -> (Handle, flume::Receiver<Inbound>) {
    let (tx, rx) = flume::bounded(16);
    let sink = move |inbound| tx.try_send(inbound).is_ok();
    (Peers::start(cfg, sink).unwrap(), rx)
}

fn text(text: &'static str) -> Payload {
    Payload::Part {
        part: Part::Ledger,
        body: Bytes::from_static(text.as_bytes()),
    }
}

fn recv_message(rx: &flume::Receiver<Inbound>) -> (String, Payload) {
    match rx.recv_timeout(TIMEOUT).unwrap() {
        Inbound::Message { from, payload } => (from.id.to_string(), payload),
        other => panic!("{other:?}"),
    }
}

/// Waits until a condition holds.
fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TIMEOUT, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

// Messages and queries arrive over a single connection, and both sides count the same bytes.
#[test]
fn can_send_and_ask() {
    let (a, _) = start(config("a", keys(&[1], 1)));
    let (b, inbound) = start(config("b", keys(&[1], 1)));
    for _ in 0..3 {
        a.send(b.address(), text("hello"));
        assert_eq!(recv_message(&inbound), ("a".to_owned(), text("hello")));
    }
    let answer = a.ask(b.address(), text("who?"), Span::from_secs(5));
    match inbound.recv_timeout(TIMEOUT).unwrap() {
        Inbound::Ask { payload, reply, .. } => {
            assert_eq!(payload, text("who?"));
            reply.send(text("b"));
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(answer.recv_timeout(TIMEOUT).unwrap(), Ok(text("b")));
    wait_until("counts", || a.stats().sent == 4);
    wait_until("bytes", || {
        let (a, b) = (a.stats(), b.stats());
        (a.bytes_out, a.bytes_in) == (b.bytes_in, b.bytes_out)
    });
    let (a, b) = (a.stats(), b.stats());
    assert_eq!((a.connects, b.received, b.connections_in), (1, 4, 1));
}

// A daemon of another cluster, or with another secret, was configured with this cluster's addresses
// by mistake. Its messages must be refused, and both sides must report it.
#[test]
fn refuses_another_cluster_or_key() {
    let (b, inbound) = start(config("b", keys(&[1, 2], 1)));
    let mut stranger = config("a", keys(&[1], 1));
    stranger.cluster = ClusterName::new("other").unwrap();
    let (stranger, _) = start(stranger);
    let (unknown, _) = start(config("a", keys(&[3], 3)));
    let wrong = Keys::new(vec![key(1, 9)], 1).unwrap();
    let (wrong, _) = start(config("a", wrong));
    let ask = |from: &Handle| {
        let answer = from.ask(b.address(), text("?"), Span::from_secs(5));
        answer.recv_timeout(TIMEOUT).unwrap()
    };
    assert_eq!(ask(&stranger), Err(AskError::Refused(Refusal::Cluster)));
    assert_eq!(ask(&unknown), Err(AskError::Refused(Refusal::Key)));
    assert_eq!(ask(&wrong), Err(AskError::Refused(Refusal::Tag)));
    let stats = b.stats();
    assert_eq!((stats.refused_cluster, stats.refused_key), (1, 2));
    assert_eq!(stats.received, 0);
    assert!(inbound.is_empty());
}

// During a key rotation no message may be refused: first all daemons accept both keys, then all
// send with the new one, then the old one is removed.
#[test]
fn can_change_keys_without_a_stop() {
    let (a, from_b) = start(config("a", keys(&[1], 1)));
    let (b, from_a) = start(config("b", keys(&[1], 1)));
    let steps = [
        (keys(&[1], 1), keys(&[1, 2], 1)),
        (keys(&[1, 2], 1), keys(&[1, 2], 1)),
        (keys(&[1, 2], 2), keys(&[1, 2], 1)),
        (keys(&[1, 2], 2), keys(&[1, 2], 2)),
        (keys(&[2], 2), keys(&[1, 2], 2)),
        (keys(&[2], 2), keys(&[2], 2)),
    ];
    for (keys_a, keys_b) in steps {
        a.set_keys(keys_a);
        b.set_keys(keys_b);
        a.send(b.address(), text("to b"));
        b.send(a.address(), text("to a"));
        assert_eq!(recv_message(&from_a).1, text("to b"));
        assert_eq!(recv_message(&from_b).1, text("to a"));
    }
    assert_eq!((a.stats().connects, b.stats().connects), (1, 1));
    a.send(b.address(), text("late"));
    assert_eq!(recv_message(&from_a).1, text("late"));
    b.set_keys(keys(&[3], 3));
    a.send(b.address(), text("too late"));
    wait_until("refusal", || b.stats().refused_key == 1);
}

// Short secrets, repeated key ids and a sending key that peers do not know are rejected, and debug
// output shows no secrets.
#[test]
fn rejects_invalid_keys() {
    let short = Key {
        id: 1,
        secret: Bytes::from_static(b"short"),
    };
    let error = Keys::new(vec![short], 1);
    assert_eq!(error, Err(KeyError::TooShort { id: 1, bytes: 5 }));
    let error = Keys::new(vec![key(1, 1), key(1, 2)], 1);
    assert_eq!(error, Err(KeyError::Repeated(1)));
    assert_eq!(Keys::new(vec![key(1, 1)], 2), Err(KeyError::Unknown(2)));
    assert!(!format!("{:?}", key(1, 77)).contains("77"));
}

// Anyone who can reach the port could exhaust the memory. An announced frame of gigabytes, or
// noise, must end the connection without a buffer being allocated, and other peers must be served
// as before.
#[test]
fn can_bear_bad_frames() {
    let (a, _) = start(config("a", keys(&[1], 1)));
    let (b, inbound) = start(config("b", keys(&[1], 1)));
    let noise = [0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];
    for bytes in [&[0xff; 4][..], &noise[..]] {
        let mut stream = TcpStream::connect(b.address()).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        let closed = stream.read(&mut [0; 16]);
        assert!(
            matches!(closed, Ok(0))
                || closed.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset)
        );
    }
    wait_until("counts", || {
        b.stats().bad_frames == 2 && b.stats().connections_in == 0
    });
    a.send(b.address(), text("hello"));
    assert_eq!(recv_message(&inbound).1, text("hello"));
}

/// Reads one frame from a stream, as an attacker on the path would.
fn read_frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut frame = head.to_vec();
    frame.resize(4 + u32::from_be_bytes(head) as usize, 0);
    stream.read_exact(&mut frame[4..]).ok()?;
    Some(frame)
}

/// Copies one stream to another on a thread until end of file.
fn copy_stream(mut from: TcpStream, mut to: TcpStream) {
    std::thread::spawn(move || std::io::copy(&mut from, &mut to));
}

// An attacker on the path resends a recorded message on the same connection and on a new one.
// Without sequence numbers the first replay would be accepted; without the challenge the second
// would be, even after a restart of the receiver.
#[test]
fn errors_on_replayed_messages() {
    let proxy = TcpListener::bind(any_port()).unwrap();
    let mut cfg = config("b", keys(&[1], 1));
    cfg.advertise = Some(proxy.local_addr().unwrap());
    let listener = TcpListener::bind(any_port()).unwrap();
    cfg.listen = listener.local_addr().unwrap();
    drop(listener);
    let listen_address = cfg.listen;
    let (b, inbound) = start(cfg);
    let (a, _) = start(config("a", keys(&[1], 1)));
    a.send(b.address(), text("pay"));

    let (mut from_a, _) = proxy.accept().unwrap();
    let mut to_b = TcpStream::connect(listen_address).unwrap();
    copy_stream(to_b.try_clone().unwrap(), from_a.try_clone().unwrap());
    let greeting = read_frame(&mut from_a).unwrap();
    to_b.write_all(&greeting).unwrap();
    let message = read_frame(&mut from_a).unwrap();
    to_b.write_all(&message).unwrap();
    assert_eq!(recv_message(&inbound).1, text("pay"));

    to_b.write_all(&message).unwrap();
    wait_until("refusal", || b.stats().refused_replay == 1);
    let mut second_connection = TcpStream::connect(listen_address).unwrap();
    second_connection.write_all(&greeting).unwrap();
    read_frame(&mut second_connection).unwrap();
    second_connection.write_all(&message).unwrap();
    wait_until("refusal", || b.stats().refused_key == 1);
    assert_eq!(b.stats().received, 1);
    assert!(inbound.is_empty());
}

// A peer restarts: its connections break, then its port is closed, then a new process listens on
// the same port. Messages sent in between must be dropped and counted, and later ones must arrive.
#[test]
fn reconnects_to_a_restarted_peer() {
    let (a, _) = start(config("a", keys(&[1], 1)));
    let (b, inbound) = start(config("b", keys(&[1], 1)));
    let address = b.address();
    a.send(address, text("first"));
    assert_eq!(recv_message(&inbound).1, text("first"));
    drop((b, inbound));
    wait_until("drop", || {
        a.send(address, text("lost"));
        a.stats().dropped > 0 && TcpListener::bind(address).is_ok()
    });
    let answer = a.ask(address, text("?"), Span::from_secs(1));
    let answer = answer.recv_timeout(TIMEOUT).unwrap();
    assert!(matches!(
        answer,
        Err(AskError::Unreachable | AskError::Broken)
    ));
    let mut cfg = config("b", keys(&[1], 1));
    cfg.listen = address;
    let (_b, inbound) = start(cfg);
    wait_until("return", || {
        a.send(address, text("again"));
        inbound
            .try_iter()
            .any(|inbound| matches!(inbound, Inbound::Message { .. }))
    });
}

// The receiver's control thread stalls. What does not fit into its queue must be refused and
// counted, or memory use would be unbounded, and the sender of a query must get a reply that says
// so.
#[test]
fn refuses_messages_beyond_the_queue() {
    let (tx, _rx) = flume::bounded(2);
    let sink = move |inbound| tx.try_send(inbound).is_ok();
    let b = Peers::start(config("b", keys(&[1], 1)), sink).unwrap();
    let (a, _) = start(config("a", keys(&[1], 1)));
    for _ in 0..5 {
        a.send(b.address(), text("more"));
    }
    wait_until("refusals", || b.stats().refused_overload == 3);
    let answer = a.ask(b.address(), text("?"), Span::from_secs(5));
    let answer = answer.recv_timeout(TIMEOUT).unwrap();
    assert_eq!(answer, Err(AskError::Refused(Refusal::Overloaded)));
    let large = Payload::Part {
        part: Part::Ledger,
        body: Bytes::from(vec![0; 600 * 1024]),
    };
    let answer = a.ask(b.address(), large, Span::from_secs(5));
    assert_eq!(
        answer.recv_timeout(TIMEOUT).unwrap(),
        Err(AskError::TooLarge)
    );
}

// The clock offset of a daemon's previous incarnation must not be reused: without a new measurement
// the restarted daemon received no proof for half a minute that its copy of the store is current.
#[test]
fn measures_the_clock_of_a_restarted_peer_at_once() {
    let (a, _) = start(config("a", keys(&[1], 1)));
    let mut cfg = config("b", keys(&[1], 1));
    for run in 1..=2 {
        cfg.incarnation = Incarnation(run);
        let deadline = Instant::now() + TIMEOUT;
        // The previous process may still hold the port for a moment.
        let b = loop {
            match Peers::start(cfg.clone(), |_| true) {
                Ok(b) => break b,
                Err(e) => assert!(Instant::now() < deadline, "{e}"),
            }
            std::thread::sleep(Duration::from_millis(20));
        };
        cfg.listen = b.address();
        let run_of = || {
            a.clock_of(b.address())?
                .reading_at(Time::ZERO + Span::from_secs(9))
        };
        while run_of().is_none_or(|reading| reading.run != Incarnation(run)) {
            assert!(Instant::now() < deadline, "never: the clock of run {run}");
            a.send(b.address(), text("hello"));
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
