//! What daemons know of the configuration and upstreams, with and without the store.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::harness::*;

#[test]
fn a_daemon_is_ready_once_it_knows_a_configuration_and_upstreams() {
    let memory = MemoryStore::default();
    memory.set("upstream/u1", Some("v1"));
    let daemons = daemons(1, &memory);
    wait_until("listed", || daemons[0].state("upstreams") == 1);
    assert!(!daemons[0].is_ready());
    memory.set("table", Some("1"));
    wait_until("ready", || daemons[0].is_ready());
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    // An operator writes an older configuration again by mistake, or it is read from a copy that
    // lags. If it were applied, routes would come and go for callers.
    let memory = seeded_store();
    memory.set("table", Some("5"));
    let daemons = daemons(1, &memory);
    wait_until("in force", || daemons[0].table() == Some(5));
    memory.set("table", Some("4"));
    memory.set("upstream/u2", Some("v1"));
    wait_until("seen", || daemons[0].state("upstreams") == 2);
    assert_eq!(daemons[0].table(), Some(5));
    memory.set("table", Some("not a number"));
    memory.set("table", Some("6"));
    wait_until("in force", || daemons[0].table() == Some(6));
}

#[test]
fn a_daemon_cut_off_from_the_store_gets_changes_from_peers() {
    // The store answers the other daemons but not this one, which would accept a revoked key or
    // send to upstreams that left.
    let memory = seeded_store();
    let daemons = daemons(3, &memory);
    for daemon in &daemons {
        wait_until("met", || daemon.state("daemons") == 3 && daemon.is_ready());
    }
    daemons[0].link.is_cut.store(true, Ordering::SeqCst);
    memory.set("table", Some("2"));
    memory.set("upstream/u2", Some("v1"));
    for daemon in &daemons {
        wait_until("told", || {
            daemon.table() == Some(2) && daemon.state("upstreams") == 2
        });
    }
}

#[test]
fn a_new_daemon_without_the_store_gets_changes_from_peers() {
    let memory = seeded_store();
    let daemons = daemons(2, &memory);
    wait_until("met", || {
        daemons.iter().all(|daemon| daemon.state("daemons") == 2)
    });
    // The new daemon is known to its peers by its entry only, so it must write that before the cut.
    let late = daemon(7, StoreLink::to(&memory));
    wait_until("met", || late.state("daemons") == 3);
    late.link.is_cut.store(true, Ordering::SeqCst);
    memory.set("table", Some("3"));
    wait_until("told", || late.table() == Some(3));
}

#[test]
fn standbys_take_over_when_both_watchers_lose_the_store() {
    // Only two daemons watch, because every change costs a call for each watcher. When both lose
    // the store, the other daemons must not miss changes until membership notices it.
    let memory = seeded_store();
    let daemons = daemons(4, &memory);
    for daemon in &daemons {
        wait_until("met", || daemon.state("daemons") == 4);
    }
    let watches = || -> Vec<usize> {
        let counts = daemons
            .iter()
            .map(|d| d.link.watches.load(Ordering::SeqCst));
        counts.collect()
    };
    // A resting daemon begins no watch while changes arrive.
    let rests = |before: &[usize], after: &[usize]| -> usize {
        before.iter().zip(after).filter(|(b, a)| b == a).count()
    };
    wait_until("resting", || {
        let before = watches();
        for n in 0..3 {
            memory.set("upstream/u3", Some(&format!("v{n}")));
            std::thread::sleep(Duration::from_millis(100));
        }
        rests(&before, &watches()) == 4
    });
    for daemon in &daemons[..2] {
        daemon.link.is_cut.store(true, Ordering::SeqCst);
    }
    memory.set("table", Some("2"));
    for daemon in &daemons {
        wait_until("told", || daemon.table() == Some(2));
    }
}

/// A daemon with older evidence completed a version that those who collect it had found failing.
#[test]
fn the_daemons_that_collect_evidence_write_states_first() {
    let memory = seeded_store();
    memory.set("upstream/u2", Some("v2"));
    let (seed, any) = (free_address(), SocketAddr::from(([127, 0, 0, 1], 0)));
    let daemons = (0..5).map(|n| {
        let peers = if n == 0 { seed } else { any };
        daemon_at(n, StoreLink::to(&memory), peers, vec![seed])
    });
    let daemons = daemons.collect::<Vec<_>>();
    wait_until("all known", || {
        daemons.iter().all(|daemon| daemon.state("daemons") == 5)
    });
    wait_until("ready", || daemons.iter().all(Daemon::is_ready));
    let watch_order = |n: &usize| {
        xxh3_64(
            settings(*n, free_address(), Vec::new())
                .me
                .as_str()
                .as_bytes(),
        )
    };
    let first = (0..daemons.len()).min_by_key(watch_order).expect("some");
    assert_ne!(first, 0, "the first by name would write first in any case");
    memory.set("order/service", Some("v2"));
    wait_until("written", || memory.get("state/service").is_some());
    let tried = daemons[first].link.state_writes.load(Ordering::SeqCst);
    assert_eq!(tried, 1);
}

