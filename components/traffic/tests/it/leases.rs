//! Requests that are sent by a peer's share of a bound.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use dispatch::{Fleet, TunnelPeer};
use http1::frames::push_frame;
use routes::{Retry, Upstream};
use traffic::Plan;
use types::prelude::*;

use crate::harness::*;

const RESUMABLE: Retry = Retry::Stream { resumable: true };

fn daemon(name: &str) -> DaemonId {
    DaemonId::new(name).expect("a name")
}

/// Sends an event loop the plan of one of two daemons before an upstream.
fn join(running: &TestLoop, me: &str, other: &str, upstream: SocketAddr) {
    let fleet = Fleet::new(&daemon(me), std::iter::once(&daemon(other)));
    running.apply_plan(Plan {
        fleet: Arc::new(fleet),
        ..plan(Retry::Any, vec![listed_upstream("u0", upstream)])
    });
}

fn send_peer(running: &TestLoop, address: SocketAddr) {
    running.send_tunnel_peers(vec![TunnelPeer {
        id: daemon("peer"),
        address,
        failure_domain: FailureDomain::new("east").expect("a name"),
    }]);
}

/// Two event loops of one fleet before an upstream, of which the first one knows the second.
fn pair(upstream: SocketAddr) -> (TestLoop, TestLoop) {
    let peer = serving(Retry::Any, &[upstream]);
    join(&peer, "peer", "me", upstream);
    let running = serving(Retry::Any, &[upstream]);
    join(&running, "me", "peer", upstream);
    send_peer(&running, peer.handle.tunnels);
    (running, peer)
}

/// A limited upstream that counts what it gets.
fn limited_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    let address = upstream(move |served| {
        while let Some(request) = served.request() {
            count.fetch_add(1, Ordering::SeqCst);
            let text = answer(id_of(&request), "world");
            served.write(&text.replace("Content-Length", "limit: 0.5\r\nContent-Length"));
        }
    });
    (address, received)
}

/// A daemon refused requests at its part of a rate while its peer's part lay idle.
#[test]
fn a_request_is_sent_by_a_peers_share_of_a_rate() {
    let (address, received) = limited_upstream();
    let (running, peer) = pair(address);
    running.send_peer_limit("u0", 0.5);
    send_peer(&running, peer.handle.tunnels);
    peer.send_peer_limit("u0", 0.5);
    let mut caller = running.caller();
    let mut served = 0;
    wait_until("both shares have a token", || {
        served += usize::from(status_of(&caller.ask("r")) == 200);
        served == 2
    });
    assert_eq!(running.metric("buckthorncross_leases_taken_total"), 1);
    assert_eq!(peer.metric("buckthorncross_leases_lent_total"), 1);
    assert_eq!(status_of(&caller.ask("third")), 503);
    assert_eq!(received.load(Ordering::SeqCst), 2);
}

/// A peer of the release before denies what it does not know, and the request is refused.
#[test]
fn a_peer_without_leases_is_no_help() {
    let (address, received) = limited_upstream();
    let (running, _) = pair(address);
    running.send_peer_limit("u0", 0.5);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    send_peer(&running, listener.local_addr().expect("bound"));
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1_024]);
            let mut denied = Vec::new();
            push_frame(&mut denied, &[6]);
            let _ = stream.write_all(&denied);
        }
    });
    let refused = running.caller().ask("r1");
    assert_eq!(status_of(&refused), 503, "{refused}");
    assert_eq!(running.metric("buckthorncross_leases_asked_total"), 1);
    assert_eq!(running.metric("buckthorncross_leases_taken_total"), 0);
    assert_eq!(received.load(Ordering::SeqCst), 0);
}

/// A brittle upstream with room for two streams. Those whose id begins with `slow` pause within.
fn brittle_upstream() -> SocketAddr {
    upstream(|served| {
        while let Some(request) = served.request() {
            let id = id_of(&request);
            let head = stream_head(id, 90);
            served.write(&head.replace("signed", "brittle: 1\r\nsigned"));
            served.write(&event(1));
            if id.starts_with("slow") {
                std::thread::sleep(Duration::from_millis(1_500));
            }
            (2..=3).for_each(|id| served.write(&event(id)));
            served.write(END);
        }
    })
}

/// Sends an event loop the plan of one of two daemons before a brittle upstream.
fn join_brittle(running: &TestLoop, address: SocketAddr) {
    let of_two_slots = Upstream {
        slots: 2,
        ..(*listed_upstream("u0", address)).clone()
    };
    let fleet = Fleet::new(&daemon("me"), std::iter::once(&daemon("peer")));
    running.apply_plan(Plan {
        fleet: Arc::new(fleet),
        ..plan(RESUMABLE, vec![Arc::new(of_two_slots)])
    });
}

/// A run by a peer's share would end with the peer.
#[test]
fn a_run_by_a_peers_share_goes_on_when_the_peer_is_gone() {
    let address = brittle_upstream();
    let running = serving(RESUMABLE, &[address]);
    join_brittle(&running, address);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    send_peer(&running, listener.local_addr().expect("bound"));
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1_024]);
            let mut granted = Vec::new();
            push_frame(&mut granted, &[1, 0]);
            let _ = stream.write_all(&granted);
        }
    });
    (0..3).for_each(|n| {
        running.caller().ask(&format!("quick-{n}"));
    });
    let mut callers = (0..2).map(|_| running.caller()).collect::<Vec<_>>();
    for (n, caller) in callers.iter_mut().enumerate() {
        caller.send(&post(&format!("slow-{n}"), "hello"));
        caller.read_until("data: e1");
    }
    assert_eq!(running.metric("buckthorncross_leases_taken_total"), 1);
    for caller in &mut callers {
        let text = caller.read_to_end_of_answer();
        assert_eq!(events_of(&text), [2, 3], "{text}");
        assert!(text.ends_with(END), "{text}");
    }
}
