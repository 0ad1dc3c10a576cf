//! A live peer behind a connection that has silently stopped carrying data.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use peers::{AskError, Config, Handle, Inbound, Key, Keys, Part, Payload, Peers};
use types::prelude::*;

const TIMEOUT: Duration = Duration::from_secs(10);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start(
    name: &str,
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
) -> (Handle, flume::Receiver<Inbound>) {
    let key = Key {
        id: 1,
        secret: Bytes::from(vec![1; 32]),
    };
    let cfg = Config {
        cluster: ClusterName::new("test").unwrap(),
        me: DaemonId::new(name).unwrap(),
        incarnation: Incarnation(1),
        listen,
        advertise,
        keys: Keys::new(vec![key], 1).unwrap(),
        clock: Clock::new(),
    };
    let (tx, rx) = flume::bounded(64);
    let sink = move |inbound| tx.try_send(inbound).is_ok();
    (Peers::start(cfg, sink).unwrap(), rx)
}

fn text(text: &'static str) -> Payload {
    Payload::Part {
        part: Part::Ledger,
        body: Bytes::from_static(text.as_bytes()),
    }
}

/// A TCP proxy in front of a daemon; it can black-hole its open connections while new ones work.
#[derive(Clone)]
struct Proxy {
    target: SocketAddr,
    mute_generation: Arc<AtomicUsize>,
}

impl Proxy {
    fn start(target: SocketAddr) -> (Self, SocketAddr) {
        let listener = TcpListener::bind(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Self {
            target,
            mute_generation: Arc::default(),
        };
        let acceptor = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                acceptor.serve(client);
            }
        });
        (proxy, address)
    }

    fn mute(&self) {
        self.mute_generation.fetch_add(1, Ordering::SeqCst);
    }

    fn serve(&self, client: TcpStream) {
        let server = TcpStream::connect(self.target).unwrap();
        let generation = self.mute_generation.load(Ordering::SeqCst);
        let reverse = (server.try_clone().unwrap(), client.try_clone().unwrap());
        for (from, to) in [(client, server), reverse] {
            let proxy = self.clone();
            std::thread::spawn(move || proxy.copy_stream(from, to, generation));
        }
    }

    /// Copies bytes in one direction; discards them once the connection is muted.
    fn copy_stream(&self, mut from: TcpStream, mut to: TcpStream, generation: usize) {
        let mut buf = [0; 4_096];
        while let Ok(read @ 1..) = from.read(&mut buf) {
            let is_muted = self.mute_generation.load(Ordering::SeqCst) > generation;
            if !is_muted && to.write_all(&buf[..read]).is_err() {
                return;
            }
        }
    }
}

/// Starts two daemons with a proxy between them and delivers one message.
fn start_behind_proxy() -> (Handle, SocketAddr, Proxy, Handle, flume::Receiver<Inbound>) {
    let listener = TcpListener::bind(any_port()).unwrap();
    let listen = listener.local_addr().unwrap();
    drop(listener);
    let (proxy, advertise) = Proxy::start(listen);
    let (b, inbound) = start("b", listen, Some(advertise));
    let (a, _) = start("a", any_port(), None);
    a.send(advertise, text("before"));
    inbound.recv_timeout(TIMEOUT).unwrap();
    (a, advertise, proxy, b, inbound)
}

#[test]
fn a_query_is_not_blocked_by_undelivered_messages() {
    // A query must not wait behind messages on a silent connection: each of them waits two seconds,
    // and no other peer is queried meanwhile. In a fleet of 40 with silent connections, queries
    // were outstanding for 18 to 22 s although new connections worked. The daemons that sent them
    // were outdated by as much, and callers were refused a route that had been added up to 19 s
    // before.
    let (a, b, proxy, ..) = start_behind_proxy();
    proxy.mute();
    for _ in 0..4 {
        a.send(b, text("lost"));
    }
    let answer = a.ask(b, text("?"), Span::from_millis(400));
    let answer = answer.recv_timeout(TIMEOUT).unwrap();
    let given_up = a.stats().dropped;
    assert!(
        given_up <= 1,
        "{given_up} messages went before the question"
    );
    assert!(matches!(answer, Err(AskError::Timeout)), "{answer:?}");
}

#[test]
fn replaces_a_silent_connection() {
    // If a connection that has gone silent were kept, no update or query would reach the peer,
    // although a new connection would work at once.
    let (a, b, proxy, _b, inbound) = start_behind_proxy();
    proxy.mute();
    let start = Instant::now();
    while inbound.try_recv().is_err() {
        assert!(start.elapsed() < TIMEOUT, "never heard again");
        a.send(b, text("after"));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(a.stats().connects, 2);
}
