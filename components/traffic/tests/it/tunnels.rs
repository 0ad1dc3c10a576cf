//! Requests that reach their upstream through a peer.
//!
//! Two event loops list the same upstream: one under an address that it cannot reach, the other one
//! under the upstream's own.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

use dispatch::TunnelPeer;
use routes::Retry;
use traffic::{Command, FleetKey};
use types::prelude::*;

use crate::harness::*;

const RESUMABLE: Retry = Retry::Stream { resumable: true };

/// An address at which connections hang: its queue of new connections is full.
struct HangingAddress {
    address: SocketAddr,
    _queue: (socket2::Socket, Vec<TcpStream>),
}

fn hanging_address() -> HangingAddress {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("a port");
    socket.listen(0).expect("listening");
    let address = socket.local_addr().expect("bound").as_socket();
    let address = address.expect("of IPv4");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200));
    let queue = (0..4).filter_map(|_| connect().ok()).collect();
    HangingAddress {
        address,
        _queue: (socket, queue),
    }
}

fn offer(of: &TestLoop) -> TunnelPeer {
    offer_at(of.handle.tunnels)
}

fn offer_at(address: SocketAddr) -> TunnelPeer {
    TunnelPeer {
        id: DaemonId::new("peer").expect("a name"),
        address,
        failure_domain: FailureDomain::new("east").expect("a name"),
    }
}

/// An event loop that lists an upstream as `unreachable`, and a peer that lists it as `upstream`.
pub fn cut_off(
    retry: Retry,
    unreachable: SocketAddr,
    upstream: SocketAddr,
) -> (TestLoop, TestLoop) {
    let peer = serving(retry, &[upstream]);
    let running = serving(retry, &[unreachable]);
    running.send_tunnel_peers(vec![offer(&peer)]);
    (running, peer)
}

/// Callers of a host whose connections to upstreams were reset got 503 after 25 ms.
#[test]
fn a_host_whose_connections_are_reset_serves_through_a_peer() {
    let (address, runs) = counting_upstream();
    let (_kept, refusing) = refusing_address();
    let (running, peer) = cut_off(Retry::Never, refusing, address);
    let mut caller = running.caller();
    for n in 0..5 {
        let text = caller.ask(&format!("r{n}"));
        assert!(text.ends_with("world"), "{text}");
        assert_eq!(field(&text, "signed"), Some("1"));
    }
    assert_eq!(runs.load(Ordering::SeqCst), 5);
    assert_eq!(peer.metric("buckthorncross_tunnels_served_total"), 5);
    assert_eq!(running.metric("buckthorncross_upstream_ends_total"), 0);
}

/// A request panicked when the peers had said no before its direct connection was given up.
#[test]
fn a_request_is_refused_when_peers_say_no_before_the_direct_connection_fails() {
    let (address, runs) = counting_upstream();
    let hanging = hanging_address();
    let (running, peer) = cut_off(Retry::Never, hanging.address, address);
    peer.send_plan_of(
        Retry::Never,
        vec![listed_upstream("other", address)],
        Vec::new(),
    );
    let text = running.caller().ask("r1");
    assert_eq!(status_of(&text), 503);
    assert_eq!(runs.load(Ordering::SeqCst), 0);
}

/// Callers of a host whose connections to upstreams hung were refused after 2.4 s.
#[test]
fn a_host_whose_connections_hang_serves_through_a_peer() {
    let (address, runs) = counting_upstream();
    let hanging = hanging_address();
    let (running, _peer) = cut_off(Retry::Never, hanging.address, address);
    let mut caller = running.caller();
    for n in 0..3 {
        let text = caller.ask(&format!("r{n}"));
        assert!(text.ends_with("world"), "{text}");
    }
    assert_eq!(runs.load(Ordering::SeqCst), 3);
    // Only the first request waited for the direct connection; probes make the others.
    assert_eq!(running.metric("buckthorncross_tunnels_opened_total"), 3);
}

