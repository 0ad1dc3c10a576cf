//! Request contents that crash upstreams are quarantined by all daemons, including those that start
//! later.

use std::sync::atomic::Ordering;

use poison::Content;

use crate::harness::*;

fn content(name: &str) -> Content {
    Content::of("alice", "host", "POST", "/a", name.as_bytes())
}

fn ready_daemons(count: usize, memory: &MemoryStore) -> Vec<Daemon> {
    let daemons = daemons(count, memory);
    for daemon in &daemons {
        wait_until("met", || {
            daemon.state("daemons") == count && daemon.is_ready()
        });
    }
    daemons
}

#[test]
fn one_crash_at_each_of_three_daemons_quarantines_a_content_on_all() {
    // A caller's retries reach three daemons, and an upstream crashes at each. One crash alone does
    // not quarantine the content, so the daemons must add up their crashes: the caller's next retry
    // may reach any of them.
    let daemons = ready_daemons(4, &seeded_store());
    let poison = content("poison");
    for (n, daemon) in daemons.iter().take(3).enumerate() {
        daemon.upstream_crashes(&format!("u{n}"), poison);
    }
    for daemon in &daemons {
        wait_until("barred", || daemon.quarantines(poison));
        assert!(!daemon.quarantines(content("other")));
    }
}

#[test]
fn quarantine_spreads_while_the_store_is_unreachable() {
    let daemons = ready_daemons(3, &seeded_store());
    for daemon in &daemons {
        daemon.link.is_cut.store(true, Ordering::SeqCst);
    }
    let poison = content("poison");
    (0..3).for_each(|n| daemons[0].upstream_crashes(&format!("u{n}"), poison));
    for daemon in &daemons {
        wait_until("barred", || daemon.quarantines(poison));
    }
}

#[test]
fn a_restarted_daemon_loads_quarantines_before_it_is_ready() {
    // All daemons lose power at once while a caller retries a request that crashes upstreams. What
    // they gossiped is lost, but the caller goes on retrying, so the quarantine must be restored
    // from the store.
    let memory = seeded_store();
    let poison = content("poison");
    {
        let daemons = ready_daemons(2, &memory);
        (0..3).for_each(|n| daemons[0].upstream_crashes(&format!("u{n}"), poison));
        wait_until("written", || memory.keys("bar/").len() == 1);
    }
    let daemons = daemons(2, &memory);
    for daemon in &daemons {
        wait_until("ready", || daemon.is_ready());
        assert!(daemon.quarantines(poison));
    }
}

#[test]
fn deleting_its_key_lifts_a_quarantine() {
    let memory = seeded_store();
    let daemons = ready_daemons(3, &memory);
    let poison = content("poison");
    (0..3).for_each(|n| daemons[1].upstream_crashes(&format!("u{n}"), poison));
    wait_until("written", || memory.keys("bar/").len() == 1);
    let key = memory.keys("bar/").remove(0);
    assert_eq!(key, format!("bar/{poison}"));
    memory.set(&key, None);
    for daemon in &daemons {
        wait_until("lifted", || !daemon.quarantines(poison));
    }
}

#[test]
fn a_completed_content_is_deleted_from_the_store() {
    let memory = seeded_store();
    let daemons = ready_daemons(2, &memory);
    let poison = content("poison");
    (0..3).for_each(|n| daemons[1].upstream_crashes(&format!("u{n}"), poison));
    wait_until("written", || memory.keys("bar/").len() == 1);
    daemons[1].completes(poison);
    wait_until("deleted", || memory.keys("bar/").is_empty());
    for daemon in &daemons {
        wait_until("cleared", || !daemon.quarantines(poison));
    }
}

#[test]
fn foreign_bytes_under_a_quarantine_key_are_ignored() {
    let memory = seeded_store();
    let poison = content("poison");
    memory.set(&format!("bar/{poison}"), Some("none of ours"));
    memory.set("bar/no content", Some("none of ours"));
    let daemons = ready_daemons(1, &memory);
    assert!(!daemons[0].quarantines(poison));
}

/// Another program's entry has the form of a quarantine and times that nothing can have run for. The
/// control thread ended by an overflow.
#[test]
fn a_quarantine_entry_with_impossible_times_does_no_harm() {
    let memory = seeded_store();
    let poison = content("poison");
    let crash = |n: u32| {
        format!(r#"{{"upstream":{{"id":"u{n}","started_at":null}},"ran-ms":18446744073709551615}}"#)
    };
    let crashes = (0..3).map(crash).collect::<Vec<_>>().join(",");
    let entry = format!(r#"{{"customer":null,"since":18446744073709551615,"ends":[{crashes}]}}"#);
    fleet::QuarantineEntry::decode(entry.as_bytes()).expect("of the entries' form");
    let daemons = ready_daemons(1, &memory);
    memory.set(&format!("bar/{poison}"), Some(&entry));
    memory.set("upstream/u2", Some("v1"));
    wait_until("the next change is applied", || {
        daemons[0].state("upstreams") == 2
    });
}
