//! Orders of roll-outs that are replaced before they are decided.

use std::sync::atomic::Ordering;

use serde_json::json;

use crate::harness::*;

/// Orders a version and starts its upstream, as the platform does.
fn order(memory: &MemoryStore, version: &str) {
    memory.set("order/service", Some(version));
    memory.set(&format!("upstream/u-{version}"), Some(version));
}

fn wait_acknowledged(memory: &MemoryStore, version: &str) {
    let state = format!("running {version}");
    wait_until("acknowledged", || {
        memory.get("state/service").as_deref() == Some(&*state)
    });
}

fn wait_barred(daemon: &Daemon, versions: &[&str]) {
    wait_until("barred", || {
        daemon.state("barred_versions") == json!({ "service": versions })
    });
}

fn lone_daemon(memory: &MemoryStore) -> Daemon {
    daemons(1, memory).remove(0)
}

/// Daemons that have seen `v2` ordered, and `v3` before `v2` was decided.
fn replaced_order(count: usize) -> (MemoryStore, Vec<Daemon>) {
    let memory = seeded_store();
    let daemons = daemons(count, &memory);
    wait_until("ready", || daemons.iter().all(Daemon::is_ready));
    order(&memory, "v2");
    wait_acknowledged(&memory, "v2");
    order(&memory, "v3");
    (memory, daemons)
}

/// A bad version got as many requests as the old one once another version was ordered.
#[test]
fn a_version_whose_order_is_replaced_is_barred_at_every_daemon() {
    let (_memory, daemons) = replaced_order(3);
    for daemon in &daemons {
        wait_barred(daemon, &["v2"]);
    }
}

/// A daemon that has seen only the second order would send requests to the first one's version.
#[test]
fn a_daemon_that_starts_later_knows_of_the_replaced_order() {
    let (memory, mut daemons) = replaced_order(2);
    wait_acknowledged(&memory, "v3");
    daemons.clear();
    let restarted = lone_daemon(&memory);
    wait_barred(&restarted, &["v2"]);
}

/// The same before the second order was acknowledged by anybody.
#[test]
fn a_daemon_that_starts_between_the_order_and_its_acknowledgement_knows_of_the_replaced_one() {
    let memory = seeded_store();
    memory.set("order/service", Some("v2"));
    let first = lone_daemon(&memory);
    wait_acknowledged(&memory, "v2");
    drop(first);
    order(&memory, "v3");
    memory.set("upstream/u-v2", Some("v2"));
    wait_barred(&lone_daemon(&memory), &["v2"]);
}

/// A release that keeps no history of versions wrote the state of the first order.
#[test]
fn a_state_without_a_history_bars_the_version_as_well() {
    let memory = seeded_store();
    memory.set("state/service", Some("running v2"));
    memory.set("upstream/u-v2", Some("v2"));
    order(&memory, "v3");
    wait_barred(&lone_daemon(&memory), &["v2"]);
}

/// The old version is ordered back; a daemon that starts meanwhile knows that it needs no canary.
#[test]
fn an_order_back_to_the_old_version_gives_it_everything_at_every_daemon() {
    let memory = seeded_store();
    let mut daemons = daemons(2, &memory);
    wait_until("ready", || daemons.iter().all(Daemon::is_ready));
    order(&memory, "v2");
    wait_acknowledged(&memory, "v2");
    memory.set("order/service", Some("v1"));
    for daemon in &daemons {
        wait_until("ordered back", || {
            daemon.state("rollouts") == json!([["service", "v1", 1.0]])
        });
    }
    wait_acknowledged(&memory, "v1");
    daemons.clear();
    let restarted = lone_daemon(&memory);
    wait_until("ordered back", || {
        restarted.state("rollouts") == json!([["service", "v1", 1.0]])
    });
}

/// A daemon that was cut off at a version's completion would bar the only version left.
#[test]
fn a_version_that_was_completed_out_of_sight_is_not_barred() {
    let memory = seeded_store();
    let daemons = daemons(2, &memory);
    wait_until("ready", || daemons.iter().all(Daemon::is_ready));
    order(&memory, "v2");
    wait_acknowledged(&memory, "v2");
    for daemon in &daemons {
        wait_until("ordered", || daemon.state("rollouts")[0][1] == "v2");
    }
    for daemon in &daemons {
        daemon.link.is_cut.store(true, Ordering::SeqCst);
    }
    memory.set("state/service", Some("completed v2"));
    memory.set("upstream/u1", None);
    order(&memory, "v3");
    for daemon in &daemons {
        daemon.link.is_cut.store(false, Ordering::SeqCst);
    }
    wait_acknowledged(&memory, "v3");
    for daemon in &daemons {
        wait_until("ordered", || daemon.state("rollouts")[0][1] == "v3");
        wait_barred(daemon, &[]);
    }
}