/// A daemon would go on through peers after its path is back.
#[test]
fn a_path_that_is_back_is_used_again() {
    let (address, _) = counting_upstream();
    let (kept, refusing) = refusing_address();
    let (running, _peer) = cut_off(Retry::Never, refusing, address);
    let mut caller = running.caller();
    assert_eq!(status_of(&caller.ask("r0")), 200);
    assert!(running.get("/state").contains("\"lost_paths\":1"));
    drop(kept);
    let listener = TcpListener::bind(refusing).expect("the port is free");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut served = Served::new(stream);
            while let Some(request) = served.request() {
                served.write(&answer(id_of(&request), "direct"));
            }
        }
    });
    wait_until("the path is back", || {
        running.get("/state").contains("\"lost_paths\":0")
    });
    assert!(caller.ask("r1").ends_with("direct"));
}

/// Events that come through a peer would be held back, or a stream's end would not be seen.
#[test]
fn a_stream_through_a_peer_is_relayed_event_by_event() {
    let (go_on, wait) = mpsc::channel::<()>();
    let wait = Mutex::new(wait);
    let address = upstream(move |served| {
        let request = served.request().expect("one");
        served.write(&stream_head(id_of(&request), 99));
        served.write(&event(1));
        let _ = wait.lock().expect("one user").recv();
        served.write(&(event(2) + &event(3) + END));
    });
    let (_kept, refusing) = refusing_address();
    let (running, _peer) = cut_off(RESUMABLE, refusing, address);
    let mut caller = running.caller();
    caller.send(&post("r1", "hello"));
    caller.read_until("data: e1");
    go_on.send(()).expect("waited for");
    assert_eq!(events_of(&caller.answer()), [2, 3]);
}

/// An answer without a length that broke off behind the peer would look complete.
#[test]
fn an_answer_that_breaks_off_behind_the_peer_is_not_complete() {
    let address = upstream(|served| {
        let request = served.request().expect("one");
        let id = id_of(&request).to_owned();
        served.write(&format!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\n\r\nhalf"
        ));
        served.reset();
    });
    let (_kept, refusing) = refusing_address();
    let (running, _peer) = cut_off(Retry::Never, refusing, address);
    assert_eq!(status_of(&running.caller().ask("r1")), 502);
}

/// An answer that ends with its connection would never be taken as complete.
#[test]
fn an_answer_without_a_length_is_complete_through_a_peer() {
    let address = upstream(|served| {
        let request = served.request().expect("one");
        let id = id_of(&request).to_owned();
        served.write(&format!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\n\r\nwhole"
        ));
    });
    let (_kept, refusing) = refusing_address();
    let (running, _peer) = cut_off(Retry::Never, refusing, address);
    let text = running.caller().ask("r1");
    assert!(text.ends_with("whole"), "{text}");
}

/// A tunnel that breaks after the request went over would be reported as not run, or run again.
#[test]
fn a_request_whose_tunnel_breaks_is_neither_repeated_nor_called_not_run() {
    let runs = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&runs);
    let address = upstream(move |served| {
        served.request().expect("one");
        count.fetch_add(1, Ordering::SeqCst);
        served.reset();
    });
    let (_kept, refusing) = refusing_address();
    let (running, _peer) = cut_off(Retry::Never, refusing, address);
    assert_eq!(status_of(&running.caller().ask("r1")), 502);
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

