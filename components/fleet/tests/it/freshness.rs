//! No daemon treats an old copy of the configuration as current.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::Running;
use traffic::{Command, Observed};
use types::prelude::*;

use crate::harness::{
    Daemon, MemoryStore, StoreLink, TextCodec, daemon_at, free_address, settings, start, wait_until,
};

/// Resolution of times in the state's dump.
const DUMP_RESOLUTION: Duration = Duration::from_millis(1);

/// A control thread with the test in place of its event loop.
struct ObservedControl {
    rx: flume::Receiver<Command>,
    clock_began: Instant,
    running: Running,
    stopped: flume::Sender<()>,
}

fn observed(memory: &MemoryStore, table_decode_time: Duration) -> ObservedControl {
    let (commands, rx) = flume::unbounded();
    let (stopped_tx, stopped) = flume::bounded(1);
    let none = SocketAddr::from(([127, 0, 0, 1], 0));
    let traffic = traffic::Handle {
        callers: none,
        status: none,
        tunnels: none,
        commands,
        observed: Observed::default(),
        suspects: poison::SharedSuspects::default(),
        stopped,
    };
    let codec = TextCodec { table_decode_time };
    let clock_began = Instant::now();
    let clock = Clock::new();
    let store = Arc::new(StoreLink::to(memory));
    let running = fleet::start(settings(0, none, Vec::new()), codec, store, traffic, clock);
    ObservedControl {
        rx,
        clock_began,
        running: running.expect("starts"),
        stopped: stopped_tx,
    }
}

impl ObservedControl {
    fn next(&self) -> Command {
        let command = self.rx.recv_timeout(Duration::from_secs(30));
        command.expect("goes on")
    }

    fn stop(self) {
        drop(self.stopped);
        self.running.stop();
    }
}

/// The validation of a new configuration reached the event loop before its plan, and new routes
/// were refused as unknown by the old configuration.
#[test]
fn validation_never_precedes_its_configuration() {
    let memory = MemoryStore::default();
    memory.set("upstream/a", Some("v1"));
    memory.set("table", Some("1"));
    // Decoding a large configuration takes longer than a tick on a host with an eighth of a core.
    let daemon = observed(&memory, Duration::from_millis(150));
    for version in 1..=5_u64 {
        memory.set("table", Some(&version.to_string()));
        let written_at = memory.written_at();
        loop {
            match daemon.next() {
                Command::Plan(plan)
                    if plan.table.as_ref().map(|t| t.version.0) == Some(version) =>
                {
                    break;
                }
                Command::PeerState(peer_state) => {
                    let validated_at = peer_state
                        .validation
                        .map(|validation| validation.validated_at)
                        .unwrap_or_default();
                    let validated_at =
                        daemon.clock_began + validated_at.since(Time::ZERO).to_duration();
                    assert!(validated_at < written_at, "version {version}");
                }
                _ => {}
            }
        }
    }
    daemon.stop();
}

/// A configuration that cannot be read may hold the requested route, so nothing may count as
/// validated.
#[test]
fn nothing_is_validated_while_the_configuration_cannot_be_read() {
    let memory = MemoryStore::default();
    memory.set("upstream/a", Some("v1"));
    memory.set("table", Some("1"));
    let daemon = observed(&memory, Duration::ZERO);
    let until_proven = |is_proven: bool| {
        let deadline = Instant::now() + Duration::from_secs(20);
        let matches_expectation = || match daemon.next() {
            Command::PeerState(peer_state) => peer_state.validation.is_some() == is_proven,
            _ => false,
        };
        while !matches_expectation() {
            assert!(Instant::now() < deadline, "never: proven {is_proven}");
        }
    };
    until_proven(true);
    memory.set("table", Some("no number"));
    until_proven(false);
    memory.set("table", Some("2"));
    until_proven(true);
    daemon.stop();
}

/// Forwards connections and delays what is sent to the target.
fn slow_link(target: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else {
                continue;
            };
            let back = (far.try_clone(), near.try_clone());
            let (Ok(from), Ok(to)) = back else { continue };
            std::thread::spawn(move || forward(from, to, Duration::ZERO));
            std::thread::spawn(move || forward(near, far, delay));
        }
    });
    address
}

/// Forwards one direction of a connection until either end is closed.
fn forward(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (tx, rx) = flume::unbounded::<(Instant, Vec<u8>)>();
    let mut writes_to = to.try_clone().expect("a handle");
    let writer = std::thread::spawn(move || {
        for (due, bytes) in rx {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if writes_to.write_all(&bytes).is_err() {
                return;
            }
        }
    });
    let mut buf = vec![0; 64 * 1024];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        if tx
            .send((Instant::now() + delay, buf[..n].to_vec()))
            .is_err()
        {
            break;
        }
    }
    drop(tx);
    // Joins the writer before both connections are closed.
    let _ = writer.join();
    let _ = to.shutdown(Shutdown::Both);
    to = from;
    let _ = to.shutdown(Shutdown::Both);
}

/// Starts two daemons; only the first reaches the store, and the second hears from it over a slow
/// link.
fn linked_pair(memory: &MemoryStore, delay: Duration) -> (Daemon, Daemon) {
    let seed = free_address();
    let first = daemon_at(0, StoreLink::to(memory), seed, Vec::new());
    let link = StoreLink::to(memory);
    link.is_cut.store(true, std::sync::atomic::Ordering::SeqCst);
    let listens = free_address();
    let mut second_settings = settings(1, listens, vec![seed]);
    second_settings.advertise = Some(slow_link(listens, delay));
    (first, start(link, second_settings))
}

/// A host that receives messages late must not count a superseded configuration as current.
#[test]
fn a_slow_link_makes_no_validation_newer() {
    let delay = Duration::from_millis(700);
    let memory = MemoryStore::default();
    memory.set("upstream/a", Some("v1"));
    memory.set("table", Some("1"));
    let (_first, second) = linked_pair(&memory, delay);
    wait_until("the second has a proven copy", || {
        second.table() == Some(1) && second.dump()["proven_ms"].as_u64().is_some()
    });
    for version in 2..=4_u64 {
        memory.set("table", Some(&version.to_string()));
        let written_at = memory.written_at();
        let deadline = Instant::now() + Duration::from_secs(30);
        loop {
            let asked_at = Instant::now();
            assert!(asked_at < deadline, "never: version {version}");
            let dump = second.dump();
            if dump["table_version"].as_u64() == Some(version) {
                break;
            }
            let age = dump["proven_ms"].as_u64().map(Duration::from_millis);
            let proven_at = age.and_then(|age| asked_at.checked_sub(age + DUMP_RESOLUTION));
            let late = proven_at.and_then(|at| at.checked_duration_since(written_at));
            let late = late.filter(|late| !late.is_zero());
            assert_eq!(late, None, "the proof is of after version {version}");
            std::thread::sleep(Duration::from_millis(10));
        }
        let proven = || second.dump()["proven_ms"].as_u64();
        wait_until("it is proven anew", || {
            proven().is_some_and(|ms| ms < 2_000)
        });
    }
}
