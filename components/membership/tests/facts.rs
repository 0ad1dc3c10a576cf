//! Facts in simulated fleets: spread, ordering, loss, failed daemons, limits, bandwidth.

#[path = "support/fleet.rs"]
#[allow(dead_code, unreachable_pub)]
mod fleet;

use bincode::Options;
use bytes::Bytes;
use fleet::{Fleet, address, config};
use membership::{
    FactGroup, Gossip, Membership, Message, OriginId, PublishError, Sender, State, Topic,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::prelude::*;

const fn secs(secs: u64) -> Span {
    Span::from_secs(secs)
}

fn publish(fleet: &mut Fleet, index: usize, topic: Topic, value: &str) {
    let now = fleet.now;
    let value = Bytes::copy_from_slice(value.as_bytes());
    let membership = &mut fleet.node(index).membership;
    membership.publish(now, topic, Bytes::new(), value).unwrap();
}

fn values(membership: &Membership, topic: Topic, origin: usize) -> Vec<Bytes> {
    let origin = config(origin, 1).local_id;
    let facts = membership.facts(topic).filter(|fact| fact.origin == origin);
    facts.map(|fact| fact.value).collect()
}

/// Whether every running daemon has exactly these values of an origin.
fn all_hold(fleet: &Fleet, topic: Topic, origin: usize, value: &[&str]) -> bool {
    let mut running = fleet.nodes.values().filter(|node| node.is_running);
    running.all(|node| values(&node.membership, topic, origin) == value)
}

/// Whether no other daemon has any fact of an origin on a topic.
fn none_hold(fleet: &Fleet, origin: usize, topic: Topic) -> bool {
    let me = config(origin, 1).local_id;
    let mut others = fleet.nodes.values().map(|node| &node.membership);
    others.all(|other| other.local().id == me || values(other, topic, origin).is_empty())
}

fn encoded(message: &Message) -> usize {
    bincode::DefaultOptions::new()
        .serialized_size(message)
        .unwrap() as usize
}

#[test]
fn can_spread_facts_despite_message_loss() {
    let mut fleet = Fleet::new(32, 1);
    fleet.run_for(secs(20));
    fleet.loss = 0.2;
    publish(&mut fleet, 3, Topic::Demand, "first");
    fleet.run_for(Span::from_millis(700));
    publish(&mut fleet, 3, Topic::Demand, "second");
    let took = fleet.run_while(secs(60), |f| !all_hold(f, Topic::Demand, 3, &["second"]));
    assert!(took.is_some());
    publish(&mut fleet, 3, Topic::Demand, "");
    let took = fleet.run_while(secs(60), |f| !all_hold(f, Topic::Demand, 3, &[]));
    assert!(took.is_some());
}

// Daemons that do not know yet that a bad version is suspended keep sending it work. With a third
// of the messages lost, 128 daemons must know within a second.
#[test]
fn can_spread_urgent_facts_in_a_second() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(128, seed);
        fleet.run_for(secs(30));
        fleet.loss = 0.3;
        publish(&mut fleet, 5, Topic::Suspension, "bad");
        fleet.flush(5);
        let took = fleet.run_while(secs(1), |f| !all_hold(f, Topic::Suspension, 5, &["bad"]));
        assert!(took.is_some(), "seed {seed}");
    }
}

// Counts of ratings must remain valid after their daemon is gone and reach a daemon that starts
// later, while the demand of the failed daemon must be dropped.
#[test]
fn can_keep_cumulative_facts_of_failed_daemons() {
    let mut fleet = Fleet::new(8, 2);
    fleet.run_for(secs(10));
    publish(&mut fleet, 3, Topic::Evidence, "counts");
    publish(&mut fleet, 3, Topic::Demand, "much");
    fleet.run_for(secs(10));
    assert!(all_hold(&fleet, Topic::Demand, 3, &["much"]));
    fleet.node(3).is_running = false;
    fleet.run_for(secs(60));
    assert!(all_hold(&fleet, Topic::Evidence, 3, &["counts"]));
    assert!(all_hold(&fleet, Topic::Demand, 3, &[]));
    fleet.start(config(8, 1));
    let took = fleet.run_while(secs(30), |f| !all_hold(f, Topic::Evidence, 3, &["counts"]));
    assert!(took.is_some());
}