/// Bytes without end of a peer would fill the memory, or hold a caller.
#[test]
fn bytes_without_end_of_a_peer_are_given_up() {
    let connected: &[u8] = &[0, 0, 0, 1, 0];
    let frame: &[u8] = &[0, 0, 0, 4, b'a', b'a', b'a', b'a'];
    let blocks: [&[u8]; 5] = [&[0xff; 64], &[0; 64], &[1; 64], b"name: value\r\n", frame];
    for block in blocks {
        for begin in [&[][..], connected] {
            let begin = begin.to_vec();
            let peer = upstream(move |served| {
                let block = block.repeat(1_000);
                let mut is_open = served.try_write_bytes(&begin);
                while is_open {
                    is_open = served.try_write_bytes(&block);
                }
            });
            let (_kept, refusing) = refusing_address();
            let running = serving(Retry::Never, &[refusing]);
            running.send_tunnel_peers(vec![offer_at(peer)]);
            let text = running.caller().ask("r1");
            assert!([502, 503].contains(&status_of(&text)), "{block:?}: {text}");
        }
    }
}

/// An upstream would work on for a caller that left a host without a path.
#[test]
fn a_caller_that_leaves_ends_the_run_behind_the_peer() {
    let (ended, has_ended) = mpsc::channel::<()>();
    let (began, has_begun) = mpsc::channel::<()>();
    let address = upstream(move |served| {
        served.request().expect("one");
        let _ = began.send(());
        served.wait_closed();
        let _ = ended.send(());
    });
    let (_kept, refusing) = refusing_address();
    let (running, _peer) = cut_off(Retry::Never, refusing, address);
    let mut caller = running.caller();
    caller.send(&post("r1", "hello"));
    has_begun.recv_timeout(TEST_TIMEOUT).expect("it runs");
    drop(caller);
    has_ended.recv_timeout(TEST_TIMEOUT).expect("it is closed");
}

/// Two hosts that both think the other has a path would pass a request back and forth.
#[test]
fn two_hosts_without_a_path_refuse_a_request_as_not_run() {
    let (_kept, refusing) = refusing_address();
    let (_kept_too, refusing_too) = refusing_address();
    let (one, other) = cut_off(Retry::Never, refusing, refusing_too);
    other.send_tunnel_peers(vec![offer(&one)]);
    for running in [&one, &other] {
        let text = running.caller().ask("r1");
        assert_eq!(status_of(&text), 503);
        assert!(field(&text, "Retry-After").is_some(), "{text}");
        assert_eq!(running.metric("buckthorncross_tunnels_served_total"), 0);
    }
}

/// A daemon of another fleet, or a stray process, would use this one to reach its upstreams.
#[test]
fn a_tunnel_is_denied_without_the_key_of_the_fleet() {
    let (address, runs) = counting_upstream();
    let (_kept, refusing) = refusing_address();
    let (_, peer) = cut_off(Retry::Never, refusing, address);
    let stranger = serving_with_key(Retry::Never, &[refusing], FleetKey([8; 16]));
    stranger.send_tunnel_peers(vec![offer(&peer)]);
    assert_eq!(status_of(&stranger.caller().ask("r1")), 503);
    assert_eq!(runs.load(Ordering::SeqCst), 0);
}

/// A peer would connect to an address that is no upstream of its own list.
#[test]
fn a_tunnel_leads_only_to_upstreams_that_the_peer_lists() {
    let (address, runs) = counting_upstream();
    let (_kept, refusing) = refusing_address();
    let (running, peer) = cut_off(Retry::Never, refusing, address);
    peer.send_plan_of(
        Retry::Never,
        vec![listed_upstream("other", address)],
        Vec::new(),
    );
    assert_eq!(status_of(&running.caller().ask("r1")), 503);
    assert_eq!(runs.load(Ordering::SeqCst), 0);
}

/// A peer that is busy or gone would cost a request though another peer could help.
#[test]
fn another_peer_is_asked_when_the_first_cannot_help() {
    let (address, _) = counting_upstream();
    let (_kept, refusing) = refusing_address();
    let (running, peer) = cut_off(Retry::Never, refusing, address);
    let (_gone_kept, gone) = refusing_address();
    let gone = TunnelPeer {
        id: DaemonId::new("gone").expect("a name"),
        address: gone,
        ..offer(&peer)
    };
    running.send_tunnel_peers(vec![gone, offer(&peer)]);
    let mut caller = running.caller();
    for n in 0..6 {
        assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 200);
    }
}