#[test]
fn a_rollout_is_acknowledged_and_divides_traffic() {
    let memory = seeded_store();
    memory.set("upstream/u2", Some("v2"));
    let daemons = daemons(2, &memory);
    wait_until("ready", || daemons.iter().all(Daemon::is_ready));
    memory.set("order/service", Some("v2"));
    wait_until("written", || {
        memory.get("state/service").as_deref() == Some("running v2")
    });
    for daemon in &daemons {
        wait_until("divided", || {
            let rollouts = daemon.state("rollouts");
            rollouts[0][2]
                .as_f64()
                .is_some_and(|share| share > 0.0 && share <= 0.1)
        });
    }
    memory.set("state/service", Some("reverted v2"));
    for daemon in &daemons {
        wait_until("taken back", || daemon.state("rollouts")[0][2] == 0.0);
    }
}

#[test]
fn only_seeds_read_a_large_store_at_fleet_start() {
    // A fleet was killed and all daemons restarted at once: each read all keys from the store,
    // whose link was full for seconds, and none of them served meanwhile.
    let memory = seeded_store();
    for n in 0..2_000 {
        let value = format!("v{n} {}", "x".repeat(200));
        memory.set(&format!("other/{n:04}"), Some(&value));
    }
    let seed = free_address();
    let mut fleet = vec![daemon_at(0, StoreLink::to(&memory), seed, vec![seed])];
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    fleet.extend((1..6).map(|n| daemon_at(n, StoreLink::to(&memory), any, vec![seed])));
    for daemon in &fleet {
        wait_until("ready", || daemon.is_ready());
    }
    let reads = fleet
        .iter()
        .map(|d| d.link.whole_reads.load(Ordering::SeqCst));
    assert_eq!(reads.collect::<Vec<_>>(), [1, 0, 0, 0, 0, 0]);
}

#[test]
fn a_restarted_large_fleet_copies_a_large_store_from_peers() {
    // A large fleet lost power and restarted at once: each daemon read the first page of a store
    // with many upstreams, waited 3 s for a copy, and then all of them read the whole store at
    // once. Callers were refused for 1.3 s at the median daemon and 4.3 s at the worst.
    let memory = seeded_store();
    for n in 0..600 {
        memory.set(&format!("upstream/u{n:03}"), Some("v1"));
    }
    memory.set("daemon/former", Some("127.0.0.1:1 295 601"));
    let seed = free_address();
    let first = daemon_at(0, StoreLink::to(&memory), seed, vec![seed]);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    // None of these names hashes to one of the few daemons that read the store first.
    let peers = [1, 2, 3].map(|n| daemon_at(n, StoreLink::to(&memory), any, vec![seed]));
    for daemon in peers.iter().chain([&first]) {
        wait_until("ready", || {
            daemon.is_ready() && daemon.state("upstreams") == 601
        });
    }
    let read = peers.map(|daemon| daemon.link.keys_read.load(Ordering::SeqCst));
    assert!(read.iter().all(|keys| *keys <= 6), "{read:?} keys");
}

#[test]
fn a_store_of_one_page_is_read_without_waiting_for_peers() {
    // A page of the store arrives sooner than a peer's snapshot, which takes some tenths of a
    // second, however large the fleet: hosts with an eighth of a core are slow to pass snapshots
    // on.
    let memory = seeded_store();
    memory.set("daemon/former", Some("127.0.0.1:1 295 180"));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let alone = daemon_at(1, StoreLink::to(&memory), any, vec![free_address()]);
    wait_until("ready", || alone.is_ready());
    assert!(alone.link.keys_read.load(Ordering::SeqCst) >= 3);
}

/// A daemon whose first listing may lack any change stayed without a copy.
#[test]
fn a_listing_of_unknown_age_is_read_again() {
    let memory = seeded_store();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let link = StoreLink::to(&memory);
    link.serves_old_copies.store(true, Ordering::SeqCst);
    let alone = daemon_at(1, link, any, vec![free_address()]);
    wait_until("ready", || alone.is_ready());
    assert_eq!(alone.link.whole_reads.load(Ordering::SeqCst), 1);
}