// After a restart, the counts of the earlier run must remain valid beside those of the new run,
// while the demand of the earlier run must be dropped at once.
#[test]
fn can_separate_facts_of_successive_runs() {
    let mut fleet = Fleet::new(8, 3);
    fleet.run_for(secs(10));
    publish(&mut fleet, 3, Topic::Evidence, "early");
    publish(&mut fleet, 3, Topic::Demand, "early");
    fleet.run_for(secs(10));
    fleet.start(config(3, 2));
    fleet.run_for(secs(10));
    publish(&mut fleet, 3, Topic::Evidence, "late");
    publish(&mut fleet, 3, Topic::Demand, "late");
    fleet.run_for(secs(20));
    assert!(all_hold(&fleet, Topic::Evidence, 3, &["early", "late"]));
    assert!(all_hold(&fleet, Topic::Demand, 3, &["late"]));
}

// A daemon is partitioned for fifteen seconds and declared down. Its demand must be kept: a false
// failure detection must not reset the others' shares.
#[test]
fn can_tolerate_a_false_failure_detection() {
    let mut fleet = Fleet::new(8, 4);
    fleet.run_for(secs(10));
    publish(&mut fleet, 3, Topic::Demand, "much");
    fleet.run_for(secs(10));
    fleet.node(3).partition = 1;
    fleet.run_for(secs(15));
    let third = config(3, 1).local_id;
    let seen = fleet.node(0).membership.member(&third).unwrap();
    assert_eq!(seen.record.state, State::Down);
    assert!(all_hold(&fleet, Topic::Demand, 3, &["much"]));
    fleet.node(3).partition = 0;
    let took = fleet.run_while(secs(30), |fleet| !fleet.agrees());
    assert!(took.is_some());
    assert!(all_hold(&fleet, Topic::Demand, 3, &["much"]));
}

// A daemon is partitioned for minutes, its demand is dropped, then it returns. The others must see
// its demand again at once, not only when the digest reaches it.
#[test]
fn can_restore_facts_after_a_long_partition() {
    let mut fleet = Fleet::new(48, 9);
    fleet.run_for(secs(20));
    publish(&mut fleet, 3, Topic::Demand, "much");
    fleet.run_for(secs(10));
    fleet.node(3).partition = 1;
    fleet.run_for(secs(120));
    assert!(none_hold(&fleet, 3, Topic::Demand));
    fleet.node(3).partition = 0;
    let back = |fleet: &Fleet| !fleet.agrees();
    assert!(fleet.run_while(secs(60), back).is_some());
    let took = fleet.run_while(secs(6), |f| !all_hold(f, Topic::Demand, 3, &["much"]));
    assert!(took.is_some());
}

// An earlier run that was paused resumes after its successor took over its name. Its outdated
// messages must not be mistaken for the successor's.
#[test]
fn errors_on_messages_of_an_earlier_run() {
    let mut fleet = Fleet::new(4, 8);
    fleet.run_for(secs(5));
    fleet.start(config(3, 2));
    fleet.run_for(secs(10));
    let early = config(3, 1);
    let from = Sender {
        id: early.local_id,
        incarnation: early.incarnation,
        address: early.address,
    };
    let gossip = Gossip {
        attachment: Bytes::from_static(b"old"),
        ..Gossip::default()
    };
    let now = fleet.now;
    let mut rng = StdRng::seed_from_u64(8);
    let membership = &mut fleet.node(0).membership;
    let outcome = membership.receive(now, &from, Message::Push(gossip), &mut rng);
    assert!(outcome.events.is_empty());
    assert_eq!(membership.counters().stale, 1);
}

