//! Tests of retries, capacity limits, roll-ups and exports.

use super::*;

// A caller retries through another daemon while the first is still answering, and both record a
// bill. Only one may count.
#[test]
fn can_bill_once_when_two_daemons_answer() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    fleet.serve(1, 1);
    fleet.serve(1, 1);
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
}

// A retry comes minutes after the request was rolled up. The fingerprint must still be kept then,
// or the request would be billed twice.
#[test]
fn can_bill_once_when_the_retry_follows_the_roll_up() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    fleet.run(SECOND.times(120));
    assert_eq!(fleet.bills_of(1), 1);
    fleet.serve(2, 1);
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
}

// A bill is rolled up before an outage that is longer than the retry window. The bill of its
// retry waits on another daemon during the outage and is sealed after the first roll-ups that
// follow. The fingerprint must not have expired by then, since the shard's clock stops in an
// outage.
#[test]
fn can_bill_once_when_the_retry_waits_during_an_outage() {
    let mut fleet = fleet(4);
    fleet.serve(0, 1);
    fleet.run(SECOND.times(60));
    fleet.is_store_down = true;
    fleet.serve(1, 1);
    fleet.run(SECOND.times(2000));
    let holder = holder_of(&fleet, 1);
    fleet.is_store_down = false;
    let other = (0..4)
        .find(|index| *index != 1 && *index != holder)
        .unwrap();
    for number in 100..300 {
        fleet.serve(other, number);
    }
    let is_late = |pending: &Pending| is_seal_by(pending, 1) || is_seal_by(pending, holder);
    let mut late = Vec::new();
    for _ in 0..240 {
        fleet.tick(Span::from_millis(250));
        while let Some(position) = fleet.position(is_late) {
            late.push(fleet.pending.remove(position));
        }
        fleet.deliver_all();
    }
    assert!(!late.is_empty() && fleet.export().totals().len() == 201);
    fleet.pending.extend(late);
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
}

// The store is down until the ledger's capacity is used up. New requests must be refused before a
// bill is lost, those in flight must still find room, and all bills must be sealed afterwards.
#[test]
fn refuses_requests_when_an_outage_exhausts_the_capacity() {
    let mut fleet = Fleet::new(2, |cfg| cfg.capacity = 100);
    fleet.is_store_down = true;
    fleet.tick(SECOND);
    let mut number = 0;
    while fleet.daemons[0].ledger.has_room(10) {
        fleet.serve(0, number);
        number += 1;
    }
    assert_eq!(number, 90);
    for in_flight in 90..100 {
        fleet.serve(0, in_flight);
    }
    fleet.run(SECOND.times(7200));
    assert!(!fleet.daemons[0].ledger.has_room(0));
    fleet.settle();
    assert!(fleet.daemons[0].ledger.has_room(10));
    assert_eq!(fleet.export().totals().len(), 100);
}

// The second holder has no room left, so the daemon must choose another one.
#[test]
fn can_choose_another_holder_when_one_is_full() {
    let mut fleet = Fleet::new(3, |cfg| cfg.custody_capacity = 50);
    fleet.is_store_down = true;
    fleet.tick(SECOND);
    let first = holder_of(&fleet, 0);
    for number in 0..60 {
        fleet.serve(first, number);
    }
    for number in 100..140 {
        fleet.serve(0, number);
        fleet.run(SECOND);
    }
    fleet.run(SECOND.times(10));
    assert!(
        fleet
            .answered
            .iter()
            .filter(|number| **number >= 100)
            .count()
            == 40
    );
    fleet.settle();
    assert_eq!(fleet.export().totals().len(), 100);
}

// A roll-up's write seems lost and is retried, and more batches are rolled up; then the first
// write takes effect after all. Its compares must fail, or it would restore older totals and
// bills would be missing.
#[test]
fn can_roll_up_once_when_a_write_is_delayed() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    let position = run_until(&mut fleet, is_commit);
    fleet.lose_reply(position, true);
    for number in 2..200 {
        fleet.serve(1, number);
    }
    fleet.run(SECOND.times(60));
    assert_eq!(fleet.export().totals().len(), 199);
    fleet.settle();
    let totals = fleet.export().totals();
    assert!(totals.len() == 199 && totals.values().all(|sum| sum.requests == 1));
}

// Two daemons disagree about the members of the fleet and both roll up all shards. Each bill must
// still count once.
#[test]
fn can_roll_up_on_two_daemons_at_once() {
    let mut fleet = fleet(2);
    for number in 0..100 {
        fleet.serve(number as usize % 2, number);
    }
    for _ in 0..300 {
        fleet.now = fleet.now + Span::from_millis(250);
        for index in 0..2 {
            fleet.tick_with(index, &[]);
        }
        fleet.deliver_all();
    }
    fleet.settle();
    let totals = fleet.export().totals();
    assert_eq!(totals.len(), 100);
    assert!(totals.values().all(|sum| sum.requests == 1));
    let rolled: u64 = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.ledger.fill().rolled)
        .sum();
    assert_eq!(rolled, 100);
}

