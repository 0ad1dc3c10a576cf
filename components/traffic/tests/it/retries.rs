//! Sends beyond the first of a request, each of which takes a retry from the service's budget.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use dispatch::TunnelPeer;
use routes::Retry;
use types::prelude::*;

use crate::harness::*;

const RESUMABLE: Retry = Retry::Stream { resumable: true };

/// Ids of the requests that an upstream got.
#[derive(Clone, Default)]
struct Arrivals(Arc<Mutex<Vec<String>>>);

impl Arrivals {
    fn record(&self, request: &str) {
        let id = id_of(request).to_owned();
        self.0.lock().expect("sound").push(id);
    }

    fn of(&self, id: &str) -> usize {
        let ids = self.0.lock().expect("sound");
        ids.iter().filter(|arrived| *arrived == id).count()
    }
}

/// An upstream that answers every request, also as the rest of a stream.
fn recording_upstream(is_stream: bool) -> (SocketAddr, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let address = upstream(move |served| {
        while let Some(request) = served.request() {
            recorded.record(&request);
            if !is_stream {
                served.write(&answer(id_of(&request), "world"));
                continue;
            }
            let after = field(&request, "after").and_then(|id| id.parse().ok());
            served.write(&stream_head(id_of(&request), 99));
            (after.unwrap_or(0) + 1..=3).for_each(|id| served.write(&event(id)));
            served.write(END);
        }
    });
    (address, arrivals)
}

/// An upstream that gets one request, and whose path then falls silent.
struct SilentPath {
    address: SocketAddr,
    /// Reports the request.
    got: mpsc::Receiver<()>,
    _serving: JoinHandle<(Served, Vec<TcpStream>)>,
}

impl SilentPath {
    /// Starts it; it writes `begin` of the request's answer.
    fn start(begin: fn(&str) -> String) -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("listening");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("bound");
        let (report, got) = mpsc::channel();
        let serving = std::thread::spawn(move || {
            let (stream, _) = listener.accept().expect("a connection");
            let mut served = Served::new(stream);
            let request = served.request().expect("one");
            served.write(&begin(&request));
            // With its queue of new connections full, further ones hang.
            let timeout = Duration::from_millis(100);
            let fill = || TcpStream::connect_timeout(&address, timeout).ok();
            let queue = (0..4).filter_map(|_| fill()).collect();
            report.send(()).expect("awaited");
            std::thread::sleep(TEST_TIMEOUT);
            (served, queue)
        });
        Self {
            address,
            got,
            _serving: serving,
        }
    }
}

fn offer(address: SocketAddr) -> TunnelPeer {
    TunnelPeer {
        id: DaemonId::new("peer").expect("a name"),
        address,
        failure_domain: FailureDomain::new("east").expect("a name"),
    }
}

/// Sends a request to an upstream whose path is then lost, while a peer reaches it.
fn lose_path(
    running: &TestLoop,
    retry: Retry,
    lost: &SilentPath,
    other: SocketAddr,
) -> (Caller, TestLoop) {
    let (behind, _) = recording_upstream(retry.is_stream());
    let peer = serving(retry, &[behind]);
    let mut caller = running.caller();
    caller.send(&post("r1", "hello"));
    lost.got.recv_timeout(TEST_TIMEOUT).expect("it arrives");
    running.send_tunnel_peers(vec![offer(peer.handle.tunnels)]);
    // It finds that the direct path hangs, and goes through the peer.
    assert_eq!(status_of(&running.caller().ask("r0")), 200);
    running.send_plan(retry, &[lost.address, other], Vec::new());
    (caller, peer)
}

/// A request that waited on a path that was lost went on without a retry, though it had arrived.
#[test]
fn a_request_on_a_lost_path_takes_a_retry() {
    let lost = SilentPath::start(|_| String::new());
    let (other, arrivals) = recording_upstream(false);
    let running = serving(Retry::Any, &[lost.address]);
    let (mut caller, _peer) = lose_path(&running, Retry::Any, &lost, other);
    assert_eq!(status_of(&caller.answer()), 200);
    assert_eq!(arrivals.of("r1"), 1);
    let granted = "buckthorncross_retries_total{charge=\"Granted\"}";
    assert_eq!(running.metric(granted), 1);
}

/// Lost paths would take sends beyond the operators' bound.
#[test]
fn a_request_on_a_lost_path_is_not_sent_again_without_a_retry() {
    let lost = SilentPath::start(|_| String::new());
    let (other, arrivals) = recording_upstream(false);
    let running = serving_without_retries(Retry::Any, &[lost.address]);
    let (mut caller, _peer) = lose_path(&running, Retry::Any, &lost, other);
    // It may run where it was sent, so it isn't refused as not run.
    assert_eq!(status_of(&caller.answer()), 502);
    assert_eq!(arrivals.of("r1"), 0);
}