// The same fact arrives repeatedly, late and out of order; the highest sequence number must win.
#[test]
fn can_merge_facts_in_any_order() {
    let mut fleet = Fleet::new(2, 5);
    fleet.run_for(secs(5));
    let me = fleet.node(1).membership.local().clone();
    let from = Sender {
        id: me.id.clone(),
        incarnation: me.stamp.incarnation,
        address: me.address,
    };
    let origin = OriginId {
        daemon: me.id,
        incarnation: me.stamp.incarnation,
    };
    let now = fleet.now;
    let mut rng = StdRng::seed_from_u64(5);
    for (seq, value) in [
        (11, "b"),
        (10, "a"),
        (12, "c"),
        (11, "b"),
        (12, "c"),
        (10, "a"),
    ] {
        let gossip = Gossip {
            facts: vec![FactGroup {
                topic: Topic::Engines,
                key: Bytes::new(),
                value: Bytes::from_static(value.as_bytes()),
                origins: vec![(origin.tag(), seq)],
            }],
            ..Gossip::default()
        };
        let membership = &mut fleet.node(0).membership;
        membership.receive(now, &from, Message::Push(gossip), &mut rng);
    }
    assert_eq!(values(&fleet.node(0).membership, Topic::Engines, 1), ["c"]);
}

#[test]
fn errors_on_facts_over_their_limits() {
    let mut fleet = Fleet::new(2, 6);
    let membership = &mut fleet.node(0).membership;
    let long = Bytes::from(vec![0; 300]);
    let key = Bytes::from_static(b"k");
    let error = membership.publish(Time(1), Topic::Demand, long.clone(), key.clone());
    assert_eq!(error, Err(PublishError::KeyTooLong(300)));
    let error = membership.publish(Time(1), Topic::Demand, key.clone(), long.clone());
    assert_eq!(error, Err(PublishError::ValueTooLong(300)));
    let results = (0..200).map(|i| {
        let key = Bytes::from(format!("key-{i}"));
        membership.publish(Time(1), Topic::Demand, key.clone(), key)
    });
    let refused = results.filter(|result| *result == Err(PublishError::TooMany(128)));
    assert_eq!(refused.count(), 72);
    let gossip = Gossip {
        attachment: long,
        ..Gossip::default()
    };
    let me = config(1, 1);
    let from = Sender {
        id: me.local_id,
        incarnation: me.incarnation,
        address: address(1),
    };
    let mut rng = StdRng::seed_from_u64(6);
    membership.receive(Time(1), &from, Message::Push(gossip), &mut rng);
    assert_eq!(membership.counters().malformed, 1);
}

// Every daemon publishes a new value each second, far more than the budget allows. The bandwidth
// must stay within the budget, and later values must still arrive.
#[test]
fn can_stay_within_the_budget_under_load() {
    let mut fleet = Fleet::new(32, 7);
    fleet.measure = |message| {
        let length = encoded(message);
        assert!(length <= message.wire_len(), "{message:?}");
        length
    };
    fleet.run_for(secs(10));
    let mut before = 0;
    // The accumulated budgets are used up before the bytes are counted.
    for round in 0..60 {
        if round == 40 {
            before = fleet.nodes.values().map(|node| node.bytes).sum::<u64>();
        }
        for index in 0..32 {
            publish(
                &mut fleet,
                index,
                Topic::Demand,
                &format!("{round}-{index:040}"),
            );
        }
        fleet.run_for(secs(1));
    }
    let after = fleet.nodes.values().map(|node| node.bytes).sum::<u64>();
    let each_second = (after - before) / 32 / 20;
    assert!(each_second < 4_500, "{each_second} bytes/s");
    let last = format!("59-{:040}", 7);
    let took = fleet.run_while(secs(90), |f| !all_hold(f, Topic::Demand, 7, &[&last]));
    assert!(took.is_some());
}
