//! Requests that end upstreams are barred by all daemons, also by those that come later.

use std::sync::atomic::Ordering;

use poison::Content;

use crate::harness::*;

fn content(name: &str) -> Content {
    Content::of("alice", "host", "POST", "/a", name.as_bytes())
}

fn filled() -> Memory {
    let memory = Memory::default();
    memory.set("table", Some("1"));
    memory.set("upstream/u1", Some("v1"));
    memory
}

fn met(count: usize, memory: &Memory) -> Vec<Daemon> {
    let daemons = daemons(count, memory);
    for daemon in &daemons {
        until("met", || {
            daemon.state("daemons") == count && daemon.is_ready()
        });
    }
    daemons
}

#[test]
fn one_end_each_at_three_daemons_bars_a_content_at_all() {
    // A caller's attempts come to three daemons, and an engine ends under each. Every daemon has
    // seen one end, which is nothing by itself; the caller's next attempt may come to any.
    let daemons = met(4, &filled());
    let poison = content("poison");
    for (n, daemon) in daemons.iter().take(3).enumerate() {
        daemon.ends_under(&format!("u{n}"), poison);
    }
    for daemon in &daemons {
        until("barred", || daemon.bars(poison));
        assert!(!daemon.bars(content("other")));
    }
}

#[test]
fn a_bar_goes_round_while_the_store_is_out_of_reach() {
    let daemons = met(3, &filled());
    for daemon in &daemons {
        daemon.way.is_cut.store(true, Ordering::SeqCst);
    }
    let poison = content("poison");
    (0..3).for_each(|n| daemons[0].ends_under(&format!("u{n}"), poison));
    for daemon in &daemons {
        until("barred", || daemon.bars(poison));
    }
}

#[test]
fn a_daemon_that_starts_knows_what_is_barred_before_it_serves() {
    // All daemons lose power at once, in the middle of such a request's repeats. What they told
    // each other is gone with them, and the caller goes on.
    let memory = filled();
    let poison = content("poison");
    {
        let daemons = met(2, &memory);
        (0..3).for_each(|n| daemons[0].ends_under(&format!("u{n}"), poison));
        until("written", || memory.keys("bar/").len() == 1);
    }
    let daemons = daemons(2, &memory);
    for daemon in &daemons {
        until("ready", || daemon.is_ready());
        assert!(daemon.bars(poison));
    }
}

#[test]
fn an_operator_lifts_a_bar_by_deleting_its_key() {
    let memory = filled();
    let daemons = met(3, &memory);
    let poison = content("poison");
    (0..3).for_each(|n| daemons[1].ends_under(&format!("u{n}"), poison));
    until("written", || memory.keys("bar/").len() == 1);
    let key = memory.keys("bar/").remove(0);
    assert_eq!(key, format!("bar/{poison}"));
    memory.set(&key, None);
    for daemon in &daemons {
        until("lifted", || !daemon.bars(poison));
    }
}

#[test]
fn a_content_that_is_cleared_leaves_the_store() {
    let memory = filled();
    let daemons = met(2, &memory);
    let poison = content("poison");
    (0..3).for_each(|n| daemons[1].ends_under(&format!("u{n}"), poison));
    until("written", || memory.keys("bar/").len() == 1);
    daemons[1].answers_whole(poison);
    until("deleted", || memory.keys("bar/").is_empty());
    for daemon in &daemons {
        until("cleared", || !daemon.bars(poison));
    }
}

#[test]
fn another_writers_bytes_under_a_bar_are_passed_over() {
    let memory = filled();
    let poison = content("poison");
    memory.set(&format!("bar/{poison}"), Some("none of ours"));
    memory.set("bar/no content", Some("none of ours"));
    let daemons = met(1, &memory);
    assert!(!daemons[0].bars(poison));
}
