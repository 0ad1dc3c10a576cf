//! Upstreams whose entries disappear around outages of the store.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;

use crate::harness::*;

/// Longer than leases of live upstreams last without the store.
const LONG_OUTAGE: Duration = Duration::from_millis(2_500);

/// Daemons that know each other and two upstreams.
fn fleet(count: usize) -> (MemoryStore, Vec<Daemon>) {
    let memory = seeded_store();
    memory.set("upstream/u2", Some("v1"));
    let daemons = daemons(count, &memory);
    for daemon in &daemons {
        wait_until("met", || {
            daemon.state("daemons") == count && daemon.state("upstreams") == 2
        });
    }
    // Until all upstreams had time to renew their entries.
    std::thread::sleep(LONG_OUTAGE);
    (memory, daemons)
}

/// Closes the watches that wait, without an answer.
fn close_watches(daemons: &[Daemon]) {
    for daemon in daemons {
        daemon.link.close_watches();
    }
}

/// Waits until the daemons use one upstream, and checks that none keeps one as lapsed meanwhile.
fn wait_until_dropped(daemons: &[Daemon]) {
    for daemon in daemons {
        wait_until("dropped", || {
            let dump = daemon.dump();
            assert_eq!(dump["lapsed_upstreams"], 0);
            dump["upstreams"] == 1
        });
    }
}

/// An upstream that left just after the watches were cut once stayed in use until it exited.
#[test]
fn an_upstream_that_leaves_after_a_cut_watch_is_dropped() {
    let (memory, daemons) = fleet(3);
    close_watches(&daemons);
    memory.set("upstream/u1", None);
    wait_until_dropped(&daemons);
}

/// Watches that are cut again and again keep no leaving upstream in use.
#[test]
fn an_upstream_that_leaves_while_watches_are_cut_often_is_dropped() {
    let (memory, daemons) = fleet(3);
    for _ in 0..12 {
        close_watches(&daemons);
        std::thread::sleep(Duration::from_millis(250));
    }
    close_watches(&daemons);
    memory.set("upstream/u1", None);
    wait_until_dropped(&daemons);
}

/// A daemon that is cut off from the store alone hears from its peers that an upstream left.
#[test]
fn a_daemon_without_the_store_drops_an_upstream_that_left() {
    let (memory, daemons) = fleet(3);
    for cut in &daemons {
        cut.link.is_cut.store(true, Ordering::SeqCst);
        std::thread::sleep(LONG_OUTAGE);
        memory.set("upstream/u1", None);
        wait_until_dropped(&daemons);
        cut.link.is_cut.store(false, Ordering::SeqCst);
        memory.set("upstream/u1", Some("v1"));
        for daemon in &daemons {
            wait_until("listed", || daemon.state("upstreams") == 2);
        }
    }
}

/// Without upstreams whose leases lapse in an outage of the store no daemon was ready.
#[test]
fn upstreams_whose_leases_lapse_in_an_outage_stay_in_use() {
    let (memory, daemons) = fleet(3);
    for daemon in &daemons {
        daemon.link.is_cut.store(true, Ordering::SeqCst);
    }
    std::thread::sleep(LONG_OUTAGE);
    memory.set("upstream/u1", None);
    memory.set("upstream/u2", None);
    for daemon in &daemons {
        daemon.link.is_cut.store(false, Ordering::SeqCst);
    }
    for daemon in &daemons {
        wait_until("lapsed", || {
            let dump = daemon.dump();
            assert_eq!(
                (&dump["upstreams"], &dump["is_ready"]),
                (&json!(2), &json!(true))
            );
            dump["lapsed_upstreams"] == 2
        });
    }
    memory.set("upstream/u1", Some("v1"));
    memory.set("upstream/u2", Some("v1"));
    for daemon in &daemons {
        wait_until("listed", || {
            let dump = daemon.dump();
            assert_eq!(dump["upstreams"], 2);
            dump["lapsed_upstreams"] == 0
        });
    }
}