/// Upstreams that only this host cannot reach would count as crashed.
#[test]
fn a_reset_path_is_no_crash_of_the_upstream() {
    let (address, _) = counting_upstream();
    let (_kept, refusing) = refusing_address();
    let (running, _peer) = cut_off(Retry::Any, refusing, address);
    let mut caller = running.caller();
    for n in 0..6 {
        assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 200);
    }
    assert_eq!(running.metric("buckthorncross_upstream_ends_total"), 0);
    assert_eq!(running.metric("buckthorncross_barred_contents"), 0);
}

/// A connection that a cut had reset counted as a crash of the upstream.
#[test]
fn a_connection_that_breaks_on_a_reset_path_is_no_crash() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let direct = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        drop(listener);
        let mut served = Served::new(stream);
        served.request();
        served.reset();
    });
    let (address, _) = counting_upstream();
    let (running, peer) = cut_off(Retry::Never, direct, address);
    let mut caller = running.caller();
    assert_eq!(status_of(&caller.ask("r1")), 502);
    wait_until("the path is lost", || {
        running.get("/state").contains("\"lost_paths\":1")
    });
    assert_eq!(running.metric("buckthorncross_upstream_ends_total"), 0);
    assert_eq!(status_of(&caller.ask("r2")), 200);
    assert_eq!(peer.metric("buckthorncross_tunnels_served_total"), 2);
}

/// An upstream that sends three events of a stream with pauses before the second and the third.
fn pausing_upstream(pause: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let runs = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&runs);
    let address = upstream(move |served| {
        let request = served.request().expect("one");
        count.fetch_add(1, Ordering::SeqCst);
        served.write(&stream_head(id_of(&request), 90));
        served.write(&event(1));
        for id in 2..=3 {
            std::thread::sleep(pause);
            served.write(&event(id));
        }
        served.write(END);
    });
    (address, runs)
}

fn stop(running: &TestLoop) {
    let commands = &running.handle.commands;
    commands.send(Command::Stop).expect("it runs");
}

/// A peer that leaves would cut the streams that go through it.
#[test]
fn a_stream_through_a_peer_that_leaves_goes_on() {
    // In the longer pause another upstream is looked for.
    for pause in [1_500, 3_400] {
        let (address, runs) = pausing_upstream(Duration::from_millis(pause));
        let (_kept, refusing) = refusing_address();
        let (running, peer) = cut_off(RESUMABLE, refusing, address);
        let mut caller = running.caller();
        caller.send(&post("r1", "hello"));
        caller.read_until("data: e1");
        stop(&peer);
        let text = caller.read_to_end_of_answer();
        assert_eq!(events_of(&text), [2, 3], "{text}");
        assert!(text.ends_with(END), "{text}");
        assert_eq!(runs.load(Ordering::SeqCst), 1);
    }
}

/// A request went through a peer that leaves and cut it, though another peer could have served it.
#[test]
fn a_peer_that_leaves_is_left_out() {
    let (address, _) = counting_upstream();
    let (_kept, refusing) = refusing_address();
    let (running, leaving) = cut_off(Retry::Never, refusing, address);
    let staying = serving(Retry::Never, &[address]);
    let staying_offer = TunnelPeer {
        id: DaemonId::new("staying").expect("a name"),
        ..offer(&staying)
    };
    stop(&leaving);
    wait_until("it leaves", || leaving.readiness() == 503);
    running.send_tunnel_peers(vec![offer(&leaving), staying_offer]);
    let mut caller = running.caller();
    for n in 0..12 {
        assert_eq!(status_of(&caller.ask(&format!("r{n}"))), 200);
    }
    assert_eq!(leaving.metric("buckthorncross_tunnels_served_total"), 0);
    assert_eq!(staying.metric("buckthorncross_tunnels_served_total"), 12);
}