// A slow holder that was replaced must drop its copy. In a long outage each replacement would
// otherwise leave one more copy, and they would fill the memory.
#[test]
fn drops_copies_that_another_daemon_holds() {
    let mut fleet = fleet(4);
    fleet.is_store_down = true;
    fleet.serve(0, 1);
    fleet.run(SECOND);
    let slow = holder_of(&fleet, 0);
    fleet.daemons[slow].is_paused = true;
    fleet.run(SECOND);
    fleet.daemons[slow].is_paused = false;
    fleet.run(SECOND);
    assert_eq!(fleet.daemons[slow].ledger.fill().custody, 0);
    let holder = holder_of(&fleet, 0);
    assert_eq!(fleet.daemons[holder].ledger.fill().custody, 1);
}

// Many bills wait for the store and there is only one peer. As their holder it must not exceed its
// capacity, or its memory use would be unbounded.
#[test]
fn a_holder_never_exceeds_its_capacity() {
    let mut fleet = Fleet::new(2, |cfg| cfg.custody_capacity = 10);
    fleet.is_store_down = true;
    fleet.tick(SECOND);
    for number in 0..20 {
        fleet.serve(0, number);
        fleet.run(SECOND);
        assert!(fleet.daemons[1].ledger.fill().custody <= 10);
    }
}

// An undecodable batch must be moved aside, or it would block its shard's roll-ups.
#[test]
fn can_roll_up_beside_a_damaged_batch() {
    let mut fleet = fleet(2);
    for number in 0..100 {
        fleet.serve(0, number);
    }
    let position = run_until(&mut fleet, |pending| is_seal_by(pending, 0));
    fleet.deliver(position);
    let damage = keyvalue::Put {
        key: fleet.keys("/batches/").remove(0),
        value: bytes::Bytes::from_static(b"\x01\xff\xff"),
        lease: None,
    };
    fleet.write_directly([keyvalue::Op::Put(damage)].into_iter());
    fleet.settle();
    let counted = fleet.export().totals().len();
    assert!((50..100).contains(&counted));
    assert_eq!(fleet.keys("/damaged/").len(), 1);
}

// An operator exports and drains while a late batch of the same hour is rolled up. Totals that
// changed after the export must stay, so that both exports together contain every bill once.
#[test]
fn can_drain_without_losing_late_bills() {
    let mut fleet = fleet(2);
    for number in 0..100 {
        fleet.serve(0, number);
    }
    fleet.run(SECOND.times(60));
    let first = fleet.export();
    for number in 100..110 {
        fleet.serve(1, number);
    }
    fleet.run(SECOND.times(60));
    let mut drain = Drain::new(&first);
    while let Some(request) = drain.next_call() {
        let outcome = fleet.call(&request);
        drain.on_store(outcome).unwrap();
    }
    assert!((1..=10).contains(&drain.kept()));
    let second = fleet.export().totals();
    for number in 100..110 {
        assert!(
            second
                .keys()
                .any(|account| account.customer == bill(number, WallTime(0)).id.customer)
        );
    }
    assert!(second.len() < 110);
}

// A peer sends undecodable or oversized charges. They must be counted and otherwise ignored.
#[test]
fn counts_and_ignores_undecodable_charges() {
    let mut fleet = fleet(2);
    let replicate = |charges: Vec<u8>| Message::Replicate {
        origin: Origin {
            daemon: peer(1).id,
            incarnation: Incarnation(7),
        },
        sealed: 0,
        first: 1,
        charges: charges.into(),
        incarnation: Incarnation(7),
    };
    fleet.serve(1, 1);
    fleet.tick(Span::from_millis(20));
    let position = fleet.position(is_replication).unwrap();
    let Pending::Message { message, .. } = fleet.pending[position].clone() else {
        unreachable!("it is a hold");
    };
    let Message::Replicate { charges, .. } = message else {
        unreachable!("it is a hold");
    };
    let mut padded = charges.to_vec();
    padded.resize(MAX_BATCH_BYTES + 1, 0);
    for charges in [padded, vec![], vec![9], vec![1, 255, 255, 255]] {
        let effects = fleet.daemons[0]
            .ledger
            .on_peer(fleet.now, &peer(1).id, replicate(charges));
        assert!(effects.is_empty());
    }
    assert_eq!(fleet.daemons[0].ledger.fill().damaged, 4);
}