/// A stream whose path was lost was resumed without a retry, though it had begun.
#[test]
fn a_stream_on_a_lost_path_is_not_resumed_without_a_retry() {
    let lost = SilentPath::start(|request| stream_head(id_of(request), 99) + &event(1));
    let (other, arrivals) = recording_upstream(true);
    let running = serving_without_retries(RESUMABLE, &[lost.address]);
    let (mut caller, _peer) = lose_path(&running, RESUMABLE, &lost, other);
    assert_eq!(events_of(&caller.read_to_end()), [1]);
    assert_eq!(arrivals.of("r1"), 0);
}

/// The rest of a stream whose path is lost comes from another upstream while retries are left.
#[test]
fn a_stream_on_a_lost_path_takes_a_retry() {
    let lost = SilentPath::start(|request| stream_head(id_of(request), 99) + &event(1));
    let (other, arrivals) = recording_upstream(true);
    let running = serving(RESUMABLE, &[lost.address]);
    let (mut caller, _peer) = lose_path(&running, RESUMABLE, &lost, other);
    assert_eq!(events_of(&caller.answer()), [1, 2, 3]);
    assert_eq!(arrivals.of("r1"), 1);
    let granted = "buckthorncross_retries_total{charge=\"Granted\"}";
    assert_eq!(running.metric(granted), 1);
}

/// A request whose peer was killed would go on without a retry.
#[test]
fn a_request_through_a_killed_peer_is_not_sent_again_without_a_retry() {
    let (got, has_got) = mpsc::channel::<()>();
    let behind = upstream(move |served| {
        served.request().expect("one");
        got.send(()).expect("awaited");
        served.wait_closed();
    });
    let peer = serving(Retry::Any, &[behind]);
    let (killable, kill) = killable_peer(peer.handle.tunnels);
    let (_kept, refusing) = refusing_address();
    let (other, arrivals) = recording_upstream(false);
    let running = serving_without_retries(Retry::Any, &[refusing]);
    running.send_tunnel_peers(vec![offer(killable)]);
    let mut caller = running.caller();
    caller.send(&post("r1", "hello"));
    has_got.recv_timeout(TEST_TIMEOUT).expect("it arrives");
    running.send_plan(Retry::Any, &[refusing, other], Vec::new());
    kill.send(()).expect("awaited");
    assert_eq!(status_of(&caller.answer()), 502);
    assert_eq!(arrivals.of("r1"), 0);
}

/// Passes one connection on to a peer until it is killed.
fn killable_peer(peer: SocketAddr) -> (SocketAddr, mpsc::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (kill, killed) = mpsc::channel::<()>();
    std::thread::spawn(move || {
        let (near, _) = listener.accept().expect("a connection");
        let far = TcpStream::connect(peer).expect("listening");
        for (from, to) in [(&near, &far), (&far, &near)] {
            let (mut from, mut to) = (
                from.try_clone().expect("open"),
                to.try_clone().expect("open"),
            );
            std::thread::spawn(move || std::io::copy(&mut from, &mut to));
        }
        killed.recv().expect("killed");
        for stream in [near, far] {
            // One that is closed already stays so.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    });
    (address, kill)
}

/// Sends that an upstream rejects arrive there too.
#[test]
fn a_rejected_request_is_not_sent_again_without_a_retry() {
    for rejection in ["503 Busy", "421 Misdirected"] {
        let rejecting = upstream(move |served| {
            while let Some(request) = served.request() {
                let id = id_of(&request).to_owned();
                served.write(&format!(
                    "HTTP/1.1 {rejection}\r\nid: {id}\r\nContent-Length: 0\r\n\r\n"
                ));
            }
        });
        let running = serving_without_retries(Retry::Any, &[rejecting, rejecting]);
        let text = running.caller().ask("r1");
        assert_eq!(status_of(&text), 503, "{rejection}");
        let refused = "buckthorncross_retries_total{charge=\"Refused\"}";
        assert_eq!(running.metric(refused), 1, "{rejection}");
    }
}

/// A second send on a new connection, after a kept one broke, would take no retry.
#[test]
fn a_request_on_a_broken_kept_connection_is_not_sent_again_without_a_retry() {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let address = upstream(move |served| {
        let first = served.request().expect("one");
        recorded.record(&first);
        served.write(&answer(id_of(&first), "first"));
        if let Some(second) = served.request() {
            recorded.record(&second);
            served.reset();
        }
    });
    let running = serving_without_retries(Retry::Any, &[address]);
    let mut caller = running.caller();
    assert_eq!(status_of(&caller.ask("r1")), 200);
    assert_eq!(status_of(&caller.ask("r2")), 502);
    assert_eq!(arrivals.of("r2"), 1);
}