#[test]
fn a_daemon_with_stale_seeds_reads_the_store_itself() {
    let memory = seeded_store();
    for n in 0..1_000 {
        memory.set(&format!("other/{n:04}"), Some("v"));
    }
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let alone = daemon_at(1, StoreLink::to(&memory), any, vec![free_address()]);
    wait_until("ready", || alone.is_ready());
    assert_eq!(alone.link.whole_reads.load(Ordering::SeqCst), 1);
}

#[test]
fn an_unreadable_upstream_entry_is_left_out_and_the_others_stay() {
    // Another program writes under an upstream's key. Requests must not go on to the upstream's
    // former address, and the other upstreams must stay listed.
    let memory = seeded_store();
    memory.set("upstream/u2", Some("v1"));
    let daemons = daemons(1, &memory);
    wait_until("listed", || daemons[0].state("upstreams") == 2);
    memory.set("upstream/u1", Some("?"));
    wait_until("left out", || daemons[0].state("upstreams") == 1);
    assert_eq!(daemons[0].state("unreadable_upstreams"), 1);
    memory.set("upstream/u1", Some("v2"));
    wait_until("listed again", || daemons[0].state("upstreams") == 2);
    assert_eq!(daemons[0].state("unreadable_upstreams"), 0);
}

#[test]
fn an_entry_of_a_former_instance_does_not_replace_the_current_one() {
    // An upstream restarts under its id with another version, and a delayed entry of its former
    // instance arrives last. Requests must not be routed by that entry.
    let memory = seeded_store();
    memory.set("upstream/u1", Some("v2@8"));
    let daemons = daemons(1, &memory);
    let versions = || daemons[0].state("versions").to_string();
    wait_until("listed", || versions() == r#"{"service v2":1}"#);
    memory.set("upstream/u1", Some("v1@7"));
    memory.set("upstream/u2", Some("v3"));
    wait_until("seen", || daemons[0].state("upstreams") == 2);
    assert_eq!(versions(), r#"{"service v2":1,"service v3":1}"#);
    memory.set("upstream/u1", Some("v4@9"));
    wait_until("the next run", || {
        versions() == r#"{"service v3":1,"service v4":1}"#
    });
}

/// A run without a start follows one with a start, and a later one has an earlier start since its
/// clock was set back. While the first start was still held against it, it was never listed.
#[test]
fn a_run_without_a_start_ends_the_one_before() {
    let memory = seeded_store();
    memory.set("upstream/u1", Some("v2@8"));
    let daemons = daemons(1, &memory);
    let versions = || daemons[0].state("versions").to_string();
    wait_until("listed", || versions() == r#"{"service v2":1}"#);
    memory.set("upstream/u1", Some("v3"));
    wait_until("without a start", || versions() == r#"{"service v3":1}"#);
    memory.set("upstream/u1", Some("v4@7"));
    memory.set("upstream/u2", Some("v5"));
    wait_until("seen", || daemons[0].state("upstreams") == 2);
    assert_eq!(versions(), r#"{"service v4":1,"service v5":1}"#);
}

#[test]
fn the_first_read_of_a_silent_store_is_retried_soon() {
    // A fleet was killed while the store was silent and restarted before it was back: the first
    // read hung for the client's whole timeout, and callers were refused for 1.2 s after the
    // store's return.
    let memory = seeded_store();
    let link = StoreLink::to(&memory);
    link.is_cut.store(true, Ordering::SeqCst);
    let seed = free_address();
    let alone = daemon_at(0, link.clone(), seed, vec![seed]);
    let told = || link.read_timeouts.lock().expect("sound").clone();
    wait_until("tried four times", || told().len() >= 4);
    link.is_cut.store(false, Ordering::SeqCst);
    wait_until("ready", || alone.is_ready());
    let told = told();
    assert!(told[0] <= Span::from_millis(320), "{told:?}");
    assert!(
        told.iter().all(|p| *p <= Span::from_millis(1_250)),
        "{told:?}"
    );
    assert!(
        told[3] >= Span::from_millis(700),
        "a slow store needs longer: {told:?}"
    );
}

#[test]
fn a_delayed_store_answer_does_not_validate_a_copy() {
    // A busy host read a store answer seconds after it arrived and treated it as current: a route
    // added meanwhile was refused as unknown.
    let memory = MemoryStore::default();
    memory.set("table", Some("1"));
    let link = StoreLink::to(&memory);
    link.answer_delay_ms.store(2_500, Ordering::SeqCst);
    let daemon = daemon(0, link);
    let proven_ms = || daemon.state("proven_ms").as_u64();
    wait_until("it is as old as its answers", || proven_ms() >= Some(2_500));
    for _ in 0..20 {
        assert!(proven_ms() >= Some(2_500), "{:?}", proven_ms());
        std::thread::sleep(Duration::from_millis(20));
    }
}
